//! Serving one request: route, admit, place, send, and answer.
//!
//! A request is sent to one target after another until one answers, its
//! time is up, or what is known forbids another send; then [`answer_for`]
//! alone chooses the answer. A request given up on is answered at once.

mod caller;
mod hold;
mod place;
mod send;

use std::{
    pin::Pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use comfreyhall_domain::{
    Answer, Caller, ClientRequest, Config, EngineConfig, Name, Route, RouteKind, SendHistory,
    answer_for,
};
use comfreyhall_quarantine::Fingerprint;
use comfreyhall_routing::{RetryBudget, admission};
use futures::Stream;
use http::{HeaderMap, StatusCode};
use rand::Rng;

use self::{caller::Basis, place::Found, send::Next};
use crate::{
    caps::Credit,
    choose::{self, Need, Plan, Wish},
    fleet::adapter_key,
    node::{InFlightGuard, Node},
    quarantine::Trial,
    stop,
};

/// Sends and looks for a place in one request at most: a guard against
/// going round in circles, above what the time of a request allows.
const ROUNDS: u32 = 40;

/// When a caller whose sends are all spent should come back, as a part of the
/// route's objective: the targets that failed it are then known to be ill.
const SPENT_PART: f64 = 0.5;

/// Pause before a target that was full is asked again, in ms: queues there
/// move on by a prompt in that time, and an adapter that is being replaced is
/// back. Asked again at once, some were asked every 7 ms, which spent the
/// budget that all repeats share.
const FULL_MS: u64 = 100;

/// Times that targets may be full before the request is given up.
const FULL_TIMES: u32 = 3;

/// Pause before looking again when no target can take a request, in ms.
const LOOK_MS: u64 = 25;

/// A stream of whole events; an error means that it breaks off.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, String>> + Send>>;

/// The answer to a caller.
pub enum Reply {
    /// No configuration is known yet, or a stop is near its end.
    NotReady {
        /// When to come back, in ms.
        retry_ms: u64,
    },
    /// No route covers the request.
    NoRoute,
    /// The caller's key belongs to nobody: the request has not run and never
    /// will.
    UnknownKey,
    /// No target answered.
    Unanswered(Answer),
    /// A target's whole answer.
    Complete {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// A target's stream.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its events.
        body: EventStream,
    },
}

/// When to come back to a daemon that is not ready, in ms.
const NOT_READY_MS: u64 = 300;

/// One request on its way.
pub(crate) struct Job {
    pub(crate) node: Arc<Node>,
    pub(crate) ask: Arc<ClientRequest>,
    need: Arc<Need>,
    /// Its identity over all attempts, once it was needed.
    fingerprint: OnceLock<Fingerprint>,
    pub(crate) route: Route,
    caller: Caller,
    /// Order among requests; 0 is first.
    rank: u8,
    /// Version of the configuration that let it in.
    config: u64,
    /// Credit under its workspace's cap.
    credit: Option<Credit>,
    service: Name,
    engine: Option<EngineConfig>,
    began: u64,
    /// When its time is up.
    pub(crate) limit: u64,
    draw: u64,
    pub(crate) tried: Vec<Name>,
    closed: Vec<Name>,
    /// Times that a target was full.
    full: u32,
    pub(crate) verdict: SendHistory,
    /// Sends that reached a target.
    arrivals: u32,
    /// A failure of a target, to be passed on if nothing better comes.
    spare: Option<(StatusCode, HeaderMap, Bytes)>,
    pub(crate) tracked: Option<InFlightGuard>,
    /// Ms spent on waiting for adapters to be placed.
    pub(crate) stall: u64,
    /// Ms from arrival to the first event.
    pub(crate) first: u64,
    /// Set while it is tried though it is held back.
    trial: Option<Trial>,
    /// Whether its end is logged, or another job goes on with it.
    pub(crate) ended: bool,
}

/// A request that is dropped has lost its caller. Without a line of its own
/// it would be missing from every account of what became of the requests.
impl Drop for Job {
    fn drop(&mut self) {
        if !self.ended {
            let held = self.node.now().saturating_sub(self.began);
            self.node.metrics.request(self.route.kind, "caller_left");
            log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, held, stall = self.stall, first = self.first, sends = self.verdict.sends; "caller left");
        }
    }
}

impl Node {
    /// Serves a request of a caller. Dropping the future cancels what may be
    /// cancelled: a request that runs at most once goes on to its end, since
    /// half of it can be neither undone nor repeated.
    pub async fn serve(self: &Arc<Self>, ask: ClientRequest) -> Reply {
        let tracked = self.track();
        let Some(config) = self.config().filter(|_| self.life_known()) else {
            let basis = Basis::of(&self.view().records.settings_sync, self.now());
            log::info!(target: "serve", id:% = ask.id, row = basis.row, newer = basis.newer, away = basis.away, up = self.uptime_ms(); "refused: nothing is known yet");
            return Reply::NotReady {
                retry_ms: NOT_READY_MS,
            };
        };
        let (route, caller) = match caller::admit(self, &config, &ask) {
            Ok(found) => found,
            Err(why) => return self.turn_away(&ask, config.version, why),
        };
        let Some(mut job) = Job::new(self, &config, ask, route, caller) else {
            return Reply::NoRoute;
        };
        if !stop::accepts(self, job.limit) {
            job.ended = true;
            log::info!(target: "serve", id:% = job.ask.id, route:% = job.route.name; "refused: the stop is near its end");
            return Reply::NotReady {
                retry_ms: NOT_READY_MS,
            };
        }
        job.tracked = Some(tracked);
        if let Some(reply) = job.take_credit(&config).await {
            return reply;
        }
        match job.route.kind {
            RouteKind::NonIdempotent => match tokio::spawn(job.run()).await {
                Ok(reply) => reply,
                Err(_) => Reply::Unanswered(Answer::Unknown),
            },
            RouteKind::Idempotent | RouteKind::Stream => job.run().await,
        }
    }

    fn life_known(&self) -> bool {
        self.life.stage() != comfreyhall_life::Stage::Starting
    }
}

impl Job {
    fn new(
        node: &Arc<Node>,
        config: &Config,
        ask: ClientRequest,
        route: Route,
        caller: Caller,
    ) -> Option<Self> {
        let draw: u64 = rand::rng().random();
        let service = route.pick_service(draw)?.clone();
        let engine = config.services.get(&service).and_then(|s| s.engine.clone());
        let began = node.now();
        let left = ask
            .remaining_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        Some(Self {
            node: node.clone(),
            limit: began + left,
            need: Arc::new(Need::of(&ask)),
            fingerprint: OnceLock::new(),
            ask: Arc::new(ask),
            rank: node.view().ranks.position(&caller, &route),
            route,
            caller,
            config: config.version,
            credit: None,
            service,
            engine,
            began,
            draw,
            tried: Vec::new(),
            closed: Vec::new(),
            full: 0,
            verdict: SendHistory::default(),
            arrivals: 0,
            spare: None,
            tracked: None,
            stall: 0,
            first: 0,
            trial: None,
            ended: false,
        })
    }

    /// `model/adapter`, for the log.
    pub(crate) fn adapter(&self) -> Name {
        self.ask.adapter.as_ref().map_or("".into(), adapter_key)
    }

    pub(crate) fn left(&self) -> u64 {
        self.limit.saturating_sub(self.node.now())
    }

    async fn run(mut self) -> Reply {
        self.count();
        // Whether a holder said that the wait in its group would be too long.
        let mut too_long = false;
        for round in 0..ROUNDS {
            if self.left() == 0 {
                return self.give_up("time is up", 0.0);
            }
            if let Some(retry_ms) = self.held_back().await {
                return self.hold_back(retry_ms);
            }
            if !self.still_welcome() {
                return self.unwelcome();
            }
            let Some(mut plan) = self.choose() else {
                if let Some(ms) = self.shut_ms().filter(|ms| *ms > self.hold_left()) {
                    self.tell_shut();
                    return self.give_up("its targets take no more now", ms as f64);
                }
                if self.held_long() || self.full >= FULL_TIMES {
                    return self.give_up("no target can take it", FULL_MS as f64);
                }
                let pause = if self.full > 0 { FULL_MS } else { LOOK_MS };
                tokio::time::sleep(Duration::from_millis(pause)).await;
                self.closed.clear();
                continue;
            };
            let new = round == 0 || too_long;
            if new && self.node.policies().admission && self.refuses(plan.wait_ms) {
                return self.give_up("the wait is too long", plan.wait_ms / 2.0);
            }
            match self.bind(&mut plan).await {
                Found::Engine => {}
                Found::None if self.held_long() => {
                    return self.give_up("its adapter has no place", plan.wait_ms);
                }
                Found::None => continue,
                Found::TooLong(ms) => {
                    too_long = true;
                    if self.choose().is_none() {
                        return self.give_up("the wait is too long", ms as f64 / 2.0);
                    }
                    continue;
                }
            }
            let Some(permit) = self.permit(&plan).await else {
                continue;
            };
            if !self.still_ready(&plan) {
                continue;
            }
            if let Some(retry_ms) = self.held_back().await {
                return self.hold_back(retry_ms);
            }
            if !self.still_welcome() {
                return self.unwelcome();
            }
            if self.arrivals > 0 && !self.repeat() {
                return self.give_up("the retry budget is spent", plan.wait_ms);
            }
            let last_event = self.ask.last_event_id;
            match self.send(&mut plan, permit, last_event).await {
                Ok((response, flight)) => match self.answer(response, flight, plan).await {
                    Next::Reply(reply) => return reply,
                    Next::Again => self = self.next_draw(),
                },
                Err(()) => self = self.next_draw(),
            }
            if !self.verdict.may_send(self.route.repeatable(), u32::MAX) {
                return self.give_up("it may have run", 0.0);
            }
            if self.exhausted() {
                let excess = self.route.objective_ms as f64 * SPENT_PART;
                return self.give_up("every send it may have is spent", excess);
            }
        }
        self.give_up("no target took it", 0.0)
    }

    fn next_draw(mut self) -> Self {
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self
    }

    /// Whether a wait of `wait_ms` would be too long for it.
    fn refuses(&self, wait_ms: f64) -> bool {
        admission::should_refuse(wait_ms, self.left(), self.route.objective_ms, self.rank)
    }

    /// Whether it may only go where it was sent before.
    fn only_tried(&self) -> bool {
        self.tried.len() as u32 >= self.route.max_attempts.max(1)
    }

    /// Whether all targets it may be sent to have had it in doubt.
    fn exhausted(&self) -> bool {
        self.verdict.may_have_run && self.only_tried()
    }

    /// Whether too much of its time went by without a send.
    fn held_long(&self) -> bool {
        self.node.now() > self.hold_end()
    }

    /// Ms for which it may still be held without a send.
    fn hold_left(&self) -> u64 {
        self.hold_end().saturating_sub(self.node.now())
    }

    fn hold_end(&self) -> u64 {
        let most = admission::max_hold_ms(self.limit - self.began, self.route.objective_ms);
        self.began + most
    }

    /// Counts the request for budgets and demand.
    fn count(&self) {
        let now = self.node.now();
        let bounds = self.node.settings().bounds.clone();
        let mut view = self.node.view();
        let budget = view.budgets.entry(self.service.clone()).or_insert_with(|| {
            let window = (bounds.retry_s * 1_000.0) as u64;
            RetryBudget::new(window, bounds.retry_ratio, bounds.retry_allowance)
        });
        budget.record_request(now);
        if let Some(adapter) = self.ask.adapter.as_ref().filter(|a| a.adapter.is_some()) {
            let key = adapter_key(adapter);
            view.count_demand(&key, 1, now);
            if let Some(tokens) = self.ask.tokens {
                view.observe_prompt(tokens.prompt);
            }
            drop(view);
            self.node.fleet.record_demand(&key);
        }
    }

    /// Takes a repeat out of the budget.
    fn repeat(&self) -> bool {
        let now = self.node.now();
        let daemons = self.node.fleet.size(now);
        let mut view = self.node.view();
        let budget = view.budgets.get_mut(&self.service);
        let granted = budget.is_some_and(|b| b.try_retry(now, daemons));
        drop(view);
        self.node.metrics.retry(granted);
        granted
    }

    fn choose(&self) -> Option<Plan> {
        let wish = Wish {
            need: &self.need,
            aim_ms: self.route.objective_ms,
            service: &self.service,
            group: None,
            engine: self.engine.as_ref(),
            tried: &self.tried,
            closed: &self.closed,
            only_tried: self.only_tried(),
            draw: self.draw,
        };
        choose::choose(&self.node, &wish)
    }

    /// A target's failure that was kept in case nothing better came.
    fn spare_reply(&mut self, why: &'static str) -> Option<Reply> {
        let (status, headers, body) = self.spare.take()?;
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, why; "passed on a target's failure");
        Some(whole(status, headers, body))
    }

    /// When its caller should come back, in ms, if there is room for it after
    /// `excess_ms`.
    fn retry_ms(&self, excess_ms: f64) -> u64 {
        let draw: u64 = rand::rng().random();
        admission::retry_ms(excess_ms, self.left(), draw)
    }

    /// The final answer, at once.
    fn give_up(&mut self, why: &'static str, excess_ms: f64) -> Reply {
        self.ended = true;
        self.give_credit_back();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.spare_reply(why) {
            return reply;
        }
        let left = self.left();
        let retry = self.retry_ms(excess_ms);
        let answer = answer_for(&self.verdict, left == 0, retry);
        let held = self.node.now() - self.began;
        self.node.metrics.request(self.route.kind, answer.name());
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, why, answer:? = answer, sends = self.verdict.sends, held, left; "given up");
        Reply::Unanswered(answer)
    }
}

/// A target's own answer. A failure whose status would promise "not run"
/// without the target's proof is passed on as one that promises nothing.
fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    match promises.contains(&status) {
        true => Reply::Unanswered(Answer::Unknown),
        false => Reply::Complete {
            status,
            headers,
            body,
        },
    }
}
