//! Runs at engines and adapters in use, of this daemon and of the others.

use std::sync::atomic::Ordering;

use comfreyhall_domain::{AdapterRef, Map, Name, Set};

use super::{runs::Run, state::Fleet};

impl Fleet {
    /// Counts a request that waits for `adapter` at `target`.
    pub(crate) fn pin(&self, target: &Name, adapter: &AdapterRef) {
        let key = (target.clone(), adapter.clone());
        *self.state().pins.entry(key).or_default() += 1;
    }

    pub(crate) fn unpin(&self, target: &Name, adapter: &AdapterRef) {
        let key = (target.clone(), adapter.clone());
        let mut state = self.state();
        if let Some(count) = state.pins.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                state.pins.remove(&key);
            }
        }
    }

    /// Returns an id for a run of this daemon.
    pub(crate) fn next_run_id(&self) -> u64 {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that a run of this daemon is being sent to its engine.
    pub(crate) fn start_run(&self, id: u64, run: Run) {
        self.state().runs.begin(id, run);
    }

    /// Records that the engine has read the prompt of a run of this daemon.
    pub(crate) fn mark_prompt_read(&self, id: u64) {
        self.state().runs.mark_prompt_read(id);
    }

    /// Records that a run of this daemon has ended, and returns it.
    pub(crate) fn end_run(&self, id: u64) -> Option<Run> {
        self.state().runs.end(id)
    }

    /// Calls `visit` with each run known here, of any daemon.
    pub(crate) fn visit_runs(&self, now: u64, mut visit: impl FnMut(&Run)) {
        let state = self.state();
        let theirs = state.recent_peers(now).map(|(_, p)| &p.runs);
        for runs in std::iter::once(&state.runs).chain(theirs) {
            runs.iter().for_each(|(_, run)| visit(run));
        }
    }

    /// Adapters in use at `target`, on any daemon.
    pub(crate) fn in_use_at(&self, target: &Name, now: u64) -> Set<AdapterRef> {
        let state = self.state();
        let here = state.uses(now).filter(|(t, _)| *t == target);
        here.map(|(_, adapter)| adapter.clone()).collect()
    }

    /// Adapters in use at each target, on any daemon.
    pub(crate) fn in_use(&self, now: u64) -> Map<Name, Vec<AdapterRef>> {
        let state = self.state();
        let mut out: Map<Name, Vec<AdapterRef>> = Map::default();
        for (target, adapter) in state.pinned(now) {
            out.entry(target.clone()).or_default().push(adapter.clone());
        }
        out
    }

    /// Number of adapters in use at targets, as reported by lease holders.
    pub(crate) fn reported_in_use(&self, now: u64) -> Map<Name, u32> {
        let state = self.state();
        let reported = state
            .recent_peers(now)
            .flat_map(|(_, p)| p.reported_use.iter());
        reported.map(|(t, n)| (t.clone(), *n)).collect()
    }
}
