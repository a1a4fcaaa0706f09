//! The state the daemon's tasks share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyhall_catalog::{Catalog, Follower, Labels, Table};
use comfreyhall_lease::Lease;
use comfreyhall_life::{Lifecycle, Stage};
use comfreyhall_once::IdempotencyClaims;
use comfreyhall_placement::{EngineView, Policy};
use comfreyhall_protocol::{
    Map, engine_client::EngineClient, instances_client::InstancesClient, link,
    objects_client::ObjectsClient, peer_client::PeerClient, plain_client::PlainClient,
};
use comfreyhall_settings::{Instance, PolicyKind, Settings};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tonic::transport::Channel;

use crate::{
    demand::Demands, engines, member::Members, metrics::Metrics, outbound::Outbound,
    quarantine::Watch, stats::Counters, stuck::Stuck,
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
    pub(crate) once: IdempotencyClaims,
    pub(crate) objects: ObjectsClient<Channel>,
    pub(crate) listing: InstancesClient<Channel>,
    pub(crate) clients: Vec<EngineClient<Channel>>,
    pub(crate) plain: Vec<PlainClient<Channel>>,
    /// The lease on load orders.
    pub(crate) lease: Lease,
    /// Every other daemon, by instance id.
    pub(crate) peers: Map<Arc<str>, PeerClient<Channel>>,
    pub(crate) labels: Labels,
    pub(crate) members: Members,
    pub(crate) life: Lifecycle,
    pub(crate) started: Instant,
    pub(crate) idle: Notify,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
    pub(crate) stuck: Stuck,
    pub(crate) quarantine: Watch,
    /// What targets say of themselves.
    pub(crate) outbound: Outbound,
    /// Which boot of each engine answered last.
    pub(crate) boots: Vec<AtomicU64>,
    pub(crate) demand: Demands,
    /// Whether a background copy is in flight.
    pub(crate) copying: AtomicBool,
    view: Mutex<Vec<EngineView>>,
    policy: Mutex<Box<dyn Policy>>,
    in_flight: AtomicUsize,
    cancels: Mutex<Cancels>,
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
        let clients = settings
            .engines
            .iter()
            .map(|e| EngineClient::new(link::channel(&e.listen)))
            .collect();
        let plain = settings
            .services
            .iter()
            .map(|s| PlainClient::new(link::channel(&s.listen)))
            .collect();
        let peers = settings
            .instances
            .iter()
            .filter(|i| i.id != instance.id)
            .map(|i| (i.id.clone(), PeerClient::new(link::channel(&i.listen))))
            .collect();
        let view = settings.engines.iter().map(engines::empty_view).collect();
        let term = Duration::from_millis(settings.tuning.lease_ms);
        let lease = Lease::new(table.clone(), "orders", instance.id.clone(), term);
        let labels = Labels::from([("domain".to_string(), instance.domain.to_string())]);
        Ok(Self {
            inner: Arc::new(Inner {
                follower: Follower::new(catalog),
                once: IdempotencyClaims::new(table.clone(), instance.id.clone()),
                table,
                objects: ObjectsClient::new(link::channel(&settings.platform.objects)),
                listing: InstancesClient::new(link::channel(&settings.platform.instances)),
                clients,
                plain,
                lease,
                peers,
                labels,
                members: Members::default(),
                life: Lifecycle::new(),
                started: Instant::now(),
                idle: Notify::new(),
                counters: Counters::default(),
                metrics: Metrics::new(),
                stuck: Stuck::default(),
                quarantine: Watch::default(),
                outbound: Outbound::default(),
                boots: settings.engines.iter().map(|_| AtomicU64::new(0)).collect(),
                demand: Demands::default(),
                copying: AtomicBool::new(false),
                view: Mutex::new(view),
                policy: Mutex::new(policy),
                in_flight: AtomicUsize::new(0),
                cancels: Mutex::default(),
                settings,
            }),
            instance: Arc::new(instance),
        })
    }

    /// Milliseconds since the daemon started; the policies' clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    /// The boot of an engine that answered last.
    pub(crate) fn boot(&self, engine: usize) -> u64 {
        self.inner.boots[engine].load(Ordering::Relaxed)
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, Vec<EngineView>> {
        self.inner
            .view
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn policy(&self) -> MutexGuard<'_, Box<dyn Policy>> {
        self.inner
            .policy
            .lock()
            .expect("no holder of this lock panics")
    }

    pub(crate) fn leaving(&self) -> bool {
        matches!(self.inner.life.stage(), Stage::Leaving | Stage::Stopped)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.inner.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request in progress until the guard drops.
    ///
    /// Count first, then read the stage: a stop that came between would
    /// otherwise find nothing in progress and end the process under a
    /// request that had just been let in.
    pub(crate) fn track(&self) -> Tracked {
        self.inner.in_flight.fetch_add(1, Ordering::SeqCst);
        Tracked { app: self.clone() }
    }

    /// Registers a request that a caller may cancel by id.
    pub(crate) fn cancellable(&self, id: &str) -> (Cancellable, CancellationToken) {
        let token = CancellationToken::new();
        let mut cancels = self.cancels();
        cancels.next += 1;
        let serial = cancels.next;
        let entry = (id.to_string(), token.clone());
        cancels.running.insert(serial, entry);
        let guard = Cancellable {
            app: self.clone(),
            serial,
        };
        (guard, token)
    }

    /// Cancels every run of the request `id`; false if none runs here.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let cancels = self.cancels();
        let mut found = false;
        for (_, token) in cancels.running.values().filter(|(r, _)| r == id) {
            token.cancel();
            found = true;
        }
        found
    }

    fn cancels(&self) -> MutexGuard<'_, Cancels> {
        self.inner
            .cancels
            .lock()
            .expect("no holder of this lock panics")
    }
}

/// Requests that may be cancelled, by a serial number: two attempts of one
/// caller may bear the same request id.
#[derive(Default)]
struct Cancels {
    next: u64,
    running: Map<u64, (String, CancellationToken)>,
}

/// A request in progress; a planned stop waits for all of them.
pub(crate) struct Tracked {
    app: App,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let left = self.app.inner.in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
        if left == 0 {
            self.app.inner.idle.notify_waiters();
        }
    }
}

/// Forgets a cancellable request when it ends.
pub(crate) struct Cancellable {
    app: App,
    serial: u64,
}

impl Drop for Cancellable {
    fn drop(&mut self) {
        self.app.cancels().running.remove(&self.serial);
    }
}
