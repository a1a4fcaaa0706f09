//! Which fetch of what the store has lost is in progress or done.

/// Least time between the beginnings of two fetches, in ms: what daemons keep changes with
/// each row that is written again.
const MIN_PAUSE_MS: u64 = 500;

/// Fetches of what the store has lost, one at a time.
#[derive(Debug, Default)]
pub(super) struct KeptFetch {
    /// The era of the store and the digest of the rows, in progress.
    running: Option<(u32, u32)>,
    /// The era and the digests of completed ones. What was received once is not fetched
    /// again, even if this daemon had no use for some rows.
    done: (u32, Vec<u32>),
    /// When the next one may begin.
    next_ms: u64,
}

impl KeptFetch {
    /// Whether a fetch of the rows with the digest `kept` begins at `now`.
    pub(super) fn begin(&mut self, era: u32, kept: u32, now: u64) -> bool {
        let (done_era, done) = &self.done;
        let is_done = *done_era > era || (*done_era == era && done.contains(&kept));
        if self.running.is_some() || is_done || now < self.next_ms {
            return false;
        }
        self.running = Some((era, kept));
        self.next_ms = now + MIN_PAUSE_MS;
        true
    }

    /// Whether a fetch is in progress.
    #[cfg(test)]
    pub(super) fn is_running(&self) -> bool {
        self.running.is_some()
    }

    pub(super) fn end(&mut self, completed: bool) {
        let Some((era, kept)) = self.running.take().filter(|_| completed) else {
            return;
        };
        if self.done.0 < era {
            self.done = (era, Vec::new());
        }
        self.done.1.push(kept);
    }
}
