//! What may end an answer that a target has begun, and how the events of targets become
//! one stream.
//!
//! Pure: times and bytes come from the caller, and nothing here waits or sends.

mod cause;
mod events;

pub use crate::{
    cause::EndCause,
    events::{Event, EventSplitter},
};

#[cfg(test)]
mod tests;
