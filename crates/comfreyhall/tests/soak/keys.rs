//! Revoked keys while the store comes back from copies.
//!
//! The key of a configuration is revoked by the next one. A key may be accepted for
//! [`BOUND`] after that, and again once the store has lost all that revoked it, until
//! [`BOUND`] after the operators have written it again. A process that has refused a
//! revoked key may not go back to it, whatever the store has lost.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng, seq::IteratorRandom};
use serde_json::Value;

use super::{
    Fleet,
    copies::BOUND,
    emulator::{
        caller::PathOutcome,
        config as plain_config,
        keys::{send_key, with_keys},
    },
};

/// How many of the latest keys are sent.
const RECENT_KEYS: usize = 6;

/// The configuration of a version, with the version's own key.
pub fn config(version: u64) -> Value {
    with_keys(plain_config(version, "/g/"), &[&key(version)])
}

fn key(version: u64) -> String {
    format!("key{version}")
}

/// An acknowledged configuration.
struct Change {
    version: u64,
    acked: Instant,
    /// When the store came back without it.
    lost: Option<Instant>,
}

/// All configurations, in the order in which they were written.
#[derive(Default)]
pub struct Changes(Vec<Change>);

impl Changes {
    /// Adds a configuration acknowledged now.
    pub fn add(&mut self, version: u64) {
        let acked = Instant::now();
        self.0.push(Change {
            version,
            acked,
            lost: None,
        });
    }

    /// Records that the store comes back now without what was written after `copied`.
    pub fn lose_since(&mut self, copied: Instant) {
        let now = Instant::now();
        let gone = self.0.iter_mut().filter(|c| c.acked > copied);
        gone.for_each(|c| c.lost = c.lost.or(Some(now)));
    }

    /// One of the latest versions.
    fn recent(&self, rng: &mut StdRng) -> Option<u64> {
        let mut versions: Vec<u64> = self.0.iter().map(|c| c.version).collect();
        versions.dedup();
        let latest = versions.iter().rev().take(RECENT_KEYS);
        latest.copied().choose(rng)
    }

    /// When what revoked the key of `version` was acknowledged for the first time.
    fn first_revoked(&self, version: u64) -> Option<Instant> {
        let newer = self.0.iter().filter(|c| c.version > version);
        newer.map(|c| c.acked).min()
    }

    /// Whether every daemon has to refuse the key throughout `used`.
    fn is_revoked(&self, used: &Use) -> bool {
        let newer = self.0.iter().filter(|c| c.version > used.version);
        let mut stands = newer.filter(|c| c.lost.is_none_or(|at| at > used.ended));
        stands.any(|c| c.acked + BOUND < used.sent)
    }
}

/// A request with the key of `version`.
#[derive(Debug)]
pub struct Use {
    daemon: usize,
    version: u64,
    sent: Instant,
    ended: Instant,
    outcome: PathOutcome,
}

impl Use {
    fn is_accepted(&self) -> bool {
        matches!(self.outcome, PathOutcome::AnsweredBy(_))
    }

    fn is_refused(&self) -> bool {
        self.outcome == PathOutcome::Status(401)
    }
}

/// Sends requests with the latest keys to `daemon` until `stop` is set.
pub async fn send_keys(
    daemon: usize,
    front: String,
    mut rng: StdRng,
    changes: Arc<Mutex<Changes>>,
    stop: Arc<AtomicBool>,
) -> Vec<Use> {
    let mut out = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..30))).await;
        let Some(version) = changes.lock().unwrap().recent(&mut rng) else {
            continue;
        };
        let sent = Instant::now();
        let id = format!("k{daemon}-{}", out.len());
        let outcome = send_key(&front, &key(version), &id).await;
        out.push(Use {
            daemon,
            version,
            sent,
            ended: Instant::now(),
            outcome,
        });
    }
    out
}

impl Fleet {
    /// Uses of a key that had been revoked for too long, one line each.
    pub fn revoked_uses(&self, uses: &[Use]) -> Vec<String> {
        let starts: Vec<_> = self.daemons.iter().map(|d| &*d.starts).collect();
        let changes = self.changes.lock().unwrap();
        if !uses.is_empty() {
            println!(
                "{} uses of keys, {} accepted, {} refused, {} changes lost",
                uses.len(),
                uses.iter().filter(|u| u.is_accepted()).count(),
                uses.iter().filter(|u| u.is_refused()).count(),
                changes.0.iter().filter(|c| c.lost.is_some()).count(),
            );
        }
        late_uses(&changes, &starts, uses)
    }
}

/// What a process has done with a key so far.
#[derive(Default)]
struct Handling {
    accepted: bool,
    /// Whether it has refused it as revoked.
    revoked: bool,
}

/// `starts` are those of each daemon; the uses of one daemon are in order.
fn late_uses(changes: &Changes, starts: &[&[Instant]], uses: &[Use]) -> Vec<String> {
    let mut handled: HashMap<_, Handling> = HashMap::new();
    let mut out = Vec::new();
    for u in uses {
        let started = starts[u.daemon].iter().rfind(|at| **at < u.sent);
        let handling = handled.entry((u.daemon, u.version, started)).or_default();
        if u.is_refused() {
            handling.revoked |= handling.accepted || changes.is_revoked(u);
        }
        if !u.is_accepted() {
            continue;
        }
        handling.accepted = true;
        let what = match handling.revoked {
            _ if changes.is_revoked(u) => "revoked",
            true => "refused before",
            false => continue,
        };
        let ago = changes.first_revoked(u.version).map(|at| u.sent - at);
        out.push(format!(
            "n{} accepts the key of version {}, {what}, first revoked {ago:?} before",
            u.daemon, u.version
        ));
    }
    out
}

/// Guards against an oracle that misses a revoked key, or that excuses one by a step of the
/// store.
#[test]
fn late_uses_after_steps() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    // Revoked at 10 and lost at 20; revoked again at 30.
    let change = |acked, lost: Option<u64>| Change {
        version: 4,
        acked: at(acked),
        lost: lost.map(at),
    };
    let changes = Changes(vec![change(10, Some(20)), change(30, None)]);
    let found = |starts: &[Instant], uses: &[(u64, PathOutcome)]| {
        let uses = uses.iter().map(|(sent, outcome)| Use {
            daemon: 0,
            version: 1,
            sent: at(*sent),
            ended: at(*sent) + Duration::from_millis(9),
            outcome: outcome.clone(),
        });
        let uses: Vec<Use> = uses.collect();
        late_uses(&changes, &[starts], &uses).len()
    };
    let accepted = || PathOutcome::AnsweredBy("s1".into());
    let refused = || PathOutcome::Status(401);
    for (sent, late) in [(5, 0), (11, 0), (13, 1), (19, 1), (21, 0), (31, 0), (33, 1)] {
        let uses = [(sent, accepted())];
        assert_eq!(found(&[start], &uses), late, "accepted at {sent}");
    }
    for first in [(9, accepted()), (13, refused())] {
        let back = [first, (14, refused()), (21, accepted())];
        assert_eq!(found(&[start], &back), 1, "by the same process");
        assert_eq!(found(&[start, at(20)], &back), 0, "by its successor");
    }
    let issued = [(9, refused()), (11, accepted())];
    assert_eq!(found(&[start], &issued), 0, "not known before");
}
