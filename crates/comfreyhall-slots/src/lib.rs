//! Who gets a scarce adapter slot, and when a rejected caller should return.
//!
//! Everything here is pure: it takes the time as an argument, in ms of a
//! monotonic clock, and does no I/O. The lease holder of a group of engines
//! sees every run there, so it keeps one [`SlotLedger`] for the group: how much
//! slot time each share has used lately, and who waits.

mod ledger;
mod share;

pub use ledger::{SlotLedger, SlotWaiter};
pub use share::SlotShare;

#[cfg(test)]
mod tests;
