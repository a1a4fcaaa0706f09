//! Who gets a scarce adapter slot, and when a rejected caller should return.
//!
//! Everything here is pure: it takes the time as an argument, in ms of a
//! monotonic clock, and does no I/O. The lease holder of a group of engines
//! sees every run there, so it keeps one [`SlotLedger`] for the group (how much
//! slot time each share has used lately), the [`WaitingList`] of requests that
//! need a slot, a [`SlotSchedule`] of when slots become free, and the
//! [`ReturnSchedule`] of callers that it has asked to come back.

mod ledger;
mod returns;
mod schedule;
mod share;
mod waiting;

pub use ledger::{ShareUse, SlotLedger, slot_time_ms};
pub use returns::ReturnSchedule;
pub use schedule::{GrantPace, SlotSchedule};
pub use share::SlotShare;
pub use waiting::{SlotWaiter, SortKey, WaitingList};

#[cfg(test)]
mod tests;
