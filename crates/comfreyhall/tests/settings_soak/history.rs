//! The versions of the settings, and the answers that each of them allows.
//!
//! Each version moves one route to the other service, adds a route and removes the
//! one that was added three versions earlier. Idle routes pad the settings to the
//! size that the case asks for.

use std::sync::Arc;

use serde_json::{Value, json};

use super::emulator;

/// Number of versions that contain an added route.
const ROUTE_VERSIONS: u64 = 3;

/// Approximate size of one idle route.
const IDLE_ROUTE_BYTES: usize = 230;

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

/// A route that differs between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// In every version; each version moves it to the other service.
    Moved,
    /// Added by the version with this number.
    Added(u64),
    /// In no version.
    Absent,
}

impl Path {
    pub fn prefix(self) -> String {
        match self {
            Path::Moved => "/m/".into(),
            Path::Added(number) => format!("/v{number}/"),
            Path::Absent => "/never/".into(),
        }
    }
}

/// What an answer shows of the daemon's active version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    AnsweredBy(Service),
    /// A final 404: the daemon has no such route.
    NotFound,
    /// The request was not run and may be retried later (429 or 503).
    Rejected,
    /// Any other result: it says nothing about the version.
    Inconclusive,
}

/// The service that the moved route has in version `number`.
pub fn moved_route_service(number: u64) -> Service {
    match number.is_multiple_of(2) {
        true => Service::App,
        false => Service::Alt,
    }
}

/// Whether version `number` contains the route `path`.
pub fn has_route(number: u64, path: Path) -> bool {
    match path {
        Path::Moved => true,
        Path::Added(at) => (at..at + ROUTE_VERSIONS).contains(&number),
        Path::Absent => false,
    }
}

/// Whether a daemon with active version `number` may give this answer.
pub fn allows(number: u64, path: Path, outcome: Outcome) -> bool {
    match outcome {
        Outcome::AnsweredBy(service) => {
            let to = match path {
                Path::Moved => moved_route_service(number),
                Path::Added(_) | Path::Absent => Service::App,
            };
            has_route(number, path) && service == to
        }
        Outcome::NotFound => !has_route(number, path),
        Outcome::Rejected | Outcome::Inconclusive => true,
    }
}

fn route(name: &str, prefix: &str, service: Service) -> Value {
    emulator::safe_route(name, prefix, service.name())
}

/// First version with all idle routes; earlier ones have an eighth of them.
const FIRST_FULL: u64 = 3;

/// The settings of version `number`; about `kb` KB from [`FIRST_FULL`] on.
pub fn config(number: u64, kb: usize) -> Value {
    let kb = if number < FIRST_FULL { kb / 8 } else { kb };
    // Version numbers in the settings increase in uneven steps.
    let mut config = emulator::config(3 * number + number % 2, "/g/");
    let routes = config["routes"].as_array_mut().unwrap();
    routes.push(route(
        "moved",
        &Path::Moved.prefix(),
        moved_route_service(number),
    ));
    for at in number.saturating_sub(ROUTE_VERSIONS - 1).max(1)..=number {
        let prefix = Path::Added(at).prefix();
        routes.push(route(&format!("added{at}"), &prefix, Service::App));
    }
    for at in 0..kb * 1_024 / IDLE_ROUTE_BYTES {
        let host = format!("idle{at}.example");
        let mut idle = route(&format!("idle-route-{at}"), "/", Service::App);
        idle["host"] = json!(host);
        // Changes weights only, which callers can't observe.
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

/// Settings that daemons cannot parse.
pub fn invalid(number: u64) -> Value {
    let mut config = config(number, 0);
    config["routes"] = json!("none");
    config
}

/// The route for the next request, chosen by the random number `random` while
/// `newest` is the newest version.
pub fn choose_path(newest: u64, random: u64) -> Path {
    match random % 10 {
        0..4 => Path::Moved,
        4..7 => Path::Added(newest),
        7 => Path::Added(newest.saturating_sub(1).max(1)),
        8 => Path::Added(newest.saturating_sub(ROUTE_VERSIONS).max(1)),
        _ => Path::Absent,
    }
}

/// The number of the newest acknowledged version.
pub type NewestVersion = Arc<std::sync::atomic::AtomicU64>;
