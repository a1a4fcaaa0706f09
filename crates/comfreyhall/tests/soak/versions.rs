//! Callers that leave their streams and resume them at other daemons, while engines
//! restart with other software.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};

use crate::emulator::{
    STREAM_EVENTS,
    host::Host,
    resume::{Event, Resumed, read_stream},
};

/// Resumptions from which on their share is compared.
const MIN_RESUMPTIONS: usize = 12;

/// Attempts of one stream.
const MAX_ATTEMPTS: usize = 3;

/// How long a daemon has run without a fault before it counts as in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// Engines of a version below which its streams need not go on.
const MIN_ENGINES: usize = 2;

/// Smallest share of the resumptions that goes on, relative to the share of streams
/// that begin, where only daemons are killed and engines replaced.
const RESUMED_SHARE: f64 = 0.95;

/// Resumptions in one run from which on that share is compared.
const COMPARED_RESUMPTIONS: usize = 100;

/// What callers may expect: daemons in touch, and engines of each version.
pub struct Scene {
    /// Since when each daemon runs without a fault.
    pub up_since: Vec<Mutex<Option<Instant>>>,
    pub engines: Vec<Arc<Host>>,
}

impl Scene {
    /// Records that a daemon runs, or that it does not.
    pub fn set_up(&self, daemon: usize, up: bool) {
        *self.up_since[daemon].lock().unwrap() = up.then(Instant::now);
    }

    fn in_touch(&self, daemon: usize) -> bool {
        let since = *self.up_since[daemon].lock().unwrap();
        since.is_some_and(|at| at.elapsed() >= IN_TOUCH)
    }

    /// Whether enough engines serve `software`, or any version.
    fn serves(&self, software: Option<&str>) -> bool {
        let versions = self.engines.iter().filter_map(|h| h.serving_software());
        let of_it = versions.filter(|v| software.is_none_or(|s| s == v));
        of_it.count() >= MIN_ENGINES
    }

    /// Whether a stream sent to `daemon` may expect to get events.
    fn expects(&self, daemon: usize, software: Option<&str>) -> bool {
        self.in_touch(daemon) && self.serves(software)
    }
}

/// What happened to the streams of all callers.
#[derive(Debug, Default)]
pub struct Tally {
    /// Attempts to begin a stream that may expect to, and those that brought an event.
    pub begins: (usize, usize),
    /// Attempts to resume one that may expect to, and those that brought an event.
    pub resumptions: (usize, usize),
    /// Streams that hold events of two versions, or lack an event.
    pub violations: Vec<String>,
}

impl Tally {
    /// The violated guarantees, one line each. `rollout`: only daemons were killed and
    /// engines replaced.
    pub fn all_violations(&self, rollout: bool) -> Vec<String> {
        let mut out = self.violations.clone();
        let share = |(sent, went): (usize, usize)| went as f64 / sent.max(1) as f64;
        let (begun, resumed) = (share(self.begins), share(self.resumptions));
        let sent = self.resumptions.0;
        let (compared, least) = match rollout {
            true => (sent >= COMPARED_RESUMPTIONS, RESUMED_SHARE * begun),
            false => (sent >= MIN_RESUMPTIONS, begun / 2.0),
        };
        if compared && resumed < least {
            out.push(format!(
                "{resumed:.3} of {sent} resumptions go on, {begun:.3} begin"
            ));
        }
        out
    }
}

/// Begins streams and resumes them until `stop` is set.
pub async fn resume_streams(
    caller: usize,
    fronts: Vec<String>,
    mut rng: StdRng,
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    scene: Arc<Scene>,
) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let first = format!("v{caller}-{number}");
        let mut events = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let daemon = rng.random_range(0..fronts.len());
            let front = &fronts[daemon];
            let left = STREAM_EVENTS as usize - events.len();
            let limit = rng.random_range(1..=left);
            let last: Option<&Event> = events.last();
            let software = last.map(|e| e.software.clone());
            let resumed = last.map(|e| Resumed {
                last: e.id,
                first: first.clone(),
            });
            let expected = scene.expects(daemon, software.as_deref());
            let id = match attempt {
                0 => first.clone(),
                _ => format!("{first}-{attempt}"),
            };
            let reading = read_stream(front, &id, "m/a1", resumed.as_ref(), limit).await;
            if expected && scene.expects(daemon, software.as_deref()) {
                let mut tally = tally.lock().unwrap();
                let count = match resumed {
                    Some(_) => &mut tally.resumptions,
                    None => &mut tally.begins,
                };
                count.0 += 1;
                count.1 += usize::from(!reading.events.is_empty());
            }
            events.extend(reading.events);
            if events.is_empty() || events.len() == STREAM_EVENTS as usize {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(30..200))).await;
        }
        let versions: BTreeSet<&str> = events.iter().map(|e| &*e.software).collect();
        let in_order = events.iter().zip(1..).all(|(e, id)| e.id == id);
        if versions.len() > 1 || !in_order {
            tally
                .lock()
                .unwrap()
                .violations
                .push(format!("{first}: {events:?}"));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}
