//! Runs at engines, as the daemons that send them tell.
//!
//! Whoever holds the lease of a group chooses the engine of every run there,
//! so it has to know of all of them. A daemon's news names its runs; between
//! two of them the holder adds those that it has just bound, and takes off
//! what the daemon says was read or has ended.

use comfreyhall_domain::{AdapterRef, Map, Name};
use comfreyhall_protocol::EngineRun;
use comfreyhall_routing::Work;

use super::{adapter_key, parse_adapter_key};

/// How long a run that was bound for a daemon counts though its news does not
/// name it, in ms: its last news may have been made before it had the answer,
/// which is some ms, and a daemon with little processor may take a tenth of a
/// second to send it.
const UNTOLD_MS: u64 = 500;

/// One run at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) target: Name,
    /// Failure domain of the engine, whose holder is told.
    pub(crate) group: Name,
    /// What it uses; `None` for the base model itself.
    pub(crate) adapter: Option<AdapterRef>,
    /// Prompt tokens not read yet.
    pub(crate) unread_tokens: u64,
    /// Prompt tokens to be read before its first event, its own included.
    pub(crate) queued_tokens: u64,
    /// When the holder bound it; 0 if only its daemon told of it.
    pub(crate) bound_at_ms: u64,
}

impl Run {
    /// What it is on its engine's table.
    pub(crate) fn work(&self) -> Work {
        Work {
            prefill_tokens: self.unread_tokens,
            waiting_tokens: 0,
            requests: 1,
        }
    }

    /// The run for the wire.
    pub(super) fn to_wire(&self, id: u64) -> EngineRun {
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
        }
    }
}

/// Runs of one daemon by number.
#[derive(Debug, Default)]
pub(super) struct Runs(Map<u64, Run>);

impl Runs {
    pub(super) fn begin(&mut self, id: u64, run: Run) {
        self.0.insert(id, run);
    }

    /// Its prompt was read: the run as it was before.
    pub(super) fn read(&mut self, id: u64) -> Option<Run> {
        let run = self.0.get_mut(&id)?;
        let before = run.clone();
        run.unread_tokens = 0;
        Some(before)
    }

    /// It ended: the run as it was before.
    pub(super) fn end(&mut self, id: u64) -> Option<Run> {
        self.0.remove(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Run)> {
        self.0.iter().map(|(id, run)| (*id, run))
    }

    /// Takes in what the daemon says it runs at `now`.
    pub(super) fn replace(&mut self, told: &[EngineRun], now: u64) {
        let mut known = std::mem::take(&mut self.0);
        for run in told {
            let before = known.remove(&run.id);
            self.0.insert(run.id, from_wire(run, before.as_ref()));
        }
        known.retain(|_, r| r.bound_at_ms > 0 && now.saturating_sub(r.bound_at_ms) < UNTOLD_MS);
        self.0.extend(known);
    }

    /// What they are on each engine's table.
    pub(super) fn works(&self) -> Map<Name, Work> {
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

fn from_wire(run: &EngineRun, before: Option<&Run>) -> Run {
    let adapter = parse_adapter_key(&run.adapter).filter(|a| a.adapter.is_some());
    Run {
        target: run.target.as_str().into(),
        group: before.map_or("".into(), |b| b.group.clone()),
        adapter,
        unread_tokens: run.unread,
        queued_tokens: before.map_or(0, |b| b.queued_tokens),
        bound_at_ms: before.map_or(0, |b| b.bound_at_ms),
    }
}

#[cfg(test)]
mod tests;
