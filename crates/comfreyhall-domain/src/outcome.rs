//! Outcomes of sending a request, and the only code that derives the client's
//! answer from them.
//!
//! Clients repeat a request after an answer that says "not run", so that answer
//! is a guarantee. [`SendHistory`] accumulates every send of a request. Only
//! [`answer_for`], and [`answer_quarantined`] for requests that are
//! quarantined, choose between that guarantee and an answer that promises
//! nothing; no other code picks a status for a request that may have reached a
//! target.

/// Why a target, or this daemon, did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The target is at capacity.
    Full,
    /// The target does not have the adapter or version, or it has restarted
    /// since.
    WrongTarget,
    /// The target refused the request for another reason.
    Other,
}

/// Result of sending a request to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not reach the target.
    NotSent,
    /// The target confirmed that it did not run the request.
    Refused(Refusal),
    /// The request may have run: there was no answer, or none that can be
    /// attributed to it.
    Indeterminate,
    /// The target sent a complete answer.
    Answered,
    /// The answer started, but the connection broke off before its end.
    Broken,
}

/// What is known about a request after all its sends so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SendHistory {
    /// Number of targets that the request was sent to.
    pub sends: u32,
    /// Whether any send may have run the request.
    pub may_have_run: bool,
    /// The most recent refusal.
    pub last_refusal: Option<Refusal>,
}

impl SendHistory {
    /// Records the outcome of one more send.
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
    /// `repeatable`: the request may run more than once. `max_attempts`:
    /// maximum number of targets.
    pub fn may_send(&self, repeatable: bool, max_attempts: u32) -> bool {
        self.sends < max_attempts.max(1) && (repeatable || !self.may_have_run)
    }
}

/// The answer to a request that no target answered completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The request has not run and will not run.
    NotRun {
        /// Delay after which the client may retry, in ms.
        retry_ms: u64,
    },
    /// The request may have run, and its deadline has passed.
    TimedOut,
    /// The request may have run.
    Unknown,
    /// The workspace is over its quota; the request has not run and will not
    /// run.
    OverCap {
        /// Delay until the quota allows the request again, in ms.
        retry_ms: u64,
    },
    /// The request is quarantined: targets crashed while running it, so it is
    /// not sent again for now.
    Quarantined {
        /// Whether any send of this attempt may have run.
        may_have_run: bool,
        /// Delay after which the client may retry, in ms.
        retry_ms: u64,
    },
}

impl Answer {
    /// Name used in logs and metrics.
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

/// The answer to a quarantined request.
pub fn answer_quarantined(history: &SendHistory, retry_ms: u64) -> Answer {
    Answer::Quarantined {
        may_have_run: history.may_have_run,
        retry_ms,
    }
}

/// The answer to a request that no target answered completely.
///
/// `late`: the deadline has passed. `retry_ms`: delay after which the client
/// may retry if the request has not run.
pub fn answer_for(history: &SendHistory, late: bool, retry_ms: u64) -> Answer {
    match (history.may_have_run, late) {
        (false, _) => Answer::NotRun { retry_ms },
        (true, true) => Answer::TimedOut,
        (true, false) => Answer::Unknown,
    }
}
