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
    /// run on the users' platform, which provides the path of the settings file
    #[argh(switch)]
    platform: bool,
    /// settings file of the deployment (JSON with comments)
    #[argh(option)]
    settings: Option<String>,
    /// id of this instance in the settings
    #[argh(option)]
    instance: Option<String>,
    /// placement policy, overriding the settings: frequency or lru
    #[argh(option)]
    policy: Option<String>,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    comfreyhall_telemetry::abort_on_panic();
    if args.platform {
        return on_platform(&args);
    }
    comfreyhall_telemetry::init_logs(&args.log);
    let (Some(settings), Some(instance)) = (&args.settings, &args.instance) else {
        return Err(eyre!("pass --settings and --instance, or --platform"));
    };
    let settings = Settings::load(settings)?;
    let policy = match args.policy.as_deref() {
        None => None,
        Some("frequency") => Some(PolicyKind::Frequency),
        Some("lru") => Some(PolicyKind::Lru),
        Some(other) => return Err(eyre!("unknown policy {other:?}; use frequency or lru")),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(daemon::run(settings, instance, policy))
}

/// Runs the daemon on the platform. Its instances have a fraction of one core, so a
/// single-threaded runtime avoids the cost of moving work between threads.
fn on_platform(args: &Args) -> eyre::Result<()> {
    comfreyhall_telemetry::init_json(&args.log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(comfreyhall_platform::run())
}
