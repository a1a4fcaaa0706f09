//! Stand-ins and cases of the second review.
//!
//! `review-2 case NAME ROOT RECORD` plays a case against the daemons built in ROOT and writes
//! what happened to RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod engine;
mod http;
mod platform;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["worker", addr, id, slots, adapters, born, log] => {
            let worker = worker::Worker {
                addr: addr.parse().expect("an address"),
                id: id.to_string(),
                slots: slots.parse().expect("a number"),
                adapters: adapters.parse().expect("a number"),
                born: born.parse().expect("a number"),
                log: log.into(),
            };
            match worker::run(worker) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("worker {id}: {e}");
                    ExitCode::from(2)
                }
            }
        }
        ["case", name, root, record] => {
            let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            let platform = platform::Platform::start(root.into(), record.into());
            match cases::play(name, platform, trouble) {
                Some(true) => ExitCode::from(1),
                Some(false) => ExitCode::SUCCESS,
                None => ExitCode::from(2),
            }
        }
        _ => {
            eprintln!("review-2 case NAME ROOT RECORD");
            ExitCode::from(2)
        }
    }
}
