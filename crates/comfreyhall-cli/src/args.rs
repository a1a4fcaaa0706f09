//! Command-line arguments.

use argh::FromArgs;

/// Operate a comfreyhall deployment.
#[derive(FromArgs, Debug)]
pub struct Cli {
    /// settings file of the deployment (JSON with comments)
    #[argh(option, default = "String::from(\"comfreyhall.jsonc\")")]
    pub settings: String,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// name of the person or program that makes the change, for the audit trail
    #[argh(option, default = "default_actor()")]
    pub actor: String,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

fn default_actor() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".into())
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Customer(CustomerCmd),
    Adapter(AdapterCmd),
    Version(VersionCmd),
    Audit(AuditCmd),
    Seed(SeedCmd),
    Settings(SettingsCmd),
    Addresses(AddressesCmd),
    Generate(GenerateCmd),
    Drain(DrainCmd),
    Bench(BenchCmd),
    Rules(RulesCmd),
    Cancel(CancelCmd),
    Metrics(MetricsCmd),
    Fault(FaultCmd),
    Stats(StatsCmd),
    Explain(ExplainCmd),
    Account(AccountCmd),
}

/// Create, label or list customers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "customer")]
pub(crate) struct CustomerCmd {
    /// create, label or list
    #[argh(positional)]
    pub(crate) action: String,
    /// the customer's name
    #[argh(positional)]
    pub(crate) name: Option<String>,
    /// a label key=value; may repeat
    #[argh(option)]
    pub(crate) label: Vec<String>,
    /// longest promised wait for an adapter load, in ms
    #[argh(option, default = "2000")]
    pub(crate) stall_ms: u64,
    /// priority of the customer's requests
    #[argh(option, default = "0")]
    pub(crate) priority: i32,
}

/// Create, label or list adapters.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "adapter")]
pub(crate) struct AdapterCmd {
    /// create, label or list
    #[argh(positional)]
    pub(crate) action: String,
    /// the adapter's name
    #[argh(positional)]
    pub(crate) name: Option<String>,
    /// the owning customer, for create
    #[argh(option)]
    pub(crate) customer: Option<String>,
    /// a label key=value; may repeat
    #[argh(option)]
    pub(crate) label: Vec<String>,
}

/// Add a version to an adapter.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "version")]
pub(crate) struct VersionCmd {
    /// add
    #[argh(positional)]
    pub(crate) action: String,
    /// the adapter
    #[argh(positional)]
    pub(crate) adapter: String,
    /// the new version's name
    #[argh(positional)]
    pub(crate) version: String,
    /// a label key=value; may repeat
    #[argh(option)]
    pub(crate) label: Vec<String>,
}

/// Show the audit trail of changes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "audit")]
pub(crate) struct AuditCmd {
    /// how many of the newest entries
    #[argh(option, default = "50")]
    pub(crate) last: usize,
}

/// Create the customers and adapters of the settings' workload.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "seed")]
pub(crate) struct SeedCmd {}

/// Check a settings file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub(crate) struct SettingsCmd {
    /// check
    #[argh(positional)]
    pub(crate) action: String,
    /// the file
    #[argh(positional)]
    pub(crate) file: String,
}

/// List the addresses of the entry instances to use.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "addresses")]
pub(crate) struct AddressesCmd {
    /// preferred failure domain
    #[argh(option)]
    pub(crate) domain: Option<String>,
}

/// Send one completion request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "generate")]
pub(crate) struct GenerateCmd {
    /// adapter@version
    #[argh(positional)]
    pub(crate) model: String,
    /// the prompt
    #[argh(positional)]
    pub(crate) prompt: String,
    /// tokens to generate
    #[argh(option, default = "16")]
    pub(crate) max_tokens: u32,
    /// the request id; a random one when absent
    #[argh(option)]
    pub(crate) id: Option<String>,
    /// entry instance address; the first from the settings when absent
    #[argh(option)]
    pub(crate) to: Option<String>,
}

/// Drain an instance: it takes no new work and stops once idle.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainCmd {
    /// the instance id
    #[argh(positional)]
    pub(crate) instance: String,
}

/// Put load on the deployment, with an adapter popularity that shifts halfway.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub(crate) struct BenchCmd {
    /// seconds of the measured run, 1 to 600
    #[argh(option, default = "10")]
    pub(crate) seconds: u64,
    /// seconds of warm-up before the measured run, 0 to 600
    #[argh(option, default = "0")]
    pub(crate) warmup: u64,
    /// concurrent callers, 1 to 512
    #[argh(option, default = "32")]
    pub(crate) callers: usize,
    /// random seed
    #[argh(option, default = "7")]
    pub(crate) seed: u64,
    /// tokens per request
    #[argh(option, default = "16")]
    pub(crate) max_tokens: u32,
    /// label in the report, such as the policy under test
    #[argh(option, default = "String::from(\"run\")")]
    pub(crate) label: String,
    /// draw from only the most popular N adapters (all when absent)
    #[argh(option)]
    pub(crate) adapters: Option<u32>,
    /// share of requests that must run at most once, 0 to 1
    #[argh(option, default = "0.0")]
    pub(crate) once: f64,
    /// share of requests that are non-idempotent calls to plain services
    #[argh(option, default = "0.0")]
    pub(crate) plain: f64,
    /// share of completions that are streamed, 0 to 1
    #[argh(option, default = "0.0")]
    pub(crate) stream: f64,
    /// faults to inject into the stand-ins: none, platform, targets or mix
    #[argh(option, default = "String::from(\"none\")")]
    pub(crate) faults: String,
}

/// Show the resource use of each daemon over a window: CPU, memory, control traffic.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "stats")]
pub(crate) struct StatsCmd {
    /// seconds between the two samples, 1 to 600
    #[argh(option, default = "5")]
    pub(crate) window: u64,
}

/// Apply or show the active rules.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "rules")]
pub(crate) struct RulesCmd {
    /// apply or show
    #[argh(positional)]
    pub(crate) action: String,
    /// the rules file (JSON with comments), for apply
    #[argh(positional)]
    pub(crate) file: Option<String>,
    /// the version that the file is based on; rejected if another version is active now
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// wait until the new version is active on every instance that answers
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Cancel a running request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct CancelCmd {
    /// the request id
    #[argh(positional)]
    pub(crate) id: String,
}

/// Print the metrics of an instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "metrics")]
pub(crate) struct MetricsCmd {
    /// the instance id; the first that answers when absent
    #[argh(positional)]
    pub(crate) instance: Option<String>,
}

/// Set the fault switches of a stand-in; without options, clear them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fault")]
pub(crate) struct FaultCmd {
    /// table, weights, objects, or the id of an engine or service
    #[argh(positional)]
    pub(crate) target: String,
    /// reject every call
    #[argh(switch)]
    pub(crate) down: bool,
    /// delay every answer by this many ms
    #[argh(option, default = "0")]
    pub(crate) slow_ms: u64,
    /// share of answers lost after they took effect, 0 to 1
    #[argh(option, default = "0.0")]
    pub(crate) lose: f64,
    /// share of adapter loads that fail, 0 to 1
    #[argh(option, default = "0.0")]
    pub(crate) fail: f64,
    /// cold restart of an engine: drop every slot and run
    #[argh(switch)]
    pub(crate) restart: bool,
    /// rate limit that an engine or service announces, in requests per second
    #[argh(option, default = "0.0")]
    pub(crate) limit: f64,
    /// cooldown in seconds that an engine or service asks of all callers while it
    /// rejects their requests
    #[argh(option, default = "0.0")]
    pub(crate) rest_s: f64,
    /// an engine or service announces that it is draining
    #[argh(switch)]
    pub(crate) leaving: bool,
    /// time for which an engine or service answers nothing and then goes on, in ms
    #[argh(option, default = "0")]
    pub(crate) silent_ms: u64,
}

/// Show the log lines about one request, or about one configuration, from the logs
/// of several daemons.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCmd {
    /// the request's id, or the configuration's version
    #[argh(positional)]
    pub(crate) id: String,
    /// show the configuration with this version
    #[argh(switch)]
    pub(crate) change: bool,
    /// log files of every daemon that may have handled it
    #[argh(positional)]
    pub(crate) logs: Vec<String>,
}

/// Count the requests in the logs of all daemons by outcome, with the cause of
/// each that was not answered in time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "account")]
pub(crate) struct AccountCmd {
    /// log files of every daemon from that time
    #[argh(positional)]
    pub(crate) logs: Vec<String>,
}
