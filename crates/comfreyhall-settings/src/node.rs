//! The settings of one daemon on a platform that starts and places it.
//!
//! There the platform, not a shared file, says who the daemon is, where it
//! listens and which bounds it must keep. The file is JSON with comments,
//! checked whole; a bad one is refused and the last good one stays in force.

use std::{net::SocketAddr, sync::Arc};

use serde::Deserialize;

use crate::check::{self, SettingsError};

/// Where a daemon listens, each as `ip:port`.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub front: SocketAddr,
    /// The platform's readiness check.
    pub ready: SocketAddr,
    /// Callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Metrics, if they are exposed.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the deployment promises.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// A planned stop ends within this, in s.
    pub grace_s: f64,
    /// No new work for a target this long after it said that it leaves, in ms.
    pub drain_ms: u64,
    /// A lease holds this long without renewal, in ms.
    pub lease_ms: u64,
    /// An accepted configuration is in force within this, in ms.
    pub apply_ms: u64,
    /// A named adapter version is in force within this, in ms.
    pub version_ms: u64,
    /// Longest that callers may keep an address answer, in s.
    pub address_s: f64,
    /// Repeats allowed as a share of the requests.
    pub retry_ratio: f64,
    /// Repeats allowed besides, over all daemons.
    pub retry_allowance: f64,
    /// Window of the repeats, in s.
    pub retry_s: f64,
    /// Whether engines refuse orders under a token lower than one they saw.
    pub fencing: bool,
    /// Time for an entry to come back after the store was away, in s.
    pub return_s: f64,
    /// Ms after the last word of the store, also through others, from which on
    /// no key counts any more: it may have been taken back. `None` if keys
    /// count for as long as the store is silent.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
}

/// How the daemons keep the caps of workspaces together.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum QuotaMode {
    /// The home of a workspace lends credit to those whose requests need it.
    #[default]
    Lending,
    /// Each daemon has a part that follows what is asked of it.
    Sharing,
}

/// Caps of workspaces.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Quotas {
    /// How they are kept.
    #[serde(rename = "way")]
    pub mode: QuotaMode,
    /// Window in which the use of a workspace is compared with its cap, in s.
    pub window_s: f64,
    /// How far the use may lie above what the cap allows there, as a part of it.
    pub overshoot: f64,
    /// And by how many units besides.
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

/// Mechanisms that decide, each with a switch: to see what it is worth, or to
/// do without one that harms a deployment. All are on by default; off is the
/// plainest behaviour that keeps every promise.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// A request that waits for a place takes the first one that falls free
    /// in its group of engines; off: at the engine it chose.
    pub shared_waits: bool,
    /// The holder of a group's lease chooses the engine for every run there;
    /// off: each daemon chooses by the news.
    pub binding: bool,
    /// Requests that share a prompt go to one copy of their adapter.
    pub shared_prompts: bool,
    /// Each failure domain serves its own callers of a hot adapter.
    pub hot_near: bool,
    /// Reading a prompt beside streams costs more while places are short.
    pub place_time: bool,
    /// Adapters are loaded where they are at hand, even if the queue there is
    /// somewhat longer; off: only time counts.
    pub spare_store: bool,
    /// A load that pushes out another adapter costs more than its time.
    pub spare_places: bool,
    /// Copies of hot adapters are ordered before requests queue.
    pub early_copies: bool,
    /// Requests whose wait would be too long are refused on arrival.
    pub admission: bool,
    /// Targets that fail are used less.
    pub outliers: bool,
    /// Near targets win among equals.
    pub near_first: bool,
    /// Loads from the weight store are bounded by how fast it serves them.
    pub load_window: bool,
    /// A target that stays mute for long is given up for another.
    pub patience: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            shared_waits: true,
            binding: true,
            shared_prompts: true,
            hot_near: true,
            place_time: true,
            spare_store: true,
            spare_places: true,
            early_copies: true,
            admission: true,
            outliers: true,
            near_first: true,
            load_window: true,
            patience: true,
        }
    }
}

/// The settings of one daemon.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Unique name of the instance.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// Whether the whole system starts for the first time, so that nothing of
    /// before can be found.
    #[serde(default)]
    pub first_start: bool,
    /// Its part of a core: daemons that have more take leases first.
    pub cores: f64,
    /// Peer addresses to begin with; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Promised bounds.
    pub bounds: Bounds,
    /// Caps of workspaces.
    #[serde(default)]
    #[serde(rename = "caps")]
    pub quotas: Quotas,
    /// Mechanisms that decide.
    #[serde(default)]
    pub policies: Policies,
}

impl NodeSettings {
    /// Reads and checks the file at `path`.
    pub fn load(path: impl AsRef<std::path::Path>) -> Result<Self, SettingsError> {
        let (text, origin) = check::read(path.as_ref())?;
        Self::parse(&text, &origin)
    }

    /// Parses and checks `text`, which came from `origin`.
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
        let positive = [
            ("bounds.grace_s", b.grace_s),
            ("bounds.drain_ms", b.drain_ms as f64),
            ("bounds.lease_ms", b.lease_ms as f64),
            ("bounds.apply_ms", b.apply_ms as f64),
            ("bounds.version_ms", b.version_ms as f64),
            ("bounds.address_s", b.address_s),
            ("bounds.retry_s", b.retry_s),
            ("caps.window_s", self.quotas.window_s),
        ];
        for (field, value) in positive {
            if value <= 0.0 {
                return Err(SettingsError::Field {
                    field: field.to_string(),
                    problem: format!("{value} is not a bound that can be kept"),
                    remedy: "give a number above 0".to_string(),
                });
            }
        }
        if self.cores <= 0.0 {
            return Err(SettingsError::Field {
                field: "cores".to_string(),
                problem: format!("{} is no part of a core", self.cores),
                remedy: "give the part of a core that the instance has".to_string(),
            });
        }
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
