//! Load commands: which daemon sends them to the engines, and how.
//!
//! Only one daemon at a time commands loads: the holder of the `orders` lease.
//! The others ask it to place an adapter ([`place`]) and run their request on
//! the engine that it names. Without a single holder, several daemons that see
//! the same newly popular adapter within the delay of a status report each load
//! it on a different engine, and the few loads per second that the weight store
//! serves are spent on duplicates.
//!
//! Every command carries the lease's fencing token, so engines that check
//! tokens reject a command from a holder that was paused and replaced. At
//! engines that do not check, such a command can at worst waste a load: a slot
//! in use is pinned, whoever sends the command.
//!
//! Failure case: the table service is down and the holder crashes. No new holder
//! can be elected, and adapters that are not resident would be rejected until
//! the outage ends. A daemon that has not reached the table for longer than the
//! lease term therefore commands loads itself, under the highest token it has
//! seen. No daemon can have a higher one, and once the table is back the next
//! holder does, which ends such commands.

mod duties;
mod loads;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use comfreyhall_lease::LeaseStatus;
use comfreyhall_placement::Decision;
use comfreyhall_protocol::{PlaceReply, PlaceRequest};

use self::{
    duties::lease_term,
    loads::{is_loading, load, show_resident},
};
pub(crate) use self::{
    duties::{record_demand, spawn, spawn_reports},
    loads::remove_from_view,
};
use crate::{app::App, outbound};

/// Timeout of a background copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before another attempt while nobody holds the lease.
const HOLDER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of a request to place an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceOutcome {
    /// Already in a slot of this engine.
    Resident(usize),
    /// Loaded into a slot of this engine.
    Loaded(usize),
    /// Could not be loaded this time; try again.
    Failed,
    /// No engine has a free slot now.
    Busy,
}

/// An adapter version to place on an engine.
struct Placement<'a> {
    key: &'a Arc<str>,
    timeout: Duration,
    /// Whether this is an additional copy. A copy may evict only the adapters
    /// named in its command, so that it never evicts the last copy of another
    /// adapter.
    copy: bool,
}

impl Placement<'_> {
    fn adapter_and_version(&self) -> (&str, &str) {
        self.key.split_once('@').unwrap_or((self.key, ""))
    }
}

/// Ensures that `key` (`adapter@version`) is in a slot of some engine.
pub(crate) async fn place(app: &App, key: &Arc<str>, timeout: Duration) -> PlaceOutcome {
    let placement = Placement {
        key,
        timeout,
        copy: false,
    };
    let decision = decide_placement(app, key);
    if decision == Decision::Busy {
        return PlaceOutcome::Busy;
    }
    if let Some(engine) = resident_engine(app, &decision, key) {
        match app.inner.lease.token(Instant::now()) {
            Some(token) => start_copy(app, &placement, decision, token),
            None => app.inner.demand.count(key),
        }
        return PlaceOutcome::Resident(engine);
    }
    // Nobody may hold the lease at the moment: wait for the next holder, at
    // most two terms, instead of rejecting the request.
    let give_up_at = Instant::now() + timeout.min(2 * lease_term(app));
    loop {
        match app.inner.lease.status(Instant::now()) {
            LeaseStatus::Held(token) => return execute(app, &placement, decision, token).await,
            LeaseStatus::HeldByOther(holder) => {
                if let Some(placed) = request_from_holder(app, &holder, &placement).await {
                    return placed;
                }
            }
            LeaseStatus::Free => {}
        }
        if app.inner.follower.poll_age() >= lease_term(app) {
            let token = app.inner.lease.highest_token();
            return execute(app, &placement, decision, token).await;
        }
        if Instant::now() >= give_up_at {
            return PlaceOutcome::Failed;
        }
        tokio::time::sleep(HOLDER_RETRY_DELAY).await;
    }
}

fn decide_placement(app: &App, key: &Arc<str>) -> Decision {
    let mut view = app.view().clone();
    app.inner.stuck_loads.hide_engines(key, &mut view);
    outbound::hide_unavailable(app, &mut view);
    let now = app.now_ms();
    app.policy().route(key, &view, now)
}

/// The engine on which `decision` can run `key` without a load, if any.
fn resident_engine(app: &App, decision: &Decision, key: &str) -> Option<usize> {
    match decision {
        Decision::Run { engine } | Decision::RunAndCopy { engine, .. } => {
            (!is_loading(app, *engine, key)).then_some(*engine)
        }
        Decision::Load { .. } | Decision::Busy => None,
    }
}

/// Asks the lease holder to place an adapter; `None` if it did not accept.
async fn request_from_holder(
    app: &App,
    holder: &str,
    placement: &Placement<'_>,
) -> Option<PlaceOutcome> {
    let mut peer = app.inner.peers.get(holder)?.clone();
    let (adapter, version) = placement.adapter_and_version();
    let request = PlaceRequest {
        adapter: adapter.to_string(),
        version: version.to_string(),
        limit_ms: placement.timeout.as_millis() as u64,
    };
    let answer = tokio::time::timeout(placement.timeout, peer.place(request)).await;
    let reply = answer.ok()?.ok()?.into_inner();
    if reply.busy {
        return Some(PlaceOutcome::Busy);
    }
    if reply.engine.is_empty() {
        return (!reply.error.is_empty()).then_some(PlaceOutcome::Failed);
    }
    let engines = &app.inner.settings.engines;
    let engine = engines.iter().position(|e| *e.id == *reply.engine)?;
    show_resident(app, engine, placement.key, "");
    Some(PlaceOutcome::Loaded(engine))
}

/// Places an adapter for a peer, if this daemon is the lease holder.
///
/// An empty reply means that this daemon does not hold the lease.
pub(crate) async fn place_for_peer(app: &App, request: PlaceRequest) -> PlaceReply {
    let key: Arc<str> = format!("{}@{}", request.adapter, request.version).into();
    let Some(token) = app.inner.lease.token(Instant::now()) else {
        return PlaceReply::default();
    };
    let placement = Placement {
        key: &key,
        timeout: Duration::from_millis(request.limit_ms),
        copy: false,
    };
    let decision = decide_placement(app, &key);
    match execute(app, &placement, decision, token).await {
        PlaceOutcome::Resident(engine) | PlaceOutcome::Loaded(engine) => PlaceReply {
            engine: app.inner.settings.engines[engine].id.to_string(),
            ..PlaceReply::default()
        },
        placed => PlaceReply {
            error: "no engine could load it now".to_string(),
            busy: placed == PlaceOutcome::Busy,
            ..PlaceReply::default()
        },
    }
}

/// Carries out `decision` under fencing token `token`.
async fn execute(
    app: &App,
    placement: &Placement<'_>,
    decision: Decision,
    token: u64,
) -> PlaceOutcome {
    if let Some(engine) = resident_engine(app, &decision, placement.key) {
        start_copy(app, placement, decision, token);
        return PlaceOutcome::Resident(engine);
    }
    let (engine, victims) = match decision {
        Decision::Busy => return PlaceOutcome::Busy,
        // The adapter is being loaded there: join that load instead of starting
        // another one elsewhere.
        Decision::Run { engine } | Decision::RunAndCopy { engine, .. } => (engine, Vec::new()),
        Decision::Load { engine, victims } => (engine, victims),
    };
    match load(app, engine, placement, victims, token).await {
        true => PlaceOutcome::Loaded(engine),
        false => PlaceOutcome::Failed,
    }
}

/// Starts the copy that `decision` requests, if any, in the background.
///
/// At most one copy is in flight: copies share the weight store with first
/// loads, and a queue of copies would delay loads that requests are waiting
/// for.
fn start_copy(app: &App, placement: &Placement<'_>, decision: Decision, token: u64) {
    let Decision::RunAndCopy { copy, victims, .. } = decision else {
        return;
    };
    if app.inner.copy_in_flight.swap(true, Ordering::AcqRel) {
        return;
    }
    let app = app.clone();
    let key = placement.key.clone();
    tokio::spawn(async move {
        let placement = Placement {
            key: &key,
            timeout: COPY_TIMEOUT,
            copy: true,
        };
        load(&app, copy, &placement, victims, token).await;
        app.inner.copy_in_flight.store(false, Ordering::Release);
    });
}
