//! The settings of one daemon on a platform that schedules it.
//!
//! There the platform, instead of a shared file, determines the daemon's
//! identity, its listen addresses and the bounds it must keep. The file is JSON
//! with comments and is validated as a whole; an invalid file is rejected and the
//! last valid settings stay active.

use std::{net::SocketAddr, sync::Arc};

use serde::Deserialize;

use crate::check::{self, SettingsError};

/// Listen addresses of a daemon, each as `ip:port`.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for requests of callers.
    pub front: SocketAddr,
    /// Address for the platform's readiness check.
    pub ready: SocketAddr,
    /// Address at which callers look up the addresses to use.
    pub directory: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for metrics, if they are exposed.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the deployment guarantees.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest duration of a planned stop, in s.
    pub grace_s: f64,
    /// Time within which a target that reports draining gets no more new work, in ms.
    pub drain_ms: u64,
    /// Term of a lease without renewal, in ms.
    pub lease_ms: u64,
    /// Time within which an accepted configuration is active, in ms.
    pub apply_ms: u64,
    /// Time within which a named adapter version is active, in ms.
    pub version_ms: u64,
    /// Longest time that callers may cache a list of addresses, in s.
    pub address_s: f64,
    /// Retries allowed, as a share of the requests.
    pub retry_ratio: f64,
    /// Further retries allowed per window, over all daemons together.
    pub retry_allowance: f64,
    /// Window of the retry budget, in s.
    pub retry_s: f64,
    /// Whether engines reject commands with a fencing token lower than one already
    /// seen.
    pub fencing: bool,
    /// Time that a row has to reappear after an outage of the store, in s.
    pub return_s: f64,
    /// Time after the last contact with the store, direct or through peers, from
    /// which on no API key is accepted, since it may have been revoked, in ms.
    /// `None`: keys stay valid for as long as the store is unreachable.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
}

/// How the daemons jointly enforce the quotas of workspaces.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum QuotaMode {
    /// The quota coordinator of a workspace lends credit to the daemons whose
    /// requests need it.
    #[default]
    Lending,
    /// Each daemon has a share of the quota that follows its demand.
    Sharing,
}

/// Quotas of workspaces.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Quotas {
    /// How they are enforced.
    #[serde(rename = "way")]
    pub mode: QuotaMode,
    /// Window over which the usage of a workspace is compared with its quota, in s.
    pub window_s: f64,
    /// Usage allowed above the quota of a window, as a share of that quota.
    pub overshoot: f64,
    /// Units of usage allowed above that, per window.
    pub slack: f64,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            mode: QuotaMode::default(),
            window_s: 8.0,
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}

/// Switches of the scheduling mechanisms, to measure what each contributes or to
/// disable one that harms a deployment. All but `engine_pace` are on by default;
/// with one off, the daemon uses the simplest behaviour that keeps every guarantee.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// A request that waits for a slot takes the first that becomes free in its
    /// group of engines; off: it waits at the engine it chose.
    #[serde(rename = "shared_waits")]
    pub group_waits: bool,
    /// The lease holder of a group chooses the engine for every run there; off:
    /// each daemon chooses from gossip.
    pub binding: bool,
    /// Requests that share a prompt go to the same replica of their adapter.
    pub shared_prompts: bool,
    /// Each failure domain serves its own callers of a hot adapter.
    #[serde(rename = "hot_near")]
    pub local_hot: bool,
    /// Prefill beside running streams costs more while slots are scarce.
    #[serde(rename = "place_time")]
    pub slot_price: bool,
    /// Adapters are loaded on engines that have the weights cached, even if the
    /// queue there is somewhat longer; off: only the expected time counts.
    #[serde(rename = "spare_store")]
    pub prefer_cached: bool,
    /// A load that evicts another adapter costs more than its duration.
    #[serde(rename = "spare_places")]
    pub avoid_evictions: bool,
    /// Replicas of hot adapters are loaded before requests queue.
    #[serde(rename = "early_copies")]
    pub early_replicas: bool,
    /// Requests whose wait would be too long are rejected on arrival.
    pub admission: bool,
    /// Targets that fail get fewer requests.
    pub outliers: bool,
    /// Among equal targets, those in the same failure domain are preferred.
    #[serde(rename = "near_first")]
    pub prefer_local: bool,
    /// Loads from the weight store are limited by how fast it serves them.
    pub load_window: bool,
    /// Another target is asked beside one that is silent for long; off: the request
    /// waits for the silent one.
    #[serde(rename = "patience")]
    pub ask_beside: bool,
    /// Scarce adapter slots are shared among workspaces, or among route
    /// priorities where there are none, by max-min fairness; off: by priority and
    /// arrival.
    pub fair_slots: bool,
    /// Engines get work in proportion to how fast they read prompts and stream;
    /// off, as by default: all count as equally fast between events. Worth trying
    /// where engines of one service differ much in speed.
    pub engine_pace: bool,
    /// Loads go where the weights already are, whichever group that is; off: each
    /// group loads its own copy.
    pub weight_affinity: bool,
    /// A quota coordinator that takes over lends at once what accrued while nobody
    /// could lend, and credit flows evenly; off: it lends at the rate only for a
    /// window, and then the burst too.
    pub quota_handover: bool,
    /// When many targets end at once, a bounded number of requests becomes suspect
    /// and none is quarantined for it; off: each end counts in full.
    pub bounded_suspects: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            group_waits: true,
            binding: true,
            shared_prompts: true,
            local_hot: true,
            slot_price: true,
            prefer_cached: true,
            avoid_evictions: true,
            early_replicas: true,
            admission: true,
            outliers: true,
            prefer_local: true,
            load_window: true,
            ask_beside: true,
            fair_slots: true,
            engine_pace: false,
            weight_affinity: true,
            quota_handover: true,
            bounded_suspects: true,
        }
    }
}

/// The settings of one daemon.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Unique name of the instance.
    pub id: Arc<str>,
    /// Failure domain of the instance.
    pub domain: Arc<str>,
    /// Listen addresses.
    pub listen: Listen,
    /// Whether the whole deployment starts for the first time, so that no earlier
    /// state exists.
    #[serde(default)]
    pub first_start: bool,
    /// CPU cores of the instance, such as 0.25; daemons with more take leases first.
    pub cores: f64,
    /// Peer addresses to contact at start; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Guaranteed bounds.
    pub bounds: Bounds,
    /// Quotas of workspaces.
    #[serde(default)]
    #[serde(rename = "caps")]
    pub quotas: Quotas,
    /// Switches of the scheduling mechanisms.
    #[serde(default)]
    pub policies: Policies,
}

/// Longest time that a setting may have, in ms: a day.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// Largest other number.
const MAX_COUNT: f64 = 1e9;

/// Checks that `value` is a number within these bounds.
fn check_number(field: &str, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: field.to_string(),
        problem: format!("{value} is out of range"),
        remedy: match low > 0.0 {
            true => "give a positive number, and a time of at most a day".to_string(),
            false => "give no negative number, and a time of at most a day".to_string(),
        },
    })
}

impl NodeSettings {
    /// Reads, parses and validates the file at `path`.
    pub fn load(path: impl AsRef<std::path::Path>) -> Result<Self, SettingsError> {
        let (text, origin) = check::read(path.as_ref())?;
        Self::parse(&text, &origin)
    }

    /// Parses and validates `text`; `origin` names the file in errors.
    pub fn parse(text: &str, origin: &str) -> Result<Self, SettingsError> {
        let settings: Self = json5::from_str(text).map_err(|e| SettingsError::Syntax {
            origin: origin.to_string(),
            detail: e.to_string(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let b = &self.bounds;
        let second = 1_000.0;
        let times = [
            ("bounds.grace_s", b.grace_s * second),
            ("bounds.drain_ms", b.drain_ms as f64),
            ("bounds.lease_ms", b.lease_ms as f64),
            ("bounds.apply_ms", b.apply_ms as f64),
            ("bounds.version_ms", b.version_ms as f64),
            ("bounds.address_s", b.address_s * second),
            ("bounds.retry_s", b.retry_s * second),
            ("caps.window_s", self.quotas.window_s * second),
        ];
        for (field, ms) in times {
            check_number(field, ms, f64::MIN_POSITIVE, MAX_TIME_MS)?;
        }
        let revoke_ms = b.revoke_ms.unwrap_or(0) as f64;
        check_number("bounds.revoke_ms", revoke_ms, 0.0, MAX_TIME_MS)?;
        check_number("bounds.return_s", b.return_s * second, 0.0, MAX_TIME_MS)?;
        check_number("bounds.retry_ratio", b.retry_ratio, 0.0, MAX_COUNT)?;
        check_number("bounds.retry_allowance", b.retry_allowance, 0.0, MAX_COUNT)?;
        check_number("caps.overshoot", self.quotas.overshoot, 0.0, MAX_COUNT)?;
        check_number("caps.slack", self.quotas.slack, 0.0, MAX_COUNT)?;
        check_number("cores", self.cores, f64::MIN_POSITIVE, MAX_COUNT)?;
        if self.id.is_empty() || self.domain.is_empty() {
            return Err(SettingsError::Field {
                field: "id, domain".to_string(),
                problem: "an instance needs both".to_string(),
                remedy: "give the instance's name and its failure domain".to_string(),
            });
        }
        Ok(())
    }
}
