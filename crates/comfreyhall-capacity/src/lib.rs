//! The account of an engine's adapter slots.
//!
//! An engine that is ordered to load more adapters than it has slots crashes with
//! everything that runs on it. [`SlotAccount`] tracks what one boot of an engine holds
//! and loads, and is the only source of commands to it: an [`Order`] exists only if
//! the account has room for it, and its outcome goes back into the account.
//!
//! An account holds for one number of accepted commands. Each order names that number, and
//! the engine carries out an order only while its own number is the same. So however late an
//! order without an answer is carried out, it is carried out instead of the next one
//! and not in addition to it. What the account must never do is to lose an adapter
//! while the number stays the same: a call that failed proves nothing about the
//! engine.
//!
//! Pure: all functions take the time as an argument, in ms of the daemon's clock.

mod account;
mod order;

pub use account::{HeldAdapter, NoRoom, SlotAccount, Snapshot};
pub use order::{Action, Order, Outcome};
