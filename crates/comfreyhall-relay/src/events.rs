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

/// What an event says of its place in the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// It has this id.
    Numbered(u64),
    /// It has no id.
    Unnumbered,
    /// It carries nothing: a comment, or the time to reconnect.
    Comment,
    /// Its bytes are no text, or its id is no number: it has been spoilt on the way.
    Unreadable,
}

/// One whole event, including the blank line at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// What it is.
    pub kind: EventKind,
    /// Whether one of its lines looks like a field of the standard with a wrong byte, which
    /// may be the end of the event before or a lost id.
    pub doubtful: bool,
    /// Its bytes.
    pub bytes: Bytes,
}

impl Event {
    /// Its id, if it has one that can be read.
    pub fn id(&self) -> Option<u64> {
        match self.kind {
            EventKind::Numbered(id) => Some(id),
            _ => None,
        }
    }
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
        let (kind, doubtful) = read_fields(&bytes);
        Some(Event {
            kind,
            doubtful,
            bytes,
        })
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.partial > 0
    }
}

/// Byte order mark, with which a stream may begin.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Fields of the standard.
const FIELDS: [&str; 4] = ["data", "id", "event", "retry"];

/// Reads the fields of an event: what it is, and whether that is doubtful. Event streams are
/// UTF-8 by their standard, so bytes that are not prove that the event is spoilt.
fn read_fields(event: &[u8]) -> (EventKind, bool) {
    let Ok(text) = std::str::from_utf8(event) else {
        return (EventKind::Unreadable, true);
    };
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut id = None;
    let (mut is_comment, mut doubtful) = (true, false);
    for line in text.split(['\n', '\r']).filter(|line| !line.is_empty()) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        match field {
            "" => {
                doubtful |= begins_with_field(value);
                continue;
            }
            "event" | "retry" => continue,
            "data" => {}
            "id" => match (id, parse_id(value)) {
                (None, Some(read)) => id = Some(read),
                (Some(first), Some(read)) if first == read => {}
                _ => return (EventKind::Unreadable, true),
            },
            _ => doubtful |= is_doubtful(line),
        }
        is_comment = false;
    }
    let kind = match id {
        Some(id) => EventKind::Numbered(id),
        None if is_comment => EventKind::Comment,
        None => EventKind::Unnumbered,
    };
    (kind, doubtful)
}

/// Whether `text`, a comment, is a field of the standard behind a wrong byte.
fn begins_with_field(text: &str) -> bool {
    let mut values = FIELDS.iter().filter_map(|field| text.strip_prefix(field));
    values.any(|value| value.starts_with(':'))
}

/// Whether `line`, whose field the standard does not know, may be one that it knows with a
/// wrong byte. Other fields are allowed, and are ignored.
fn is_doubtful(line: &str) -> bool {
    let Some((name, _)) = line.split_once(':') else {
        return true;
    };
    let is_name = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    !name.bytes().all(is_name) || FIELDS.iter().any(|field| is_near(name, field))
}

/// Whether `name` is `field` with another byte, or with one more before it.
fn is_near(name: &str, field: &str) -> bool {
    let differing = name.bytes().zip(field.bytes()).filter(|(a, b)| a != b);
    let is_replaced = name.len() == field.len() && differing.count() == 1;
    is_replaced || name.get(1..) == Some(field)
}

/// The number that the value of an `id` field states.
fn parse_id(value: &str) -> Option<u64> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    // The parser would take a sign.
    let is_number = digits.bytes().all(|b| b.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}
