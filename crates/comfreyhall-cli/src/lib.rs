//! The operator command line of comfreyhall, and its load tool.
//!
//! Commands that change the catalog write to the table service named in the
//! settings file, and add an audit entry for each change. Commands that talk
//! to the running service (`addresses`, `generate`, `drain`) call a daemon over
//! HTTP, as any caller does. Every command prints text, or JSON with `--json`.

mod account;
mod args;
mod bench;
mod catalog;
mod client;
mod explain;
mod instance;
mod lines;
mod output;
mod rollout;
mod stats;

use std::process::ExitCode;

pub use args::Cli;

/// Parses the process arguments, runs the command and prints its output or error.
pub fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("a tokio runtime starts");
    match runtime.block_on(run(cli)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs one command and returns its output.
pub async fn run(cli: Cli) -> eyre::Result<String> {
    use args::Command::*;
    let json = cli.json;
    match cli.command {
        Customer(c) => catalog::customer(&cli.settings, &cli.actor, c, json).await,
        Adapter(c) => catalog::adapter(&cli.settings, &cli.actor, c, json).await,
        Version(c) => catalog::version(&cli.settings, &cli.actor, c, json).await,
        Audit(c) => catalog::audit(&cli.settings, c, json).await,
        Seed(_) => catalog::seed(&cli.settings, &cli.actor, json).await,
        Settings(c) => catalog::settings(c, json),
        Addresses(c) => instance::addresses(&cli.settings, c, json).await,
        Generate(c) => instance::generate(&cli.settings, c, json).await,
        Drain(c) => instance::drain(&cli.settings, c, json).await,
        Bench(c) => bench::run(&cli.settings, c, json).await,
        Rules(c) => catalog::rules(&cli.settings, &cli.actor, c, json).await,
        Cancel(c) => instance::cancel(&cli.settings, c, json).await,
        Metrics(c) => instance::metrics(&cli.settings, c).await,
        Fault(c) => instance::fault(&cli.settings, c, json).await,
        Stats(c) => stats::run(&cli.settings, c, json).await,
        Explain(c) => explain::run(c, json),
        Account(c) => account::run(c, json),
    }
}

#[cfg(test)]
mod tests;
