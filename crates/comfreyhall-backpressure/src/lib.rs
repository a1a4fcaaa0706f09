//! What targets say of themselves in their answers, and what follows from it.
//!
//! A target in need says so in the heads of its answers ([`Notice`]). What
//! goes wrong without this crate: nobody reads the word, every daemon goes on
//! as before, and a target that asked for less gets what it got. One notices
//! targets that stay overloaded for as long as they say that they are.
//!
//! Every daemon keeps [`Gates`]: what each target last said. It belongs to one
//! start of the target, by its id; another start at the same address is free.
//! Everything here takes the time as an argument, in ms of a steady clock, and
//! touches no network.

mod gate;
mod notice;
mod part;
mod read;

pub use gate::{Change, Gates, Word};
pub use notice::{Notice, Odd, Rate};
pub use part::Parts;
pub use read::{read_leaving, read_limit, read_rest};

#[cfg(test)]
mod tests;
