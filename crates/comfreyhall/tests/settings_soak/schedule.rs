//! Chooses what happens next in a run: settings changes and faults from outside the
//! daemons.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{Rng, rngs::StdRng, seq::IteratorRandom};

use super::{
    emulator::link::Mode,
    fleet::{Fleet, Recovery},
    oracle::Scope,
};

/// Bandwidths of a slow link to the store, in KB/s.
const SLOW_LINK_KB: std::ops::Range<u64> = 60..400;

/// Which faults a run has, and when.
#[derive(Debug, Clone, Copy)]
pub enum Scenario {
    /// All faults at any time.
    AllFaults,
    /// Daemons stop, start and lose their links to the store; the store works.
    StoreWorks,
    /// Phases of all faults, each followed by a phase of settings changes only.
    FaultPhases,
}

impl Scenario {
    pub fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Scenario::AllFaults,
            1 => Scenario::StoreWorks,
            _ => Scenario::FaultPhases,
        }
    }
}

/// Alternating phases of [`Scenario::FaultPhases`].
const FAULTS_MS: u64 = 5_000;
const CHANGES_MS: u64 = 9_000;

/// Changes the settings or injects a fault, which may overlap with others. `ms` is
/// the time since the run began.
pub fn apply_next(fleet: &mut Fleet, rng: &mut StdRng, scenario: Scenario, ms: u64) {
    if rng.random_bool(0.4) {
        return change_settings(fleet, rng);
    }
    match scenario {
        Scenario::AllFaults if rng.random_bool(0.4) => fail_store(fleet, rng),
        Scenario::AllFaults | Scenario::StoreWorks => disturb_daemons(fleet, rng),
        Scenario::FaultPhases if ms % (FAULTS_MS + CHANGES_MS) > FAULTS_MS => {
            change_settings(fleet, rng)
        }
        Scenario::FaultPhases if rng.random_bool(0.5) => fail_store(fleet, rng),
        Scenario::FaultPhases => disturb_daemons(fleet, rng),
    }
}

fn change_settings(fleet: &mut Fleet, rng: &mut StdRng) {
    match rng.random_range(0..7) {
        0..4 => fleet.publish_version(),
        4 | 5 => (0..rng.random_range(2..5)).for_each(|_| fleet.publish_version()),
        _ => fleet.publish_invalid(),
    }
}

fn random_duration(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(300..5_000))
}

/// Makes the store fail for all daemons.
fn fail_store(fleet: &mut Fleet, rng: &mut StdRng) {
    let duration = random_duration(rng);
    match rng.random_range(0..4) {
        0 => {
            fleet.store.down.store(true, Ordering::SeqCst);
            fleet.begin_fault(Scope::All, duration, Recovery::RestoreStore);
        }
        1 => {
            fleet.store.hang_calls.store(true, Ordering::SeqCst);
            fleet.begin_fault(Scope::All, duration, Recovery::ResumeStore);
        }
        _ => disturb_links(fleet, rng, 1.0, duration),
    }
}

/// Injects a fault into some of the daemons or their links.
fn disturb_daemons(fleet: &mut Fleet, rng: &mut StdRng) {
    let duration = random_duration(rng);
    let i = rng.random_range(0..fleet.daemon_count());
    match rng.random_range(0..6) {
        0 => {
            let share = rng.random_range(0.1..0.9);
            disturb_links(fleet, rng, share, duration);
        }
        1 => fleet.kill(&[i], rng.random_range(50..2_000)),
        2 | 3 => kill_many(fleet, rng),
        4 => fleet.freeze(i, duration),
        _ => fleet.stop_next(rng.random_range(1..=4)),
    }
}

/// A random set of daemons that makes up `share` of the fleet.
fn random_daemons(fleet: &Fleet, rng: &mut StdRng, share: f64) -> Vec<usize> {
    let count = ((fleet.daemon_count() as f64 * share).ceil() as usize).max(1);
    (0..fleet.daemon_count()).choose_multiple(rng, count)
}

/// Kills many daemons at once; they restart together.
fn kill_many(fleet: &mut Fleet, rng: &mut StdRng) {
    let share = rng.random_range(0.3..=1.0);
    let indices = random_daemons(fleet, rng, share);
    fleet.kill(&indices, rng.random_range(50..2_000));
}

/// Makes the links of a share of the daemons to the store fail or slow.
fn disturb_links(fleet: &mut Fleet, rng: &mut StdRng, share: f64, duration: Duration) {
    let indices = random_daemons(fleet, rng, share);
    match rng.random_range(0..3) {
        0 => fleet.set_link_mode(&indices, Mode::Reset, duration),
        1 => fleet.set_link_mode(&indices, Mode::Hang, duration),
        _ => fleet.limit_bandwidth(&indices, rng.random_range(SLOW_LINK_KB), duration),
    }
}
