//! Counters of the daemon's own resource use, served at `/v1/stats`.
//!
//! docs/CAPACITY.md is computed from these: processor time and resident memory
//! read from `/proc/self`, and the control messages (status polls, all calls to
//! the table service, instance list, peers) counted by their encoded protobuf
//! size plus the 5-byte gRPC frame header. HTTP/2 headers and TCP overhead are
//! not counted, so control bytes are a lower bound.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// The gRPC length prefix of every message.
const FRAME_BYTES: u64 = 5;

/// Totals since the daemon started.
#[derive(Default)]
pub(crate) struct Counters {
    requests: AtomicU64,
    control_calls: AtomicU64,
    control_bytes: AtomicU64,
}

impl Counters {
    /// Counts one routed request.
    pub(crate) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one control call by the sizes of its request and reply.
    pub(crate) fn count_control(&self, sent: usize, received: usize) {
        let bytes = sent as u64 + received as u64 + 2 * FRAME_BYTES;
        self.control_calls.fetch_add(1, Ordering::Relaxed);
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A snapshot of the daemon's resource use.
#[derive(Debug, Serialize)]
pub(crate) struct Stats {
    pub(crate) instance: String,
    /// Processor time, user plus system, in ms.
    pub(crate) cpu_ms: u64,
    /// Resident memory in KiB.
    pub(crate) rss_kib: u64,
    pub(crate) requests: u64,
    pub(crate) control_calls: u64,
    pub(crate) control_bytes: u64,
    /// Calls to the table service; included in `control_calls`.
    pub(crate) table_calls: u64,
    /// Adapter records cached for resolving model names.
    pub(crate) adapters_cached: usize,
}

impl Counters {
    /// The totals so far, with the resource use of this process.
    ///
    /// `table` is the calls and bytes of the table client.
    pub(crate) fn snapshot(
        &self,
        instance: &str,
        adapters_cached: usize,
        table: (u64, u64),
    ) -> Stats {
        Stats {
            instance: instance.to_string(),
            cpu_ms: cpu_ms(),
            rss_kib: rss_kib(),
            requests: self.requests.load(Ordering::Relaxed),
            control_calls: self.control_calls.load(Ordering::Relaxed) + table.0,
            control_bytes: self.control_bytes.load(Ordering::Relaxed) + table.1,
            table_calls: table.0,
            adapters_cached,
        }
    }
}

/// User plus system time of this process, from `/proc/self/stat`.
fn cpu_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields after the parenthesised command name; utime and stime are the
    // 14th and 15th fields of the line, in clock ticks (100 a second here).
    let rest = stat.rsplit_once(')').map_or("", |(_, r)| r);
    let fields: Vec<u64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<u64>() * 1_000 / ticks_per_sec()
}

fn ticks_per_sec() -> u64 {
    // The kernel's USER_HZ is 100 on every Linux this runs on.
    100
}

/// Resident set size from `/proc/self/status`.
fn rss_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(|v| v.split_whitespace().next())
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}
