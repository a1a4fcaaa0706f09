//! Outstanding work at each target, and how long a request would wait there.
//!
//! Engines process prompts one after the other, so the wait for a first token
//! follows from the backlog of prompt tokens ([`LatencyModel`]), while slots
//! stay nearly empty. Plain services run a few requests at once, so their wait
//! follows from the number of requests per slot. Daemons report to each other
//! what they have sent; the latency model and the duration of a request are
//! learned from the answers.

use comfreyhall_domain::{Map, Name};

use crate::{
    duration::PlainDuration,
    health::Health,
    latency::{LatencyModel, SpeedFactor},
};

/// Outstanding work of one daemon at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens sent and not yet processed.
    pub prefill_tokens: u64,
    /// Prompt tokens of requests that wait there for an adapter load.
    pub waiting_tokens: u64,
    /// Requests sent and not yet answered completely.
    pub requests: u32,
}

impl Work {
    /// The sum of both.
    pub fn plus(self, other: Work) -> Work {
        Work {
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            waiting_tokens: self.waiting_tokens.saturating_add(other.waiting_tokens),
            requests: self.requests.saturating_add(other.requests),
        }
    }

    /// The difference, at least zero in each field.
    fn minus(self, other: Work) -> Work {
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
    /// Work of each peer, with its expiry time.
    peers: Map<Name, (Work, u64)>,
    /// Work of all other daemons as aggregated by one peer, with its expiry
    /// time.
    others: Option<(Work, u64)>,
    health: Health,
    speed: SpeedFactor,
    duration: Option<PlainDuration>,
    /// When its last outcome was recorded.
    outcome_ms: u64,
}

impl Entry {
    /// Own work plus the unexpired reports of peers.
    fn reported_sum(&self, now: u64) -> Work {
        let reports = self
            .peers
            .values()
            .filter(|(_, expires_at)| now <= *expires_at);
        reports.fold(self.own, |sum, (work, _)| sum.plus(*work))
    }
}

/// The outstanding work and the health of every target.
#[derive(Debug, Default)]
pub struct TargetStats {
    entries: Map<Name, Entry>,
    /// Latency model shared by all engines.
    model: LatencyModel,
    /// The same for prompts that were the only ones at their engine.
    alone: LatencyModel,
    /// Average duration of a plain request at any target.
    duration: PlainDuration,
}

impl TargetStats {
    fn entry(&mut self, target: &Name) -> &mut Entry {
        self.entries.entry(target.clone()).or_default()
    }

    /// Drops idle targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.entries
            .retain(|id, e| keep(id) || e.own != Work::default());
    }

    /// Records that a request with `tokens` of prompt was sent.
    pub fn request_sent(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill_tokens += tokens;
        own.requests += 1;
    }

    /// Records that a request with `tokens` of prompt starts to wait for a
    /// load.
    pub fn load_wait_started(&mut self, target: &Name, tokens: u64) {
        self.entry(target).own.waiting_tokens += tokens;
    }

    /// Records that a request with `tokens` of prompt no longer waits for a
    /// load.
    pub fn load_wait_ended(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.waiting_tokens = own.waiting_tokens.saturating_sub(tokens);
    }

    /// Records that a prompt of `tokens` was processed, or no longer has to be.
    pub fn prompt_read(&mut self, target: &Name, tokens: u64) {
        let own = &mut self.entry(target).own;
        own.prefill_tokens = own.prefill_tokens.saturating_sub(tokens);
    }

    /// Records the end of a request.
    pub fn request_ended(&mut self, target: &Name) {
        let own = &mut self.entry(target).own;
        own.requests = own.requests.saturating_sub(1);
    }

    /// Updates the latency model with a first token that came after `waited`
    /// ms, with `tokens` of prompt to process before it, its own included.
    /// Returns the ms that were expected at the mean of all engines, if any.
    pub fn record_first_token(&mut self, target: &Name, tokens: u64, waited: u64) -> Option<f64> {
        if tokens == 0 {
            return None;
        }
        let (tokens, waited) = (tokens as f64, waited as f64);
        let expected = self.model.predict_ms(tokens);
        self.entry(target).speed.record(waited, expected);
        self.model.record(tokens, waited);
        Some(expected)
    }

    /// Updates the time to read a prompt with one of `tokens` that was the only one
    /// at its engine; `waited_ms` is relative to the pace of that engine.
    ///
    /// The backlog of an engine is known with an error only, which makes the
    /// latency seem to depend on it less than it does.
    pub fn record_alone(&mut self, tokens: u64, waited_ms: f64) {
        self.alone.record(tokens as f64, waited_ms);
    }

    /// Time in which an engine of mean pace does nothing but read `tokens`.
    pub fn reading_ms(&self, tokens: f64) -> f64 {
        self.alone.slope() * tokens
    }

    /// Updates the average duration of plain requests with the one whose outcome
    /// was recorded last for `target`.
    pub fn record_duration(&mut self, target: &Name, duration_ms: u64) {
        let duration_ms = duration_ms as f64;
        let entry = self.entry(target);
        let at_ms = entry.outcome_ms;
        match &mut entry.duration {
            Some(known) => known.record(duration_ms, at_ms),
            None => entry.duration = Some(PlainDuration::first(duration_ms, at_ms)),
        }
        self.duration.record(duration_ms, at_ms);
    }

    /// Records whether an answer was good; `weight` is how strong this evidence
    /// is.
    pub fn record_outcome(&mut self, target: &Name, ok: bool, weight: f64, now: u64) {
        let entry = self.entry(target);
        entry.health.record(ok, weight, now);
        entry.outcome_ms = now;
    }

    /// Replaces what `peer` has at all targets; it counts until `expires_at`.
    ///
    /// A peer lists only targets where it has work. Its earlier entries are
    /// dropped, since otherwise a request that has ended would count until it
    /// expires.
    pub fn set_peer_work(&mut self, peer: &Name, works: &Map<Name, Work>, expires_at: u64) {
        for (target, entry) in &mut self.entries {
            if !works.contains_key(target) {
                entry.peers.remove(peer);
            }
        }
        for (target, work) in works {
            let peers = &mut self.entry(target).peers;
            peers.insert(peer.clone(), (*work, expires_at));
        }
    }

    /// Adds `work` of `peer` at `target`, which counts until `expires_at`.
    pub fn add_peer_work(&mut self, peer: &Name, target: &Name, work: Work, expires_at: u64) {
        let peers = &mut self.entry(target).peers;
        let (known, known_expiry) = peers.entry(peer.clone()).or_default();
        *known = known.plus(work);
        *known_expiry = expires_at.max(*known_expiry);
    }

    /// Subtracts `work` of `peer` at `target`.
    pub fn subtract_peer_work(&mut self, peer: &Name, target: &Name, work: Work) {
        if let Some((known, _)) = self.entry(target).peers.get_mut(peer) {
            *known = known.minus(work);
        }
    }

    /// Sets what all other daemons together have at `target`. Until
    /// `expires_at` it replaces the reports of single peers.
    pub fn set_others_work(&mut self, target: &Name, work: Work, expires_at: u64) {
        self.entry(target).others = Some((work, expires_at));
    }

    /// Outstanding work of this daemon, to be reported to peers.
    pub fn own_work(&self) -> impl Iterator<Item = (&Name, Work)> {
        let with_work = self
            .entries
            .iter()
            .filter(|(_, e)| e.own != Work::default());
        with_work.map(|(id, e)| (id, e.own))
    }

    /// Outstanding work of all daemons at `target`.
    pub fn total_work(&self, target: &Name, now: u64) -> Work {
        let Some(entry) = self.entries.get(target) else {
            return Work::default();
        };
        match entry.others {
            Some((others, expires_at)) if now <= expires_at => entry.own.plus(others),
            _ => entry.reported_sum(now),
        }
    }

    /// Work at `target` summed over the daemons' own reports.
    pub fn reported_work(&self, target: &Name, now: u64) -> Work {
        let entry = self.entries.get(target);
        entry.map_or(Work::default(), |e| e.reported_sum(now))
    }

    /// Work at `target` by the last report of `peer`, if it has not expired.
    pub fn peer_work(&self, target: &Name, peer: &str, now: u64) -> Work {
        let reports = self.entries.get(target).and_then(|e| e.peers.get(peer));
        reports
            .filter(|(_, expires_at)| now <= *expires_at)
            .map_or(Work::default(), |(work, _)| *work)
    }

    /// Expected share of good answers of `target`.
    pub fn health(&self, target: &Name, now: u64) -> f64 {
        let entry = self.entries.get(target);
        entry.map_or(1.0, |e| e.health.success_rate(now))
    }

    /// Estimated time until an engine has processed `tokens` more of prompt.
    pub fn prefill_ms(&self, target: &Name, tokens: u64, now: u64) -> f64 {
        let entry = self.entries.get(target);
        let speed = entry.map_or(1.0, |e| e.speed.get());
        speed * self.mean_prefill_ms(target, tokens, now)
    }

    /// The same for an engine of mean speed with the backlog of `target`.
    pub fn mean_prefill_ms(&self, target: &Name, tokens: u64, now: u64) -> f64 {
        self.model
            .predict_ms(self.backlog(target, now) + tokens as f64)
    }

    /// Prompt tokens that `target` has yet to process.
    pub fn backlog(&self, target: &Name, now: u64) -> f64 {
        let work = self.total_work(target, now);
        work.prefill_tokens.saturating_add(work.waiting_tokens) as f64
    }

    /// Time for which an engine is busy with a prompt of `tokens`.
    pub fn read_duration_ms(&self, tokens: f64) -> f64 {
        self.model.predict_ms(tokens) - self.model.predict_ms(0.0)
    }

    /// Estimated time until a target with `slots` answers a plain request.
    pub fn plain_ms(&self, target: &Name, slots: u32, now: u64) -> f64 {
        let entry = self.entries.get(target);
        let known = entry.and_then(|e| e.duration).unwrap_or(self.duration);
        let duration_ms = known.at(now);
        let running = f64::from(self.total_work(target, now).requests);
        duration_ms * (1.0 + running / f64::from(slots.max(1)))
    }
}
