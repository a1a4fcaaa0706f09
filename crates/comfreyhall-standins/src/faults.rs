//! Fault switches shared by every stand-in.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyhall_protocol::FaultOrder;
use tonic::Status;

/// The fault switches of one stand-in, changed by its `Fault` call.
#[derive(Clone, Default)]
pub struct Faults {
    inner: Arc<Switches>,
}

#[derive(Default)]
struct Switches {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lose: AtomicBool,
    /// Share of adapter loads that fail, in millionths.
    fail_ppm: AtomicU64,
}

impl Faults {
    /// Sets every switch from an order.
    pub fn set(&self, order: &FaultOrder) {
        let s = &self.inner;
        s.down.store(order.down, Ordering::Relaxed);
        s.delay_ms.store(order.delay_ms, Ordering::Relaxed);
        s.lose.store(order.lose_answers, Ordering::Relaxed);
        let ppm = (order.fail_share.clamp(0.0, 1.0) * 1e6) as u64;
        s.fail_ppm.store(ppm, Ordering::Relaxed);
    }

    /// Waits out the set delay, then fails if the stand-in is down.
    pub async fn gate(&self) -> Result<(), Status> {
        let delay = self.inner.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if self.inner.down.load(Ordering::Relaxed) {
            return Err(Status::unavailable("stand-in is down by fault order"));
        }
        Ok(())
    }

    /// Whether a write that took effect should lose its answer.
    pub fn loses_answer(&self) -> bool {
        self.inner.lose.load(Ordering::Relaxed)
    }

    /// Whether this adapter load should fail.
    pub fn load_fails(&self) -> bool {
        let ppm = self.inner.fail_ppm.load(Ordering::Relaxed);
        ppm > 0 && rand::random_range(0..1_000_000) < ppm
    }
}
