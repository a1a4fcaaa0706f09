//! Requests served since the last report to the holder of the order lease.

use std::sync::{Arc, Mutex};

use comfreyhall_protocol::{Demand, Map};

/// Request counts by `adapter@version`.
#[derive(Default)]
pub(crate) struct Demands {
    counts: Mutex<Map<Arc<str>, u32>>,
}

impl Demands {
    /// Counts one request for `key`.
    pub(crate) fn count(&self, key: &Arc<str>) {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        *counts.entry(key.clone()).or_default() += 1;
    }

    /// What was counted since the last call.
    pub(crate) fn take(&self) -> Vec<Demand> {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        let demand = |(key, requests): (Arc<str>, u32)| Demand {
            key: key.to_string(),
            requests,
        };
        counts.drain().map(demand).collect()
    }
}
