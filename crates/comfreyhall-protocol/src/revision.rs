//! Points in the history of the platform's store.

use std::fmt;

/// Bits of a revision on the wire that hold its number.
const NUMBER_BITS: u32 = 40;

/// A point in the history of a store that may come back from a copy.
///
/// The store numbers its transactions, and after it has come back from a copy it gives
/// numbers out again, under the next era. Ordered by era first, a row of the new history
/// is newer than any of the old one, whatever its number. Era 0 stands for an unknown
/// one: a store without eras, or a peer of an older build.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    era: u32,
    number: u64,
}

impl Revision {
    /// Before every row.
    pub const ZERO: Self = Self { era: 0, number: 0 };

    /// Transaction `number` of `era`.
    pub fn new(era: u32, number: u64) -> Self {
        Self { era, number }
    }

    /// The era; 0 if unknown.
    pub fn era(self) -> u32 {
        self.era
    }

    /// The number within the era.
    pub fn number(self) -> u64 {
        self.number
    }

    /// As one number for messages, in the same order. Without an era it is the plain
    /// number, as older builds send it.
    pub fn to_wire(self) -> u64 {
        (u64::from(self.era) << NUMBER_BITS) | (self.number & ((1 << NUMBER_BITS) - 1))
    }

    /// Reads a number from a message.
    pub fn from_wire(wire: u64) -> Self {
        Self {
            era: (wire >> NUMBER_BITS) as u32,
            number: wire & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
