//! Routes, services and limits as the operator configured them.

use std::sync::Arc;

use comfreyhall_protocol::Map;
use comfreyhall_workspace::{PresentedKey, Workspace, Workspaces};

use crate::Name;

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with events; idempotent only where it can be resumed.
    Stream,
}

/// A service's part of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The service.
    pub service: Name,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host it answers for.
    pub host: Name,
    /// Path prefix it covers; the longest one that fits wins.
    pub path_prefix: Name,
    /// What repeating its requests may do.
    pub kind: RouteKind,
    /// Longest a request may be kept waiting, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms: to the first event for streams.
    pub objective_ms: u64,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Where its requests go.
    pub shares: Vec<TrafficShare>,
    /// Most targets one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Whether anybody may call it, without a key.
    pub public: bool,
}

impl Route {
    /// Whether its requests may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for the request with this draw, by the shares' weights.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        self.shares.first().map(|s| &s.service)
    }
}

/// A base model that engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store, in ms.
    pub load_ms: u64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// What the engines of a model service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Requests one engine runs at once.
    pub max_running: u32,
    /// Tokens that running requests and kept prompt parts share.
    pub cache_tokens: u64,
    /// Room for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Places for adapters, those on their way included.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub load_rate: f64,
    /// The models.
    pub models: Vec<Model>,
}

impl EngineConfig {
    /// The model `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// How many adapters of `model` one engine has room for beside it.
    pub fn max_adapters(&self, model: &Model) -> u32 {
        let left = (self.weights_mb - model.weights_mb).max(0.0);
        match model.adapter_mb > 0.0 {
            true => ((left / model.adapter_mb) as u32).min(self.adapter_slots),
            false => self.adapter_slots,
        }
    }
}

/// A service that targets serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections one target takes from all callers together.
    pub max_connections: u32,
    /// Present if its targets are model engines.
    pub engine: Option<EngineConfig>,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest a request head may take to arrive, in ms.
    pub header_timeout_ms: u64,
    /// Longest a connection may stay idle, in ms.
    pub idle_timeout_ms: u64,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Grows with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: Map<Name, Service>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// Who may call; `None` if anybody may.
    pub workspaces: Option<Workspaces>,
}

/// Who calls.
#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// Anybody: no key is asked for.
    Anonymous,
    /// The workspace that the key belongs to.
    Workspace(Arc<Workspace>),
}

impl Caller {
    /// The workspace, if one is known.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Caller::Anonymous => None,
            Caller::Workspace(workspace) => Some(workspace),
        }
    }
}

impl Config {
    /// Who calls `route` with `key`; `None` if the key belongs to nobody.
    pub fn resolve_caller(&self, route: &Route, key: Option<&PresentedKey>) -> Option<Caller> {
        let Some(workspaces) = self.workspaces.as_ref().filter(|_| !route.public) else {
            return Some(Caller::Anonymous);
        };
        let workspace = workspaces.find_by_key(key?)?;
        Some(Caller::Workspace(workspace.clone()))
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| &*r.host == host && path.starts_with(&*r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}
