//! `comfreyhall-standin`: stand-ins for the services of the platform, for one deployment.

use std::time::Duration;

use argh::FromArgs;
use comfreyhall::{settings::Settings, standins};

/// Time that calls in progress get to finish when the process is stopped.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// Stand-ins for the platform (table service, weight and object stores,
/// instance list, engines, plain services).
#[derive(FromArgs)]
struct Args {
    /// settings file of the deployment (JSON with comments)
    #[argh(option)]
    settings: String,
    /// serve only these: "table", "weights", "objects", "instances" or an engine
    /// or service id; all when absent
    #[argh(option)]
    only: Vec<String>,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    comfreyhall_telemetry::init_logs(&args.log);
    comfreyhall_telemetry::abort_on_panic();
    let settings = Settings::load(&args.settings)?;
    let is_selected = |name: &str| args.only.is_empty() || args.only.iter().any(|o| o == name);
    let runtime = tokio::runtime::Runtime::new()?;
    let result: Result<(), tonic::transport::Error> = runtime.block_on(async {
        let servers = standins::deployment(&settings, is_selected, comfreyhall_telemetry::stop_signal);
        log::info!(target: "standin", "serving {} stand-ins of {}", servers.len(), settings.deployment);
        // Calls queued in the weight store may take minutes, so a stop doesn't wait
        // for them beyond the grace period.
        let stopped = async {
            comfreyhall_telemetry::stop_signal().await;
            tokio::time::sleep(STOP_GRACE).await;
        };
        tokio::select! {
            results = futures::future::join_all(servers) => results.into_iter().collect(),
            () = stopped => Ok(()),
        }
    });
    runtime.shutdown_background();
    Ok(result?)
}
