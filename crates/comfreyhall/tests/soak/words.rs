//! Targets that name limits, ask for rest, or say that they leave.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{Rng, rngs::StdRng};

use super::emulator::host::Host;

/// How long a target says a thing, in ms.
const LASTS_MS: std::ops::Range<u64> = 500..3_000;

/// Longest pause before the next one does, in ms.
const PAUSE_MS: u64 = 500;

/// Has one target after the other say something, until told to stop. One that
/// leaves is gone in the end, and another start of it comes.
pub async fn say(hosts: Vec<Arc<Host>>, mut rng: StdRng, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let host = &hosts[rng.random_range(0..hosts.len())];
        let Some(boot) = host.boots().last().cloned() else {
            continue;
        };
        let what = rng.random_range(0..5);
        match what {
            0 | 1 => {
                let limit: f64 = rng.random_range(0.0..12.0);
                *boot.limit.lock().unwrap() = Some(format!("{limit:.2}"));
            }
            2 => *boot.limit.lock().unwrap() = Some("a few".into()),
            3 => {
                let rest: f64 = rng.random_range(0.1..2.5);
                *boot.cooldown.lock().unwrap() = Some(format!("{rest:.1}"));
            }
            _ => boot.draining.store(true, Ordering::SeqCst),
        }
        let lasts = rng.random_range(LASTS_MS);
        tokio::time::sleep(Duration::from_millis(lasts)).await;
        *boot.limit.lock().unwrap() = None;
        *boot.cooldown.lock().unwrap() = None;
        if boot.draining.load(Ordering::SeqCst) {
            boot.crash_signal.notify_one();
        }
        let pause = rng.random_range(0..PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
