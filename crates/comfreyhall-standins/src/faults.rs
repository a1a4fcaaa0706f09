//! Fault switches shared by every stand-in.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyhall_protocol::{FaultOrder, not_run, notice};
use tonic::{Response, Status, metadata::MetadataMap};

/// The fault switches of one stand-in, changed by its `Fault` call.
#[derive(Clone, Default)]
pub struct Faults {
    inner: Arc<Switches>,
}

#[derive(Default)]
struct Switches {
    down: AtomicBool,
    delay_ms: AtomicU64,
    /// Share of answers that are lost, in millionths.
    lose_ppm: AtomicU64,
    /// Share of adapter loads that fail, in millionths.
    fail_ppm: AtomicU64,
    /// Until when the process is away after a crash.
    away: Mutex<Option<Instant>>,
    says: Mutex<Says>,
    /// Calls turned away with a rest.
    turned: AtomicU64,
}

/// What the stand-in says of itself.
#[derive(Clone, Copy, Default)]
struct Says {
    /// Requests a second; 0 for no limit.
    limit: f64,
    /// Seconds of rest asked of those whom it turns away; 0 for none.
    rest_s: f64,
    leaving: bool,
}

impl Says {
    fn add(self, metadata: &mut MetadataMap) {
        let mut put = |name: &'static str, value: String| {
            let value = value.parse().expect("numbers are metadata");
            metadata.insert(name, value);
        };
        if self.limit > 0.0 {
            put(notice::LIMIT, self.limit.to_string());
        }
        if self.leaving {
            put(notice::DRAINING, "1".to_string());
        }
    }
}

impl Faults {
    /// Sets every switch from an order.
    pub fn set(&self, order: &FaultOrder) {
        let s = &self.inner;
        s.down.store(order.down, Ordering::Relaxed);
        s.delay_ms.store(order.delay_ms, Ordering::Relaxed);
        let lose = match order.lose_share {
            _ if !order.lose_answers => 0.0,
            0.0 => 1.0,
            share => share,
        };
        s.lose_ppm.store(ppm(lose), Ordering::Relaxed);
        s.fail_ppm.store(ppm(order.fail_share), Ordering::Relaxed);
        *s.says.lock().unwrap() = Says {
            limit: order.limit,
            rest_s: order.rest_s,
            leaving: order.leaving,
        };
    }

    /// The process crashes and is back after `pause`.
    pub fn crash(&self, pause: Duration) {
        *self.inner.away.lock().unwrap() = Some(Instant::now() + pause);
    }

    /// Whether the process is away after a crash.
    fn away(&self) -> bool {
        let away = *self.inner.away.lock().unwrap();
        away.is_some_and(|until| Instant::now() < until)
    }

    /// Waits out the set delay, then fails if the stand-in is down.
    pub async fn gate(&self) -> Result<(), Status> {
        if self.away() {
            // Nobody listens: no call gets as far as being run.
            return Err(not_run(Status::unavailable("the process has crashed")));
        }
        let delay = self.inner.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if self.inner.down.load(Ordering::Relaxed) {
            return Err(Status::unavailable("stand-in is down by fault order"));
        }
        Ok(())
    }

    /// Turns a call away if it asks for rest.
    pub fn turn_away(&self) -> Result<(), Status> {
        let says = *self.inner.says.lock().unwrap();
        if says.rest_s <= 0.0 {
            return Ok(());
        }
        self.inner.turned.fetch_add(1, Ordering::Relaxed);
        let mut status = not_run(Status::unavailable("turned away by fault order"));
        says.add(status.metadata_mut());
        let rest = says.rest_s.to_string();
        let rest = rest.parse().expect("numbers are metadata");
        status.metadata_mut().insert(notice::COOLDOWN, rest);
        Err(status)
    }

    /// Calls turned away so far.
    pub fn turned(&self) -> u64 {
        self.inner.turned.load(Ordering::Relaxed)
    }

    /// The answer with what the stand-in says of itself.
    pub fn say<T>(&self, mut answer: Result<Response<T>, Status>) -> Result<Response<T>, Status> {
        let says = *self.inner.says.lock().unwrap();
        match &mut answer {
            Ok(reply) => says.add(reply.metadata_mut()),
            Err(status) => says.add(status.metadata_mut()),
        }
        answer
    }

    /// Whether a write that took effect should lose its answer.
    pub fn loses_answer(&self) -> bool {
        chance(self.inner.lose_ppm.load(Ordering::Relaxed))
    }

    /// Whether this adapter load should fail.
    pub fn load_fails(&self) -> bool {
        chance(self.inner.fail_ppm.load(Ordering::Relaxed))
    }
}

/// A share from 0 to 1 in millionths.
fn ppm(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * 1e6) as u64
}

fn chance(ppm: u64) -> bool {
    ppm > 0 && rand::random_range(0..1_000_000) < ppm
}
