//! What is on each target's table, and how long a request would wait there.
//!
//! Model engines read prompts in turn, so the wait for a first token follows
//! from the backlog of prompt tokens ([`LatencyModel`]), while slots stay nearly
//! empty; plain services run a few requests at once, so
//! their wait is how many there are over the slots. Daemons tell each other
//! what they have sent; the line and the time of a request are learned from
//! the answers.

use comfreyhall_domain::{Map, Name};

use crate::{
    health::Health,
    speed::{LatencyModel, SpeedFactor},
};

/// Weight of one sample in the learned time of a plain request.
const GAIN: f64 = 0.1;

/// Time of a request at a plain service before any is measured, in ms.
const FIRST_TOOK: f64 = 60.0;

/// What one daemon has at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens sent and not yet read.
    pub prefill_tokens: u64,
    /// Prompt tokens of requests that wait for a load there.
    pub waiting_tokens: u64,
    /// Requests sent and not yet answered whole.
    pub requests: u32,
}

impl Work {
    /// Both together.
    pub fn plus(self, other: Work) -> Work {
        Work {
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            waiting_tokens: self.waiting_tokens + other.waiting_tokens,
            requests: self.requests + other.requests,
        }
    }

    /// What is left of it without `other`.
    fn less(self, other: Work) -> Work {
        Work {
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            waiting_tokens: self.waiting_tokens.saturating_sub(other.waiting_tokens),
            requests: self.requests.saturating_sub(other.requests),
        }
    }
}

#[derive(Debug, Default)]
struct Entry {
    own: Work,
    /// Work of each peer, and until when that holds.
    peers: Map<Name, (Work, u64)>,
    /// Work of all others as one peer sums it up, and until when that holds.
    total: Option<(Work, u64)>,
    health: Health,
    factor: SpeedFactor,
    took: Option<f64>,
}

impl Entry {
    /// Own work and that of peers heard from lately.
    fn sum(&self, now: u64) -> Work {
        let told = self.peers.values().filter(|(_, until)| now <= *until);
        told.fold(self.own, |sum, (work, _)| sum.plus(*work))
    }
}

/// The work and the health of every target.
#[derive(Debug)]
pub struct TargetStats {
    entries: Map<Name, Entry>,
    /// What engines have in common.
    line: LatencyModel,
    /// Time of a plain request at any target, in ms.
    took: f64,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            entries: Map::default(),
            line: LatencyModel::default(),
            took: FIRST_TOOK,
        }
    }
}

impl TargetStats {
    fn entry(&mut self, target: &Name) -> &mut Entry {
        self.entries.entry(target.clone()).or_default()
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.entries
            .retain(|id, e| keep(id) || e.own != Work::default());
    }

    /// A request with `tokens` of prompt to read is sent.
    pub fn request_sent(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill_tokens += tokens;
        own.requests += 1;
    }

    /// A request with `tokens` of prompt begins to wait for a load.
    pub fn load_wait_started(&mut self, target: &Name, tokens: u64) {
        self.entry(target).own.waiting_tokens += tokens;
    }

    /// A request with `tokens` of prompt no longer waits for a load.
    pub fn load_wait_ended(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.waiting_tokens = own.waiting_tokens.saturating_sub(tokens);
    }

    /// The prompt of `tokens` was read, or no longer needs to be.
    pub fn prompt_read(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill_tokens = own.prefill_tokens.saturating_sub(tokens);
    }

    /// A request ended.
    pub fn request_ended(&mut self, target: &Name) {
        let own = &mut self.entry(target).own;
        own.requests = own.requests.saturating_sub(1);
    }

    /// Learns from a first token after `waited` ms that had `tokens` of
    /// prompt before it, its own included.
    pub fn record_first_token(&mut self, target: &Name, tokens: u64, waited: u64) {
        if tokens == 0 {
            return;
        }
        let (tokens, waited) = (tokens as f64, waited as f64);
        let expected = self.line.predict_ms(tokens);
        self.entry(target).factor.record(waited, expected);
        self.line.record(tokens, waited);
    }

    /// Learns how long a plain request takes.
    pub fn record_duration(&mut self, target: &Name, took: u64) {
        let took = took as f64;
        self.took += GAIN * (took - self.took);
        let own = &mut self.entry(target).took;
        let before = own.unwrap_or(took);
        *own = Some(before + GAIN * (took - before));
    }

    /// Takes in how an answer was; `weight`: how much it proves.
    pub fn record_outcome(&mut self, target: &Name, ok: bool, weight: f64, now: u64) {
        self.entry(target).health.record(ok, weight, now);
    }

    /// Takes in what `peer` has, at all targets; it counts until `until`.
    ///
    /// A peer names only targets where it has work. Without dropping what it
    /// named before, a request that has ended counts until then.
    pub fn set_peer_work(&mut self, peer: &Name, works: &Map<Name, Work>, until: u64) {
        for (target, entry) in &mut self.entries {
            if !works.contains_key(target) {
                entry.peers.remove(peer);
            }
        }
        for (target, work) in works {
            let peers = &mut self.entry(target).peers;
            peers.insert(peer.clone(), (*work, until));
        }
    }

    /// `peer` has `work` more at `target`, which counts until `until`.
    pub fn add_peer_work(&mut self, peer: &Name, target: &Name, work: Work, until: u64) {
        let peers = &mut self.entry(target).peers;
        let (known, end) = peers.entry(peer.clone()).or_default();
        *known = known.plus(work);
        *end = until.max(*end);
    }

    /// `peer` has `work` less at `target`.
    pub fn subtract_peer_work(&mut self, peer: &Name, target: &Name, work: Work) {
        if let Some((known, _)) = self.entry(target).peers.get_mut(peer) {
            *known = known.less(work);
        }
    }

    /// Takes in what all others together have at `target`; until then it
    /// counts in place of what single peers told.
    pub fn set_others_work(&mut self, target: &Name, work: Work, until: u64) {
        self.entry(target).total = Some((work, until));
    }

    /// Work of this daemon, for its peers.
    pub fn own_work(&self) -> impl Iterator<Item = (&Name, Work)> {
        let busy = self
            .entries
            .iter()
            .filter(|(_, e)| e.own != Work::default());
        busy.map(|(id, e)| (id, e.own))
    }

    /// Work of all daemons at `target`.
    pub fn total_work(&self, target: &Name, now: u64) -> Work {
        let Some(entry) = self.entries.get(target) else {
            return Work::default();
        };
        match entry.total {
            Some((total, until)) if now <= until => entry.own.plus(total),
            _ => entry.sum(now),
        }
    }

    /// Work at `target` of all daemons, from their own word.
    pub fn reported_work(&self, target: &Name, now: u64) -> Work {
        let entry = self.entries.get(target);
        entry.map_or(Work::default(), |e| e.sum(now))
    }

    /// Work at `target` that `peer` told of lately.
    pub fn peer_work(&self, target: &Name, peer: &str, now: u64) -> Work {
        let told = self.entries.get(target).and_then(|e| e.peers.get(peer));
        told.filter(|(_, until)| now <= *until)
            .map_or(Work::default(), |(work, _)| *work)
    }

    /// Share of good answers to expect of `target`.
    pub fn health(&self, target: &Name, now: u64) -> f64 {
        let entry = self.entries.get(target);
        entry.map_or(1.0, |e| e.health.success_rate(now))
    }

    /// Ms until an engine would have read `tokens` more of prompt.
    pub fn prefill_ms(&self, target: &Name, tokens: u64, now: u64) -> f64 {
        let entry = self.entries.get(target);
        let factor = entry.map_or(1.0, |e| e.factor.get());
        let work = self.total_work(target, now);
        factor
            * self
                .line
                .predict_ms((work.prefill_tokens + work.waiting_tokens + tokens) as f64)
    }

    /// Ms for which a prompt of `tokens` keeps an engine reading.
    pub fn read_duration_ms(&self, tokens: f64) -> f64 {
        self.line.predict_ms(tokens) - self.line.predict_ms(0.0)
    }

    /// Ms until a plain request would be answered by a target of `slots`.
    pub fn plain_ms(&self, target: &Name, slots: u32, now: u64) -> f64 {
        let entry = self.entries.get(target);
        let took = entry.and_then(|e| e.took).unwrap_or(self.took);
        let running = f64::from(self.total_work(target, now).requests);
        took * (1.0 + running / f64::from(slots.max(1)))
    }
}
