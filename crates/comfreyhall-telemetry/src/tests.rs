use std::{
    io::Write,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use log::{Level, Record};
use log4rs::append::Append;

use crate::json::{Bound, Lines, line};

fn record<R>(f: impl FnOnce(&Record<'_>) -> R) -> R {
    kind("send", f)
}

fn kind<R>(message: &str, f: impl FnOnce(&Record<'_>) -> R) -> R {
    let fields = [("id", "r1"), ("outcome", "refused")];
    f(&Record::builder()
        .level(Level::Info)
        .target("serve")
        .args(format_args!("{message}"))
        .key_values(&fields)
        .build())
}

#[test]
fn line_holds_fields() {
    let text = record(|r| String::from_utf8(line(r, 5)).unwrap());
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["part"], "serve");
    assert_eq!(value["id"], "r1");
    assert_eq!(value["t"], 5);
}

/// A writer that blocks until it is let go.
struct Stalled {
    go: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.go.recv_timeout(Duration::from_secs(60));
        self.seen.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Symptom: requests stood still while nobody read standard output. Events:
/// the reader stalls, the pipe fills, a log line blocks. Cause: lines were
/// written by the thread that serves requests.
#[test]
fn append_stalled_reader_drops_and_counts() {
    let (go, wait) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let lines = Lines::start(Stalled {
        go: wait,
        seen: seen.clone(),
    });
    for _ in 0..10_000 {
        record(|r| lines.append(r)).unwrap();
    }
    drop(go);
    let dropped = |s: &[u8]| String::from_utf8_lossy(s).contains("lines dropped");
    while !dropped(&seen.lock().unwrap()) {
        record(|r| lines.append(r)).unwrap();
        std::thread::yield_now();
    }
}

/// Symptom: a burst made logging cost more than serving. Events: a thousand
/// requests are answered within a second. Cause: one line each, unbounded.
#[test]
fn admit_burst_is_bounded_failures_are_not() {
    let mut bound = Bound::default();
    let mut admitted = |message: &str, at_ms: u64| {
        let lines = (0..1_000).map(|_| kind(message, |r| bound.admit(r, at_ms)));
        lines.fold((0, 0), |sum, (ok, left)| {
            (sum.0 + u32::from(ok), sum.1 + left)
        })
    };
    assert_eq!(admitted("answered", 5_000), (200, 0));
    assert_eq!(admitted("given up", 5_999), (1_000, 0));
    assert_eq!(admitted("answered", 6_000), (200, 800));
}
