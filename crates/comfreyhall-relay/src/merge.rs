//! Which of the answers to one request goes on.
//!
//! A target that is silent may go on at any moment, so its answer stays open while
//! another one is sought. The first answer that brings the next event goes on, and the
//! other one is cancelled: the caller never gets parts of two runs in turn, and no run is
//! left behind. Only causes of [`EndCause`] end an answer.

use std::collections::VecDeque;

use crate::{EndCause, Event, EventOrder, OrderError};

/// Callers leave a stream after the longest of these gaps: a time, so many latency
/// objectives, and so many gap objectives.
const CALLER_GAP_MS: u64 = 2_000;
const CALLER_GAP_OBJECTIVES: u64 = 4;
const CALLER_GAP_PAUSES: u64 = 8;

/// Time without an event after which another answer is sought beside the open one, in ms:
/// half of the time after which callers leave, so that the other target has the second half
/// to read the prompt.
pub fn silence_limit_ms(objective_ms: u64, gap_objective_ms: Option<u64>) -> u64 {
    let gap_ms = gap_objective_ms.unwrap_or(0) * CALLER_GAP_PAUSES;
    let leave_ms = CALLER_GAP_MS
        .max(objective_ms * CALLER_GAP_OBJECTIVES)
        .max(gap_ms);
    leave_ms / 2
}

/// Pause before another answer is sought again, in ms. It doubles so many times in one
/// silence.
const SEEK_PAUSE_MS: u64 = 400;
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// Maximum number of answers that are sought in vain once none is open.
const MAX_SEEKS: u32 = 3;

/// Maximum number of answers that one stream goes on with after the first.
const MAX_SWITCHES: u32 = 3;

/// What a relay does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Waits for the answers that are open, until this time at most.
    Wait {
        /// On the caller's clock, in ms.
        until_ms: u64,
    },
    /// Seeks another answer.
    Seek,
    /// Ends the stream for this cause: no answer is open, and none is sought.
    GiveUp(EndCause),
}

/// When another answer may be sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeekPolicy {
    /// Never: the request runs once.
    Never,
    /// Once the open answer has ended.
    AfterEnd,
    /// Beside an answer that is silent, too.
    BesideSilent,
}

/// The answers to one request whose stream has begun.
#[derive(Debug)]
pub struct Merge {
    order: EventOrder,
    /// Why the answer that brought the last event has ended, if it has.
    ended: Option<EndCause>,
    /// Whether another answer is being sought.
    seeking: bool,
    /// Answers sought since the last event.
    seeks: u32,
    /// Answers that went on after the first.
    switches: u32,
    policy: SeekPolicy,
    silent_after_ms: u64,
    /// When the last event came.
    heard_ms: u64,
    /// When another answer may be sought.
    seek_at_ms: u64,
}

impl Merge {
    /// The stream after the events of `order`, the last of which came at `now`; an answer is
    /// silent after `silent_after_ms` without one.
    pub fn new(order: EventOrder, policy: SeekPolicy, silent_after_ms: u64, now: u64) -> Self {
        Self {
            order,
            ended: None,
            seeking: false,
            seeks: 0,
            switches: 0,
            policy,
            silent_after_ms,
            heard_ms: now,
            seek_at_ms: now + silent_after_ms,
        }
    }

    /// Id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.order.last()
    }

    /// Answers that went on after the first.
    pub fn switches(&self) -> u32 {
        self.switches
    }

    /// Whether nothing has been sought since the last event.
    pub fn is_first_seek(&self) -> bool {
        self.seeks == 0
    }

    /// Whether the open answer is silent at `now`.
    pub fn is_silent(&self, now: u64) -> bool {
        self.is_open() && now >= self.heard_ms + self.silent_after_ms
    }

    /// Whether the answer that brought the last event is still open.
    pub fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Takes an event of the open answer and appends what the caller is to get now to
    /// `ready`; returns whether that is anything. An answer that is being sought is
    /// superseded by it.
    ///
    /// # Errors
    ///
    /// The event cannot belong to the stream; the answer is at its end.
    pub fn event(
        &mut self,
        event: Event,
        ready: &mut VecDeque<Event>,
        now: u64,
    ) -> Result<bool, OrderError> {
        let before = ready.len();
        self.order.accept(event, ready)?;
        let accepted = ready.len() > before;
        if accepted {
            self.seeking = false;
            self.seeks = 0;
            self.heard_ms = now;
            self.seek_at_ms = now + self.silent_after_ms;
        }
        Ok(accepted)
    }

    /// The open answer has ended as if it were complete; appends its last events to `ready`.
    ///
    /// # Errors
    ///
    /// One of them may be spoilt: the answer is not complete.
    pub fn finish(&mut self, ready: &mut VecDeque<Event>) -> Result<(), OrderError> {
        self.order.finish(ready)
    }

    /// The caller asks for more at `now`: what passed before was not the target's silence.
    pub fn wait_began(&mut self, now: u64) {
        if self.is_open() {
            self.heard_ms = now;
            self.seek_at_ms = now + self.silent_after_ms;
        }
    }

    /// The open answer has ended early.
    pub fn ended(&mut self, cause: EndCause, now: u64) {
        self.ended = Some(cause);
        self.seeks = 0;
        self.seek_at_ms = self.seek_at_ms.min(now);
    }

    /// Another answer is sought from now on.
    pub fn seek_began(&mut self) {
        self.seeking = true;
        self.seeks += 1;
    }

    /// No other answer was found.
    pub fn seek_failed(&mut self, now: u64) {
        self.seeking = false;
        let doublings = self.seeks.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        self.seek_at_ms = now + (SEEK_PAUSE_MS << doublings);
    }

    /// The sought answer has brought the next events, the last of `order`: it goes on, and
    /// the one before is superseded.
    pub fn switch(&mut self, order: EventOrder, now: u64) {
        self.order = order;
        self.ended = None;
        self.seeking = false;
        self.seeks = 0;
        self.switches += 1;
        self.heard_ms = now;
        self.seek_at_ms = now + self.silent_after_ms;
    }

    /// What to do at `now`, with the deadline of the request.
    pub fn next(&self, now: u64, deadline_ms: u64) -> Next {
        if now >= deadline_ms {
            return Next::GiveUp(EndCause::DeadlinePassed);
        }
        let allowed = match self.policy {
            SeekPolicy::Never => false,
            SeekPolicy::AfterEnd => self.ended.is_some(),
            SeekPolicy::BesideSilent => true,
        };
        let may_seek = allowed
            && (self.is_open() || self.seeks < MAX_SEEKS)
            && self.switches < MAX_SWITCHES
            && self.order.last().is_some();
        match (self.ended, self.seeking) {
            (_, true) => Next::Wait {
                until_ms: deadline_ms,
            },
            (_, false) if may_seek && now >= self.seek_at_ms => Next::Seek,
            (Some(cause), false) if !may_seek => Next::GiveUp(cause),
            (_, false) if may_seek => Next::Wait {
                until_ms: self.seek_at_ms.min(deadline_ms),
            },
            _ => Next::Wait {
                until_ms: deadline_ms,
            },
        }
    }
}
