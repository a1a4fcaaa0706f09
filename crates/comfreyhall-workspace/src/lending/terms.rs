//! What a coordinator may lend of one quota.
//!
//! A quota allows `rate` x window + `burst` in any window, and the tolerance is
//! what may be sent beyond that. With [`Flow::Even`], credit accrues at one rate
//! r into a bucket of depth d, where d + r x window is what the quota allows plus
//! a part of the tolerance. So credit is lent evenly, and any number of
//! coordinators after one another keep to the bound without knowing of each
//! other:
//!
//! - Each daemon's share is lent by at most one coordinator at a time. Credit
//!   accrues to it there at r x share, or for up to [`MAX_UNLENT_S`] while nobody
//!   may lend it. A daemon that has just started claims no such time before the
//!   term of what its predecessor may have assigned has passed.
//! - Unused credit, lent or not, is at most d x share for each share. A
//!   coordinator that ends takes its balance along, and the next one begins with
//!   none.
//! - So what all of them send in a window is at most what was unused at its
//!   beginning, d, and what accrued since, r x window. This holds whoever lent it
//!   and however often daemons restart, one by one or all at once.
//!
//! The rest of the tolerance is for credit that a new coordinator does not know
//! of at first: what daemons hold ahead of demand, and a share that a coordinator
//! out of reach still lends for the rest of a term after its owner restarted.

use crate::{Quota, Tolerance};

/// Fraction of the tolerance that daemons may hold beyond what their requests
/// wait for: a coordinator that takes over does not know of this credit at
/// first.
const PREFETCH_FRACTION: f64 = 0.25;

/// Fraction of the tolerance that may be held unused beyond the burst: credit
/// on its way to its users, which would otherwise be lost to the rate.
const UNUSED_FRACTION: f64 = 0.5;

/// Fraction of the tolerance that the bonus may reach in a window: a
/// coordinator that takes over does not know what its predecessor has lent.
const BONUS_FRACTION: f64 = 0.9;

/// Fraction of the tolerance that an even flow uses; the rest covers credit
/// that daemons hold and a coordinator that takes over does not know of.
const EVEN_FRACTION: f64 = 0.85;

/// Longest time for which credit accrues to a share that nobody lends, in s.
pub(super) const MAX_UNLENT_S: f64 = 1.0;

/// How credit accrues at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flow {
    /// At one rate, into a bucket that starts empty.
    Even,
    /// At the rate, and after a full window also at a bonus that pays out the
    /// burst, with a count of what was lent in the last window.
    Counted,
}

/// What a coordinator may lend of one quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct LendingTerms {
    /// Units per second.
    pub(super) rate: f64,
    /// Bonus from the burst, in units per second in addition to the rate.
    pub(super) bonus: f64,
    /// Units per second that accrue to a share while nobody lends it.
    pub(super) unlent: f64,
    /// Maximum number of units that may be held unused.
    pub(super) max_unused: f64,
    /// Maximum number of those units at daemons that no request needs.
    pub(super) max_prefetch: f64,
    /// Maximum number of units lent in a window.
    pub(super) window_limit: f64,
    pub(super) window_ms: u64,
}

impl LendingTerms {
    /// The terms for a coordinator that lends `share` of `quota`.
    pub(super) fn of(quota: &Quota, tolerance: &Tolerance, share: f64, flow: Flow) -> Self {
        match flow {
            Flow::Even => Self::even(quota, tolerance, share),
            Flow::Counted => Self::counted(quota, tolerance, share),
        }
    }

    fn even(quota: &Quota, tolerance: &Tolerance, share: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(quota);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        let excess = EVEN_FRACTION * tolerated;
        let depth = quota.burst.max(excess);
        let rate = (tolerance.allowed(quota) + excess - depth) / window_s;
        Self {
            rate,
            bonus: 0.0,
            unlent: rate.min(depth / MAX_UNLENT_S),
            max_unused: depth * share,
            max_prefetch: PREFETCH_FRACTION * tolerated * share,
            window_limit: f64::INFINITY,
            window_ms: tolerance.window_ms,
        }
    }

    fn counted(quota: &Quota, tolerance: &Tolerance, share: f64) -> Self {
        let tolerated = tolerance.tolerated_excess(quota);
        let window_s = tolerance.window_ms as f64 / 1_000.0;
        Self {
            rate: quota.rate,
            bonus: quota.burst.min(BONUS_FRACTION * tolerated) / window_s,
            unlent: 0.0,
            max_unused: (quota.burst + UNUSED_FRACTION * tolerated) * share,
            max_prefetch: PREFETCH_FRACTION * tolerated * share,
            window_limit: tolerance.allowed(quota) * share,
            window_ms: tolerance.window_ms,
        }
    }
}
