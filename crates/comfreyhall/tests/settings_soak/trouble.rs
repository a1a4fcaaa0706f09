//! What happens next in a run: changes, and faults from outside the daemons.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{Rng, rngs::StdRng, seq::IteratorRandom};

use super::{
    emulator::link::Mode,
    fleet::{End, Fleet},
    oracle::Whom,
};

/// Speed of a slow way to the store, in KB a second.
const SLOW_KB: std::ops::Range<u64> = 60..400;

/// Which troubles a run has.
#[derive(Debug, Clone, Copy)]
pub enum Mood {
    /// All of them, whenever.
    Anything,
    /// Daemons come and go, and some are cut off; the store is well.
    StoreWell,
    /// Outages of the store with all the rest, and calm with changes after each.
    Outages,
}

impl Mood {
    pub fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Mood::Anything,
            1 => Mood::StoreWell,
            _ => Mood::Outages,
        }
    }
}

/// Parts of a run with outages, in ms: trouble, then calm.
const TROUBLE_MS: u64 = 5_000;
const CALM_MS: u64 = 9_000;

/// Does one thing; things overlap. `ms`: since the run began.
pub fn next(fleet: &mut Fleet, rng: &mut StdRng, mood: Mood, ms: u64) {
    if rng.random_bool(0.4) {
        return change(fleet, rng);
    }
    match mood {
        Mood::Anything if rng.random_bool(0.4) => outage(fleet, rng),
        Mood::Anything | Mood::StoreWell => at_daemons(fleet, rng),
        Mood::Outages if ms % (TROUBLE_MS + CALM_MS) > TROUBLE_MS => change(fleet, rng),
        Mood::Outages if rng.random_bool(0.5) => outage(fleet, rng),
        Mood::Outages => at_daemons(fleet, rng),
    }
}

fn change(fleet: &mut Fleet, rng: &mut StdRng) {
    match rng.random_range(0..7) {
        0..4 => fleet.change(),
        4 | 5 => (0..rng.random_range(2..5)).for_each(|_| fleet.change()),
        _ => fleet.change_invalid(),
    }
}

fn any_ms(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(300..5_000))
}

/// The store is away for all.
fn outage(fleet: &mut Fleet, rng: &mut StdRng) {
    let lasts = any_ms(rng);
    match rng.random_range(0..4) {
        0 => {
            fleet.store.down.store(true, Ordering::SeqCst);
            fleet.begin(Whom::All, lasts, End::StoreUp);
        }
        1 => {
            fleet.store.hang_calls.store(true, Ordering::SeqCst);
            fleet.begin(Whom::All, lasts, End::StoreSpeaks);
        }
        _ => spoil(fleet, rng, 1.0, lasts),
    }
}

/// Something happens to some daemons.
fn at_daemons(fleet: &mut Fleet, rng: &mut StdRng) {
    let lasts = any_ms(rng);
    let i = rng.random_range(0..fleet.daemons());
    match rng.random_range(0..6) {
        0 => {
            let share = rng.random_range(0.1..0.9);
            spoil(fleet, rng, share, lasts);
        }
        1 => fleet.kill(&[i], rng.random_range(50..2_000)),
        2 | 3 => herd(fleet, rng),
        4 => fleet.freeze(i, lasts),
        _ => fleet.stop_next(rng.random_range(1..=4)),
    }
}

/// Daemons of a share, drawn.
fn drawn(fleet: &Fleet, rng: &mut StdRng, share: f64) -> Vec<usize> {
    let count = ((fleet.daemons() as f64 * share).ceil() as usize).max(1);
    (0..fleet.daemons()).choose_multiple(rng, count)
}

/// Kills many daemons at once, which come back together.
fn herd(fleet: &mut Fleet, rng: &mut StdRng) {
    let share = rng.random_range(0.3..=1.0);
    let whom = drawn(fleet, rng, share);
    fleet.kill(&whom, rng.random_range(50..2_000));
}

/// Spoils the ways of a share of the daemons to the store.
fn spoil(fleet: &mut Fleet, rng: &mut StdRng, share: f64, lasts: Duration) {
    let whom = drawn(fleet, rng, share);
    match rng.random_range(0..3) {
        0 => fleet.spoil(&whom, Mode::Reset, lasts),
        1 => fleet.spoil(&whom, Mode::Hang, lasts),
        _ => fleet.slow(&whom, rng.random_range(SLOW_KB), lasts),
    }
}
