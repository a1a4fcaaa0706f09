//! Callers that send requests to each daemon on routes that differ between versions.

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
    history::{self, NewestVersion, Outcome, Service},
    oracle::{Answer, Disturbance, Scope},
};

/// Range of pauses between two requests to one daemon.
const PAUSE_MS: std::ops::Range<u64> = 60..180;

/// Starts one caller for each daemon; they run until `stop` is set.
pub fn spawn_callers(
    fleet: &Fleet,
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Answer>>> {
    let front_addrs = fleet.front_addrs().into_iter().enumerate();
    front_addrs
        .map(|(daemon, front_addr)| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + daemon as u64);
            let newest = fleet.newest.clone();
            tokio::spawn(run_caller(daemon, front_addr, rng, newest, stop.clone()))
        })
        .collect()
}

async fn run_caller(
    daemon: usize,
    front_addr: String,
    mut rng: StdRng,
    newest: NewestVersion,
    stop: Arc<AtomicBool>,
) -> Vec<Answer> {
    let mut caller = Caller::default();
    let mut out = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let path = history::choose_path(newest.load(Ordering::SeqCst), rng.random());
        let id = format!("d{daemon}r{}", out.len());
        let sent = Instant::now();
        let reply = caller
            .send_path(&front_addr, &format!("{}x", path.prefix()), &id)
            .await;
        out.push(Answer {
            daemon,
            path,
            outcome: outcome_of(&reply),
            sent,
            ended: Instant::now(),
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    out
}

/// Interval at which wake-up latency of this process is measured.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Wake-up latency above which the machine counts as overloaded.
const MAX_WAKE_LATENCY: Duration = Duration::from_millis(250);

/// Records when the machine was too busy to wake this process in time, as daemons
/// are then delayed too. Runs until `stop` is set.
pub async fn record_starvation(stop: Arc<AtomicBool>) -> Vec<Disturbance> {
    let mut out = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let check_start = Instant::now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        if check_start.elapsed() > CHECK_INTERVAL + MAX_WAKE_LATENCY {
            let span = check_start..Instant::now();
            let scope = Scope::All;
            out.push(Disturbance { scope, span });
        }
    }
    out
}

fn outcome_of(reply: &PathOutcome) -> Outcome {
    match reply {
        PathOutcome::AnsweredBy(target) if target.starts_with(Service::App.name()) => {
            Outcome::AnsweredBy(Service::App)
        }
        PathOutcome::AnsweredBy(_) => Outcome::AnsweredBy(Service::Alt),
        PathOutcome::Status(404) => Outcome::NotFound,
        PathOutcome::Status(429 | 503) => Outcome::Rejected,
        PathOutcome::Status(_) | PathOutcome::NoAnswer => Outcome::Inconclusive,
    }
}
