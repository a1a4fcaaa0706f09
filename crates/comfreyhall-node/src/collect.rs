//! Collects bodies that are read whole, within bounds.
//!
//! Bodies of one kind share a [`Budget`]. The bytes of a collected body count until the
//! last copy of it is dropped, so a request that is still served and an answer that its
//! caller reads slowly count too. When the budget is spent, the longest body that is still
//! being read ends, even if its sender sends nothing at that time.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use comfreyhall_domain::Map;
pub use comfreyhall_relay::Exceeded;
use comfreyhall_relay::{ByteBudget, HolderId};
use futures::{Stream, StreamExt};
use thiserror::Error;
use tokio::sync::Notify;

/// Longest answer of a target that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Most bytes of all such answers together.
const MAX_ANSWERS_BYTES: usize = 48 << 20;

/// Most bytes of all requests' bodies together; the configuration bounds each.
const MAX_REQUESTS_BYTES: usize = 48 << 20;

struct State {
    bytes: ByteBudget,
    slots: Map<HolderId, Arc<Slot>>,
}

/// Size of the blocks in which a body is kept while it is read. A buffer that grows is
/// copied, and the memory that it leaves is in pieces of many sizes, which the allocator
/// reuses badly.
const BLOCK_BYTES: usize = 64 << 10;

/// A body that is being read, where whoever ends it finds it.
#[derive(Default)]
struct Slot {
    blocks: Mutex<Vec<BytesMut>>,
    /// Notified when it has to end.
    end: Notify,
}

impl Slot {
    fn blocks(&self) -> MutexGuard<'_, Vec<BytesMut>> {
        self.blocks.lock().expect("no holder of this lock panics")
    }

    fn append(&self, mut piece: &[u8]) {
        let mut blocks = self.blocks();
        while !piece.is_empty() {
            let room = blocks.last().map_or(0, |last| BLOCK_BYTES - last.len());
            match blocks.last_mut() {
                Some(last) if room > 0 => {
                    let (now, later) = piece.split_at(room.min(piece.len()));
                    last.extend_from_slice(now);
                    piece = later;
                }
                _ => blocks.push(BytesMut::new()),
            }
        }
    }

    /// All bytes, which leave the slot.
    fn take(&self) -> Bytes {
        let mut blocks = std::mem::take(&mut *self.blocks());
        if blocks.len() < 2 {
            return blocks.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(blocks.iter().map(BytesMut::len).sum());
        for block in blocks {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}

/// What bodies of one kind may hold; clones share it.
#[derive(Clone)]
pub struct Budget(Arc<Mutex<State>>);

impl Budget {
    /// A budget of `max_total` bytes, of which one body may have `max_each`.
    pub fn new(max_each: usize, max_total: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            bytes: ByteBudget::new(max_each, max_total),
            slots: Map::default(),
        })))
    }

    /// For answers of targets.
    pub(crate) fn for_answers() -> Self {
        Self::new(MAX_ANSWER_BYTES, MAX_ANSWERS_BYTES)
    }

    /// For bodies of requests.
    pub(crate) fn for_requests() -> Self {
        Self::new(MAX_REQUESTS_BYTES, MAX_REQUESTS_BYTES)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// A share for what is kept elsewhere.
    pub fn share(&self) -> Share {
        Share(self.open())
    }

    fn open(&self) -> Holding {
        let slot = Arc::<Slot>::default();
        let mut state = self.lock();
        let id = state.bytes.open();
        state.slots.insert(id, slot.clone());
        drop(state);
        Holding {
            budget: self.clone(),
            id,
            slot,
        }
    }

    /// Starts to collect a body.
    pub fn collector(&self) -> Collector {
        Collector(self.open())
    }

    /// Counts a body that has already been read.
    pub fn hold(&self, body: Bytes) -> Result<Bytes, Exceeded> {
        let holding = self.open();
        holding.grow(body.len())?;
        holding.attach(body)
    }

    /// Bytes that are held now.
    pub fn held(&self) -> usize {
        self.lock().bytes.total()
    }
}

/// The share of one body; given back when dropped.
struct Holding {
    budget: Budget,
    id: HolderId,
    slot: Arc<Slot>,
}

impl Holding {
    fn grow(&self, bytes: usize) -> Result<(), Exceeded> {
        let mut ended = Vec::new();
        let mut state = self.budget.lock();
        let grown = state.bytes.grow(self.id, bytes, &mut ended);
        for id in ended {
            // Its memory is free at once, also if its task runs later.
            if let Some(slot) = state.slots.remove(&id) {
                slot.blocks().clear();
                slot.end.notify_one();
            }
        }
        grown
    }

    /// The body with its share, which it gives back with its last copy.
    fn attach(self, body: Bytes) -> Result<Bytes, Exceeded> {
        self.budget.lock().bytes.complete(self.id)?;
        Ok(Bytes::from_owner(HeldBody {
            body,
            _holding: self,
        }))
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.bytes.close(self.id);
        state.slots.remove(&self.id);
    }
}

/// A share of a budget; given back when dropped.
pub struct Share(Holding);

impl Share {
    /// Counts `bytes` more.
    pub fn grow(&self, bytes: usize) -> Result<(), Exceeded> {
        self.0.grow(bytes)
    }
}

struct HeldBody {
    body: Bytes,
    _holding: Holding,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A body that is being read.
pub struct Collector(Holding);

impl Collector {
    /// Appends a piece; after an error the body may not be read any further.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Exceeded> {
        self.0.grow(piece.len())?;
        self.0.slot.append(piece);
        Ok(())
    }

    /// Resolves when the body has to end so that others can be read.
    pub async fn ended(&self) -> Exceeded {
        self.0.slot.end.notified().await;
        Exceeded::Spent
    }

    /// The body, which has ended.
    pub fn finish(self) -> Result<Bytes, Exceeded> {
        let body = self.0.slot.take();
        self.0.attach(body)
    }
}

/// Why a body was not collected.
#[derive(Debug, Error)]
pub enum CollectError<E> {
    /// It is longer than it may be.
    #[error("{0}")]
    Exceeded(Exceeded),
    /// It ended early.
    #[error("{0}")]
    Body(E),
}

/// Reads a body to its end.
pub async fn collect<E>(
    budget: &Budget,
    mut pieces: impl Stream<Item = Result<Bytes, E>> + Unpin,
) -> Result<Bytes, CollectError<E>> {
    let mut collector = budget.collector();
    loop {
        let piece = tokio::select! {
            piece = pieces.next() => piece,
            exceeded = collector.ended() => return Err(CollectError::Exceeded(exceeded)),
        };
        match piece {
            Some(Ok(piece)) => collector.push(&piece).map_err(CollectError::Exceeded)?,
            Some(Err(error)) => return Err(CollectError::Body(error)),
            None => return collector.finish().map_err(CollectError::Exceeded),
        }
    }
}

#[cfg(test)]
mod tests;
