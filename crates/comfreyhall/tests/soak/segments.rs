//! Requests of which no two are alike, with a prompt segment that crashes engines.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::{
    Fleet, POISON_PAUSE,
    emulator::{
        POISON_SEGMENT,
        caller::{Caller, Kind},
    },
};

/// Ends under a segment after which it is known, and the time until all daemons know.
const KNOWN_AFTER: usize = 5;
const STABLE_AFTER: Duration = Duration::from_secs(2);

/// Requests with the segment that may reach engines later than that.
const MAX_LATE: usize = 3;

/// Sends requests with the poison segment through all daemons until `stop` is set. Their
/// first segment is that of sound requests.
pub async fn send_poison(fronts: Vec<String>, stop: Arc<AtomicBool>) {
    for (i, front) in fronts.iter().cycle().enumerate() {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let mut caller = Caller::default();
        caller.segments = format!("5a:40,{POISON_SEGMENT}:30,{:x}:30", i + 1);
        let body = Bytes::from(format!("body {i}"));
        let id = format!("s{i}");
        caller.send_body(front, Kind::Stream, &id, "a0", body).await;
        tokio::time::sleep(POISON_PAUSE).await;
    }
}

impl Fleet {
    /// Says whether requests with the segment went on reaching engines.
    pub fn late_segments(&self) -> Vec<String> {
        let boots = self.targets.iter().flat_map(|(host, _)| host.boots());
        let mut arrivals: Vec<Instant> = Vec::new();
        for boot in boots {
            arrivals.extend(boot.poison_arrivals.lock().unwrap().iter());
        }
        arrivals.sort();
        println!("the segment reached engines {} times", arrivals.len());
        let Some(known) = arrivals.get(KNOWN_AFTER - 1) else {
            return Vec::new();
        };
        let late = arrivals.iter().filter(|at| **at > *known + STABLE_AFTER);
        match late.count() {
            late if late > MAX_LATE => {
                vec![format!(
                    "the segment reached engines {late} times too often"
                )]
            }
            _ => Vec::new(),
        }
    }
}
