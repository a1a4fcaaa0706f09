//! How many bytes are held at once, by one holder and by all together.
//!
//! One budget bounds what many bodies hold that are read whole. When it is spent, the
//! holder with most bytes ends, so that a body without end does not cost the sound ones
//! beside it. A body that has been read whole still counts, but is not ended any more.

use std::{collections::HashMap, fmt};

/// A holder of bytes.
pub type HolderId = u64;

/// A body may not have more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exceeded {
    /// It is longer than one may be.
    TooLong,
    /// All together hold too much, and no other that grows holds more.
    Spent,
}

impl fmt::Display for Exceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Exceeded::TooLong => "the body is longer than one may be",
            Exceeded::Spent => {
                "all bodies together are longer than they may be, and it is the longest"
            }
        })
    }
}

impl std::error::Error for Exceeded {}

#[derive(Debug, Clone, Copy)]
struct Holder {
    bytes: usize,
    growing: bool,
}

/// Bytes held under one bound.
#[derive(Debug)]
pub struct ByteBudget {
    /// Most bytes of one holder.
    max_each: usize,
    /// Most bytes of all together.
    max_total: usize,
    total: usize,
    next_id: HolderId,
    holders: HashMap<HolderId, Holder>,
}

impl ByteBudget {
    /// A budget of `max_total` bytes, of which one holder may have `max_each`.
    pub fn new(max_each: usize, max_total: usize) -> Self {
        Self {
            max_each,
            max_total,
            total: 0,
            next_id: 0,
            holders: HashMap::new(),
        }
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self) -> HolderId {
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            growing: true,
        };
        self.holders.insert(self.next_id, holder);
        self.next_id
    }

    /// Grants `bytes` more to `id`. Other holders that have to end for it are removed and
    /// added to `ended`; on an error `id` itself is removed.
    pub fn grow(
        &mut self,
        id: HolderId,
        bytes: usize,
        ended: &mut Vec<HolderId>,
    ) -> Result<(), Exceeded> {
        // Another one has ended it.
        let held = self.holders.get(&id).ok_or(Exceeded::Spent)?.bytes;
        let wanted = held.saturating_add(bytes);
        if wanted > self.max_each {
            self.close(id);
            return Err(Exceeded::TooLong);
        }
        while self.total.saturating_add(bytes) > self.max_total {
            let others = self
                .holders
                .iter()
                .filter(|(other, h)| **other != id && h.growing);
            match others.max_by_key(|(other, h)| (h.bytes, **other)) {
                Some((other, h)) if h.bytes > wanted => {
                    let other = *other;
                    self.close(other);
                    ended.push(other);
                }
                _ => {
                    self.close(id);
                    return Err(Exceeded::Spent);
                }
            }
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = wanted;
            self.total += bytes;
        }
        Ok(())
    }

    /// Marks `id` as read whole: it holds its bytes until it is closed. An error says that
    /// another one has ended it before.
    pub fn complete(&mut self, id: HolderId) -> Result<(), Exceeded> {
        let holder = self.holders.get_mut(&id).ok_or(Exceeded::Spent)?;
        holder.growing = false;
        Ok(())
    }

    /// Removes `id` with all its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.total -= holder.bytes;
        }
    }

    /// Bytes held by all together.
    pub fn total(&self) -> usize {
        self.total
    }
}
