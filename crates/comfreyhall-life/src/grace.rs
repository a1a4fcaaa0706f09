//! What is left of the time that a process has once a planned stop has begun.
//!
//! What a process still holds when it ends is dropped without an answer. So every wait of a
//! request that has not been sent, and every send, asks [`Grace`] first.

/// Time before the platform kills the process at which remaining requests are abandoned, in
/// ms, so that the process still ends by itself.
const STOP_MARGIN_MS: u64 = 400;

/// Time before that at which requests without an answer get one, in ms, so that it is
/// written before the process ends.
const ANSWER_MARGIN_MS: u64 = 100;

/// What a planned stop has to know of a request that is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTiming {
    /// Its deadline, in ms of the daemon's clock.
    pub deadline_ms: u64,
    /// Expected time from the send to the end of the answer, in ms; 0 if it is not known.
    pub run_ms: u64,
    /// Whether it may have run, so that its caller cannot be told that it has not.
    pub may_have_run: bool,
}

/// The time of a planned stop, in ms of the daemon's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    linger_ends_ms: u64,
    ends_ms: u64,
}

impl Grace {
    /// The stop that began at `began_ms` of a process that is killed `kill_ms` later; for
    /// `linger_ms` requests are sent whose answer may outlast it.
    pub fn new(began_ms: u64, linger_ms: u64, kill_ms: u64) -> Self {
        let length_ms = kill_ms.saturating_sub(STOP_MARGIN_MS);
        Self {
            linger_ends_ms: began_ms.saturating_add(linger_ms),
            ends_ms: began_ms.saturating_add(length_ms),
        }
    }

    /// When the process ends at the latest.
    pub fn ends_ms(self) -> u64 {
        self.ends_ms
    }

    /// When requests without an answer get one.
    pub fn answer_by_ms(self) -> u64 {
        self.ends_ms.saturating_sub(ANSWER_MARGIN_MS)
    }

    /// When it is too late to send a request; `None` if its answer ends before the process
    /// whenever it is sent.
    ///
    /// Callers with an old address answer are served as long as they may keep it. After
    /// that a request whose answer may outlast the process is rejected, sent or waiting: its
    /// caller can still be served elsewhere. One that may have run has no such choice, and
    /// is sent again while its answer is expected in time.
    pub fn send_by_ms(self, send: SendTiming) -> Option<u64> {
        if send.deadline_ms < self.ends_ms {
            return None;
        }
        let in_time_ms = self.answer_by_ms().saturating_sub(send.run_ms);
        Some(match send.may_have_run {
            true => in_time_ms,
            false => in_time_ms.min(self.linger_ends_ms),
        })
    }

    /// Whether a request may be sent at `now`.
    pub fn allows(self, send: SendTiming, now: u64) -> bool {
        self.send_by_ms(send).is_none_or(|by_ms| now < by_ms)
    }
}

#[cfg(test)]
#[path = "grace_tests.rs"]
mod tests;
