//! The state the daemon's tasks share.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Instant,
};

use comfreyhall_catalog::{Catalog, Table};
use comfreyhall_placement::{EngineView, Policy};
use comfreyhall_protocol::engine_client::EngineClient;
use comfreyhall_settings::{Instance, PolicyKind, Settings};
use tokio::sync::Notify;
use tonic::transport::Channel;

use crate::{engines, resolve::Resolver, stats::Counters};

/// Shared daemon state; cheap to clone.
#[derive(Clone)]
pub(crate) struct App {
    pub(crate) inner: Arc<Inner>,
    pub(crate) instance: Arc<Instance>,
}

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) table: Table,
    pub(crate) resolver: Resolver,
    pub(crate) clients: Vec<EngineClient<Channel>>,
    pub(crate) view: Mutex<Vec<EngineView>>,
    pub(crate) policy: Mutex<Box<dyn Policy>>,
    pub(crate) started: Instant,
    pub(crate) leaving: AtomicBool,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) idle: Notify,
    pub(crate) counters: Counters,
    /// Whether a background copy is in flight.
    pub(crate) copying: AtomicBool,
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
        let policy = comfreyhall_placement::build(kind, settings.tuning.half_life_ms);
        let clients = settings.engines.iter().map(engines::client).collect();
        let view = settings.engines.iter().map(engines::empty_view).collect();
        Ok(Self {
            instance: Arc::new(instance),
            inner: Arc::new(Inner {
                resolver: Resolver::new(catalog),
                table,
                clients,
                view: Mutex::new(view),
                policy: Mutex::new(policy),
                started: Instant::now(),
                leaving: AtomicBool::new(false),
                in_flight: AtomicUsize::new(0),
                idle: Notify::new(),
                counters: Counters::default(),
                copying: AtomicBool::new(false),
                settings,
            }),
        })
    }

    /// Milliseconds since the daemon started; the policies' clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    pub(crate) fn leaving(&self) -> bool {
        self.inner.leaving.load(Ordering::Relaxed)
    }

    /// Counts a request in progress until the guard drops.
    pub(crate) fn track(&self) -> Tracked {
        self.inner.in_flight.fetch_add(1, Ordering::Relaxed);
        Tracked { app: self.clone() }
    }
}

/// A request in progress; a planned stop waits for all of them.
pub(crate) struct Tracked {
    app: App,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let left = self.app.inner.in_flight.fetch_sub(1, Ordering::Relaxed) - 1;
        if left == 0 {
            self.app.inner.idle.notify_waiters();
        }
    }
}
