//! When another target is asked beside those that have not answered.

/// Times that another target is sought while none has answered.
const MAX_SEEKS: u32 = 3;

/// Pause before another target is sought again, in ms.
const SEEK_PAUSE_MS: u64 = 400;

/// When another target is sought for a request that no target has answered yet.
#[derive(Debug)]
pub struct SeekTimer {
    /// Never, if no other target may be asked.
    due_ms: Option<u64>,
    seeks: u32,
}

impl SeekTimer {
    /// A timer for a target that was asked at `now` and is silent after `limit_ms`.
    pub fn new(limit_ms: Option<u64>, now: u64) -> Self {
        Self {
            due_ms: limit_ms.map(|ms| now + ms),
            seeks: 0,
        }
    }

    /// When another target is sought next.
    pub fn due_ms(&self) -> Option<u64> {
        self.due_ms.filter(|_| self.seeks < MAX_SEEKS)
    }

    /// Another target was asked at `now`; it is silent after `limit_ms`.
    pub fn asked(&mut self, limit_ms: Option<u64>, now: u64) {
        self.seeks += 1;
        self.due_ms = limit_ms.map(|ms| now + ms);
    }

    /// No other target was found at `now`.
    pub fn not_asked(&mut self, now: u64) {
        self.seeks += 1;
        self.failed(now);
    }

    /// The target that was asked last has failed at `now`, while others are silent.
    pub fn failed(&mut self, now: u64) {
        self.due_ms = Some(now + SEEK_PAUSE_MS);
    }
}
