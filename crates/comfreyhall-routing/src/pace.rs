//! How fast each engine is, relative to the mean of all.
//!
//! Engines of one service differ in speed by nature, and any of them may be
//! slow for a moment. Two spans distinguish these: the long one decides which
//! engine an adapter belongs to, the short one where a request goes now. A slow
//! engine is not an unhealthy one.
//!
//! The time to read a prompt is compared with what its backlog lets expect, so
//! it does not depend on the load, and neither does the ranking of engines. The gaps between events
//! do depend on it.

use comfreyhall_domain::{Map, Name};

use crate::{
    average::{Average, Span},
    pace_class::PaceClass,
};

/// What an engine is by nature: long against a demand wave of some seconds.
const LONG: Span = Span {
    half_life_ms: 60_000.0,
    prior: 10.0,
};

/// What it is just now: slow moments last some hundred ms.
const SHORT: Span = Span {
    half_life_ms: 700.0,
    prior: 3.0,
};

/// Expected duration of a slow moment, in ms.
const MOMENT_MS: f64 = 300.0;

/// Late events of one engine: long enough for some dozen streams at one per
/// second. The prior is about five streams.
const LATE: Span = Span {
    half_life_ms: 15_000.0,
    prior: 50.0,
};

/// All engines together.
const ALL: Span = Span {
    half_life_ms: 60_000.0,
    prior: 1.0,
};

/// Samples that a report of the lease holder counts for.
const REPORT_WEIGHT: f64 = 50.0;

/// Events that a report of the lease holder counts for.
const REPORT_EVENTS: f64 = 400.0;

/// Samples that a report on the present moment counts for.
const SHORT_REPORT_WEIGHT: f64 = 3.0;

/// Bounds of one sample's ratio to what was expected, so that a stalled
/// connection does not count for dozens of requests.
const SAMPLE_BOUNDS: (f64, f64) = (0.3, 4.0);

/// Largest ratio of one sample to what is known by nature: a slow moment counts
/// little there, and an engine that stays slow is followed all the same.
const MAX_STEP: f64 = 2.0;

/// Bounds of a pace, so that no error idles or overloads an engine permanently.
const PACE_BOUNDS: (f64, f64) = (0.4, 4.0);

/// Samples before an engine can leave the mean class of pace.
const MIN_HOME_SAMPLES: f64 = 20.0;

/// Assumed time between two events before any is known, in ms.
const INITIAL_GAP_MS: f64 = 50.0;

/// Share of streams whose longest gap is within the longest wait of an event.
const WAIT_QUANTILE: f64 = 0.95;

/// Relative step of the estimate of a quantile at each sample.
const QUANTILE_STEP: f64 = 0.05;

/// Assumed longest wait of an event before any is known, in ms: above most
/// objectives, so that long backlogs count as harmful until they are known.
const INITIAL_WAIT_MS: f64 = 1_000.0;

/// The estimate `known` of a quantile, moved towards a sample of `value`.
fn moved(known: f64, quantile: f64, value: f64) -> f64 {
    let step = match value > known {
        true => quantile,
        false => quantile - 1.0,
    };
    (known * (QUANTILE_STEP * step).exp()).max(1.0)
}

/// What a stream that has ended shows of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamSample {
    /// Events received.
    pub events: u32,
    /// Ms from the first event to the last.
    pub stream_ms: u64,
    /// Longest gap between two events, in ms.
    pub longest_gap_ms: u64,
    /// Longest gap of a stream that is in time, in ms; `None` if any gap is.
    pub gap_objective_ms: Option<u64>,
}

/// The pace of one engine; 1 is the mean and 2 takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time to read a prompt, just now.
    pub read: f64,
    /// Time to read a prompt, by nature.
    pub long_read: f64,
    /// Time between two events.
    pub gap: f64,
    /// Share of its events that come after a gap over the objective of their
    /// route.
    pub late_gaps: f64,
}

impl Pace {
    /// Time in ms for what takes the mean of all engines `mean_ms`: a slow moment
    /// passes before a long backlog is read.
    pub fn read_ms(self, mean_ms: f64) -> f64 {
        let now_ms = mean_ms * self.read;
        if now_ms <= MOMENT_MS || self.read <= self.long_read {
            return now_ms;
        }
        MOMENT_MS + (mean_ms - MOMENT_MS / self.read) * self.long_read
    }

    /// Probability that a stream of `events` has a late one.
    pub fn late_probability(self, events: f64) -> f64 {
        let in_time = (1.0 - self.late_gaps).clamp(0.0, 1.0);
        1.0 - in_time.powf((events - 1.0).max(0.0))
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            read: 1.0,
            long_read: 1.0,
            gap: 1.0,
            late_gaps: 0.0,
        }
    }
}

/// Samples of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    read: Average,
    /// Reading just now, relative to the long span.
    short: Average,
    gap: Average,
    late: Average,
    class: PaceClass,
}

impl Engine {
    fn long_read(&self, now: u64) -> f64 {
        let value = self.read.value(LONG, 1.0, now);
        value.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }

    fn read(&self, now: u64) -> f64 {
        let read = self.long_read(now) * self.short.value(SHORT, 1.0, now);
        read.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }
}

/// The pace of all engines.
#[derive(Debug)]
pub struct PaceTable {
    engines: Map<Name, Engine>,
    /// Ms per event.
    gap_ms: Average,
    /// Share of late events.
    late: Average,
    /// Longest wait of an event at an engine of mean pace, in ms.
    wait_ms: f64,
}

impl Default for PaceTable {
    fn default() -> Self {
        Self {
            engines: Map::default(),
            gap_ms: Average::default(),
            late: Average::default(),
            wait_ms: INITIAL_WAIT_MS,
        }
    }
}

impl PaceTable {
    /// Records a stream of `target` that has ended.
    pub fn record_stream(&mut self, target: &Name, sample: StreamSample, now: u64) {
        if sample.events < 2 {
            return;
        }
        let mean_gap_ms = self.gap_ms.value(ALL, INITIAL_GAP_MS, now);
        let gap_ms = sample.stream_ms as f64 / f64::from(sample.events - 1);
        let ratio = (gap_ms / mean_gap_ms.max(1.0)).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let engine = self.engines.entry(target.clone()).or_default();
        engine.gap.record(LONG, ratio, now);
        let long_read = engine.long_read(now);
        let wait_ms = sample.longest_gap_ms as f64 / long_read;
        if let Some(objective_ms) = sample.gap_objective_ms {
            let is_late = sample.longest_gap_ms > objective_ms;
            // Later events of a late stream show nothing more; on average half
            // of them came before the late one.
            let events = f64::from(sample.events - 1) * if is_late { 0.5 } else { 1.0 };
            let late = f64::from(u8::from(is_late));
            engine.late.record_sum(LATE, late, events.max(1.0), now);
            self.late.record_sum(ALL, late, events.max(1.0), now);
        }
        self.gap_ms.record(ALL, gap_ms, now);
        self.wait_ms = moved(self.wait_ms, WAIT_QUANTILE, wait_ms);
    }

    /// Records that the first event of `target` came after `waited_ms` where
    /// `expected_ms` are usual at the mean of all engines. Returns the new
    /// ranking weight if it has changed.
    pub fn record_first(
        &mut self,
        target: &Name,
        waited_ms: f64,
        expected_ms: f64,
        now: u64,
    ) -> Option<f64> {
        let ratio = (waited_ms / expected_ms.max(1.0)).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let engine = self.engines.entry(target.clone()).or_default();
        let known = engine.long_read(now);
        engine.short.record(SHORT, ratio / known, now);
        let steady = ratio.clamp(known / MAX_STEP, known * MAX_STEP);
        engine.read.record(LONG, steady, now);
        let known = engine.read.weight(LONG, now) >= MIN_HOME_SAMPLES;
        let changed = known && engine.class.update(engine.long_read(now), now);
        changed.then(|| engine.class.weight())
    }

    /// Takes over what the lease holder of `target` says of it.
    pub fn set(&mut self, target: &Name, pace: Pace, now: u64) {
        let assumed_late = self.late.value(ALL, 0.0, now);
        let engine = self.engines.entry(target.clone()).or_default();
        let long_read = pace.long_read.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let short = pace.read / long_read;
        engine.read.set(LONG, long_read, 1.0, REPORT_WEIGHT, now);
        engine
            .short
            .set(SHORT, short, 1.0, SHORT_REPORT_WEIGHT, now);
        engine.gap.set(LONG, pace.gap, 1.0, REPORT_WEIGHT, now);
        engine
            .late
            .set(LATE, pace.late_gaps, assumed_late, REPORT_EVENTS, now);
        engine.class.update(long_read, now);
    }

    /// The pace of `target` as of `now`.
    pub fn current(&self, target: &Name, now: u64) -> Pace {
        let mean_late = self.late.value(ALL, 0.0, now);
        let Some(engine) = self.engines.get(target) else {
            return Pace {
                late_gaps: mean_late,
                ..Pace::default()
            };
        };
        let gap = engine.gap.value(LONG, 1.0, now);
        Pace {
            read: engine.read(now),
            long_read: engine.long_read(now),
            gap: gap.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1),
            late_gaps: engine.late.value(LATE, mean_late, now).clamp(0.0, 1.0),
        }
    }

    /// Mean time between two events of `target`, in ms.
    pub fn event_ms(&self, target: &Name, now: u64) -> f64 {
        let mean_ms = self.gap_ms.value(ALL, INITIAL_GAP_MS, now);
        mean_ms * self.current(target, now).gap
    }

    /// Longest wait of one event at an engine of mean pace, in ms.
    pub fn event_wait_ms(&self) -> f64 {
        self.wait_ms
    }

    /// Takes over the longest wait of one event from a lease holder.
    pub fn set_event_wait(&mut self, wait_ms: f64) {
        self.wait_ms = wait_ms.max(1.0);
    }

    /// Weight of `target` in the ranking of engines for adapters; 1 is the mean.
    pub fn rank_weight(&self, target: &Name) -> f64 {
        let engine = self.engines.get(target);
        engine.map_or(1.0, |e| e.class.weight())
    }

    /// Drops engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| keep(id));
    }
}
