use comfreyhall_domain::Name;

use crate::{Interference, Pace, PaceTable, RunTimes, StreamSample, TargetStats, selection};

/// Time in ms that an engine of mean pace takes for a prompt.
const PROMPT_MS: f64 = 90.0;

fn name(i: usize) -> Name {
    format!("e{i}").into()
}

fn stream(events: u32, longest_gap_ms: u64) -> StreamSample {
    StreamSample {
        events,
        stream_ms: u64::from(events - 1) * 50,
        longest_gap_ms,
        gap_objective_ms: Some(400),
    }
}

/// Records a first event at `target` every 200 ms from `from` to `until`, `ratio`
/// times as late as expected.
fn first_events(table: &mut PaceTable, target: &Name, ratio: f64, from: u64, until: u64) {
    for now in (from..until).step_by(200) {
        table.record_first(target, ratio * 250.0, 250.0, now);
    }
}

/// Six engines of pace 0.7, 0.7 and 1.7 in a loop over the pure decision: at each
/// step one prompt arrives and each engine reads what it can.
struct Load {
    paces: [f64; 6],
    backlog_ms: [f64; 6],
    prompts: [u32; 6],
    /// Prompts that made the streams beside them late.
    late: u32,
}

impl Load {
    fn new() -> Self {
        Self {
            paces: [0.7, 0.7, 1.7, 0.7, 0.7, 1.7],
            backlog_ms: [0.0; 6],
            prompts: [0; 6],
            late: 0,
        }
    }

    /// Prompts arrive in clumps, each goes to the engine with the least cost, and
    /// each engine streams to four callers. Without `priced` the cost is the wait.
    fn play(mut self, clump: u64, priced: bool) -> Self {
        let table = self.learned();
        // Two thirds of what the engines can read.
        let read_ms = 19.0 * clump as f64;
        for step in 0..3_000_u64 {
            let cost = |i: usize| {
                let pace = table.current(&name(i), 20_000).read;
                let queued_ms = pace * self.backlog_ms[i];
                let read_ms = pace * PROMPT_MS;
                let beside = Interference {
                    queued_ms,
                    read_ms,
                    event_wait_ms: 330.0 * pace,
                    objective_ms: 400.0,
                };
                let late_ms = if priced {
                    beside.cost_ms(4, 1_000.0)
                } else {
                    0.0
                };
                queued_ms + read_ms + late_ms
            };
            let best = (0..6).min_by(|a, b| cost(*a).total_cmp(&cost(*b))).unwrap();
            self.backlog_ms[best] += PROMPT_MS;
            self.prompts[best] += 1;
            let gap_ms = self.paces[best] * self.backlog_ms[best].min(330.0);
            self.late += u32::from(gap_ms > 400.0);
            if step % clump == clump - 1 {
                for i in 0..6 {
                    self.backlog_ms[i] = (self.backlog_ms[i] - read_ms / self.paces[i]).max(0.0);
                }
            }
        }
        self
    }

    fn learned(&self) -> PaceTable {
        let mut table = PaceTable::default();
        for (i, pace) in self.paces.iter().enumerate() {
            first_events(&mut table, &name(i), *pace, 0, 20_000);
        }
        table
    }
}

/// Guards against streams that are late on slow engines: by its wait alone a slow
/// engine gets a third prompt while its streams already wait for two.
#[test]
fn interference_uneven_engines_few_late_streams() {
    let (before, after) = (Load::new().play(40, false), Load::new().play(40, true));
    assert!(before.late > 100, "{}", before.late);
    assert!(
        after.late * 2 < before.late,
        "{} of {}",
        after.late,
        before.late
    );
}

/// Engines that differ in speed get prompts in proportion to it while none makes
/// streams late.
#[test]
fn interference_moderate_load_shared_by_pace() {
    let load = Load::new().play(12, true);
    assert_eq!(load.late, 0);
    let ratio =
        f64::from(load.prompts[2] + load.prompts[5]) / f64::from(load.prompts[0] + load.prompts[1]);
    assert!((0.3..0.55).contains(&ratio), "{:?}", load.prompts);
}

/// Guards against adapters that move because an engine slows down for half a second.
#[test]
fn rank_weight_short_slowness_unchanged() {
    let (mut table, engine) = (PaceTable::default(), name(0));
    first_events(&mut table, &engine, 1.0, 0, 10_000);
    for now in (10_000..10_500).step_by(50) {
        table.record_first(&engine, 1_000.0, 250.0, now);
    }
    assert!(table.current(&engine, 10_500).read > 1.8);
    assert_eq!(table.rank_weight(&engine), 1.0);
    // Just now has passed; by nature it is about as before.
    assert!(table.current(&engine, 20_000).read < 1.5);
    first_events(&mut table, &engine, 1.0, 20_000, 30_000);
    assert_eq!(table.rank_weight(&engine), 1.0);
}

/// An engine that is slow by nature is ranked first for fewer adapters.
#[test]
fn rank_weight_slow_engine_in_proportion() {
    let mut table = PaceTable::default();
    for (i, pace) in [0.7, 0.7, 1.7].iter().enumerate() {
        first_events(&mut table, &name(i), *pace, 0, 30_000);
    }
    let mut first_ranked = [0_u32; 3];
    for key in 0..6_000 {
        let key = format!("m/a{key}");
        let rank = |i: &usize| {
            let engine = name(*i);
            selection::weighted_rank(&key, &engine, table.rank_weight(&engine))
        };
        first_ranked[(0..3).min_by_key(rank).unwrap()] += 1;
    }
    let ratio = f64::from(first_ranked[2]) / f64::from(first_ranked[0]);
    assert!((0.3..0.55).contains(&ratio), "{first_ranked:?}");
}

/// Guards against adapters that move back and forth with demand that swings between two
/// domains: each engine reads a quarter slower while its domain is busy.
#[test]
fn rank_weight_swinging_demand_steady() {
    let mut table = PaceTable::default();
    let mut changes = 0;
    for now in (0..120_000_u64).step_by(100) {
        let busy = (now / 8_000) % 2;
        for domain in 0..2_u64 {
            let pace = if domain == busy { 1.25 } else { 0.85 };
            let changed = table.record_first(&name(domain as usize), pace * 250.0, 250.0, now);
            changes += u32::from(changed.is_some());
        }
    }
    assert!(changes <= 1, "{changes}");
}

/// A daemon that takes over as the holder continues from what was reported to it.
#[test]
fn set_successor_continues() {
    let (mut holder, engine) = (PaceTable::default(), name(0));
    first_events(&mut holder, &engine, 1.7, 0, 30_000);
    for now in (0..30_000).step_by(500) {
        holder.record_stream(&engine, stream(20, 600), now);
    }
    let told = holder.current(&engine, 30_000);
    let mut successor = PaceTable::default();
    successor.set(&engine, told, 30_000);
    let taken = successor.current(&engine, 30_000);
    let close = |a: f64, b: f64| (a - b).abs() < 0.01;
    assert!(close(taken.read, told.read) && close(taken.late_gaps, told.late_gaps));
    // Its first own sample hardly moves it, and its ranking weight follows.
    successor.record_first(&engine, 250.0, 250.0, 30_100);
    assert!((successor.current(&engine, 30_100).long_read - told.long_read).abs() < 0.05);
    successor.set(&engine, told, 35_000);
    assert_eq!(successor.rank_weight(&engine), holder.rank_weight(&engine));
}

/// An engine without reports counts as the mean, and one that was slow
/// returns to it.
#[test]
fn current_without_samples_is_mean() {
    let (mut table, engine) = (PaceTable::default(), name(0));
    assert_eq!(table.current(&engine, 0), Pace::default());
    for now in (0..5_000).step_by(250) {
        table.record_stream(&engine, stream(10, 500), now);
    }
    let late = table.current(&engine, 5_000).late_gaps;
    assert!(late > 0.1, "{late}");
    assert!(table.current(&engine, 5_000).late_probability(1.0) < 1e-9);
    assert!(table.current(&engine, 5_000).late_probability(30.0) > 0.9);
}

/// Guards against a prompt that counts as harmful by its length where one event
/// waits for a few pieces of it only.
#[test]
fn late_probability_bounded_by_event_wait() {
    let with = |event_wait_ms| Interference {
        queued_ms: 0.0,
        read_ms: 2_000.0,
        event_wait_ms,
        objective_ms: 400.0,
    };
    assert!(with(230.0).late_probability() < 1e-9);
    assert!(with(600.0).late_probability() > 0.99);
}

/// Hints of a route that are three times too high are corrected.
#[test]
fn run_ms_follows_worth_of_hints() {
    let route: Name = "r".into();
    let mut times = RunTimes::default();
    let before = times.output(&route, Some(60));
    for i in 0..300 {
        times.record(&route, 20 + i % 3, Some(60));
        times.record(&route, 5, None);
    }
    let after = times.output(&route, Some(60));
    assert!((18.0..25.0).contains(&after.events), "{after:?}");
    assert!(
        after.spread < before.spread && after.spread < 1.3,
        "{after:?}"
    );
    let short = times.run_ms(&route, None, 100.0, 40.0);
    assert!((250.0..400.0).contains(&short), "{short}");
}

/// Guards against requests that are refused because of a slow moment which ends
/// before their turn comes.
#[test]
fn read_ms_slow_moment_passes() {
    let pace = Pace {
        read: 2.5,
        ..Pace::default()
    };
    assert_eq!(pace.read_ms(100.0), 250.0);
    assert_eq!(pace.read_ms(1_000.0), 300.0 + 880.0);
    let fast = Pace {
        read: 0.7,
        ..Pace::default()
    };
    assert_eq!(fast.read_ms(1_000.0), 700.0);
}

/// A slow engine with late streams is as healthy as before: only answers count.
#[test]
fn health_slow_engine_unchanged() {
    let (mut stats, mut table, engine) = (TargetStats::default(), PaceTable::default(), name(0));
    for now in (0..20_000).step_by(200) {
        let expected_ms = stats.record_first_token(&engine, 2_000, 900).unwrap();
        table.record_first(&engine, 900.0, expected_ms, now);
        table.record_stream(&engine, stream(20, 900), now);
        stats.record_outcome(&engine, true, 1.0, now);
    }
    assert!(table.current(&engine, 20_000).late_gaps > 0.05);
    assert!(stats.health(&engine, 20_000) > 0.99);
}

/// Guards against a reading time that is far too short because backlogs are known
/// with an error: of each backlog only half is still to be read.
#[test]
fn reading_ms_of_lone_prompts() {
    let mut stats = TargetStats::default();
    for i in 0..600_u64 {
        let tokens = 500 + 37 * (i % 80);
        let stale = 1_000 * (i % 7);
        let waited_ms = 40 + (tokens + stale / 2) / 20;
        stats.record_first_token(&name(0), tokens + stale, waited_ms);
        if stale == 0 {
            stats.record_alone(tokens, waited_ms as f64);
        }
    }
    assert!(stats.read_duration_ms(4_000.0) < 150.0);
    assert!((180.0..220.0).contains(&stats.reading_ms(4_000.0)));
}
