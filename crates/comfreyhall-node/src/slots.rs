//! Scarce adapter slots at the lease holder of a group.
//!
//! The decisions are in `comfreyhall-slots`; this module feeds them what the
//! holder sees of runs and waiting requests.

use std::sync::{Mutex, MutexGuard};

use comfreyhall_domain::{Map, Name};
use comfreyhall_slots::SlotLedger;

use crate::{bind::BindParams, fleet::Run, node::Node};

/// The ledgers of the groups whose lease this daemon holds, and what it knows of
/// the others.
#[derive(Debug, Default)]
pub(crate) struct SlotLedgers {
    by_group: Mutex<Map<Name, SlotLedger>>,
}

/// Whether a request may wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotDecision {
    /// It may wait.
    Wait,
    /// No slot becomes free for it in time.
    #[expect(
        dead_code,
        reason = "every request may wait until the schedule decides"
    )]
    Reject {
        /// Ms after which one is expected for it.
        return_ms: u64,
    },
}

impl SlotLedgers {
    fn ledgers(&self) -> MutexGuard<'_, Map<Name, SlotLedger>> {
        self.by_group.lock().expect("no holder of this lock panics")
    }

    /// Adds the slot time of a run that has ended.
    pub(crate) fn record_end(&self, run: &Run, now: u64) {
        if run.adapter.is_none() {
            return;
        }
        let slot_ms = now.saturating_sub(run.began_at_ms) as f64;
        let mut ledgers = self.ledgers();
        let ledger = ledgers.entry(run.group.clone()).or_default();
        ledger.add_use(&run.share, slot_ms, now);
    }
}

/// Decides whether the request of `params` may wait for a slot of its group.
pub(crate) fn decide(node: &Node, params: &BindParams) -> SlotDecision {
    let _ = (node, params);
    SlotDecision::Wait
}
