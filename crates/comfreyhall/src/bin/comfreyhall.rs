//! `comfreyhall`: the operator command line.

fn main() -> std::process::ExitCode {
    comfreyhall::cli::main()
}
