//! Routes, services and limits, as configured by the operator.

use std::sync::Arc;

use comfreyhall_protocol::Map;
use comfreyhall_workspace::{PresentedKey, Workspace, Workspaces};

use crate::Name;

/// Whether a route's requests may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may be executed more than once.
    Idempotent,
    /// Must be executed at most once.
    NonIdempotent,
    /// Responds with an event stream; idempotent only if the stream can be
    /// resumed.
    Stream,
}

/// A service's weighted share of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The service.
    pub service: Name,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// Maps a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host that the route matches.
    pub host: Name,
    /// Path prefix that the route matches; the longest matching prefix wins.
    pub path_prefix: Name,
    /// Whether its requests may be executed more than once.
    pub kind: RouteKind,
    /// Maximum time that a request may wait, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms; for streams, until the first event.
    pub objective_ms: u64,
    /// Longest gap between two events of a stream that is answered in time, in
    /// ms; `None` if any gap is.
    pub gap_objective_ms: Option<u64>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services that receive its requests.
    pub shares: Vec<TrafficShare>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
    /// Whether the route can be called without a key.
    pub public: bool,
}

impl Route {
    /// Whether its requests may be executed more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks a service by weight; `draw` is a uniformly random number.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut offset = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        self.shares.first().map(|s| &s.service)
    }
}

/// A base model that the engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store, in ms.
    pub load_ms: u64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Settings common to all engines of a model service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Maximum number of requests that one engine runs concurrently.
    pub max_running: u32,
    /// Capacity of the token cache, shared by running requests and cached
    /// prompt segments.
    pub cache_tokens: u64,
    /// Memory for model weights and adapters, in MB.
    pub weights_mb: f64,
    /// Number of adapter slots, including those of adapters that are being
    /// loaded.
    pub adapter_slots: u32,
    /// Loads per second that the weight store permits across all engines.
    pub load_rate: f64,
    /// Output tokens in one event of a stream.
    pub event_tokens: u32,
    /// Models that the engines can load.
    pub models: Vec<Model>,
}

impl EngineConfig {
    /// The model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// Maximum number of adapters of `model` that fit into one engine beside
    /// the model.
    pub fn max_adapters(&self, model: &Model) -> u32 {
        let left = (self.weights_mb - model.weights_mb).max(0.0);
        match model.adapter_mb > 0.0 {
            true => ((left / model.adapter_mb) as u32).min(self.adapter_slots),
            false => self.adapter_slots,
        }
    }
}

/// A service provided by a set of targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Maximum number of connections to one target, over all clients together.
    pub max_connections: u32,
    /// Engine settings; present only if the targets are model engines.
    pub engine: Option<EngineConfig>,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive, in ms.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection, in ms.
    pub idle_timeout_ms: u64,
}

/// The active configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Increases with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: Map<Name, Service>,
    /// Limits on what clients may send.
    pub limits: RequestLimits,
    /// Workspaces that may call; `None` if no key is required.
    pub workspaces: Option<Workspaces>,
}

/// The authenticated origin of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// No key is required.
    Anonymous,
    /// The workspace that the key belongs to.
    Workspace(Arc<Workspace>),
}

impl Caller {
    /// The workspace, if the caller is authenticated.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Caller::Anonymous => None,
            Caller::Workspace(workspace) => Some(workspace),
        }
    }
}

impl Config {
    /// Resolves the caller of `route` from its API key; `None` if the key is
    /// missing or unknown.
    pub fn resolve_caller(&self, route: &Route, key: Option<&PresentedKey>) -> Option<Caller> {
        let Some(workspaces) = self.workspaces.as_ref().filter(|_| !route.public) else {
            return Some(Caller::Anonymous);
        };
        let workspace = workspaces.find_by_key(key?)?;
        Some(Caller::Workspace(workspace.clone()))
    }

    /// The route for `host` with the longest prefix that matches `path`.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| &*r.host == host && path.starts_with(&*r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}
