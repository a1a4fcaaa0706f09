//! What is on each target's table, and how long a request would wait there.
//!
//! Model engines read prompts in turn, so the wait for a first token is the
//! backlog of prompt tokens over the rate at which they are read, while
//! slots stay nearly empty; plain services run a few requests at once, so
//! their wait is how many there are over the slots. Daemons tell each other
//! what they have sent; the rate and the time of a request are learned from
//! the answers.

use comfreyhall_domain::{Map, Name};

use crate::health::Health;

/// Prompt tokens an engine reads a ms, before any is measured.
const FIRST_RATE: f64 = 10.0;

/// Bounds of the learned rate: one odd sample must not stop or flood an
/// engine.
const RATE_BOUNDS: (f64, f64) = (2.0, 200.0);

/// Weight of one sample in the learned rate and time.
const GAIN: f64 = 0.1;

/// Waits shorter than this say more about the network than about the rate.
const SHORTEST_MS: u64 = 20;

/// What a peer told is worth nothing after this long, in ms: some four
/// rounds of news.
const PEER_MS: u64 = 1_000;

/// Time of a request at a plain service before any is measured, in ms.
const FIRST_TOOK: f64 = 60.0;

/// What one daemon has at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens sent and not yet read.
    pub prefill: u64,
    /// Requests sent and not yet answered whole.
    pub running: u32,
}

#[derive(Debug)]
struct Entry {
    own: Work,
    peers: Map<Name, (Work, u64)>,
    health: Health,
    rate: f64,
    took: f64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            own: Work::default(),
            peers: Map::default(),
            health: Health::default(),
            rate: FIRST_RATE,
            took: FIRST_TOOK,
        }
    }
}

/// The work and the health of every target.
#[derive(Debug, Default)]
pub struct Board {
    entries: Map<Name, Entry>,
}

impl Board {
    fn entry(&mut self, target: &Name) -> &mut Entry {
        self.entries.entry(target.clone()).or_default()
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.entries
            .retain(|id, e| keep(id) || e.own != Work::default());
    }

    /// A request with `tokens` of prompt to read is sent.
    pub fn begin(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill += tokens;
        own.running += 1;
    }

    /// The prompt of `tokens` was read, or no longer needs to be.
    pub fn read(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill = own.prefill.saturating_sub(tokens);
    }

    /// A request ended.
    pub fn end(&mut self, target: &Name) {
        let own = &mut self.entry(target).own;
        own.running = own.running.saturating_sub(1);
    }

    /// Learns the rate from a first token after `waited` ms that had
    /// `tokens` of prompt before it, its own included.
    pub fn learn_rate(&mut self, target: &Name, tokens: u64, waited: u64) {
        if waited < SHORTEST_MS || tokens == 0 {
            return;
        }
        let sample = (tokens as f64 / waited as f64).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        let rate = &mut self.entry(target).rate;
        *rate += GAIN * (sample - *rate);
    }

    /// Learns how long a plain request takes.
    pub fn learn_took(&mut self, target: &Name, took: u64) {
        let entry = self.entry(target);
        entry.took += GAIN * (took as f64 - entry.took);
    }

    /// Takes in how an answer was; `weight`: how much it proves.
    pub fn note(&mut self, target: &Name, ok: bool, weight: f64, now: u64) {
        self.entry(target).health.note(ok, weight, now);
    }

    /// Takes in what `peer` has at `target`.
    pub fn peer(&mut self, target: &Name, peer: &Name, work: Work, now: u64) {
        self.entry(target).peers.insert(peer.clone(), (work, now));
    }

    /// Work of this daemon, for its peers.
    pub fn own(&self) -> impl Iterator<Item = (&Name, Work)> {
        let busy = self
            .entries
            .iter()
            .filter(|(_, e)| e.own != Work::default());
        busy.map(|(id, e)| (id, e.own))
    }

    /// Work of all daemons at `target`.
    pub fn work(&self, target: &Name, now: u64) -> Work {
        let Some(entry) = self.entries.get(target) else {
            return Work::default();
        };
        let mut sum = entry.own;
        for (work, at) in entry.peers.values() {
            if now.saturating_sub(*at) <= PEER_MS {
                sum.prefill += work.prefill;
                sum.running += work.running;
            }
        }
        sum
    }

    /// Share of good answers to expect of `target`.
    pub fn health(&self, target: &Name, now: u64) -> f64 {
        let entry = self.entries.get(target);
        entry.map_or(1.0, |e| e.health.share(now))
    }

    /// Ms until an engine would have read `tokens` more of prompt.
    pub fn prefill_ms(&self, target: &Name, tokens: u64, now: u64) -> f64 {
        let rate = self.entries.get(target).map_or(FIRST_RATE, |e| e.rate);
        (self.work(target, now).prefill + tokens) as f64 / rate
    }

    /// Ms until a plain request would be answered by a target of `slots`.
    pub fn plain_ms(&self, target: &Name, slots: u32, now: u64) -> f64 {
        let took = self.entries.get(target).map_or(FIRST_TOOK, |e| e.took);
        let running = f64::from(self.work(target, now).running);
        took * (1.0 + running / f64::from(slots.max(1)))
    }
}
