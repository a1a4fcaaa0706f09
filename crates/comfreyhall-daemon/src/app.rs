//! The state shared by the daemon's tasks.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyhall_catalog::{Catalog, Follower, Labels, Table};
use comfreyhall_lease::Lease;
use comfreyhall_life::{Grace, Lifecycle, Stage};
use comfreyhall_once::IdempotencyClaims;
use comfreyhall_placement::{EngineView, Policy};
use comfreyhall_protocol::{
    Map, engine_client::EngineClient, instances_client::InstancesClient, link,
    objects_client::ObjectsClient, peer_client::PeerClient, plain_client::PlainClient,
};
use comfreyhall_settings::{Instance, PolicyKind, Settings};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tonic::transport::Channel;

use crate::{
    answer_link::AnswerLink,
    demand::DemandCounter,
    engine_view::{EngineAccount, empty_view},
    member::list::Members,
    metrics::Metrics,
    outbound::state::Outbound,
    quarantine::state::SharedQuarantine,
    stats::Counters,
    stuck::StuckLoads,
};

/// Shared daemon state; cheap to clone.
#[derive(Clone)]
pub(crate) struct App {
    pub(crate) inner: Arc<Inner>,
    pub(crate) instance: Arc<Instance>,
}

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) table: Table,
    pub(crate) follower: Follower,
    pub(crate) claims: IdempotencyClaims,
    pub(crate) objects: ObjectsClient<Channel>,
    pub(crate) instance_list: InstancesClient<Channel>,
    pub(crate) engine_clients: Vec<EngineClient<Channel>>,
    /// The same engines, for runs.
    pub(crate) run_links: Vec<AnswerLink<EngineClient<Channel>>>,
    pub(crate) service_links: Vec<AnswerLink<PlainClient<Channel>>>,
    /// The lease on load commands.
    pub(crate) lease: Lease,
    /// All other daemons, by instance id.
    pub(crate) peers: Map<Arc<str>, PeerClient<Channel>>,
    pub(crate) labels: Labels,
    pub(crate) members: Members,
    pub(crate) lifecycle: Lifecycle,
    /// The time of a planned stop, once it has begun.
    pub(crate) grace: watch::Sender<Option<Grace>>,
    pub(crate) started: Instant,
    pub(crate) idle: Notify,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
    pub(crate) stuck_loads: StuckLoads,
    pub(crate) quarantine: SharedQuarantine,
    /// Limits, cooldowns and draining announced by targets.
    pub(crate) outbound: Outbound,
    /// The boot (one start of its process) of each engine that answered last.
    pub(crate) engine_boots: Vec<AtomicU64>,
    pub(crate) demand: DemandCounter,
    /// Whether a background copy is in flight.
    pub(crate) copy_in_flight: AtomicBool,
    view: Mutex<Vec<EngineView>>,
    /// What each engine holds, and which loads it was sent.
    accounts: Mutex<Vec<EngineAccount>>,
    policy: Mutex<Box<dyn Policy>>,
    in_flight: AtomicUsize,
    cancel_registry: Mutex<CancelRegistry>,
}

impl App {
    pub(crate) fn new(
        settings: Settings,
        instance: Instance,
        policy: Option<PolicyKind>,
    ) -> eyre::Result<Self> {
        let table = Table::new(&settings.platform.table)?;
        let catalog = Catalog::new(table.clone(), &instance.id);
        let kind = policy.unwrap_or(settings.tuning.policy);
        let policy = comfreyhall_placement::build_policy(kind, settings.tuning.half_life_ms);
        let engine_clients = settings
            .engines
            .iter()
            .map(|e| EngineClient::new(link::channel(&e.listen)))
            .collect();
        let engines = settings.engines.iter();
        let run_links = engines.map(|e| AnswerLink::new(&e.listen, EngineClient::new));
        let services = settings.services.iter();
        let service_links = services.map(|s| AnswerLink::new(&s.listen, PlainClient::new));
        let peers = settings
            .instances
            .iter()
            .filter(|i| i.id != instance.id)
            .map(|i| (i.id.clone(), PeerClient::new(link::channel(&i.listen))))
            .collect();
        let view = settings.engines.iter().map(empty_view).collect();
        let accounts = settings.engines.iter();
        let accounts = accounts.map(|_| EngineAccount::unsequenced()).collect();
        let term = Duration::from_millis(settings.tuning.lease_ms);
        let lease = Lease::new(table.clone(), "orders", instance.id.clone(), term);
        let labels = Labels::from([("domain".to_string(), instance.domain.to_string())]);
        Ok(Self {
            inner: Arc::new(Inner {
                follower: Follower::new(catalog),
                claims: IdempotencyClaims::new(table.clone(), instance.id.clone()),
                table,
                objects: ObjectsClient::new(link::channel(&settings.platform.objects)),
                instance_list: InstancesClient::new(link::channel(&settings.platform.instances)),
                engine_clients,
                run_links: run_links.collect(),
                service_links: service_links.collect(),
                lease,
                peers,
                labels,
                members: Members::default(),
                lifecycle: Lifecycle::new(),
                grace: watch::Sender::new(None),
                started: Instant::now(),
                idle: Notify::new(),
                counters: Counters::default(),
                metrics: Metrics::new(),
                stuck_loads: StuckLoads::default(),
                quarantine: SharedQuarantine::default(),
                outbound: Outbound::default(),
                engine_boots: settings.engines.iter().map(|_| AtomicU64::new(0)).collect(),
                demand: DemandCounter::default(),
                copy_in_flight: AtomicBool::new(false),
                view: Mutex::new(view),
                accounts: Mutex::new(accounts),
                policy: Mutex::new(policy),
                in_flight: AtomicUsize::new(0),
                cancel_registry: Mutex::default(),
                settings,
            }),
            instance: Arc::new(instance),
        })
    }

    /// Milliseconds since the daemon started; the clock of the placement
    /// policies.
    pub(crate) fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    /// The boot of an engine that answered last.
    pub(crate) fn boot(&self, engine: usize) -> u64 {
        self.inner.engine_boots[engine].load(Ordering::Relaxed)
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, Vec<EngineView>> {
        self.inner
            .view
            .lock()
            .expect("no holder of this lock panics")
    }

    /// The accounts of the engines' slots.
    pub(crate) fn accounts(&self) -> MutexGuard<'_, Vec<EngineAccount>> {
        self.inner
            .accounts
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn policy(&self) -> MutexGuard<'_, Box<dyn Policy>> {
        self.inner
            .policy
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn is_draining(&self) -> bool {
        matches!(
            self.inner.lifecycle.stage(),
            Stage::Leaving | Stage::Stopped
        )
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.inner.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the guard drops.
    ///
    /// Call this before reading the stage: a stop between the two would
    /// otherwise find nothing in progress and end the process while a request
    /// that was just admitted runs.
    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.inner.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { app: self.clone() }
    }

    /// Registers a request that its caller may cancel by id.
    pub(crate) fn register_cancel(&self, id: &str) -> (CancelGuard, CancellationToken) {
        let token = CancellationToken::new();
        let mut cancel_registry = self.cancel_registry();
        cancel_registry.next_serial += 1;
        let serial = cancel_registry.next_serial;
        let entry = (id.to_string(), token.clone());
        cancel_registry.requests.insert(serial, entry);
        let guard = CancelGuard {
            app: self.clone(),
            serial,
        };
        (guard, token)
    }

    /// Cancels every run of the request `id`; false if none is in progress
    /// here.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let cancel_registry = self.cancel_registry();
        let mut found = false;
        for (_, token) in cancel_registry.requests.values().filter(|(r, _)| r == id) {
            token.cancel();
            found = true;
        }
        found
    }

    fn cancel_registry(&self) -> MutexGuard<'_, CancelRegistry> {
        self.inner
            .cancel_registry
            .lock()
            .expect("no holder of this lock panics")
    }
}

/// Requests that may be cancelled, by serial number: two attempts of one caller
/// may have the same request id.
#[derive(Default)]
struct CancelRegistry {
    next_serial: u64,
    requests: Map<u64, (String, CancellationToken)>,
}

/// Guard of a request in progress; a planned stop waits until all are dropped.
pub(crate) struct InFlightGuard {
    app: App,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let remaining = self.app.inner.in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
        if remaining == 0 {
            self.app.inner.idle.notify_waiters();
        }
    }
}

/// Unregisters a cancellable request when it ends.
pub(crate) struct CancelGuard {
    app: App,
    serial: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.app.cancel_registry().requests.remove(&self.serial);
    }
}
