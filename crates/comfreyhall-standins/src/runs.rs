//! What a stand-in ran, by request id: the oracle of failure tests.

use std::sync::{Arc, Mutex};

use comfreyhall_protocol::{Map, Run, RunsReply};

/// Counts of starts, resumes and ends per request id.
#[derive(Clone, Default)]
pub(crate) struct Runs {
    inner: Arc<Mutex<Map<String, Run>>>,
}

impl Runs {
    fn with(&self, id: &str, change: impl FnOnce(&mut Run)) {
        let mut runs = self.inner.lock().unwrap();
        let run = runs.entry(id.to_string()).or_insert_with(|| Run {
            request_id: id.to_string(),
            ..Run::default()
        });
        change(run);
    }

    /// Counts an accepted request.
    pub(crate) fn start(&self, id: &str, resumed: bool) {
        self.with(id, |r| {
            if resumed {
                r.resumes += 1;
            } else {
                r.starts += 1;
            }
        });
    }

    /// Counts a request that ran to its end.
    pub(crate) fn end(&self, id: &str) {
        self.with(id, |r| r.ends += 1);
    }

    /// Everything counted so far, and how many calls were turned away.
    pub(crate) fn list(&self, turned: u64) -> RunsReply {
        let runs = self.inner.lock().unwrap();
        RunsReply {
            runs: runs.values().cloned().collect(),
            turned,
        }
    }
}
