//! The structure of the settings file.

use std::{net::SocketAddr, sync::Arc};

use serde::Deserialize;

use crate::check::{self, SettingsError};

/// Placement policy of the daemons.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// A decayed request rate decides residency, replicas and eviction.
    #[default]
    Frequency,
    /// Baseline: load on demand, evict the least recently used.
    Lru,
}

/// An entry instance, which runs a daemon.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name, such as `ikeja-1`.
    pub id: Arc<str>,
    /// Failure domain, such as `ikeja`.
    pub domain: Arc<str>,
    /// HTTP address for callers, `ip:port`.
    pub listen: String,
}

/// A model engine (a worker) with adapter slots.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Unique name, such as `ikeja-e1`.
    pub id: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// gRPC address, `ip:port`.
    pub listen: String,
    /// Adapter slots, 1 to 64.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Sequences per batch step, 1 to 1024.
    #[serde(default = "default_width")]
    pub width: u32,
    /// Whether the engine rejects commands with an old fencing token.
    #[serde(default = "default_true")]
    pub fencing: bool,
}

/// A plain service, which runs no models.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub id: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// gRPC address, `ip:port`.
    pub listen: String,
}

/// Addresses and limits of the platform's services.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Table service gRPC address, `ip:port`.
    pub table: String,
    /// Weight store gRPC address, `ip:port`.
    pub weights: String,
    /// Object store gRPC address, `ip:port`.
    pub objects: String,
    /// Instance list gRPC address, `ip:port`.
    pub instances: String,
    /// Adapter loads per second the weight store allows.
    pub loads_per_sec: f64,
    /// Stand-ins only: text in a prompt that terminates the engine that starts to
    /// run it; empty for none.
    #[serde(default)]
    pub deadly_prompt: Arc<str>,
}

/// Timing and policy parameters of the daemons.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Placement policy.
    pub policy: PolicyKind,
    /// Heartbeat period in ms.
    pub heartbeat_ms: u64,
    /// Age of its last heartbeat after which a member counts as lost, in ms.
    pub lease_ms: u64,
    /// How long callers may cache a list of addresses, in ms.
    pub address_ttl_ms: u64,
    /// Default deadline of a request, in ms.
    pub deadline_ms: u64,
    /// Engine status poll period in ms.
    pub poll_ms: u64,
    /// Half-life of the decayed request rate of the frequency policy, in ms.
    pub half_life_ms: u64,
    /// Period at which a daemon polls for changes of the catalog and the
    /// configuration, in ms.
    pub follow_ms: u64,
    /// Longest time a planned stop waits for requests in progress, in ms.
    pub drain_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: PolicyKind::default(),
            heartbeat_ms: 500,
            lease_ms: 2_000,
            address_ttl_ms: 3_000,
            deadline_ms: 30_000,
            poll_ms: 100,
            half_life_ms: 30_000,
            follow_ms: 500,
            drain_ms: 20_000,
        }
    }
}

/// The workload of a deployment, used by the load tool and for seeding.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Customers to create when seeding.
    pub customers: u32,
    /// Adapters to create when seeding, spread over the customers.
    pub adapters: u32,
    /// Zipf exponent of adapter popularity.
    #[serde(default = "default_zipf")]
    pub zipf: f64,
}

/// A whole deployment's settings.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Deployment name, such as `oduya`.
    pub deployment: Arc<str>,
    /// Entry instances; a typical deployment has 7.
    pub instances: Vec<Instance>,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The platform's services.
    pub platform: Platform,
    /// Parameters of the daemons.
    #[serde(default)]
    pub tuning: Tuning,
    /// Workload for seeding and the load tool.
    pub workload: Workload,
}

fn default_slots() -> u32 {
    4
}

fn default_width() -> u32 {
    8
}

fn default_true() -> bool {
    true
}

fn default_zipf() -> f64 {
    1.1
}

impl Settings {
    /// Parses and validates `text`; `origin` names the file in errors.
    pub fn parse(text: &str, origin: &str) -> Result<Self, SettingsError> {
        let settings: Settings = json5::from_str(text).map_err(|e| SettingsError::Syntax {
            origin: origin.to_string(),
            detail: e.to_string(),
        })?;
        check::check(&settings)?;
        Ok(settings)
    }

    /// Reads, parses and validates the file at `path`.
    pub fn load(path: impl AsRef<std::path::Path>) -> Result<Self, SettingsError> {
        let (text, origin) = check::read(path.as_ref())?;
        Self::parse(&text, &origin)
    }

    /// The instance named `id`.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| &*i.id == id)
    }

    /// The engine named `id`.
    pub fn engine(&self, id: &str) -> Option<&Engine> {
        self.engines.iter().find(|e| &*e.id == id)
    }
}

/// Parses an `ip:port` field of settings that were validated; panics if it is
/// malformed.
pub fn socket_addr(addr: &str) -> SocketAddr {
    addr.parse().expect("settings are validated on load")
}
