//! Classes of pace that decide for how many adapters an engine is ranked first.
//!
//! Each change of a weight changes the first engine of some adapters, which are then
//! loaded elsewhere. So weights have few values, and an engine changes its class
//! only if it has been well outside of it for several seconds. This answers
//! engines that slow down for some hundred ms, and demand that swings between
//! failure domains.

/// Ratio of the pace of neighbouring classes.
const STEP: f64 = 1.25;

/// Distance from the middle of its class, in classes, beyond which an engine
/// leaves it. At 0.5 an engine between two classes would change with every
/// sample.
const LEAVE_DISTANCE: f64 = 0.8;

/// How long an engine is outside of its class before it leaves it, in ms.
const LEAVE_MS: u64 = 4_000;

/// The class of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PaceClass {
    class: i32,
    /// When it was first seen outside of its class; `None` if it is inside.
    outside_since: Option<u64>,
}

impl PaceClass {
    /// The class of an engine of `pace`.
    pub(crate) fn of(pace: f64) -> Self {
        Self {
            class: position(pace).round() as i32,
            outside_since: None,
        }
    }

    /// Updates the class with the current `pace`; returns whether it changed.
    pub(crate) fn update(&mut self, pace: f64, now: u64) -> bool {
        let position = position(pace);
        if (position - f64::from(self.class)).abs() <= LEAVE_DISTANCE {
            self.outside_since = None;
            return false;
        }
        let since = *self.outside_since.get_or_insert(now);
        if now.saturating_sub(since) < LEAVE_MS {
            return false;
        }
        *self = Self::of(pace);
        true
    }

    /// Weight in the ranking: the share of work that takes an engine of this pace as
    /// long as the mean.
    pub(crate) fn weight(self) -> f64 {
        STEP.powi(-self.class)
    }
}

/// Number of classes between the mean and `pace`.
fn position(pace: f64) -> f64 {
    pace.ln() / STEP.ln()
}
