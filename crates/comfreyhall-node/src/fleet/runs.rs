//! Runs at engines, as reported by the daemons that send them.
//!
//! The holder of a group's lease chooses the engine of every run there, so it
//! must know all of them. A daemon's gossip lists its runs; between two
//! messages the holder adds the runs that it has just bound, and updates those
//! that the daemon reports as read or ended.

use comfreyhall_domain::{AdapterRef, Map, Name};
use comfreyhall_protocol::EngineRun;
use comfreyhall_routing::Work;
use comfreyhall_slots::SlotShare;

use crate::adapter_key::{adapter_key, parse_adapter_key};

/// How long a run that was bound for a daemon counts although its gossip does
/// not list it, in ms: the last message may have been made before the daemon
/// had the answer, which takes a few ms, and a daemon with little processor may
/// take a tenth of a second to send it.
const UNREPORTED_MS: u64 = 500;

/// One run at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) target: Name,
    /// Failure domain of the engine, whose lease holder gets the reports.
    pub(crate) group: Name,
    /// Whose share of the slots it uses.
    pub(crate) share: SlotShare,
    /// The adapter in use; `None` for the base model.
    pub(crate) adapter: Option<AdapterRef>,
    /// Prompt tokens not read yet.
    pub(crate) unread_tokens: u64,
    /// Prompt tokens to be read before its first event, including its own.
    pub(crate) queued_tokens: u64,
    /// When the holder bound it; 0 if it is known only from its daemon.
    pub(crate) bound_at_ms: u64,
    /// When it began, as far as is known here.
    pub(crate) began_at_ms: u64,
}

impl Run {
    /// The engine load that it causes.
    pub(crate) fn work(&self) -> Work {
        Work {
            prefill_tokens: self.unread_tokens,
            waiting_tokens: 0,
            requests: 1,
        }
    }

    /// Encodes the run for the wire.
    pub(super) fn to_wire(&self, id: u64, now: u64) -> EngineRun {
        EngineRun {
            id,
            target: self.target.to_string(),
            adapter: self
                .adapter
                .as_ref()
                .map(adapter_key)
                .as_deref()
                .unwrap_or("")
                .into(),
            unread: self.unread_tokens,
            share: self.share.as_str().to_string(),
            age_ms: now.saturating_sub(self.began_at_ms),
        }
    }
}

/// Runs of one daemon by id.
#[derive(Debug, Default)]
pub(super) struct Runs(Map<u64, Run>);

impl Runs {
    pub(super) fn begin(&mut self, id: u64, run: Run) {
        self.0.insert(id, run);
    }

    /// Marks the prompt as read; returns the run as it was before.
    pub(super) fn mark_prompt_read(&mut self, id: u64) -> Option<Run> {
        let run = self.0.get_mut(&id)?;
        let before = run.clone();
        run.unread_tokens = 0;
        Some(before)
    }

    /// Removes the run and returns it.
    pub(super) fn end(&mut self, id: u64) -> Option<Run> {
        self.0.remove(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Run)> {
        self.0.iter().map(|(id, run)| (*id, run))
    }

    /// Replaces the runs by those that the daemon reports, except recently
    /// bound ones.
    pub(super) fn reconcile(&mut self, reported: &[EngineRun], now: u64) {
        let mut known = std::mem::take(&mut self.0);
        for run in reported {
            let before = known.remove(&run.id);
            self.0.insert(run.id, from_wire(run, before.as_ref(), now));
        }
        known.retain(|_, r| r.bound_at_ms > 0 && now.saturating_sub(r.bound_at_ms) < UNREPORTED_MS);
        self.0.extend(known);
    }

    /// Total engine load by target.
    pub(super) fn work_by_target(&self) -> Map<Name, Work> {
        let mut out: Map<Name, Work> = Map::default();
        for run in self.0.values() {
            let work = out.entry(run.target.clone()).or_default();
            *work = work.plus(run.work());
        }
        out
    }

    /// Each adapter in use at an engine.
    pub(super) fn uses(&self) -> impl Iterator<Item = (&Name, &AdapterRef)> {
        let runs = self.0.values();
        runs.filter_map(|r| Some((&r.target, r.adapter.as_ref()?)))
    }
}

fn from_wire(run: &EngineRun, before: Option<&Run>, now: u64) -> Run {
    let adapter = parse_adapter_key(&run.adapter).filter(|a| a.adapter.is_some());
    Run {
        target: run.target.as_str().into(),
        group: before.map_or("".into(), |b| b.group.clone()),
        share: SlotShare::from_wire(&run.share),
        adapter,
        unread_tokens: run.unread,
        queued_tokens: before.map_or(0, |b| b.queued_tokens),
        bound_at_ms: before.map_or(0, |b| b.bound_at_ms),
        began_at_ms: before.map_or(now.saturating_sub(run.age_ms), |b| b.began_at_ms),
    }
}

#[cfg(test)]
mod tests;
