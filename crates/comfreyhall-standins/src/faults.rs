//! Fault switches that every stand-in has.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyhall_protocol::{FaultOrder, not_run, notice};
use tonic::{Response, Status, metadata::MetadataMap};

/// The fault switches of one stand-in, set through its `Fault` call.
#[derive(Clone, Default)]
pub struct Faults {
    inner: Arc<Switches>,
}

#[derive(Default)]
struct Switches {
    down: AtomicBool,
    delay_ms: AtomicU64,
    /// Share of replies that are lost, in millionths.
    lose_ppm: AtomicU64,
    /// Share of adapter loads that fail, in millionths.
    fail_ppm: AtomicU64,
    /// When the process is back after its last crash.
    back_at: Mutex<Option<Instant>>,
    /// When the last silence ends.
    heard_at: Mutex<Option<Instant>>,
    notices: Mutex<Notices>,
    /// Calls rejected with a cooldown.
    rejected: AtomicU64,
}

/// Interval at which a silent stand-in looks whether it may go on.
const SILENCE_POLL: Duration = Duration::from_millis(5);

/// What the stand-in announces about itself in the metadata of its replies.
#[derive(Clone, Copy, Default)]
struct Notices {
    /// Requests per second that it announces as its limit; 0 for no limit.
    limit: f64,
    /// Cooldown asked of every rejected caller, in seconds; 0 rejects nobody.
    cooldown_s: f64,
    draining: bool,
}

impl Notices {
    fn write_to(self, metadata: &mut MetadataMap) {
        let mut put = |name: &'static str, value: String| {
            let value = value.parse().expect("a number is valid metadata");
            metadata.insert(name, value);
        };
        if self.limit > 0.0 {
            put(notice::LIMIT, self.limit.to_string());
        }
        if self.draining {
            put(notice::DRAINING, "1".to_string());
        }
    }
}

impl Faults {
    /// Sets every switch as `order` says.
    pub fn set(&self, order: &FaultOrder) {
        let switches = &self.inner;
        switches.down.store(order.down, Ordering::Relaxed);
        switches.delay_ms.store(order.delay_ms, Ordering::Relaxed);
        let lost_share = match order.lose_share {
            _ if !order.lose_answers => 0.0,
            0.0 => 1.0,
            share => share,
        };
        switches.lose_ppm.store(ppm(lost_share), Ordering::Relaxed);
        switches
            .fail_ppm
            .store(ppm(order.fail_share), Ordering::Relaxed);
        let silence = Duration::from_millis(order.silent_ms);
        *switches.heard_at.lock().unwrap() = Some(Instant::now() + silence);
        *switches.notices.lock().unwrap() = Notices {
            limit: order.limit,
            cooldown_s: order.rest_s,
            draining: order.leaving,
        };
    }

    /// Simulates a crash: calls fail until `downtime` has passed.
    pub fn crash(&self, downtime: Duration) {
        *self.inner.back_at.lock().unwrap() = Some(Instant::now() + downtime);
    }

    /// Whether the process has crashed and is not back yet.
    fn crashed(&self) -> bool {
        let back_at = *self.inner.back_at.lock().unwrap();
        back_at.is_some_and(|at| Instant::now() < at)
    }

    /// Whether it answers nothing now, like a process that is stopped for a time.
    pub fn is_silent(&self) -> bool {
        let heard_at = *self.inner.heard_at.lock().unwrap();
        heard_at.is_some_and(|at| Instant::now() < at)
    }

    /// Waits until it is no longer silent.
    pub async fn wait_heard(&self) {
        while self.is_silent() {
            tokio::time::sleep(SILENCE_POLL).await;
        }
    }

    /// Waits for a silence and the configured delay to end, then fails if the stand-in is down.
    pub async fn delay_or_fail(&self) -> Result<(), Status> {
        self.wait_heard().await;
        if self.crashed() {
            // No process is listening, so the call has certainly not run.
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

    /// Rejects the call if a cooldown is set.
    pub fn check_cooldown(&self) -> Result<(), Status> {
        let notices = *self.inner.notices.lock().unwrap();
        if notices.cooldown_s <= 0.0 {
            return Ok(());
        }
        self.inner.rejected.fetch_add(1, Ordering::Relaxed);
        let mut status = not_run(Status::unavailable("turned away by fault order"));
        notices.write_to(status.metadata_mut());
        let cooldown = notices.cooldown_s.to_string();
        let cooldown = cooldown.parse().expect("a number is valid metadata");
        status.metadata_mut().insert(notice::COOLDOWN, cooldown);
        Err(status)
    }

    /// Returns how many calls were rejected so far.
    pub fn rejected(&self) -> u64 {
        self.inner.rejected.load(Ordering::Relaxed)
    }

    /// Adds the stand-in's notices to the metadata of `answer`.
    pub fn add_notices<T>(
        &self,
        mut answer: Result<Response<T>, Status>,
    ) -> Result<Response<T>, Status> {
        let notices = *self.inner.notices.lock().unwrap();
        match &mut answer {
            Ok(reply) => notices.write_to(reply.metadata_mut()),
            Err(status) => notices.write_to(status.metadata_mut()),
        }
        answer
    }

    /// Draws whether the reply to a call that took effect is lost.
    pub fn loses_reply(&self) -> bool {
        chance(self.inner.lose_ppm.load(Ordering::Relaxed))
    }

    /// Draws whether this adapter load fails.
    pub fn load_fails(&self) -> bool {
        chance(self.inner.fail_ppm.load(Ordering::Relaxed))
    }
}

/// Converts a share from 0 to 1 into millionths.
fn ppm(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * 1e6) as u64
}

/// Returns true with a probability of `ppm` millionths.
fn chance(ppm: u64) -> bool {
    ppm > 0 && rand::random_range(0..1_000_000) < ppm
}
