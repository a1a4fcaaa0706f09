use std::{
    io::Write,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use log::{Level, Record};
use log4rs::append::Append;

use crate::json::{JsonAppender, RateLimiter, format_line};

fn with_record<R>(f: impl FnOnce(&Record<'_>) -> R) -> R {
    with_message("send", f)
}

fn with_message<R>(message: &str, f: impl FnOnce(&Record<'_>) -> R) -> R {
    let fields = [("id", "r1"), ("outcome", "refused")];
    f(&Record::builder()
        .level(Level::Info)
        .target("serve")
        .args(format_args!("{message}"))
        .key_values(&fields)
        .build())
}

#[test]
fn format_line_includes_fields() {
    let text = with_record(|r| String::from_utf8(format_line(r, 5)).unwrap());
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["part"], "serve");
    assert_eq!(value["id"], "r1");
    assert_eq!(value["t"], 5);
}

/// A writer that blocks until it is released.
struct BlockedWriter {
    release: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.release.recv_timeout(Duration::from_secs(60));
        self.seen.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that hang while nobody reads standard output: the
/// reader stalls, the pipe fills, and a log line blocks the thread that serves
/// requests.
#[test]
fn append_stalled_reader_drops_and_counts() {
    let (release, blocked) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let appender = JsonAppender::start(BlockedWriter {
        release: blocked,
        seen: seen.clone(),
    });
    for _ in 0..10_000 {
        with_record(|r| appender.append(r)).unwrap();
    }
    drop(release);
    let dropped = |s: &[u8]| String::from_utf8_lossy(s).contains("lines dropped");
    while !dropped(&seen.lock().unwrap()) {
        with_record(|r| appender.append(r)).unwrap();
        std::thread::yield_now();
    }
}

/// Guards against a burst that makes logging cost more than serving: a thousand
/// requests are answered within a second, each with a line.
#[test]
fn admit_limits_bursts_but_not_failures() {
    let mut limiter = RateLimiter::default();
    let mut admitted = |message: &str, at_ms: u64| {
        let results = (0..1_000).map(|_| with_message(message, |r| limiter.admit(r, at_ms)));
        results.fold((0, 0), |sum, (is_admitted, suppressed)| {
            (sum.0 + u32::from(is_admitted), sum.1 + suppressed)
        })
    };
    assert_eq!(admitted("answered", 5_000), (200, 0));
    assert_eq!(admitted("given up", 5_999), (1_000, 0));
    assert_eq!(admitted("answered", 6_000), (200, 800));
}
