//! Main loop of an engine controller: receives jobs, does what is possible now,
//! and waits.

use std::time::Duration;

use tokio::sync::mpsc;

use super::{EngineController, IDLE_POLL_MS, Job, LOAD_POLL_MS, REPORT_DELAY};
use crate::{outbound, slots};

impl EngineController {
    pub(super) async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        log::info!(target: "keeper", id:% = self.target.id; "engine control started");
        while self.refresh() {
            let wake = self.advance().await;
            let pause = wake.saturating_sub(self.node.now()).clamp(1, IDLE_POLL_MS);
            tokio::select! {
                job = jobs.recv() => {
                    for job in job.into_iter().chain(std::iter::from_fn(|| jobs.try_recv().ok())) {
                        self.enqueue(job);
                    }
                }
                () = self.node.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
        self.queue.clear();
        self.clear_pending();
        self.node.view().contacts.end_watch(&self.target.id);
        log::info!(target: "keeper", id:% = self.target.id; "engine control ended");
    }

    /// Queues a job; a second prefetch of the same adapter is ignored.
    fn enqueue(&mut self, job: Job) {
        let same = |j: &Job| j.ticket.is_none() && j.adapter == job.adapter;
        if job.ticket.is_some() || !self.queue.iter().any(same) {
            self.queue.push(job);
        }
    }

    /// Adopts the newest entry of the target; returns false if the engine is no
    /// longer managed here.
    pub(super) fn refresh(&mut self) -> bool {
        let found = self.node.view().targets.get(&self.target.id).cloned();
        let Some(target) = found else { return false };
        self.target = target;
        self.node.token(&self.target.failure_domain).is_some()
    }

    /// Does what is possible now; returns when to run again.
    pub(super) async fn advance(&mut self) -> u64 {
        let now = self.node.now();
        if let Some(closed) = outbound::unavailable(&self.node, &self.target.id) {
            self.abandon_jobs();
            return now + closed.retry_ms;
        }
        let pause = self.command_pause();
        if !pause.is_zero() {
            self.abandon_jobs();
            return self.await_turn(pause).await;
        }
        self.drop_expired(now);
        if !self.account.is_confirmed() && !self.fetch_report().await {
            if self.unreachable {
                self.release_jobs();
            }
            return self.node.now() + REPORT_DELAY.as_millis() as u64;
        }
        self.load_model().await;
        self.poll_pending().await;
        self.drop_outdated().await;
        let now = self.node.now();
        let shares = slots::share_use(&self.node, &self.target.failure_domain);
        let id = &self.target.id;
        self.queue.sort_by_cached_key(|j| {
            let key = j.waiting.slot_key(&shares, j.is_cached_at(id), now);
            (j.is_recovery(), key)
        });
        self.slots_full = false;
        let mut later = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            if let Some(job) = self.process_job(job).await {
                later.push(job);
            }
        }
        self.queue = later;
        let next_poll = self.pending.values().map(|c| c.poll_at_ms).min();
        let blocked = (!self.queue.is_empty()).then(|| self.node.now() + LOAD_POLL_MS);
        let idle = self.node.now() + IDLE_POLL_MS;
        next_poll.into_iter().chain(blocked).min().unwrap_or(idle)
    }

    /// How long this daemon is to send the engine no command, as another holder may have
    /// commanded it since this instance did.
    fn command_pause(&self) -> Duration {
        let group = &self.target.failure_domain;
        let (term, now) = (self.node.lease_term(), self.node.time());
        let leases = &self.node.leases;
        leases.begin_tenure(group, self.node.settings().bounds.fencing, now);
        leases.command_pause(group, &self.target.id, term, now)
    }

    /// Has the engine report once, so that a late command of a former holder shows;
    /// returns when to run again.
    async fn await_turn(&mut self, pause: Duration) -> u64 {
        let (group, id) = (&self.target.failure_domain, &self.target.id);
        let leases = &self.node.leases;
        let reported = leases.update_turns(group, |t| t.has_reported(id));
        if !reported {
            log::info!(target: "keeper", id:%, ms = pause.as_millis() as u64; "no command until a former holder's turn is past");
        }
        if !reported && !self.fetch_report().await {
            return self.node.now() + REPORT_DELAY.as_millis() as u64;
        }
        self.account.require_report();
        // Whole ms are less than the pause.
        self.node.now() + pause.as_millis() as u64 + 1
    }

    /// Drops all jobs, as the engine cannot be reached: other engines may serve them,
    /// and those that none serves are answered at once.
    pub(super) fn release_jobs(&mut self) {
        for job in &self.queue {
            if let Some(ticket) = &job.ticket {
                ticket.record_refusal(&self.target.id);
            }
        }
        self.abandon_jobs();
    }

    /// Drops all jobs and pending loads: other engines may serve them.
    fn abandon_jobs(&mut self) {
        self.queue.clear();
        self.clear_pending();
        self.account.require_report();
    }

    /// Drops jobs whose requests no longer wait.
    pub(super) fn drop_expired(&mut self, now: u64) {
        self.queue.retain(|j| now < j.expires_at_ms && j.is_open());
    }
}
