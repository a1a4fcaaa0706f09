//! The order of a stream's events.

use std::fmt;

use crate::{EndCause, Event};

/// Most bytes of events that the caller already has, before the next new one: a target
/// that resumes a stream sends none, or few.
const MAX_KNOWN_BYTES: usize = 1 << 20;

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
    /// Too many events that the caller already has.
    TooManyKnown,
}

impl OrderError {
    /// The cause for which the answer ends.
    pub fn cause(self) -> EndCause {
        match self {
            OrderError::Missing { .. } => EndCause::Broken,
            OrderError::TooManyKnown => EndCause::TooLarge,
        }
    }
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::Missing { last, id } => write!(f, "event {id} came after {last}"),
            OrderError::TooManyKnown => f.write_str("too many events came twice"),
        }
    }
}

/// Which event comes next.
#[derive(Debug, Clone, Default)]
pub struct EventOrder {
    last: Option<u64>,
    known_bytes: usize,
}

impl EventOrder {
    /// The order after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            known_bytes: 0,
        }
    }

    /// Id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether `event` comes next; otherwise the caller already has it.
    ///
    /// # Errors
    ///
    /// The event cannot belong to the stream.
    pub fn accept(&mut self, event: &Event) -> Result<bool, OrderError> {
        match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => {
                self.known_bytes += event.bytes.len();
                return match self.known_bytes > MAX_KNOWN_BYTES {
                    true => Err(OrderError::TooManyKnown),
                    false => Ok(false),
                };
            }
            (Some(id), Some(last)) if id > last + 1 => {
                return Err(OrderError::Missing { last, id });
            }
            _ => {}
        }
        self.last = event.id.or(self.last);
        self.known_bytes = 0;
        Ok(true)
    }
}
