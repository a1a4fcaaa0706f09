//! Giving orders to engines: one task for each engine of a held lease.
//!
//! An engine's own word is the only truth about what it holds: an order that
//! got no answer may still be carried out seconds later, after newer ones.
//! So every order names the boot it is for and the number of orders accepted
//! before it, which makes at most one order of a sequence take effect; after
//! any surprise the engine is asked for a report before the next order. No
//! place is ever promised twice: an engine that is ordered to load more than
//! it has places for crashes with everything that runs on it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use comfreyhall_domain::{AdapterRef, Map, Name, Target};
use comfreyhall_placement::{Occupant, Waiting, Window, victim};
use comfreyhall_protocol::{EnsureReply, EnsureRequest};
use comfreyhall_routing::Standing;
use tokio::sync::{mpsc, oneshot};

use crate::{
    fleet::key_of,
    node::Node,
    ports::{Action, Order, OrderReply, Report},
};

/// Jobs that may wait for one engine.
const QUEUE: usize = 256;

/// Longest an answer to an order is waited for. Answers take some ms; an
/// engine that leaves orders unanswered must not hold up the next one.
const ORDER_TIMEOUT: Duration = Duration::from_millis(90);

/// Reports are some hundred ms old, so after a surprise this long passes
/// before one is asked for.
const SETTLE: Duration = Duration::from_millis(250);

/// Longest a report is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Adapters on their way to one engine at once, as engines allow.
const COMING_MOST: usize = 4;

/// Time of a load before any is measured, in ms: from the weight store, and
/// of an adapter the engine held lately.
const FIRST_LOAD_MS: [f64; 2] = [250.0, 25.0];

/// Weight of one sample in the learned time of a load.
const LOAD_GAIN: f64 = 0.1;

/// Pause between looks at a load that should have ended, in ms.
const LOOK_MS: u64 = 15;

/// Part of the expected time before the first look. A look at the expected
/// time itself never finds a load faster than expected, and the expectation
/// only ever grew.
const FIRST_LOOK: f64 = 0.8;

/// A load that takes this much longer than its like is given up, in ms.
const STUCK_MS: u64 = 3_000;

/// How long a job waits for a place to fall free before its caller looks
/// elsewhere, in ms. Requests hold a place for some hundred ms; answering at
/// once made callers go round all engines and give up within some ms.
const FULL_WAIT_MS: u64 = 200;

/// Longest pause of a keeper with nothing to do, in ms.
const IDLE_MS: u64 = 500;

/// Part of the bound for named versions after which an adapter that is still
/// in use is dropped all the same.
const RENEW_PART: u64 = 2;

/// Least score at which an outdated adapter is loaded anew right away: about
/// one request within the last two half-lives.
const RENEW_SCORE: f64 = 0.25;

type Done = oneshot::Sender<Result<u64, String>>;

/// Someone wants an adapter on this engine.
struct Job {
    adapter: AdapterRef,
    /// Least version that will do; 0 for any.
    version: u64,
    waiting: Waiting,
    done: Option<Done>,
    until: u64,
    /// What it last waited for.
    blocked: &'static str,
}

/// All keepers of this daemon.
pub(crate) struct Keepers {
    jobs: Mutex<Map<Name, mpsc::Sender<Job>>>,
    /// Loads on their way from the weight store.
    coming: AtomicU32,
    window: Mutex<Window>,
    times: Mutex<[f64; 2]>,
}

impl Default for Keepers {
    fn default() -> Self {
        Self {
            jobs: Mutex::default(),
            coming: AtomicU32::new(0),
            window: Mutex::default(),
            times: Mutex::new(FIRST_LOAD_MS),
        }
    }
}

impl Keepers {
    /// Whether as many loads are on their way as the weight store does well.
    fn store_full(&self) -> bool {
        let window = self.window.lock().expect("no holder of this lock panics");
        self.coming.load(Ordering::Relaxed) >= window.size()
    }

    /// Expected ms of a load.
    pub(crate) fn load_ms(&self, recent: bool) -> f64 {
        let times = self.times.lock().expect("no holder of this lock panics");
        times[usize::from(recent)]
    }

    fn learn(&self, recent: bool, took: u64, now: u64) {
        if !recent {
            let full = self.store_full();
            let mut window = self.window.lock().expect("no holder of this lock panics");
            window.ended(took, full, now);
        }
        let mut times = self.times.lock().expect("no holder of this lock panics");
        let time = &mut times[usize::from(recent)];
        *time += LOAD_GAIN * (took as f64 - *time);
    }

    fn jobs(&self) -> MutexGuard<'_, Map<Name, mpsc::Sender<Job>>> {
        self.jobs.lock().expect("no holder of this lock panics")
    }
}

/// Starts the task that has a keeper for each engine of a held lease.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            for target in engines(&node) {
                if node.token(&target.domain).is_some() {
                    start(&node, &target);
                }
            }
            tokio::select! {
                () = node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(IDLE_MS)) => {}
            }
        }
    });
}

fn engines(node: &Node) -> Vec<Arc<Target>> {
    let view = node.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let is_engine = |t: &&Arc<Target>| {
        let service = config.services.get(&t.service);
        service.is_some_and(|s| s.engine.is_some())
    };
    view.targets.values().filter(is_engine).cloned().collect()
}

fn start(node: &Arc<Node>, target: &Arc<Target>) {
    let mut jobs = node.keepers.jobs();
    if jobs.get(&target.id).is_some_and(|j| !j.is_closed()) {
        return;
    }
    let (send, receive) = mpsc::channel(QUEUE);
    jobs.insert(target.id.clone(), send);
    drop(jobs);
    let keeper = Keeper {
        node: node.clone(),
        target: target.clone(),
        held: Map::default(),
        coming: Map::default(),
        sequence: 0,
        synced: false,
        ready_at: 0,
        queue: Vec::new(),
        model_due: 0,
    };
    tokio::spawn(keeper.run(receive));
}

/// What is wanted of a keeper.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish {
    /// Least version that will do; 0 for any.
    pub(crate) version: u64,
    /// Rank of the route; 0 first.
    pub(crate) priority: u32,
    /// Ms within which the load must begin to meet the objective.
    pub(crate) aim_ms: u64,
    /// How long to wait.
    pub(crate) limit: Duration,
}

/// Sees that `target` holds `adapter`, here or through the holder of the
/// lease; returns the version held.
pub(crate) async fn ensure(
    node: &Arc<Node>,
    target: &Target,
    adapter: &AdapterRef,
    wish: Wish,
) -> Result<u64, String> {
    if node.token(&target.domain).is_some() {
        return ensure_here(node, &target.id, adapter, wish).await;
    }
    let holder = node.fleet.holder(&target.domain, node.now());
    let holder = holder.ok_or("nobody holds the lease")?;
    let mut client = node.fleet.client(&holder).ok_or("the holder is gone")?;
    let ask = EnsureRequest {
        target: target.id.to_string(),
        model: adapter.model.to_string(),
        adapter: adapter.adapter.as_deref().unwrap_or("").to_string(),
        version: wish.version,
        limit_ms: wish.limit.as_millis() as u64,
        priority: wish.priority,
        aim_ms: wish.aim_ms,
    };
    let answer = tokio::time::timeout(wish.limit, client.ensure(ask)).await;
    let reply = answer
        .map_err(|_| "the holder does not answer".to_string())?
        .map_err(|s| format!("the holder failed: {}", s.message()))?
        .into_inner();
    match reply.ready {
        true => Ok(reply.version),
        false => Err(reply.error),
    }
}

async fn ensure_here(
    node: &Arc<Node>,
    target: &Name,
    adapter: &AdapterRef,
    wish: Wish,
) -> Result<u64, String> {
    let (done, wait) = oneshot::channel();
    let now = node.now();
    let job = Job {
        adapter: adapter.clone(),
        version: wish.version,
        waiting: Waiting {
            priority: wish.priority,
            since: now,
            aim: now + wish.aim_ms,
        },
        done: Some(done),
        until: now + wish.limit.as_millis() as u64,
        blocked: "",
    };
    let jobs = node.keepers.jobs().get(target).cloned();
    let jobs = jobs.ok_or("the engine has no keeper yet")?;
    jobs.try_send(job)
        .map_err(|_| "the engine's queue is full")?;
    match tokio::time::timeout(wish.limit, wait).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err("the engine's keeper ended".to_string()),
        Err(_) => Err("the load takes longer than the request may wait".to_string()),
    }
}

/// Answers another daemon that wants an adapter on an engine.
pub(crate) async fn answer(node: &Arc<Node>, ask: EnsureRequest) -> EnsureReply {
    let target: Name = ask.target.as_str().into();
    let adapter = AdapterRef {
        model: ask.model.as_str().into(),
        adapter: Some(ask.adapter.as_str().into()),
    };
    let wish = Wish {
        version: ask.version,
        priority: ask.priority,
        aim_ms: ask.aim_ms,
        limit: Duration::from_millis(ask.limit_ms),
    };
    let done = ensure_here(node, &target, &adapter, wish).await;
    match done {
        Ok(version) => EnsureReply {
            ready: true,
            version,
            ..EnsureReply::default()
        },
        Err(error) => EnsureReply {
            error,
            ..EnsureReply::default()
        },
    }
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    version: u64,
    since: u64,
}

struct Coming {
    version: u64,
    ordered: u64,
    look: u64,
    recent: bool,
    /// Ms from the wish to the order, and what they were spent on.
    queued: u64,
    blocked: &'static str,
    done: Vec<Done>,
}

struct Keeper {
    node: Arc<Node>,
    target: Arc<Target>,
    held: Map<AdapterRef, Hold>,
    coming: Map<AdapterRef, Coming>,
    /// Orders the engine has accepted.
    sequence: u64,
    /// Whether `held`, `coming` and `sequence` are the engine's own word.
    synced: bool,
    /// No report before this.
    ready_at: u64,
    queue: Vec<Job>,
    /// No order for a model before this.
    model_due: u64,
}

impl Keeper {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        log::info!(target: "keeper", id:% = self.target.id; "keeping engine");
        while self.refresh() {
            let wake = self.advance().await;
            let pause = wake.saturating_sub(self.node.now()).clamp(1, IDLE_MS);
            tokio::select! {
                job = jobs.recv() => {
                    self.queue.extend(job);
                    while let Ok(job) = jobs.try_recv() {
                        self.queue.push(job);
                    }
                }
                () = self.node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
        self.forget_coming();
        log::info!(target: "keeper", id:% = self.target.id; "no longer keeping engine");
    }

    /// Takes over the target's newest entry; false if there is nothing to keep.
    fn refresh(&mut self) -> bool {
        let found = self.node.view().targets.get(&self.target.id).cloned();
        let Some(target) = found else { return false };
        self.target = target;
        self.node.token(&self.target.domain).is_some()
    }

    /// Does what can be done now; returns when to look again.
    async fn advance(&mut self) -> u64 {
        let now = self.node.now();
        self.drop_late(now);
        if !self.synced && !self.sync().await {
            return self.node.now() + SETTLE.as_millis() as u64;
        }
        self.load_model().await;
        self.look_at_coming().await;
        self.renew_outdated().await;
        let now = self.node.now();
        self.queue.sort_by_key(|j| j.waiting.rank(now));
        let mut later = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            if let Some(job) = self.work(job).await {
                later.push(job);
            }
        }
        self.queue = later;
        let look = self.coming.values().map(|c| c.look).min();
        let blocked = (!self.queue.is_empty()).then(|| self.node.now() + LOOK_MS);
        let idle = self.node.now() + IDLE_MS;
        look.into_iter().chain(blocked).min().unwrap_or(idle)
    }

    /// Forgets jobs whose callers no longer wait.
    fn drop_late(&mut self, now: u64) {
        self.queue
            .retain(|j| now < j.until && j.done.as_ref().is_none_or(|d| !d.is_closed()));
    }

    /// Asks the engine what it holds.
    async fn sync(&mut self) -> bool {
        let now = self.node.now();
        if now < self.ready_at {
            return false;
        }
        let call = self.node.backend.report(self.target.clone());
        let report = tokio::time::timeout(REPORT_TIMEOUT, call).await;
        let Ok(Some(report)) = report else {
            self.ready_at = self.node.now() + SETTLE.as_millis() as u64;
            return false;
        };
        self.adopt(report);
        true
    }

    fn adopt(&mut self, report: Report) {
        let now = self.node.now();
        self.sequence = report.sequence;
        self.synced = true;
        let mut held: Map<AdapterRef, Hold> = Map::default();
        for model in &report.held {
            for (name, version) in &model.adapters {
                let adapter = AdapterRef {
                    model: model.model.clone(),
                    adapter: Some(name.clone()),
                };
                let since = self.held.get(&adapter).map_or(0, |h| h.since);
                let version = *version;
                held.insert(adapter, Hold { version, since });
            }
        }
        let listed: Map<AdapterRef, u64> = report.coming.into_iter().collect();
        let old: Vec<AdapterRef> = self.coming.keys().cloned().collect();
        let old = old
            .into_iter()
            .filter_map(|a| Some((a.clone(), self.take_coming(&a)?)));
        let old: Vec<(AdapterRef, Coming)> = old.collect();
        for (adapter, mut coming) in old {
            match (held.get(&adapter), listed.contains_key(&adapter)) {
                (Some(hold), _) => finish(&mut coming, Ok(hold.version)),
                (None, true) => self.add_coming(adapter, coming),
                (None, false) => finish(&mut coming, Err("the order was lost".to_string())),
            }
        }
        for (adapter, version) in listed {
            if !self.coming.contains_key(&adapter) {
                let coming = Coming {
                    version,
                    ordered: now,
                    look: now + LOOK_MS,
                    recent: false,
                    queued: 0,
                    blocked: "",
                    done: Vec::new(),
                };
                self.add_coming(adapter, coming);
            }
        }
        self.show(&held, now);
        self.held = held;
        if report.held.is_empty() && !report.busy {
            self.model_due = self.model_due.min(now);
        }
    }

    /// Shows what the engine holds to the request path.
    fn show(&self, held: &Map<AdapterRef, Hold>, now: u64) {
        let mut view = self.node.view();
        for (adapter, _) in view.residency.at(&self.target.id) {
            if !held.contains_key(&adapter) {
                view.residency
                    .note(&adapter, &self.target.id, Standing::Absent, now);
            }
        }
        for (adapter, hold) in held {
            let standing = Standing::Held(hold.version);
            view.residency.note(adapter, &self.target.id, standing, now);
        }
    }

    fn add_coming(&mut self, adapter: AdapterRef, coming: Coming) {
        if !coming.recent {
            self.node.keepers.coming.fetch_add(1, Ordering::Relaxed);
        }
        self.coming.insert(adapter, coming);
    }

    fn take_coming(&mut self, adapter: &AdapterRef) -> Option<Coming> {
        let coming = self.coming.remove(adapter)?;
        if !coming.recent {
            self.node.keepers.coming.fetch_sub(1, Ordering::Relaxed);
        }
        Some(coming)
    }

    fn forget_coming(&mut self) {
        let adapters: Vec<AdapterRef> = self.coming.keys().cloned().collect();
        for adapter in adapters {
            self.take_coming(&adapter);
        }
    }

    /// Gives one order under the lease as it is right now.
    async fn order(&mut self, action: Action, adapter: &AdapterRef, version: u64) -> OrderReply {
        let Some(token) = self.node.token(&self.target.domain) else {
            return OrderReply::Fenced;
        };
        if self.node.leaving() {
            return OrderReply::Fenced;
        }
        let order = Order {
            action,
            adapter: adapter.clone(),
            version: (version > 0).then_some(version),
            expected: self.sequence,
            holder: self.node.settings().id.clone(),
            token,
        };
        let call = self.node.backend.order(self.target.clone(), order);
        let reply = tokio::time::timeout(ORDER_TIMEOUT, call).await;
        let reply = reply.unwrap_or_else(|_| OrderReply::Silent("no answer in time".into()));
        log::debug!(target: "keeper", id:% = self.target.id, adapter:% = key_of(adapter), action:? = action, version, expected = self.sequence, token, reply:? = reply; "order");
        self.node.metrics.order(reply.name());
        match &reply {
            // A load that is on its way already is accepted again without
            // counting; dropping what is unused is done at once and counts.
            OrderReply::Accepted if !self.coming.contains_key(adapter) => self.sequence += 1,
            OrderReply::Holds if action == Action::Unload => self.sequence += 1,
            OrderReply::Accepted | OrderReply::Holds => {}
            OrderReply::Conflict | OrderReply::Silent(_) => {
                self.synced = false;
                self.ready_at = self.node.now() + SETTLE.as_millis() as u64;
            }
            OrderReply::Fenced => {
                log::warn!(target: "keeper", id:% = self.target.id, token; "engine has seen a higher token; giving it no more orders under this one");
                self.node.leases.beat(&self.target.domain, token);
            }
            OrderReply::Gone => {
                let until = self.node.now() + IDLE_MS;
                let mut view = self.node.view();
                view.dead.insert(self.target.id.clone(), until);
            }
            OrderReply::Invalid => {
                log::warn!(target: "keeper", id:% = self.target.id, adapter:% = key_of(adapter); "order refused as invalid");
            }
        }
        reply
    }

    /// Orders a model into an engine that has none, as after a restart.
    async fn load_model(&mut self) {
        let now = self.node.now();
        let empty = self.target.held.is_empty() && self.held.is_empty();
        if !empty || now < self.model_due || self.target.stage != comfreyhall_domain::Stage::Ready {
            return;
        }
        let Some((model, load_ms)) = self.wanted_model() else {
            return;
        };
        let adapter = AdapterRef {
            model,
            adapter: None,
        };
        let reply = self.order(Action::Load, &adapter, 0).await;
        log::info!(target: "keeper", id:% = self.target.id, model:% = adapter.model, reply:? = reply; "model ordered");
        // Loads queue at the weight store, so one may take several times its own.
        self.model_due = self.node.now()
            + match reply {
                OrderReply::Accepted | OrderReply::Holds => 4 * load_ms,
                _ => SETTLE.as_millis() as u64,
            };
    }

    /// The model with the fewest engines for its service.
    fn wanted_model(&self) -> Option<(Name, u64)> {
        let view = self.node.view();
        let config = view.config.as_ref()?;
        let engine = config.services.get(&self.target.service)?.engine.as_ref()?;
        let holders = |name: &Name| view.targets.values().filter(|t| t.holds(name)).count();
        let model = engine.models.iter().min_by_key(|m| holders(&m.name))?;
        Some((model.name.clone(), model.load_ms))
    }

    /// Looks at loads that should have ended.
    async fn look_at_coming(&mut self) {
        let now = self.node.now();
        let due = self.coming.iter().filter(|(_, c)| c.look <= now);
        let due: Vec<(AdapterRef, u64)> = due.map(|(a, c)| (a.clone(), c.version)).collect();
        for (adapter, version) in due {
            if !self.synced {
                return;
            }
            // An order that holds already says so, and costs less than a report.
            match self.order(Action::Load, &adapter, version).await {
                OrderReply::Holds => self.loaded(&adapter),
                OrderReply::Accepted => self.still_coming(&adapter),
                OrderReply::Conflict | OrderReply::Silent(_) => {}
                OrderReply::Fenced | OrderReply::Gone | OrderReply::Invalid => {
                    if let Some(mut coming) = self.take_coming(&adapter) {
                        finish(
                            &mut coming,
                            Err("the engine no longer loads it".to_string()),
                        );
                    }
                }
            }
        }
    }

    fn still_coming(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(coming) = self.coming.get_mut(adapter) else {
            return;
        };
        coming.look = now + LOOK_MS;
        if now.saturating_sub(coming.ordered) > STUCK_MS
            && let Some(mut coming) = self.take_coming(adapter)
        {
            log::warn!(target: "keeper", id:% = self.target.id, adapter:% = key_of(adapter); "load is stuck");
            finish(&mut coming, Err("the load is stuck".to_string()));
            self.synced = false;
        }
    }

    /// A load has ended.
    fn loaded(&mut self, adapter: &AdapterRef) {
        let now = self.node.now();
        let Some(coming) = self.coming.get(adapter) else {
            return;
        };
        let took = now.saturating_sub(coming.ordered);
        self.node.keepers.learn(coming.recent, took, now);
        let Some(mut coming) = self.take_coming(adapter) else {
            return;
        };
        let version = coming.version;
        let hold = Hold {
            version,
            since: now,
        };
        self.held.insert(adapter.clone(), hold);
        let standing = Standing::Held(version);
        let mut view = self.node.view();
        view.residency.note(adapter, &self.target.id, standing, now);
        drop(view);
        self.node
            .fleet
            .placed(&self.target.id, adapter, Some(version));
        self.node.metrics.load(coming.recent);
        log::info!(target: "keeper", id:% = self.target.id, adapter:% = key_of(adapter), version, recent = coming.recent, queued = coming.queued, blocked = coming.blocked, ms = took; "adapter loaded");
        finish(&mut coming, Ok(version));
    }

    /// Replaces adapters of which a newer version was named.
    ///
    /// Dropping an adapter waits for its runs and refuses what comes
    /// meanwhile: ordered at once for a hot adapter it was ordered again
    /// every 300 ms for seconds, and each time the engine took no other
    /// order. So it waits until nobody uses it, or the bound comes near.
    async fn renew_outdated(&mut self) {
        let now = self.node.now();
        let grace = self.node.settings().bounds.version_ms / RENEW_PART;
        let outdated: Vec<(AdapterRef, u64, f64)> = {
            let view = self.node.view();
            let newer = |a: &AdapterRef, h: &Hold| {
                let named = view.named.get(a)?;
                (named.version > h.version).then_some(named.version)
            };
            self.held
                .iter()
                .filter_map(|(a, h)| {
                    let version = newer(a, h)?;
                    let learned = view.named.get(a).map_or(0, |n| n.learned);
                    let due = now.saturating_sub(learned) >= grace;
                    let used = self.node.fleet.pins(&self.target.id, a, now) > 0;
                    (due || !used).then_some(())?;
                    Some((a.clone(), version, view.demand.score(&key_of(a), now)))
                })
                .collect()
        };
        for (adapter, version, score) in outdated {
            if !self.synced || !self.unload(&adapter).await {
                return;
            }
            log::info!(target: "keeper", id:% = self.target.id, adapter:% = key_of(&adapter), version, score; "outdated adapter dropped");
            if score >= RENEW_SCORE {
                self.queue.push(Job {
                    adapter,
                    version,
                    waiting: Waiting {
                        priority: 0,
                        since: now,
                        aim: now,
                    },
                    done: None,
                    until: now + STUCK_MS,
                    blocked: "",
                });
            }
        }
    }

    async fn unload(&mut self, adapter: &AdapterRef) -> bool {
        let reply = self.order(Action::Unload, adapter, 0).await;
        if !matches!(reply, OrderReply::Accepted | OrderReply::Holds) {
            return false;
        }
        let now = self.node.now();
        self.held.remove(adapter);
        let mut view = self.node.view();
        view.residency
            .note(adapter, &self.target.id, Standing::Absent, now);
        drop(view);
        self.node.fleet.placed(&self.target.id, adapter, None);
        true
    }

    /// Works on a job; gives it back if it has to wait.
    async fn work(&mut self, mut job: Job) -> Option<Job> {
        let done = job.done.take();
        if let Some(hold) = self.held.get(&job.adapter)
            && hold.version >= job.version
        {
            answer_job(done, Ok(hold.version));
            return None;
        }
        if let Some(coming) = self.coming.get_mut(&job.adapter) {
            coming.done.extend(done);
            return None;
        }
        job.done = done;
        let now = self.node.now();
        let recent = {
            let view = self.node.view();
            view.residency.recent(&job.adapter, &self.target.id, now)
        };
        // What the engine has at hand does not come from the weight store.
        let busy = !recent && self.node.keepers.store_full();
        if !self.synced {
            job.blocked = "report";
            return Some(job);
        }
        if self.coming.len() >= COMING_MOST || busy {
            job.blocked = if busy { "weight store" } else { "engine" };
            return Some(job);
        }
        let waited = self.node.now().saturating_sub(job.waiting.since);
        if !self.make_room().await {
            if waited < FULL_WAIT_MS {
                job.blocked = "place";
                return Some(job);
            }
            answer_job(job.done, Err("every place there is in use".to_string()));
            return None;
        }
        self.load(job).await
    }

    async fn load(&mut self, mut job: Job) -> Option<Job> {
        let now = self.node.now();
        let (version, recent) = {
            let view = self.node.view();
            let named = view.named.get(&job.adapter).map_or(0, |n| n.version);
            let recent = view.residency.recent(&job.adapter, &self.target.id, now);
            (named.max(job.version), recent)
        };
        match self.order(Action::Load, &job.adapter, version).await {
            OrderReply::Accepted => {
                let now = self.node.now();
                let expected = self.node.keepers.load_ms(recent);
                let coming = Coming {
                    version,
                    ordered: now,
                    look: now + ((expected * FIRST_LOOK) as u64).max(LOOK_MS),
                    recent,
                    queued: now.saturating_sub(job.waiting.since),
                    blocked: job.blocked,
                    done: job.done.take().into_iter().collect(),
                };
                self.add_coming(job.adapter, coming);
                None
            }
            OrderReply::Holds => {
                let since = self.node.now();
                self.held.insert(job.adapter, Hold { version, since });
                answer_job(job.done, Ok(version));
                None
            }
            OrderReply::Conflict => Some(job),
            // Another engine may answer sooner than this one is understood.
            OrderReply::Silent(_) => {
                answer_job(
                    job.done,
                    Err("the engine leaves orders unanswered".to_string()),
                );
                None
            }
            OrderReply::Fenced | OrderReply::Gone | OrderReply::Invalid => {
                answer_job(job.done, Err("the engine takes no order".to_string()));
                None
            }
        }
    }

    /// Sees that a place is free; false if all are in use.
    async fn make_room(&mut self) -> bool {
        let places = self.places();
        while self.held.len() + self.coming.len() >= places {
            let Some(out) = self.choose_victim() else {
                return false;
            };
            if !self.unload(&out).await {
                return false;
            }
        }
        true
    }

    fn places(&self) -> usize {
        let view = self.node.view();
        let config = view.config.as_ref();
        let service = config.and_then(|c| c.services.get(&self.target.service));
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| {
            let models = e.models.iter().filter(|m| self.target.holds(&m.name));
            models.map(|m| e.room(m)).min().unwrap_or(0) as usize
        })
    }

    fn choose_victim(&self) -> Option<AdapterRef> {
        let now = self.node.now();
        let view = self.node.view();
        let occupants: Vec<Occupant<AdapterRef>> = self
            .held
            .iter()
            .map(|(adapter, hold)| Occupant {
                score: view.demand.score(&key_of(adapter), now),
                copies: view.residency.copies(adapter).saturating_sub(1),
                pins: self.node.fleet.pins(&self.target.id, adapter, now),
                age_ms: now.saturating_sub(hold.since),
                key: adapter.clone(),
            })
            .collect();
        victim(&occupants).map(|o| o.key.clone())
    }
}

fn answer_job(done: Option<Done>, result: Result<u64, String>) {
    if let Some(done) = done {
        // Whoever waited may have left.
        let _ = done.send(result);
    }
}

fn finish(coming: &mut Coming, result: Result<u64, String>) {
    for done in coming.done.drain(..) {
        let _ = done.send(result.clone());
    }
}
