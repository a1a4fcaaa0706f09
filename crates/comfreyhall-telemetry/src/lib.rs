//! Logs and metrics set-up shared by comfreyhall's processes.
//!
//! Logs go to standard error through log4rs. Each part of a process logs
//! under its own target, and the pattern prints that target as a fixed
//! prefix (`route:`, `member:`, `settings:` and so on), so an operator can
//! grep one part's sentences. docs/OPERATIONS.md lists the prefixes.
//!
//! Metrics are recorded through the opentelemetry API under the meter
//! [`METER`]; the process that wants them exported installs a provider.

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

/// Name of the opentelemetry meter every part records under.
pub const METER: &str = "comfreyhall";

/// Log line layout: time, level, the part's prefix, the sentence.
const PATTERN: &str = "{d(%H:%M:%S%.3f)} {l:<5} {t}: {m}{n}";

/// Libraries whose debug lines would drown ours.
const LIBRARIES: [&str; 5] = ["h2", "hyper", "hyper_util", "tower", "tonic"];

/// Sends logs at `level` and above to standard error.
///
/// `level` is one of `error`, `warn`, `info`, `debug`, `trace`; anything
/// else means `info`. Calling it twice keeps the first set-up.
pub fn init_logs(level: &str) {
    let filter = level.parse().unwrap_or(LevelFilter::Info);
    let stderr = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let libraries = LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(stderr)))
        .loggers(libraries)
        .build(Root::builder().appender("stderr").build(filter))
        .expect("the fixed log set-up is valid");
    let _ = log4rs::init_config(config);
}

/// Sends logs at `level` and above to standard output, one JSON object a
/// line, without ever blocking whoever logs.
pub fn init_json(level: &str) {
    let filter = level.parse().unwrap_or(LevelFilter::Info);
    let lines = json::Lines::start(std::io::stdout());
    let libraries = LIBRARIES.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(lines)))
        .loggers(libraries)
        .build(Root::builder().appender("stdout").build(filter))
        .expect("the fixed log set-up is valid");
    let _ = log4rs::init_config(config);
}

/// Makes a panic of any task end the whole process.
///
/// What goes wrong without it: an invariant is found broken in one task, the
/// runtime swallows the panic, and the process goes on with half of its
/// duties dead and its locks poisoned. Instances are replaced at any time,
/// so ending is the safe answer, and it is noticed.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

/// The meter every part records its instruments under.
pub fn meter() -> opentelemetry::metrics::Meter {
    opentelemetry::global::meter(METER)
}

/// Resolves on the first SIGINT or SIGTERM: the signals of a planned stop.
pub async fn stop_signal() {
    StopSignals::watch().received().await;
}

/// The signals of a planned stop.
pub struct StopSignals {
    term: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn watch() -> Self {
        Self {
            term: open(SignalKind::terminate()),
            interrupt: open(SignalKind::interrupt()),
        }
    }

    /// Resolves on the first SIGINT or SIGTERM since the watch began.
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.term.recv() => {}
        }
    }
}

fn open(kind: SignalKind) -> Signal {
    signal(kind).expect("signals can be watched within a runtime")
}

/// The signals that operators send a daemon, watched from its first moment.
///
/// What goes wrong if each duty begins to watch for its own: a reload that
/// comes as the daemon starts ends the process, which operators see as a
/// daemon that is gone right after its start.
pub struct Signals {
    /// A planned stop.
    pub stop: StopSignals,
    /// SIGHUP: the settings may have changed.
    pub hangup: Signal,
}

impl Signals {
    /// Begins to watch; to be called within a runtime.
    pub fn watch() -> Self {
        Self {
            stop: StopSignals::watch(),
            hangup: open(SignalKind::hangup()),
        }
    }
}

#[cfg(test)]
mod tests;
