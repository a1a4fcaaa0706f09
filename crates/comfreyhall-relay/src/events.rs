//! Splits a byte stream into server-sent events.
//!
//! A target can stop in the middle of an event. A partial event would corrupt
//! the caller's stream, and a stream resumed at another target would join two
//! runs in one event. So only whole events are passed on, and their ids show
//! whether one is missing. An event that does not end is refused at a bound; a
//! stream of whole events may be of any length.

use std::{collections::VecDeque, fmt};

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes: some hundred times as long as those that carry tokens.
pub const MAX_EVENT_BYTES: usize = 512 << 10;

/// The ends of an event's last line and of the blank line after it, as numbers.
const BLANK_LINE: u32 = u16::from_be_bytes(*b"\n\n") as u32;
const BLANK_LINE_CRLF: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversize;

impl fmt::Display for Oversize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for Oversize {}

/// One whole event, including the blank line at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Collects bytes into events. Each byte is looked at once, however small the pieces are.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Whole events, and after them the one that has not ended.
    buffer: BytesMut,
    /// Lengths of the whole events.
    whole: VecDeque<usize>,
    /// Length of the event that has not ended.
    partial: usize,
    /// Its last four bytes.
    tail: u32,
    /// Whether an event was too long.
    oversize: bool,
}

impl EventSplitter {
    /// Appends received bytes. After an error, which an event that is too long causes, only
    /// the whole events before it can be taken.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Oversize> {
        let mut kept = 0;
        for (at, byte) in bytes.iter().enumerate() {
            if self.oversize || self.partial == MAX_EVENT_BYTES {
                self.buffer.extend_from_slice(&bytes[..kept]);
                self.oversize = true;
                return Err(Oversize);
            }
            self.partial += 1;
            self.tail = self.tail << 8 | u32::from(*byte);
            if self.tail & 0xffff == BLANK_LINE || self.tail == BLANK_LINE_CRLF {
                self.whole.push_back(std::mem::take(&mut self.partial));
                self.tail = 0;
                kept = at + 1;
            }
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn take_event(&mut self) -> Option<Event> {
        let length = self.whole.pop_front()?;
        let bytes = self.buffer.split_to(length).freeze();
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.partial > 0
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
