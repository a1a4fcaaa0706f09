//! Record of what a stand-in ran, by request id: the oracle of failure tests.

use std::sync::{Arc, Mutex};

use comfreyhall_protocol::{Map, Run, RunsReply};

/// Counts of starts, resumes and ends per request id.
#[derive(Clone, Default)]
pub(crate) struct Runs {
    inner: Arc<Mutex<Map<String, Run>>>,
}

impl Runs {
    fn update(&self, id: &str, change: impl FnOnce(&mut Run)) {
        let mut runs = self.inner.lock().unwrap();
        let run = runs.entry(id.to_string()).or_insert_with(|| Run {
            request_id: id.to_string(),
            ..Run::default()
        });
        change(run);
    }

    /// Counts an accepted request as a resume or a start.
    pub(crate) fn start(&self, id: &str, resumed: bool) {
        self.update(id, |r| {
            if resumed {
                r.resumes += 1;
            } else {
                r.starts += 1;
            }
        });
    }

    /// Counts a request that ran to completion.
    pub(crate) fn end(&self, id: &str) {
        self.update(id, |r| r.ends += 1);
    }

    /// Returns all counts, together with the number of rejected calls.
    pub(crate) fn list(&self, rejected: u64) -> RunsReply {
        let runs = self.inner.lock().unwrap();
        RunsReply {
            runs: runs.values().cloned().collect(),
            turned: rejected,
        }
    }
}
