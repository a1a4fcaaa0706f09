//! How many loads to have on their way from the weight store at once.
//!
//! The store serves some number of loads at full speed; beyond it each takes
//! longer in proportion, so more at once bring nothing and delay the ones
//! that requests wait for. The number differs between deployments, other
//! daemons load from the same store, and nobody tells; the time of a load
//! shows it. The window doubles in the time of a load until the store is
//! busy for the first time; from then on it grows by one each time it was
//! full and loads were fast, and shrinks by a part when most are slow.

/// Loads at once before any is measured, at least.
const FIRST: f64 = 3.0;

/// Engines for each load at once before any is measured. A weight store is
/// built for the fleet that it serves; one that does less shows it in the time
/// of the first loads. What goes wrong with a fixed start: a fleet of 156
/// engines starts empty, and in its first second its holders order 200 loads
/// where the store does 290.
const ENGINES: f64 = 2.5;

/// Fewest and most loads at once.
const BOUNDS: (f64, f64) = (2.0, 64.0);

/// A load this much longer than the fastest seen shows a store with too much
/// to do; looks at a load's end are some 15 ms apart, 6% of a load.
const SLOW: f64 = 1.3;

/// Weight of one load in the share of slow ones.
const GAIN: f64 = 0.2;

/// Share of slow loads at which the store is taken for busy: then all are
/// slow, while a slow engine or a late order makes one in some dozen slow.
const BUSY: f64 = 0.5;

/// What is left of the window when the store is busy.
const SHRINK: f64 = 0.85;

/// What is left the first time: the window has doubled since loads were fast,
/// and that is told one load late.
const FIRST_SHRINK: f64 = 0.6;

/// Growth of the fastest time in a second: it is forgotten within minutes,
/// as the store may have become slower.
const DRIFT: f64 = 0.004;

/// The window of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct LoadWindow {
    size: f64,
    /// Whether the store was never busy yet.
    opening: bool,
    /// Share of slow loads of late.
    slow: f64,
    fastest: f64,
    /// When the last load ended.
    ended: u64,
    /// No shrinking before this, in ms: one episode counts once.
    calm_at: u64,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            size: FIRST,
            opening: true,
            slow: 0.0,
            fastest: f64::INFINITY,
            ended: 0,
            calm_at: 0,
        }
    }
}

impl LoadWindow {
    /// It is for the loads of `engines`, if none has ended yet.
    pub fn init_for(&mut self, engines: usize) {
        if self.ended == 0 {
            self.size = (engines as f64 / ENGINES).clamp(FIRST, BOUNDS.1);
        }
    }

    /// Loads that may be on their way at once.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// A load took `took` ms and ended at `now`; `full`: the window was.
    pub fn record_load(&mut self, took: u64, full: bool, now: u64) {
        let took = took as f64;
        let since = now.saturating_sub(self.ended) as f64 / 1_000.0;
        self.ended = now;
        self.fastest = (self.fastest * (1.0 + DRIFT * since)).min(took);
        let slow = took > self.fastest * SLOW;
        self.slow += GAIN * (f64::from(u8::from(slow)) - self.slow);
        if slow {
            if now >= self.calm_at && self.slow >= BUSY {
                let left = if self.opening { FIRST_SHRINK } else { SHRINK };
                self.opening = false;
                self.size = (self.size * left).max(BOUNDS.0);
                self.calm_at = now + took as u64;
            }
        } else if full {
            let growth = if self.opening { 1.0 } else { 1.0 / self.size };
            self.size = (self.size + growth).min(BOUNDS.1);
        }
    }
}
