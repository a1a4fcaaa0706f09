//! Which fetch of what the store has lost is in progress or done.

/// Fetches of what the store has lost, one at a time.
#[derive(Debug, Default)]
pub(super) struct KeptFetch {
    /// The era of the store and the number of rows, in progress.
    running: Option<(u32, u32)>,
    /// The same, completed. What was received once is not fetched again, even if this
    /// daemon had no use for some rows.
    done: (u32, u32),
}

impl KeptFetch {
    /// Whether a fetch of `kept` rows begins now.
    pub(super) fn begin(&mut self, era: u32, kept: u32) -> bool {
        if self.running.is_some() || self.done >= (era, kept) {
            return false;
        }
        self.running = Some((era, kept));
        true
    }

    pub(super) fn end(&mut self, completed: bool) {
        if let Some(running) = self.running.take().filter(|_| completed) {
            self.done = running;
        }
    }
}
