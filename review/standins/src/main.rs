//! Stand-ins and tests of the review.

mod case1;
mod case2;
mod case3;
mod fleet;
mod http;
mod server;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a != "server") {
        fleet::watch(std::time::Duration::from_secs(115));
    }
    let code = match args.first().map(String::as_str) {
        Some("server") => {
            server::main(&args[1..]);
            0
        }
        Some("1") => case1::main(&args[1]),
        Some("2") => case2::main(&args[1]),
        Some("3") => case3::main(&args[1]),
        _ => 2,
    };
    std::process::exit(code);
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
