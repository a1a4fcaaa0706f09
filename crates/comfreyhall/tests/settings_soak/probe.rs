//! Callers that ask each daemon on routes that tell versions apart.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::task::JoinHandle;

use super::{
    emulator::caller::{Caller, PathOutcome},
    fleet::Fleet,
    history::{self, Newest, Seen, Service},
    oracle::{Answer, Disturbance, Whom},
};

/// Pause between two requests to one daemon.
const PAUSE_MS: std::ops::Range<u64> = 60..180;

/// Starts a caller for each daemon, until told to stop.
pub fn spawn(fleet: &Fleet, seed: u64, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<Answer>>> {
    let fronts = fleet.fronts().into_iter().enumerate();
    fronts
        .map(|(daemon, front)| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + daemon as u64);
            let newest = fleet.newest.clone();
            tokio::spawn(call(daemon, front, rng, newest, stop.clone()))
        })
        .collect()
}

async fn call(
    daemon: usize,
    front: String,
    mut rng: StdRng,
    newest: Newest,
    stop: Arc<AtomicBool>,
) -> Vec<Answer> {
    let mut caller = Caller::default();
    let mut out = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let path = history::draw(newest.load(Ordering::SeqCst), rng.random());
        let id = format!("d{daemon}r{}", out.len());
        let sent = Instant::now();
        let ran = caller
            .send_path(&front, &format!("{}x", path.text()), &id)
            .await;
        out.push(Answer {
            daemon,
            path,
            seen: seen(&ran),
            sent,
            ended: Instant::now(),
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    out
}

/// Pause between two looks at whether the machine has time for this process.
const LOOK: Duration = Duration::from_millis(50);

/// Lateness of a look from which the machine counts as too busy.
const STARVED: Duration = Duration::from_millis(250);

/// When the machine was too busy to wake this process in time, and so daemons too.
pub async fn starved(stop: Arc<AtomicBool>) -> Vec<Disturbance> {
    let mut out = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        tokio::time::sleep(LOOK).await;
        if began.elapsed() > LOOK + STARVED {
            let span = began..Instant::now();
            let whom = Whom::All;
            out.push(Disturbance { whom, span });
        }
    }
    out
}

fn seen(ran: &PathOutcome) -> Seen {
    match ran {
        PathOutcome::AnsweredBy(target) if target.starts_with(Service::App.name()) => {
            Seen::Ran(Service::App)
        }
        PathOutcome::AnsweredBy(_) => Seen::Ran(Service::Alt),
        PathOutcome::Status(404) => Seen::Denied,
        PathOutcome::Status(429 | 503) => Seen::Refused,
        PathOutcome::Status(_) | PathOutcome::NoAnswer => Seen::Nothing,
    }
}
