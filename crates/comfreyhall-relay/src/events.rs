//! Splits a byte stream into server-sent events.
//!
//! A target can stop in the middle of an event. A partial event would corrupt
//! the caller's stream, and a stream resumed at another target would join two
//! runs in one event. So only whole events are passed on, and their ids show
//! whether one is missing.

use bytes::{Bytes, BytesMut};

/// One whole event, including the blank line at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Collects bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Position where the search for the end of the event continues.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn take_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Position after the first blank line.
    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.scanned.saturating_sub(3);
        for at in start..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
