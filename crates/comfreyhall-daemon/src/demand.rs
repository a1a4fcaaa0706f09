//! Counts the requests served since the last report to the holder of the lease
//! on load commands.

use std::sync::{Arc, Mutex};

use comfreyhall_protocol::{Demand, Map};

/// Request counts by `adapter@version`.
#[derive(Default)]
pub(crate) struct DemandCounter {
    counts: Mutex<Map<Arc<str>, u32>>,
}

impl DemandCounter {
    /// Counts one request for `key`.
    pub(crate) fn count(&self, key: &Arc<str>) {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        *counts.entry(key.clone()).or_default() += 1;
    }

    /// Returns the counts since the last call and resets them.
    pub(crate) fn drain(&self) -> Vec<Demand> {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        let demand = |(key, requests): (Arc<str>, u32)| Demand {
            key: key.to_string(),
            requests,
        };
        counts.drain().map(demand).collect()
    }
}
