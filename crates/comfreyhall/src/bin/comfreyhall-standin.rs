//! `comfreyhall-standin`: the platform's stand-ins for one deployment.

use argh::FromArgs;
use comfreyhall::{
    settings::{Settings, socket},
    standins,
};
use futures::future::BoxFuture;

/// Stand-ins of the platform (table service, weight store, engines).
#[derive(FromArgs)]
struct Args {
    /// settings file of the deployment (JSON with comments)
    #[argh(option)]
    settings: String,
    /// serve only these: "table", "weights" or an engine id; all when absent
    #[argh(option)]
    only: Vec<String>,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

async fn stop() {
    comfreyhall_telemetry::stop_signal().await;
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    comfreyhall_telemetry::init_logs(&args.log);
    let settings = Settings::load(&args.settings)?;
    let wanted = |name: &str| args.only.is_empty() || args.only.iter().any(|o| o == name);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let mut servers: Vec<BoxFuture<'static, Result<(), _>>> = Vec::new();
        let platform = &settings.platform;
        if wanted("table") {
            servers.push(Box::pin(standins::serve_table(socket(&platform.table), stop())));
        }
        if wanted("weights") {
            let rate = platform.loads_per_sec;
            servers.push(Box::pin(standins::serve_weights(socket(&platform.weights), rate, stop())));
        }
        for e in settings.engines.iter().filter(|e| wanted(&e.id)) {
            let engine = standins::EngineStandin::start(&e.id, e.slots, e.width, e.fencing, &platform.weights);
            servers.push(Box::pin(standins::serve_engine(socket(&e.listen), engine, stop())));
        }
        log::info!(target: "standin", "serving {} stand-ins of {}", servers.len(), settings.deployment);
        for result in futures::future::join_all(servers).await {
            result?;
        }
        Ok(())
    })
}
