//! Callers that leave their streams and resume them at other daemons, while engines
//! restart with other software.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{Rng, rngs::StdRng};

use crate::emulator::{
    STREAM_EVENTS,
    resume::{Resumed, read_stream},
};

/// Resumptions from which on their share is compared.
const MIN_RESUMPTIONS: usize = 12;

/// Attempts of one stream.
const MAX_ATTEMPTS: usize = 3;

/// What happened to the streams of all callers.
#[derive(Debug, Default)]
pub struct Tally {
    /// Attempts to begin a stream, and those that brought an event.
    pub begins: (usize, usize),
    /// Attempts to resume one, and those that brought an event.
    pub resumptions: (usize, usize),
    /// Streams that hold events of two versions, or lack an event.
    pub violations: Vec<String>,
}

impl Tally {
    /// The violated guarantees, one line each. `planned_only`: nothing but planned work
    /// happened, so that resumptions go on about as often as streams begin.
    pub fn all_violations(&self, planned_only: bool) -> Vec<String> {
        let mut out = self.violations.clone();
        let share = |(sent, went): (usize, usize)| went as f64 / sent.max(1) as f64;
        let (begun, resumed) = (share(self.begins), share(self.resumptions));
        let few = self.resumptions.0 < MIN_RESUMPTIONS;
        if planned_only && !few && resumed < begun / 2.0 {
            out.push(format!(
                "{resumed:.2} of the resumptions go on, {begun:.2} begin"
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
) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let first = format!("v{caller}-{number}");
        let mut events = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let front = &fronts[rng.random_range(0..fronts.len())];
            let left = STREAM_EVENTS as usize - events.len();
            let limit = rng.random_range(1..=left);
            let last = events.last().map(|e: &crate::emulator::resume::Event| e.id);
            let resumed = last.map(|last| Resumed {
                last,
                first: first.clone(),
            });
            let id = match attempt {
                0 => first.clone(),
                _ => format!("{first}-{attempt}"),
            };
            let reading = read_stream(front, &id, "m/a1", resumed.as_ref(), limit).await;
            {
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
