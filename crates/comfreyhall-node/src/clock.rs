//! The daemon's clock: a monotonic clock that counts suspended time.
//!
//! The usual monotonic clock stops while an instance is suspended, so a daemon
//! that was frozen for seconds would trust a lease that others have acquired
//! meanwhile. The boot-time clock counts that time.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

struct Origin {
    steady: Instant,
    boot: Duration,
}

static ORIGIN: LazyLock<Origin> = LazyLock::new(|| Origin {
    steady: Instant::now(),
    boot: boot_clock(),
});

fn boot_clock() -> Duration {
    // Available since Linux 2.6.39; without it there is no safe lease.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot clock can be read");
    Duration::new(now.tv_sec() as u64, now.tv_nsec() as u32)
}

fn elapsed() -> Duration {
    let origin = &*ORIGIN;
    boot_clock().saturating_sub(origin.boot)
}

/// Time in ms since the first call in this process, including suspended time;
/// never 0.
pub(crate) fn now() -> u64 {
    #[cfg(test)]
    if let Some(ms) = crate::test_node::simulated_ms() {
        return ms;
    }
    elapsed().as_millis() as u64 + 1
}

/// The same time, exactly: counted in whole ms, a pause may end up to a ms early.
pub(crate) fn time() -> Duration {
    #[cfg(test)]
    if let Some(ms) = crate::test_node::simulated_ms() {
        return Duration::from_millis(ms);
    }
    elapsed()
}

/// The same time as an `Instant`, for leases.
pub(crate) fn instant() -> Instant {
    let since = elapsed();
    ORIGIN.steady + since
}
