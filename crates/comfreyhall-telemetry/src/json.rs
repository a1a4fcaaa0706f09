//! Structured logs on standard output that never block the work.
//!
//! What goes wrong without it: whoever reads standard output stalls, the
//! pipe fills, and the next log line blocks the one thread that serves
//! requests. So lines go through a bounded queue to a thread of their own;
//! when the queue is full lines are dropped, and the count of the dropped
//! ones is the next line written.

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

/// Lines that may wait for the writer: about a second of a busy daemon.
const QUEUE: usize = 4_096;

/// Lines of one kind a second. A busy daemon serves some 40 requests a second
/// with two lines each; a burst or a fault must not multiply what logging
/// costs.
const KIND_RATE: u32 = 200;

/// Kinds that are never left out: how a request failed is told for each, or
/// nobody could say whether one that runs at most once has run.
const ALWAYS: [&str; 4] = ["send", "given up", "stream broke off", "stream given up"];

/// Counts the lines of each kind in the current second.
#[derive(Debug, Default)]
pub(crate) struct Bound {
    second: u64,
    counts: std::collections::HashMap<(String, String), u32>,
}

impl Bound {
    /// Whether a line of this kind is written; with the counts of what was
    /// left out in the second before, when a new one begins.
    pub(crate) fn admit(&mut self, record: &Record<'_>, at_ms: u64) -> (bool, u64) {
        let mut left_out = 0;
        if at_ms / 1_000 != self.second {
            self.second = at_ms / 1_000;
            let over = self.counts.values().map(|c| c.saturating_sub(KIND_RATE));
            left_out = over.map(u64::from).sum();
            self.counts.clear();
        }
        let message = record.args().to_string();
        if record.level() <= log::Level::Warn || ALWAYS.contains(&message.as_str()) {
            return (true, left_out);
        }
        let kind = (record.target().to_string(), message);
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        (*count <= KIND_RATE, left_out)
    }
}

/// Sends lines to the writer's thread.
#[derive(Debug)]
pub(crate) struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    bound: Mutex<Bound>,
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
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

/// One record as one line of JSON.
pub(crate) fn line(record: &Record<'_>, at_ms: u64) -> Vec<u8> {
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

impl Lines {
    /// Starts the writer's thread over `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_all(lines, counted, out));
        Self {
            queue,
            dropped,
            bound: Mutex::default(),
        }
    }
}

fn write_all(lines: Receiver<Vec<u8>>, dropped: Arc<AtomicU64>, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while let Ok(next) = lines.try_recv() {
            batch.extend_from_slice(&next);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = json!({"t": now_ms(), "level": "WARN", "part": "logs", "msg": "lines dropped", "count": lost});
            batch.extend_from_slice(note.to_string().as_bytes());
            batch.push(b'\n');
        }
        // With standard output gone there is nowhere left to say so.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = now_ms();
        let (admitted, left_out) = {
            let mut bound = self.bound.lock().expect("no holder of this lock panics");
            bound.admit(record, now)
        };
        // What is left out is counted with what was dropped.
        self.dropped.fetch_add(left_out, Ordering::Relaxed);
        if !admitted {
            return Ok(());
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line(record, now)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}
