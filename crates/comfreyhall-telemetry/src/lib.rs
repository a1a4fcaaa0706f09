//! Logging, metrics and signal handling for all comfreyhall processes.
//!
//! Text logs go to standard error through log4rs. Each component logs under its
//! own target, which the pattern prints as a prefix (`route:`, `member:`,
//! `settings:` and so on), so that operators can filter the lines of one
//! component. docs/OPERATIONS.md lists the prefixes.
//!
//! Metrics are recorded through the opentelemetry API under the meter
//! [`METER`]; a process that exports them installs a provider.

mod exposition;
mod json;

pub use exposition::Exposition;

use log::LevelFilter;
use tokio::signal::unix::{Signal, SignalKind, signal};

use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};

/// Name of the opentelemetry meter that all components use.
pub const METER: &str = "comfreyhall";

/// Layout of a log line: time, level, target, message.
const PATTERN: &str = "{d(%H:%M:%S%.3f)} {l:<5} {t}: {m}{n}";

/// Libraries that log at `warn` and above only, because their debug lines would
/// outnumber ours.
const NOISY_LIBRARIES: [&str; 5] = ["h2", "hyper", "hyper_util", "tower", "tonic"];

/// Sends logs at `level` and above to standard error.
///
/// `level` is one of `error`, `warn`, `info`, `debug`, `trace`; anything
/// else means `info`. A second call has no effect.
pub fn init_logs(level: &str) {
    let filter = level.parse().unwrap_or(LevelFilter::Info);
    let stderr = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let libraries = NOISY_LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(stderr)))
        .loggers(libraries)
        .build(Root::builder().appender("stderr").build(filter))
        .expect("the fixed log configuration is valid");
    let _ = log4rs::init_config(config);
}

/// Sends logs at `level` and above to standard output, as one JSON object per
/// line, without blocking the logging thread.
pub fn init_json(level: &str) {
    let filter = level.parse().unwrap_or(LevelFilter::Info);
    let lines = json::JsonAppender::start(std::io::stdout());
    let libraries = NOISY_LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(lines)))
        .loggers(libraries)
        .build(Root::builder().appender("stdout").build(filter))
        .expect("the fixed log configuration is valid");
    let _ = log4rs::init_config(config);
}

/// Makes a panic in any task abort the whole process.
///
/// Otherwise the runtime catches the panic of a task that found a violated
/// invariant, and the process continues with some of its tasks ended and its
/// locks poisoned. Aborting is safe, because instances are replaced at any time,
/// and operators notice it.
pub fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}

/// The meter that all components create their instruments with.
pub fn meter() -> opentelemetry::metrics::Meter {
    opentelemetry::global::meter(METER)
}

/// Resolves on the first SIGINT or SIGTERM, which request a planned stop.
pub async fn stop_signal() {
    StopSignals::watch().received().await;
}

/// The signals that request a planned stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn watch() -> Self {
        Self {
            terminate: watch_signal(SignalKind::terminate()),
            interrupt: watch_signal(SignalKind::interrupt()),
        }
    }

    /// Resolves on the first SIGINT or SIGTERM since they are watched.
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

fn watch_signal(kind: SignalKind) -> Signal {
    signal(kind).expect("signals can be watched within a runtime")
}

/// The signals that operators send to a daemon, watched from its start.
///
/// If each task began to watch its own signals, a SIGHUP during start-up would
/// still have its default action and end the process, which operators would see
/// as a daemon that ends right after its start.
pub struct Signals {
    /// SIGINT and SIGTERM: a planned stop.
    pub stop: StopSignals,
    /// SIGHUP: the settings may have changed.
    pub hangup: Signal,
}

impl Signals {
    /// Starts to watch the signals. Must be called within a tokio runtime.
    pub fn watch() -> Self {
        Self {
            stop: StopSignals::watch(),
            hangup: watch_signal(SignalKind::hangup()),
        }
    }
}

#[cfg(test)]
mod tests;
