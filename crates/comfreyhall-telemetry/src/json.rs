//! Structured logs on standard output that never block the logging thread.
//!
//! If the reader of standard output stalls, the pipe fills, and a direct write
//! would block the only thread that serves requests. Lines therefore go through a
//! bounded queue to a writer thread. When the queue is full, lines are dropped,
//! and the next line written reports how many.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use log4rs::append::Append;
use serde_json::{Map, json};

/// Capacity of the queue to the writer thread, in lines: about one second of a busy
/// daemon's output.
const QUEUE_LINES: usize = 4_096;

/// Largest number of lines of one kind per second. A busy daemon serves about 40
/// requests per second with two lines each; the limit keeps bursts and faults
/// from multiplying the cost of logging.
const MAX_KIND_LINES: u32 = 200;

/// Messages that are never suppressed. They show how each request failed, which
/// is needed to determine whether an at-most-once request has run.
const UNLIMITED_MESSAGES: [&str; 4] = ["send", "given up", "stream broke off", "stream given up"];

/// Limits the lines per second of each kind (target and message).
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    second: u64,
    counts: std::collections::HashMap<(String, String), u32>,
}

impl RateLimiter {
    /// Returns whether the record is written, and the number of lines suppressed
    /// in the previous second if this record begins a new second.
    pub(crate) fn admit(&mut self, record: &Record<'_>, at_ms: u64) -> (bool, u64) {
        let mut suppressed = 0;
        if at_ms / 1_000 != self.second {
            self.second = at_ms / 1_000;
            let excess = self
                .counts
                .values()
                .map(|c| c.saturating_sub(MAX_KIND_LINES));
            suppressed = excess.map(u64::from).sum();
            self.counts.clear();
        }
        let message = record.args().to_string();
        if record.level() <= log::Level::Warn || UNLIMITED_MESSAGES.contains(&message.as_str()) {
            return (true, suppressed);
        }
        let kind = (record.target().to_string(), message);
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        (*count <= MAX_KIND_LINES, suppressed)
    }
}

/// A log4rs appender that sends JSON lines to a writer thread.
#[derive(Debug)]
pub(crate) struct JsonAppender {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    limiter: Mutex<RateLimiter>,
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Formats a record as one line of JSON.
pub(crate) fn format_line(record: &Record<'_>, at_ms: u64) -> Vec<u8> {
    let mut fields = Fields(Map::new());
    fields.0.insert("t".into(), json!(at_ms));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("part".into(), json!(record.target()));
    fields
        .0
        .insert("msg".into(), json!(record.args().to_string()));
    if let Err(e) = record.key_values().visit(&mut fields) {
        fields.0.insert("log_error".into(), json!(e.to_string()));
    }
    let mut out = serde_json::Value::Object(fields.0).to_string().into_bytes();
    out.push(b'\n');
    out
}

impl JsonAppender {
    /// Starts the writer thread, which writes to `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, line_queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        std::thread::spawn(move || run_writer(line_queue, dropped_count, out));
        Self {
            queue,
            dropped,
            limiter: Mutex::default(),
        }
    }
}

fn run_writer(line_queue: Receiver<Vec<u8>>, dropped: Arc<AtomicU64>, mut out: impl Write) {
    while let Ok(first) = line_queue.recv() {
        let mut batch = first;
        while let Ok(next) = line_queue.try_recv() {
            batch.extend_from_slice(&next);
        }
        let dropped_now = dropped.swap(0, Ordering::Relaxed);
        if dropped_now > 0 {
            let note = json!({"t": now_ms(), "level": "WARN", "part": "logs", "msg": "lines dropped", "count": dropped_now});
            batch.extend_from_slice(note.to_string().as_bytes());
            batch.push(b'\n');
        }
        // Standard output is closed, so the error cannot be reported.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

impl Append for JsonAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = now_ms();
        let (admitted, suppressed) = {
            let mut limiter = self
                .limiter
                .lock()
                .expect("no thread panics while it holds this lock");
            limiter.admit(record, now)
        };
        // Suppressed lines are reported together with dropped ones.
        self.dropped.fetch_add(suppressed, Ordering::Relaxed);
        if !admitted {
            return Ok(());
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(format_line(record, now)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}
