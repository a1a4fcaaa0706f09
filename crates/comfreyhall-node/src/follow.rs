//! Follows the settings in the platform's store, and the targets ([`targets`]).
//!
//! Settings are followed through a feed that answers at the first change and
//! costs next to nothing while nothing changes. A quiet feed is no proof that
//! nothing has changed, though: the store may have stopped answering and come back
//! without it. So when nobody in the fleet has had an answer about settings for
//! a part of their bound, one daemon sends a probe, and a failed probe ends the
//! feed. Meanwhile settings that the store does not provide are fetched from
//! other daemons ([`crate::fleet`]).

mod early;
mod targets;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_domain::Revision;
use comfreyhall_life::Event;
use rand::Rng;

use self::early::EarlyAnswers;
use crate::{
    node::Node,
    ports::{PendingBatch, RecordBatch, SourceError, Topic},
    records,
    rows::Provenance,
};

/// Longest wait of one feed call. It is far shorter than the store allows, so
/// that a connection without answers is detected.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// Parts that the bound for settings is divided into. In a large fleet only the
/// lease holders follow the feed, so that a change costs one call for each
/// holder instead of one for each daemon. Each of their calls returns within
/// one part and confirms the settings. The other daemons begin to follow the
/// feed themselves once no holder has confirmed them for two parts; the third
/// part is left for that.
pub(crate) const PARTS_PER_APPLY: u64 = 3;

/// Range of the fraction of the bound for settings that passes without an
/// answer from anybody before a daemon sends a probe. The daemon with the
/// shortest drawn time sends it, and the others learn the result from that
/// daemon. The rest of the bound is left for the probe, for gossip, and for
/// daemons whose own probe was lost.
const PROBE_PARTS: std::ops::Range<f64> = 0.4..0.6;

/// Interval between checks whether holders still confirm the settings, in ms.
const HOLDER_POLL_MS: u64 = 100;

/// Pause after a first failed call, in ms: a single lost call is soon repeated.
const RETRY_MS: u64 = 200;

/// Longest pause of one of [`FEW_DAEMONS`] daemons, in ms. It grows in
/// proportion to a larger fleet, so that a store that is down gets as many
/// calls as from these few, some 25 a second, and its return is noticed as
/// soon: the first daemon that reads it notifies the others.
const FEW_PAUSE_MS: u64 = 600;

/// Daemons that may call a store that is down without longer pauses.
const FEW_DAEMONS: usize = 16;

/// Longest pause in any fleet, in ms: a daemon that the store rejects gets rows
/// from peers that can read it, but those may be lost too.
const MAX_PAUSE_MS: u64 = 3_000;

/// Starts both tasks.
pub(crate) fn spawn(node: &Arc<Node>) {
    tokio::spawn(follow_settings(node.clone()));
    tokio::spawn(targets::follow_targets(node.clone()));
}

async fn follow_settings(node: Arc<Node>) {
    let mut after: Option<Revision> = None;
    let mut link = StoreLink::new("settings");
    let mut early = EarlyAnswers::default();
    loop {
        let began = node.now();
        let read_result = match after {
            None => read(&node).await,
            // A long poll would not distinguish an unresponsive store from an idle
            // one.
            Some(version) if link.down => probe(&node, version).await,
            Some(version) => {
                pause_early(&node, &early).await;
                await_stale(&node).await;
                let (wait, asked) = (feed_wait(&node), Instant::now());
                let answer = feed(&node, version, wait).await;
                early.note(&answer, wait, asked.elapsed());
                answer
            }
        };
        let (answer, times) = match read_result {
            Ok(StoreAnswer { batch, times }) => (Ok(batch), times),
            Err(e) => (Err(e), AnswerTimes::now(&node)),
        };
        link.note(&node, &answer, began);
        node.set_settings_unavailable(matches!(answer, Err(SourceError::Unavailable(_))));
        match answer {
            Ok(batch) => {
                after = Some(batch.version);
                let covers = batch.version;
                let origin = Provenance::store(times.asked);
                records::apply(&node, Topic::Settings, batch, &origin);
                node.view()
                    .records
                    .settings_sync
                    .store_confirmed(covers, times.as_of);
                start_if_synced(&node);
            }
            Err(SourceError::Compacted | SourceError::Restored) => after = None,
            Err(SourceError::Unavailable(_)) => {
                node.view().records.settings_sync.store_failed(began);
                node.fleet.wake_fetch();
                link.pause(&node).await;
            }
        }
    }
}

/// Waits after feed calls that came back early.
async fn pause_early(node: &Node, early: &EarlyAnswers) {
    let bound_ms = node.settings().bounds.apply_ms;
    let pause_ms = early.pause_ms(bound_ms, rand::rng().random());
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// An answer about settings with its times.
struct StoreAnswer {
    batch: RecordBatch,
    times: AnswerTimes,
}

/// Times of an answer, by this daemon's clock.
struct AnswerTimes {
    /// When its content was requested, or began to arrive.
    asked: u64,
    /// Lower bound on the time at which the store made the answer. The time at
    /// which it has arrived completely is no use here: it may have taken
    /// seconds on a slow link.
    as_of: u64,
}

impl AnswerTimes {
    fn now(node: &Node) -> Self {
        let (asked, as_of) = (node.now(), node.now());
        Self { asked, as_of }
    }
}

/// Reads all settings.
async fn read(node: &Node) -> Result<StoreAnswer, SourceError> {
    let times = AnswerTimes::now(node);
    let rest = node.source.read(Topic::Settings).await?;
    let batch = receive(node, rest).await?;
    Ok(StoreAnswer { batch, times })
}

/// Reads the changes after `version`, without waiting for one.
async fn probe(node: &Node, version: Revision) -> Result<StoreAnswer, SourceError> {
    let times = AnswerTimes::now(node);
    let source = &node.source;
    let answer = source.changes(Topic::Settings, version, Duration::ZERO);
    let batch = receive(node, answer.await?).await?;
    Ok(StoreAnswer { batch, times })
}

/// Receives the rest of an answer that has begun to arrive.
async fn receive(node: &Node, rest: PendingBatch) -> Result<RecordBatch, SourceError> {
    node.view().records.settings_sync.store_read_started();
    rest.await
}

/// Receives the rest of a feed call that began at `began` and waited up to
/// `wait`.
async fn receive_feed(
    node: &Node,
    began: u64,
    wait: Duration,
    rest: PendingBatch,
) -> Result<StoreAnswer, SourceError> {
    let asked = node.now();
    let batch = receive(node, rest).await?;
    let waited = began + wait.as_millis() as u64;
    // Without changes the answer is made at the end of the wait.
    let as_of = match batch.rows.is_empty() && asked >= waited {
        true => waited,
        false => began,
    };
    let times = AnswerTimes { asked, as_of };
    Ok(StoreAnswer { batch, times })
}

/// Waits up to `wait` for changes after `version`, and probes meanwhile whether the store
/// still answers.
///
/// Without probes, when the store stops answering within a feed call and comes
/// back, no daemon learns of new changes before the call has reached its time
/// limit.
async fn feed(node: &Node, version: Revision, wait: Duration) -> Result<StoreAnswer, SourceError> {
    let began = node.now();
    let feed = node.source.changes(Topic::Settings, version, wait);
    tokio::pin!(feed);
    loop {
        tokio::select! {
            // Once the answer has begun, its duration depends on the link: a
            // probe would fetch the same content again in parallel.
            answer = &mut feed => return receive_feed(node, began, wait, answer?).await,
            () = await_unconfirmed(node) => {}
        }
        let probed = probe(node, version).await?;
        if !probed.batch.rows.is_empty() {
            return Ok(probed);
        }
        let (covers, as_of) = (probed.batch.version, probed.times.as_of);
        node.view()
            .records
            .settings_sync
            .store_confirmed(covers, as_of);
        start_if_synced(node);
    }
}

/// Waits until nobody has had an answer about settings for a randomly drawn
/// part of their bound.
async fn await_unconfirmed(node: &Node) {
    let bound = node.settings().bounds.apply_ms as f64;
    let due = (bound * rand::rng().random_range(PROBE_PARTS)) as u64;
    loop {
        let age = node.view().records.settings_sync.age_ms(node.now());
        if age >= due {
            return;
        }
        tokio::time::sleep(Duration::from_millis(due - age)).await;
    }
}

/// Whether this daemon holds a lease.
fn holds_lease(node: &Node) -> bool {
    node.leases.holds_any(node.settings().bounds.fencing)
}

/// How long a feed call may wait for a change.
fn feed_wait(node: &Node) -> Duration {
    if node.fleet.is_large() && holds_lease(node) {
        return Duration::from_millis(node.settings().bounds.apply_ms / PARTS_PER_APPLY);
    }
    FEED_WAIT
}

/// In a large fleet, waits while the settings known here are recent enough and
/// nobody reports newer ones.
async fn await_stale(node: &Node) {
    loop {
        if node.view().records.settings_sync.newer_version().is_some() {
            return;
        }
        let most = 2 * node.settings().bounds.apply_ms / PARTS_PER_APPLY;
        let age = node.view().records.settings_sync.age_ms(node.now());
        if !node.fleet.is_large() || holds_lease(node) || age > most {
            return;
        }
        tokio::time::sleep(Duration::from_millis(HOLDER_POLL_MS)).await;
    }
}

/// Returns the pause in ms after `failures` consecutive failed calls in a fleet
/// of `daemons`; `draw` spreads it over half to one and a half times its
/// length.
///
/// With a fixed pause, a store that rejects 90 daemons for a few seconds was
/// called by each of them five times a second for each topic: 3,400 calls, all
/// rejected.
fn pause_ms(failures: u32, daemons: usize, draw: u64) -> u64 {
    let grown = RETRY_MS << failures.saturating_sub(1).min(5);
    let most = FEW_PAUSE_MS * daemons.max(FEW_DAEMONS) as u64 / FEW_DAEMONS as u64;
    let pause = grown.min(most).min(MAX_PAUSE_MS);
    pause / 2 + draw % pause
}

/// Pause of this daemon after `failures` consecutive failed calls.
pub(crate) fn pause(node: &Node, failures: u32) -> Duration {
    let daemons = node.fleet.size(node.now());
    let draw = rand::rng().random();
    Duration::from_millis(pause_ms(failures, daemons, draw))
}

/// State of the connection to the store for one topic; logs its changes.
struct StoreLink {
    topic: &'static str,
    down: bool,
    /// Consecutive failed calls.
    failures: u32,
}

impl StoreLink {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            down: false,
            failures: 0,
        }
    }

    /// Waits before the next call after a failure.
    async fn pause(&self, node: &Node) {
        tokio::time::sleep(pause(node, self.failures)).await;
    }

    /// Records the answer to a call that began at `began`.
    fn note(&mut self, node: &Node, answer: &Result<RecordBatch, SourceError>, began: u64) {
        let topic = self.topic;
        let now = node.now();
        let (waited, age) = (now - began, node.view().records.settings_sync.age_ms(now));
        node.metrics.store_read(topic, answer.is_ok());
        match answer {
            Ok(batch) if self.down => {
                log::info!(target: "follow", version:% = batch.version, waited, settings_age = age; "store answers again for {topic}");
            }
            Ok(_) => {}
            Err(e) if !self.down || !matches!(e, SourceError::Unavailable(_)) => {
                log::warn!(target: "follow", error:% = e, waited, settings_age = age; "{topic} not read");
            }
            Err(_) => {}
        }
        self.down = answer.is_err();
        self.failures = match answer {
            Ok(_) => 0,
            Err(_) => self.failures.saturating_add(1),
        };
    }
}

/// Begins to serve once a configuration that may be served by and a target are
/// known.
pub(crate) fn start_if_synced(node: &Node) {
    let bound_ms = node.settings().bounds.apply_ms;
    let may_start = {
        let view = node.view();
        let sync = &view.records.settings_sync;
        view.config.is_some()
            && !view.targets.is_empty()
            && sync.may_start(node.now(), bound_ms, bound_ms / PARTS_PER_APPLY)
    };
    if may_start {
        node.life.handle(Event::Synced);
    }
}

#[cfg(test)]
mod tests;
