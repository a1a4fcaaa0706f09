//! The order of a stream's events.
//!
//! An event is passed on once its place in the stream is known. One without an id in a
//! stream whose events have ids may be an extra one, or one whose id was spoilt: it is held
//! until the next event shows which. The same holds for one that may be two, as the blank
//! line between them was spoilt. A spoilt event is never passed on, and the stream can be
//! resumed after the last event that was.

use std::{collections::VecDeque, fmt};

use bytes::Bytes;

use crate::{EndCause, Event, EventKind};

/// Most bytes of events that the caller already has, before the next new one: a target
/// that resumes a stream sends none, or few. The same bounds the events that are held.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Most events that are held: each takes several times its bytes if it is short.
const MAX_HELD_EVENTS: usize = 64;

/// Largest id with which a stream is expected to begin. Another one is only believed once
/// the next event confirms it.
const MAX_FIRST_ID: u64 = 1;

/// Why an event cannot belong to the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// Events between the last one and this one are missing.
    Missing {
        /// Id of the last event.
        last: u64,
        /// Id of this one.
        id: u64,
    },
    /// Its id has passed, though the answer has gone on since.
    Repeated {
        /// Id of the last event.
        last: u64,
        /// Id of this one.
        id: u64,
    },
    /// It is spoilt.
    Unreadable,
    /// Too many events that the caller already has, or that are held.
    TooManyHeld,
}

impl OrderError {
    /// The cause for which the answer ends.
    pub fn cause(self) -> EndCause {
        match self {
            OrderError::TooManyHeld => EndCause::TooLarge,
            _ => EndCause::Broken,
        }
    }
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::Missing { last, id } => write!(f, "event {id} came after {last}"),
            OrderError::Repeated { last, id } => write!(f, "event {id} came again after {last}"),
            OrderError::Unreadable => f.write_str("an event is spoilt"),
            OrderError::TooManyHeld => f.write_str("too many events came twice or without an id"),
        }
    }
}

/// Which event comes next in one answer.
#[derive(Debug, Clone, Default)]
pub struct EventOrder {
    /// Id of the last event that was passed on.
    last: Option<u64>,
    /// Its bytes, if this answer brought it.
    last_bytes: Bytes,
    /// Whether `last` is certain: the event before had the number before, or the caller
    /// has named it.
    confirmed: bool,
    /// Whether this answer has brought an event that is new to the caller.
    begun: bool,
    /// Id of the newest event that is held.
    unconfirmed: Option<u64>,
    /// Events whose place the next one shows.
    held: Vec<Event>,
    held_bytes: usize,
}

impl EventOrder {
    /// The order after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            confirmed: last.is_some(),
            ..Self::default()
        }
    }

    /// Id of the last event, after which the stream can be resumed.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether this answer has brought an event that is new to the caller.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Takes the next event of the answer; appends what may be passed on now to `ready`.
    ///
    /// # Errors
    ///
    /// The event cannot belong to the stream, which can be resumed after [`Self::last`].
    pub fn accept(&mut self, event: Event, ready: &mut VecDeque<Event>) -> Result<(), OrderError> {
        match event.kind {
            EventKind::Unreadable => Err(OrderError::Unreadable),
            EventKind::Comment if self.held.is_empty() => {
                ready.push_back(event);
                Ok(())
            }
            EventKind::Comment => self.hold(event),
            EventKind::Unnumbered => self.accept_unnumbered(event, ready),
            EventKind::Numbered(id) => self.accept_numbered(id, event, ready),
        }
    }

    /// The answer has ended, as if it were complete: the events that are held are its last.
    ///
    /// # Errors
    ///
    /// The id of one of them may be lost.
    pub fn finish(&mut self, ready: &mut VecDeque<Event>) -> Result<(), OrderError> {
        if self.held.iter().any(|e| e.doubtful) {
            return Err(OrderError::Unreadable);
        }
        self.release(ready);
        Ok(())
    }

    fn accept_unnumbered(
        &mut self,
        event: Event,
        ready: &mut VecDeque<Event>,
    ) -> Result<(), OrderError> {
        match self.last {
            // It belongs to what the caller already has.
            Some(_) if !self.begun => self.count_held(event.bytes.len()),
            None if self.unconfirmed.is_none() => {
                self.begun = true;
                ready.push_back(event);
                Ok(())
            }
            _ => self.hold(event),
        }
    }

    fn accept_numbered(
        &mut self,
        id: u64,
        event: Event,
        ready: &mut VecDeque<Event>,
    ) -> Result<(), OrderError> {
        match self.unconfirmed.or(self.last) {
            None if id > MAX_FIRST_ID => {
                self.unconfirmed = Some(id);
                return self.hold(event);
            }
            None => {}
            Some(last) if last.checked_add(1) == Some(id) => self.confirmed = true,
            Some(last) if id <= last => return self.accept_known(id, last, &event),
            Some(last) => return Err(self.fail(OrderError::Missing { last, id })),
        }
        self.release(ready);
        if event.doubtful {
            self.unconfirmed = Some(id);
            return self.hold(event);
        }
        self.begun = true;
        self.last = Some(id);
        self.last_bytes = event.bytes.clone();
        ready.push_back(event);
        Ok(())
    }

    /// Drops an event that the caller already has.
    fn accept_known(&mut self, id: u64, last: u64, event: &Event) -> Result<(), OrderError> {
        let is_last = id == last && self.held.is_empty() && event.bytes == self.last_bytes;
        let is_before = self.last.is_some() && self.unconfirmed.is_none() && !self.begun;
        match is_before || is_last {
            true => self.count_held(event.bytes.len()),
            false => Err(self.fail(OrderError::Repeated { last, id })),
        }
    }

    /// The error for an event that contradicts the last one. If nothing else confirms the
    /// last one, its own id may be the wrong one, and there is nothing to resume after.
    fn fail(&mut self, error: OrderError) -> OrderError {
        if !self.confirmed {
            self.last = None;
        }
        error
    }

    fn hold(&mut self, event: Event) -> Result<(), OrderError> {
        self.count_held(event.bytes.len())?;
        if self.held.len() == MAX_HELD_EVENTS {
            return Err(OrderError::TooManyHeld);
        }
        self.held.push(event);
        Ok(())
    }

    fn count_held(&mut self, bytes: usize) -> Result<(), OrderError> {
        self.held_bytes += bytes;
        match self.held_bytes > MAX_HELD_BYTES {
            true => Err(OrderError::TooManyHeld),
            false => Ok(()),
        }
    }

    /// Passes on the events that are held: the next one has confirmed them.
    fn release(&mut self, ready: &mut VecDeque<Event>) {
        self.begun |= !self.held.is_empty();
        self.last = self.unconfirmed.take().or(self.last);
        ready.extend(self.held.drain(..));
        self.held_bytes = 0;
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
