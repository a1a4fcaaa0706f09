//! What the engine itself says it holds.
//!
//! After an order without an answer, or one that was refused as out of
//! sequence, only the engine's report tells what became of it.

use std::{sync::atomic::Ordering, time::Duration};

use comfreyhall_domain::{AdapterRef, Map};
use comfreyhall_routing::Presence;

use super::{Coming, Hold, IDLE_MS, Keeper, LOOK_MS, SETTLE, finish};
use crate::{
    outbound,
    ports::{Report, ReportError},
};

/// Longest a report is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

impl Keeper {
    /// Asks the engine what it holds.
    pub(super) async fn sync(&mut self) -> bool {
        let now = self.node.now();
        if now < self.ready_at {
            return false;
        }
        match outbound::report(&self.node, &self.target, REPORT_TIMEOUT).await {
            Ok(report) => {
                self.adopt(report);
                true
            }
            Err(why) => {
                self.unreported(&why);
                false
            }
        }
    }

    fn unreported(&mut self, why: &ReportError) {
        log::info!(target: "keeper", id:% = self.target.id, why:%; "no report");
        let now = self.node.now();
        self.ready_at = now + SETTLE.as_millis() as u64;
        if *why == ReportError::Restarted {
            // Requests sent to the boot that is gone are refused, one by one.
            let until = now + IDLE_MS;
            let mut view = self.node.view();
            view.unavailable_until.insert(self.target.id.clone(), until);
        }
    }

    pub(super) fn adopt(&mut self, report: Report) {
        let now = self.node.now();
        self.sequence = report.sequence;
        self.synced = true;
        let mut held: Map<AdapterRef, Hold> = Map::default();
        for model in &report.loaded {
            for (name, version) in &model.adapters {
                let adapter = AdapterRef {
                    model: model.model.clone(),
                    adapter: Some(name.clone()),
                };
                let since = self.held.get(&adapter).map_or(0, |h| h.since);
                let version = *version;
                held.insert(adapter, Hold { version, since });
            }
        }
        let listed: Map<AdapterRef, u64> = report.loading.into_iter().collect();
        let old: Vec<AdapterRef> = self.coming.keys().cloned().collect();
        let old = old
            .into_iter()
            .filter_map(|a| Some((a.clone(), self.take_coming(&a)?)));
        let old: Vec<(AdapterRef, Coming)> = old.collect();
        for (adapter, coming) in old {
            match (held.get(&adapter), listed.contains_key(&adapter)) {
                (Some(hold), _) => finish(coming.done, Ok(self.placed(hold.version))),
                (None, true) => self.add_coming(adapter, coming),
                (None, false) => finish(coming.done, Err("the order was lost".into())),
            }
        }
        for (adapter, version) in listed {
            if !self.coming.contains_key(&adapter) {
                let coming = Coming {
                    version,
                    ordered: now,
                    look: now + LOOK_MS,
                    recent: false,
                    queued: 0,
                    blocked: "",
                    done: Vec::new(),
                };
                self.add_coming(adapter, coming);
            }
        }
        self.show(&held, now);
        self.held = held;
        if report.loaded.is_empty() && !report.busy {
            self.model_due = self.model_due.min(now);
        }
    }

    /// Shows what the engine holds to the request path.
    pub(super) fn show(&self, held: &Map<AdapterRef, Hold>, now: u64) {
        let mut view = self.node.view();
        for (adapter, _) in view.residency.held_adapters(&self.target.id) {
            if !held.contains_key(&adapter) {
                view.residency
                    .record(&adapter, &self.target.id, Presence::Absent, now);
            }
        }
        for (adapter, hold) in held {
            let standing = Presence::Held(hold.version);
            view.residency
                .record(adapter, &self.target.id, standing, now);
        }
    }

    pub(super) fn add_coming(&mut self, adapter: AdapterRef, coming: Coming) {
        if !coming.recent {
            self.node.controllers.coming.fetch_add(1, Ordering::Relaxed);
        }
        self.node.controllers.begin_load(&adapter, &self.target.id);
        self.coming.insert(adapter, coming);
    }

    pub(super) fn take_coming(&mut self, adapter: &AdapterRef) -> Option<Coming> {
        let coming = self.coming.remove(adapter)?;
        self.node.controllers.end_load(adapter, &self.target.id);
        if !coming.recent {
            self.node.controllers.coming.fetch_sub(1, Ordering::Relaxed);
        }
        Some(coming)
    }

    pub(super) fn forget_coming(&mut self) {
        let adapters: Vec<AdapterRef> = self.coming.keys().cloned().collect();
        for adapter in adapters {
            self.take_coming(&adapter);
        }
    }
}
