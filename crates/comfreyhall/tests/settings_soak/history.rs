//! The versions of the settings, and what each lets callers see.
//!
//! Each version moves one route to the other service, adds a route and drops the
//! one added three versions before. Idle routes make the settings as large as the
//! run asks for.

use std::sync::Arc;

use serde_json::{Value, json};

use super::emulator;

/// Versions for which an added route stays.
const STAYS: u64 = 3;

/// Bytes that one idle route takes, about.
const IDLE_BYTES: usize = 230;

/// A service of plain targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    App,
    Alt,
}

impl Service {
    pub fn name(self) -> &'static str {
        match self {
            Service::App => "app",
            Service::Alt => "alt",
        }
    }
}

/// A route that tells versions apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Always there, and moved by each version.
    Moved,
    /// Added by the version of this number.
    Added(u64),
    /// Never there.
    Never,
}

impl Path {
    pub fn text(self) -> String {
        match self {
            Path::Moved => "/m/".into(),
            Path::Added(number) => format!("/v{number}/"),
            Path::Never => "/never/".into(),
        }
    }
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    Ran(Service),
    /// The final answer that there is no such route.
    Denied,
    /// Not run, and when to come back.
    Refused,
    /// Anything else: it tells nothing of versions.
    Nothing,
}

/// Where version `number` has the moved route go.
pub fn moved_to(number: u64) -> Service {
    match number.is_multiple_of(2) {
        true => Service::App,
        false => Service::Alt,
    }
}

/// Whether version `number` has `path`.
pub fn has(number: u64, path: Path) -> bool {
    match path {
        Path::Moved => true,
        Path::Added(at) => (at..at + STAYS).contains(&number),
        Path::Never => false,
    }
}

/// Whether a daemon that goes by version `number` may answer so.
pub fn allows(number: u64, path: Path, seen: Seen) -> bool {
    match seen {
        Seen::Ran(service) => {
            let to = match path {
                Path::Moved => moved_to(number),
                Path::Added(_) | Path::Never => Service::App,
            };
            has(number, path) && service == to
        }
        Seen::Denied => !has(number, path),
        Seen::Refused | Seen::Nothing => true,
    }
}

fn route(name: &str, prefix: &str, service: Service) -> Value {
    emulator::safe_route(name, prefix, service.name())
}

/// The first version that has all idle routes; those before have a few.
const GROWN: u64 = 3;

/// The settings of version `number`, of about `kb` KB once they have grown.
pub fn config(number: u64, kb: usize) -> Value {
    let kb = if number < GROWN { kb / 8 } else { kb };
    // Versions increase in uneven steps.
    let mut config = emulator::config(3 * number + number % 2, "/g/");
    let routes = config["routes"].as_array_mut().unwrap();
    routes.push(route("moved", &Path::Moved.text(), moved_to(number)));
    for at in number.saturating_sub(STAYS - 1).max(1)..=number {
        let prefix = Path::Added(at).text();
        routes.push(route(&format!("added{at}"), &prefix, Service::App));
    }
    for at in 0..kb * 1_024 / IDLE_BYTES {
        let host = format!("idle{at}.example");
        let mut idle = route(&format!("idle-route-{at}"), "/", Service::App);
        idle["host"] = json!(host);
        // A change of weights alone, which no caller can tell.
        if at == 0 {
            idle["split"] = json!([{"service": "app", "weight": 1 + number % 7},
                {"service": "alt", "weight": 3}]);
        }
        routes.push(idle);
    }
    let services = config["services"].as_array_mut().unwrap();
    services.push(json!({"name": Service::Alt.name(), "connection-limit": 200}));
    config
}

/// Settings that nobody can read.
pub fn invalid(number: u64) -> Value {
    let mut config = config(number, 0);
    config["routes"] = json!("none");
    config
}

/// The number of routes that a prober may draw from at version `newest`.
pub fn draw(newest: u64, draw: u64) -> Path {
    match draw % 10 {
        0..4 => Path::Moved,
        4..7 => Path::Added(newest),
        7 => Path::Added(newest.saturating_sub(1).max(1)),
        8 => Path::Added(newest.saturating_sub(STAYS).max(1)),
        _ => Path::Never,
    }
}

/// The number of the newest version that callers may know of.
pub type Newest = Arc<std::sync::atomic::AtomicU64>;
