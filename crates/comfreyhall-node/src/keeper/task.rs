//! The task of one keeper: takes jobs, does what can be done now, waits.

use std::time::Duration;

use tokio::sync::mpsc;

use super::{IDLE_MS, Job, Keeper, LOOK_MS, SETTLE};
use crate::outbound;

impl Keeper {
    pub(super) async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        log::info!(target: "keeper", id:% = self.target.id; "keeping engine");
        while self.refresh() {
            let wake = self.advance().await;
            let pause = wake.saturating_sub(self.node.now()).clamp(1, IDLE_MS);
            tokio::select! {
                job = jobs.recv() => {
                    for job in job.into_iter().chain(std::iter::from_fn(|| jobs.try_recv().ok())) {
                        self.take(job);
                    }
                }
                () = self.node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
        self.queue.clear();
        self.forget_coming();
        log::info!(target: "keeper", id:% = self.target.id; "no longer keeping engine");
    }

    /// Queues a job; one copy of an adapter is enough.
    fn take(&mut self, job: Job) {
        let same = |j: &Job| j.ticket.is_none() && j.adapter == job.adapter;
        if job.ticket.is_some() || !self.queue.iter().any(same) {
            self.queue.push(job);
        }
    }

    /// Takes over the target's newest entry; false if there is nothing to keep.
    pub(super) fn refresh(&mut self) -> bool {
        let found = self.node.view().targets.get(&self.target.id).cloned();
        let Some(target) = found else { return false };
        self.target = target;
        self.node.token(&self.target.failure_domain).is_some()
    }

    /// Does what can be done now; returns when to look again.
    pub(super) async fn advance(&mut self) -> u64 {
        let now = self.node.now();
        if let Some(closed) = outbound::unavailable(&self.node, &self.target.id) {
            self.set_aside();
            return now + closed.retry_ms;
        }
        self.drop_late(now);
        if !self.synced && !self.sync().await {
            return self.node.now() + SETTLE.as_millis() as u64;
        }
        self.load_model().await;
        self.look_at_coming().await;
        self.renew_outdated().await;
        let now = self.node.now();
        self.queue.sort_by_key(|j| j.waiting.sort_key(now));
        self.full = false;
        let mut later = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            if let Some(job) = self.work(job).await {
                later.push(job);
            }
        }
        self.queue = later;
        let look = self.coming.values().map(|c| c.look).min();
        let blocked = (!self.queue.is_empty()).then(|| self.node.now() + LOOK_MS);
        let idle = self.node.now() + IDLE_MS;
        look.into_iter().chain(blocked).min().unwrap_or(idle)
    }

    /// Lets go of all that waits for this engine: others may do it.
    fn set_aside(&mut self) {
        self.queue.clear();
        self.forget_coming();
        self.synced = false;
    }

    /// Forgets jobs whose callers no longer wait.
    pub(super) fn drop_late(&mut self, now: u64) {
        self.queue.retain(|j| now < j.until && j.open());
    }
}
