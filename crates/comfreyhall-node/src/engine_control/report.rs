//! Reports of an engine on what it holds.
//!
//! After a command without an answer, or one rejected as out of sequence, only
//! the engine's report shows the outcome.

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_capacity::{SlotAccount, Snapshot};
use comfreyhall_domain::AdapterRef;
use comfreyhall_routing::Presence;

use super::{EngineController, IDLE_POLL_MS, LOAD_POLL_MS, PendingLoad, REPORT_DELAY, finish};
use crate::{
    outbound,
    ports::{Report, ReportError},
    weights::LoadOrigin,
};

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

impl EngineController {
    /// Requests a report from the engine.
    pub(super) async fn fetch_report(&mut self) -> bool {
        let now = self.node.now();
        if now < self.report_after_ms {
            return false;
        }
        match outbound::report(&self.node, &self.target, REPORT_TIMEOUT).await {
            Ok(report) => {
                self.regain_contact();
                self.apply_report(report, now)
            }
            Err(why) => {
                self.report_failed(&why);
                false
            }
        }
    }

    fn report_failed(&mut self, why: &ReportError) {
        log::info!(target: "keeper", id:% = self.target.id, why:%; "no report");
        let now = self.node.now();
        self.report_after_ms = now + REPORT_DELAY.as_millis() as u64;
        match why {
            // A single lost answer is no cut.
            ReportError::NoAnswer(_) if self.failed_calls == 0 => self.failed_calls = 1,
            ReportError::NoAnswer(why) => self.lose_contact(why),
            ReportError::Restarted => {
                self.account = SlotAccount::default();
                self.has_model = false;
                let (id, time) = (&self.target.id, self.node.time());
                let leases = &self.node.leases;
                leases.update_turns(&self.target.failure_domain, |t| t.restart(id, time));
            }
        }
        if *why == ReportError::Restarted {
            // Without this, requests to the previous boot would be rejected one
            // by one.
            let until = now + IDLE_POLL_MS;
            let mut view = self.node.view();
            view.unavailable_until.insert(self.target.id.clone(), until);
        }
    }

    /// Takes in a report that was asked for at `asked`; false if it is too old.
    pub(super) fn apply_report(&mut self, report: Report, asked: u64) -> bool {
        let now = self.node.now();
        let (id, time) = (&self.target.id, self.node.time());
        let leases = &self.node.leases;
        leases.update_turns(&self.target.failure_domain, |t| {
            t.report(id, report.sequence, time)
        });
        self.has_model = !report.loaded.is_empty();
        let held = report.loaded.iter().flat_map(|model| {
            let adapters = model.adapters.iter();
            adapters.map(|(name, version)| {
                let adapter = AdapterRef {
                    model: model.model.clone(),
                    adapter: Some(name.clone()),
                };
                (adapter, *version)
            })
        });
        let snapshot = Snapshot {
            sequence: report.sequence,
            held: held.collect(),
            loading: report.loading.clone(),
        };
        if !self.account.apply(snapshot, asked) {
            log::info!(target: "keeper", id:% = self.target.id, sequence = report.sequence, known = self.account.sequence(); "report is older than what is known");
            self.report_after_ms = now + REPORT_DELAY.as_millis() as u64;
            return false;
        }
        let old: Vec<AdapterRef> = self.pending.keys().cloned().collect();
        for adapter in old {
            let Some(loading) = self.take_pending(&adapter) else {
                continue;
            };
            let held = self.account.held_version(&adapter);
            match (held, self.account.loading_version(&adapter)) {
                (Some(version), _) => finish(loading.waiters, Ok(self.placed(version))),
                (None, Some(_)) => self.add_pending(adapter, loading),
                (None, None) => finish(loading.waiters, Err("the order was lost".into())),
            }
        }
        for (adapter, _) in report.loading {
            if !self.pending.contains_key(&adapter) {
                let loading = PendingLoad {
                    started_at_ms: now,
                    poll_at_ms: now + LOAD_POLL_MS,
                    cached: false,
                    age: None,
                    origin: LoadOrigin::Unknown,
                    queued_ms: 0,
                    wait_reason: "",
                    waiters: Vec::new(),
                };
                self.add_pending(adapter, loading);
            }
        }
        self.publish_held(now);
        if report.loaded.is_empty() && !report.busy {
            self.model_due_ms = self.model_due_ms.min(now);
        }
        true
    }

    /// Updates the adapter residency that request routing reads.
    pub(super) fn publish_held(&self, now: u64) {
        let mut view = self.node.view();
        for (adapter, _) in view.residency.held_adapters(&self.target.id) {
            if self.account.held_version(&adapter).is_none() {
                view.residency
                    .record(&adapter, &self.target.id, Presence::Absent, now);
            }
        }
        for (adapter, held_adapter) in self.account.held() {
            let presence = Presence::Held(held_adapter.version);
            view.residency
                .record(adapter, &self.target.id, presence, now);
        }
    }

    pub(super) fn add_pending(&mut self, adapter: AdapterRef, loading: PendingLoad) {
        if !loading.cached {
            self.node
                .controllers
                .store_loads
                .fetch_add(1, Ordering::Relaxed);
        }
        self.node.controllers.begin_load(&adapter, &self.target.id);
        self.pending.insert(adapter, loading);
    }

    pub(super) fn take_pending(&mut self, adapter: &AdapterRef) -> Option<PendingLoad> {
        let loading = self.pending.remove(adapter)?;
        self.node.controllers.end_load(adapter, &self.target.id);
        if !loading.cached {
            self.node
                .controllers
                .store_loads
                .fetch_sub(1, Ordering::Relaxed);
        }
        Some(loading)
    }

    pub(super) fn clear_pending(&mut self) {
        let adapters: Vec<AdapterRef> = self.pending.keys().cloned().collect();
        for adapter in adapters {
            self.take_pending(&adapter);
        }
    }
}
