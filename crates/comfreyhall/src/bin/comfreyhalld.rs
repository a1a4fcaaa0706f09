//! `comfreyhalld`: the daemon of one entry instance.

use argh::FromArgs;
use comfreyhall::{
    daemon,
    settings::{PolicyKind, Settings},
};
use eyre::eyre;

/// The comfreyhall daemon of one entry instance.
#[derive(FromArgs)]
struct Args {
    /// settings file of the deployment (JSON with comments)
    #[argh(option)]
    settings: String,
    /// id of this instance in the settings
    #[argh(option)]
    instance: String,
    /// placement policy, overriding the settings: frequency or lru
    #[argh(option)]
    policy: Option<String>,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    comfreyhall_telemetry::init_logs(&args.log);
    comfreyhall_telemetry::end_on_panic();
    let settings = Settings::load(&args.settings)?;
    let policy = match args.policy.as_deref() {
        None => None,
        Some("frequency") => Some(PolicyKind::Frequency),
        Some("lru") => Some(PolicyKind::Lru),
        Some(other) => return Err(eyre!("policy {other:?} is unknown; use frequency or lru")),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(daemon::run(settings, &args.instance, policy))
}
