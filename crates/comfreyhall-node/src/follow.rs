//! Following the settings in force in the platform's store, and [`targets`].
//!
//! Settings are followed by a feed that answers at the first change, which
//! costs next to nothing while nothing changes. A feed that says nothing proves
//! nothing, though: the store may have fallen silent and come back without it. So
//! when nobody in the fleet has had an answer about settings for a part of their
//! bound, one daemon looks, and a failed look ends the feed. What the store does not
//! give is fetched from other daemons meanwhile ([`crate::fleet`]).

mod targets;

use std::{sync::Arc, time::Duration};

use comfreyhall_life::Event;
use rand::Rng;

use crate::{
    facts::{self, Provenance},
    node::Node,
    ports::{PendingBatch, RecordBatch, SourceError, Topic},
};

/// Longest wait of one feed call. Shorter than the store's longest by far,
/// so that a silent connection is noticed.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// Parts of the bound for settings: in a large fleet only the holders of
/// leases follow the feed, so that a change costs a call for each of them and
/// not for each daemon. Each of their calls returns within one part, which
/// confirms what they know; the others begin to follow by themselves once no
/// holder has confirmed it for two parts, and have the third for that.
pub(crate) const PARTS_PER_APPLY: u64 = 3;

/// Parts of the bound for settings without an answer about them, from anybody,
/// after which a daemon looks: the one that draws least, and the others hear it
/// from that one. The rest of the bound is left for the look, for the news and
/// for those whose own look was lost.
const LOOK_PARTS: std::ops::Range<f64> = 0.4..0.6;

/// Pause between looks at whether holders still tell of settings, in ms.
const TOLD_LOOK_MS: u64 = 100;

/// Pause after a first failed call, in ms: a call that was lost by itself is
/// soon made again.
const RETRY_MS: u64 = 200;

/// Longest pause of one of [`ASKERS`] daemons, in ms. In a larger fleet it is
/// as much longer as there are more of them, so that a store that is away is
/// asked as often as by these few, some 25 times a second, and its return is
/// noticed as soon: whoever reads it first tells the others.
const PAUSE_MS: u64 = 600;

/// Daemons that may ask a store that is away without mercy.
const ASKERS: usize = 16;

/// Longest pause in any fleet, in ms: a daemon that is turned away while its
/// peers are not gets rows from them, but those may be lost too.
const LONGEST_PAUSE_MS: u64 = 3_000;

/// Starts both duties.
pub(crate) fn spawn(node: &Arc<Node>) {
    tokio::spawn(settings(node.clone()));
    tokio::spawn(targets::targets(node.clone()));
}

async fn settings(node: Arc<Node>) {
    let mut after: Option<u64> = None;
    let mut link = Link::new("settings");
    loop {
        let began = node.now();
        let told = match after {
            None => read(&node).await,
            // A call that waits would not tell a silent store from a quiet one.
            Some(version) if link.down => look(&node, version).await,
            Some(version) => {
                await_untold(&node).await;
                feed(&node, version).await
            }
        };
        let (answer, times) = match told {
            Ok(Told { facts, times }) => (Ok(facts), times),
            Err(e) => (Err(e), Times::now(&node)),
        };
        link.note(&node, &answer, began);
        node.set_settings_unavailable(matches!(answer, Err(SourceError::Unavailable(_))));
        match answer {
            Ok(facts) => {
                after = Some(facts.version);
                let covers = facts.version;
                let origin = Provenance::store(times.asked);
                facts::apply(&node, Topic::Settings, facts, &origin);
                node.view()
                    .records
                    .settings_sync
                    .store_confirmed(covers, times.as_of);
                settle(&node);
            }
            Err(SourceError::Compacted) => after = None,
            Err(SourceError::Unavailable(_)) => {
                node.view().records.settings_sync.store_failed(began);
                node.fleet.wake_fetch();
                link.pause(&node).await;
            }
        }
    }
}

/// An answer about settings with its times.
struct Told {
    facts: RecordBatch,
    times: Times,
}

/// Moments of an answer, by this daemon's clock.
struct Times {
    /// When what it brings was asked for, or began to come.
    asked: u64,
    /// The store said it then, or later. When the answer has come whole says
    /// nothing of that: it may have been seconds on a slow link.
    as_of: u64,
}

impl Times {
    fn now(node: &Node) -> Self {
        let (asked, as_of) = (node.now(), node.now());
        Self { asked, as_of }
    }
}

/// All settings.
async fn read(node: &Node) -> Result<Told, SourceError> {
    let times = Times::now(node);
    let rest = node.source.read(Topic::Settings).await?;
    let facts = arrival(node, rest).await?;
    Ok(Told { facts, times })
}

/// What changed after `version`, as the store has it now.
async fn look(node: &Node, version: u64) -> Result<Told, SourceError> {
    let times = Times::now(node);
    let source = &node.source;
    let answer = source.changes(Topic::Settings, version, Duration::ZERO);
    let facts = arrival(node, answer.await?).await?;
    Ok(Told { facts, times })
}

/// The rest of an answer that has begun to come.
async fn arrival(node: &Node, rest: PendingBatch) -> Result<RecordBatch, SourceError> {
    node.view().records.settings_sync.store_read_started();
    rest.await
}

/// The rest of a feed call that began at `began` and waited up to `wait`.
async fn arrive(
    node: &Node,
    began: u64,
    wait: Duration,
    rest: PendingBatch,
) -> Result<Told, SourceError> {
    let asked = node.now();
    let facts = arrival(node, rest).await?;
    let waited = began + wait.as_millis() as u64;
    // Without changes it is made at the end of its wait.
    let as_of = match facts.rows.is_empty() && asked >= waited {
        true => waited,
        false => began,
    };
    let times = Times { asked, as_of };
    Ok(Told { facts, times })
}

/// Waits for what changes after `version`; looks in between whether the store
/// still answers.
///
/// What goes wrong without the looks: the store falls silent within a feed call
/// and comes back, changes are made, and no daemon hears of them before the call
/// has waited out its time.
async fn feed(node: &Node, version: u64) -> Result<Told, SourceError> {
    let (wait, began) = (feed_wait(node), node.now());
    let feed = node.source.changes(Topic::Settings, version, wait);
    tokio::pin!(feed);
    loop {
        tokio::select! {
            // Once the answer has begun it is a matter of the link's speed: a look
            // would fetch the same again beside it.
            answer = &mut feed => return arrive(node, began, wait, answer?).await,
            () = await_unconfirmed(node) => {}
        }
        let found = look(node, version).await?;
        if !found.facts.rows.is_empty() {
            return Ok(found);
        }
        let (covers, as_of) = (found.facts.version, found.times.as_of);
        node.view()
            .records
            .settings_sync
            .store_confirmed(covers, as_of);
    }
}

/// Waits until nobody has had an answer about settings for a drawn part of their
/// bound.
async fn await_unconfirmed(node: &Node) {
    let bound = node.settings().bounds.apply_ms as f64;
    let due = (bound * rand::rng().random_range(LOOK_PARTS)) as u64;
    loop {
        let age = node.view().records.settings_sync.age_ms(node.now());
        if age >= due {
            return;
        }
        tokio::time::sleep(Duration::from_millis(due - age)).await;
    }
}

/// Whether this daemon holds a lease.
fn holding(node: &Node) -> bool {
    node.leases.holds_any(node.settings().bounds.fencing)
}

/// How long a feed call may wait for a change.
fn feed_wait(node: &Node) -> Duration {
    if node.fleet.large() && holding(node) {
        return Duration::from_millis(node.settings().bounds.apply_ms / PARTS_PER_APPLY);
    }
    FEED_WAIT
}

/// In a large fleet, waits for as long as what is known of the settings is
/// young enough, and nobody tells of anything newer.
async fn await_untold(node: &Node) {
    loop {
        if node.view().records.settings_sync.newer_version().is_some() {
            return;
        }
        let most = 2 * node.settings().bounds.apply_ms / PARTS_PER_APPLY;
        let age = node.view().records.settings_sync.age_ms(node.now());
        if !node.fleet.large() || holding(node) || age > most {
            return;
        }
        tokio::time::sleep(Duration::from_millis(TOLD_LOOK_MS)).await;
    }
}

/// Pause in ms after `failures` calls in a row have failed, in a fleet of
/// `daemons`; `draw` spreads it over half to one and a half times its length.
///
/// What goes wrong with a fixed pause: the store turns away 90 daemons for
/// some seconds, and each asks it five times a second for each topic: 3,400
/// calls, all refused.
fn pause_ms(failures: u32, daemons: usize, draw: u64) -> u64 {
    let grown = RETRY_MS << failures.saturating_sub(1).min(5);
    let most = PAUSE_MS * daemons.max(ASKERS) as u64 / ASKERS as u64;
    let pause = grown.min(most).min(LONGEST_PAUSE_MS);
    pause / 2 + draw % pause
}

/// Pause of this daemon after `failures` calls in a row have failed.
pub(crate) fn pause(node: &Node, failures: u32) -> Duration {
    let daemons = node.fleet.size(node.now());
    let draw = rand::rng().random();
    Duration::from_millis(pause_ms(failures, daemons, draw))
}

/// Whether the store answers for one topic; tells when that changes.
struct Link {
    topic: &'static str,
    down: bool,
    /// Calls in a row that have failed.
    failures: u32,
}

impl Link {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            down: false,
            failures: 0,
        }
    }

    /// Waits before the next call, as the last one failed.
    async fn pause(&self, node: &Node) {
        tokio::time::sleep(pause(node, self.failures)).await;
    }

    /// Takes in the answer to a call that began at `began`.
    fn note(&mut self, node: &Node, answer: &Result<RecordBatch, SourceError>, began: u64) {
        let topic = self.topic;
        let now = node.now();
        let (waited, age) = (now - began, node.view().records.settings_sync.age_ms(now));
        node.metrics.store_read(topic, answer.is_ok());
        match answer {
            Ok(facts) if self.down => {
                log::info!(target: "follow", version = facts.version, waited, settings_age = age; "store answers again for {topic}");
            }
            Ok(_) => {}
            Err(e) if !self.down || *e == SourceError::Compacted => {
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

/// Begins to serve once a configuration and some target are known.
pub(crate) fn settle(node: &Node) {
    let known = {
        let view = node.view();
        view.config.is_some() && !view.targets.is_empty()
    };
    if known {
        node.life.handle(Event::Synced);
    }
}

#[cfg(test)]
mod tests;
