//! What may end an answer that a target has begun, how the events of targets become
//! one stream, and how many bytes may be held.
//!
//! Pure: times and bytes come from the caller, and nothing here waits or sends.

mod budget;
mod cause;
mod events;
mod merge;
mod order;
mod seek;

pub use crate::{
    budget::{ByteBudget, Exceeded, HolderId},
    cause::EndCause,
    events::{Event, EventKind, EventSplitter, MAX_EVENT_BYTES, Oversize},
    merge::{Merge, Next, SeekPolicy, silence_limit_ms},
    order::{EventOrder, OrderError},
    seek::SeekTimer,
};

#[cfg(test)]
mod tests;
