//! What may end an answer that a target has begun, and how the events of targets become
//! one stream.
//!
//! Pure: times and bytes come from the caller, and nothing here waits or sends.

mod cause;
mod events;
mod merge;
mod order;

pub use crate::{
    cause::EndCause,
    events::{Event, EventSplitter},
    merge::{Merge, Next, SeekPolicy},
    order::{EventOrder, OrderError},
};

#[cfg(test)]
mod tests;
