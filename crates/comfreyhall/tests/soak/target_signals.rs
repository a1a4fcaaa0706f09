//! Signals that targets send about themselves: limits, cooldowns and draining.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{Rng, rngs::StdRng};

use super::emulator::host::Host;

/// How long a target sends one signal.
const SIGNAL_MS: std::ops::Range<u64> = 500..3_000;

/// Longest pause between two signals.
const MAX_PAUSE_MS: u64 = 500;

/// Makes one random target at a time send a signal, until `stop` is set. A target
/// that has drained crashes at the end, and its next boot follows.
pub async fn send_signals(hosts: Vec<Arc<Host>>, mut rng: StdRng, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let host = &hosts[rng.random_range(0..hosts.len())];
        let Some(boot) = host.boots().last().cloned() else {
            continue;
        };
        let signal = rng.random_range(0..5);
        match signal {
            0 | 1 => {
                let limit: f64 = rng.random_range(0.0..12.0);
                *boot.limit.lock().unwrap() = Some(format!("{limit:.2}"));
            }
            2 => *boot.limit.lock().unwrap() = Some("a few".into()),
            3 => {
                let cooldown_s: f64 = rng.random_range(0.1..2.5);
                *boot.cooldown.lock().unwrap() = Some(format!("{cooldown_s:.1}"));
            }
            _ => boot.draining.store(true, Ordering::SeqCst),
        }
        let signal_ms = rng.random_range(SIGNAL_MS);
        tokio::time::sleep(Duration::from_millis(signal_ms)).await;
        *boot.limit.lock().unwrap() = None;
        *boot.cooldown.lock().unwrap() = None;
        if boot.draining.load(Ordering::SeqCst) {
            boot.crash_signal.notify_one();
        }
        let pause = rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
