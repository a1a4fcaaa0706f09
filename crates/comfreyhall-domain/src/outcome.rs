//! What becomes of sending a request, and the one place that chooses the
//! answer from it.
//!
//! A caller repeats a request after an answer that says "not run", so that
//! answer is a promise. [`SendHistory`] collects every send of a request and
//! [`answer_for`] (with [`answer_quarantined`] for requests that are held back)
//! alone chooses between the promise and an answer that promises nothing; no other code picks a status for a request that may
//! have reached a target.

/// Why a target, or we, did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The target has no room.
    Full,
    /// The target does not hold the adapter or version, or is another boot.
    WrongTarget,
    /// The target refused the request for a reason of its own.
    Other,
}

/// What became of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached the target.
    NotSent,
    /// The target proved that it did not run it.
    Refused(Refusal),
    /// It may have run: no answer, or none that belongs to it.
    Indeterminate,
    /// The target answered whole.
    Answered,
    /// The answer began and broke off.
    Broken,
}

/// What all sends of a request together prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SendHistory {
    /// Targets it was sent to.
    pub sends: u32,
    /// Whether some send may have run it.
    pub may_have_run: bool,
    /// The last refusal.
    pub last_refusal: Option<Refusal>,
}

impl SendHistory {
    /// Takes in the outcome of one more send.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotSent => {}
            Outcome::Refused(r) => {
                self.sends += 1;
                self.last_refusal = Some(r);
            }
            Outcome::Indeterminate | Outcome::Broken | Outcome::Answered => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether the request may be sent to one more target.
    ///
    /// `repeatable`: it may run more than once. `attempts`: most targets.
    pub fn may_send(&self, repeatable: bool, attempts: u32) -> bool {
        self.sends < attempts.max(1) && (repeatable || !self.may_have_run)
    }
}

/// The answer to a request that no target answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It has not run and never will; come back after so many ms.
    NotRun {
        /// When to come back.
        retry_ms: u64,
    },
    /// It may have run, and the time for it is up.
    TimedOut,
    /// It may have run.
    Unknown,
    /// Its workspace is over its cap: it has not run and never will.
    OverCap {
        /// When there will be room for it again.
        retry_ms: u64,
    },
    /// It is held back: targets ended under it, and it is not sent again for
    /// now.
    Quarantined {
        /// Whether a send of this attempt may have run.
        may_have_run: bool,
        /// When to come back.
        retry_ms: u64,
    },
}

impl Answer {
    /// Its name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::NotRun { .. } => "not_run",
            Answer::TimedOut => "timed_out",
            Answer::Unknown => "unknown",
            Answer::OverCap { .. } => "over_cap",
            Answer::Quarantined { .. } => "quarantined",
        }
    }
}

/// The answer to a request that is held back after `verdict`.
pub fn answer_quarantined(verdict: &SendHistory, retry_ms: u64) -> Answer {
    Answer::Quarantined {
        may_have_run: verdict.may_have_run,
        retry_ms,
    }
}

/// The answer to a request after `verdict`.
///
/// `late`: its time is up. `retry_ms`: when to come back if it has not run.
pub fn answer_for(verdict: &SendHistory, late: bool, retry_ms: u64) -> Answer {
    match (verdict.may_have_run, late) {
        (false, _) => Answer::NotRun { retry_ms },
        (true, true) => Answer::TimedOut,
        (true, false) => Answer::Unknown,
    }
}
