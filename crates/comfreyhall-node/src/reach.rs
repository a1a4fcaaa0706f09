//! Which targets this daemon reaches, from its calls to them.
//!
//! A daemon may lose its paths to all targets, or to some. It learns that from its own
//! calls, tells peers about it in a few bytes, and probes what it lost, since it sends
//! nothing else there.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use comfreyhall_domain::{Name, Stage, Target};
use comfreyhall_protocol::Daemon;
use comfreyhall_routing::ReachChange;
use rand::seq::IteratorRandom;

use crate::{node::Node, outbound, ports::ProbeResult, view::View};

/// Interval between checks which targets are to be probed.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Targets that an isolated daemon probes in each period.
const PROBED_TARGETS: usize = 1;

/// Targets that are probed in addition when several are lost together: a cut often affects
/// many. A single one has mostly ended.
const EXPLORED_TARGETS: usize = 8;

/// Growth of the number of lost targets that makes others suspect, within so many periods.
const EXPLORING_GROWTH: usize = 2;
const GROWTH_PERIODS: usize = 10;

/// Maximum number of lost targets named in one log line.
const MAX_LISTED_TARGETS: usize = 8;

/// Starts the task that notices when this daemon reaches targets again.
pub(crate) fn spawn(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        let mut counts = VecDeque::from([0]);
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            for target in due_probes(&node) {
                let node = node.clone();
                // A successful one is recorded as contact with the target.
                tokio::spawn(async move { outbound::probe(&node, &target).await });
            }
            let last = counts.back().copied().unwrap_or_default();
            let lost = log_lost(&node, last);
            let least = counts.iter().copied().min().unwrap_or_default();
            if lost > last && lost >= least + EXPLORING_GROWTH {
                explore(&node);
            }
            counts.push_back(lost);
            if counts.len() > GROWTH_PERIODS {
                counts.pop_front();
            }
        }
    });
}

/// Targets to be probed now.
fn due_probes(node: &Node) -> Vec<Arc<Target>> {
    let now = node.now();
    let isolated = node.is_isolated();
    let mut view = node.view();
    let View {
        contacts, targets, ..
    } = &mut *view;
    contacts.retain(|id| targets.contains_key(id));
    let due = contacts.take_due_probes(now);
    let mut due: Vec<Arc<Target>> = due.iter().map(|id| targets[id].clone()).collect();
    if isolated {
        let some = targets.values().cloned();
        due.extend(some.choose_multiple(&mut rand::rng(), PROBED_TARGETS));
    }
    due
}

/// Probes some of the targets of which nothing bad is known.
fn explore(node: &Arc<Node>) {
    let targets: Vec<Arc<Target>> = {
        let view = node.view();
        let targets = view.targets.values();
        let unsuspected = targets.filter(|t| !view.contacts.has_failed(&t.id));
        let some = unsuspected.cloned();
        some.choose_multiple(&mut rand::rng(), EXPLORED_TARGETS)
    };
    for target in targets {
        // One in cooldown is not called, which would look like a failure.
        if outbound::unavailable(node, &target.id).is_some() {
            continue;
        }
        let node = node.clone();
        tokio::spawn(async move {
            if outbound::probe(&node, &target).await != ProbeResult::Alive {
                let now = node.now();
                node.view().contacts.record_failure(&target.id, now);
            }
        });
    }
}

/// Logs how many targets are lost if that has changed from `logged`; returns it.
fn log_lost(node: &Node, logged: usize) -> usize {
    let view = node.view();
    let lost = view.contacts.lost().count();
    if lost == logged {
        return lost;
    }
    let named: Vec<&str> = view.contacts.lost().map(|id| &**id).collect();
    let named = named[..lost.min(MAX_LISTED_TARGETS)].join(" ");
    let known = view.targets.len();
    drop(view);
    node.metrics.set_lost_targets(lost);
    log::info!(target: "reach", lost, before = logged, known, named; "lost targets changed");
    lost
}

/// Adds to `about`, which describes this daemon, what it does not reach.
pub(crate) fn describe(node: &Node, about: &mut Daemon) {
    about.isolated = node.is_isolated();
    let mut view = node.view();
    about.lost_percent = lost_percent(&mut view);
    if view.contacts.reaches_all() {
        return;
    }
    let groups = engines(&view).map(|t| t.failure_domain.clone());
    let mut groups: Vec<Name> = groups.collect();
    groups.sort();
    groups.dedup();
    let lost = groups.iter().filter(|g| loses_group(&view, g));
    about.lost_groups = lost.map(|g| g.to_string()).collect();
}

/// Share of targets that are lost, in percent, as reported to peers.
fn lost_percent(view: &mut View) -> u32 {
    let lost = view.contacts.lost();
    let lost = lost.filter(|id| view.targets.contains_key(*id)).count();
    view.lost_share.update(lost, view.targets.len())
}

/// Known engines.
fn engines(view: &View) -> impl Iterator<Item = &Arc<Target>> {
    view.targets.values().filter(|t| {
        let config = view.config.as_ref();
        let service = config.and_then(|c| c.services.get(&t.service));
        service.is_some_and(|s| s.engine.is_some())
    })
}

/// Whether half of the engines of `group`, or more, are lost.
fn loses_group(view: &View, group: &str) -> bool {
    let all = engines(view).filter(|t| *t.failure_domain == *group);
    is_half_lost(view, all)
}

/// Whether half of `targets`, or more, are lost.
fn is_half_lost<'a>(view: &View, targets: impl Iterator<Item = &'a Arc<Target>>) -> bool {
    let (mut all, mut lost) = (0, 0);
    for target in targets {
        all += 1;
        lost += usize::from(view.contacts.is_lost(&target.id));
    }
    lost > 0 && 2 * lost >= all
}

impl Node {
    /// Whether this daemon reaches no target.
    pub(crate) fn is_isolated(&self) -> bool {
        self.view().reachability.isolated_since().is_some()
    }

    /// Whether this daemon has lost half of the engines of `group`, or more.
    pub(crate) fn loses_group(&self, group: &str) -> bool {
        let view = self.view();
        view.reachability.isolated_since().is_some() || loses_group(&view, group)
    }

    /// Whether this daemon has lost half of the targets of `service` that take work, or
    /// more.
    pub(crate) fn loses_service(&self, service: &str) -> bool {
        let view = self.view();
        if view.contacts.reaches_all() {
            return false;
        }
        let ready = view.targets.values();
        let ready = ready.filter(|t| *t.service == *service && t.stage == Stage::Ready);
        is_half_lost(&view, ready)
    }

    /// Lost engines of `group`.
    pub(crate) fn lost_engines(&self, group: &str) -> Vec<Name> {
        let view = self.view();
        let lost = view.contacts.lost();
        let in_group = lost.filter(|id| {
            let target = view.targets.get(*id);
            target.is_some_and(|t| *t.failure_domain == *group)
        });
        in_group.cloned().collect()
    }

    /// Share of targets that are lost, in percent, as reported to peers.
    pub(crate) fn lost_percent(&self) -> u32 {
        lost_percent(&mut self.view())
    }

    /// Records that `target` answered.
    pub(crate) fn record_reached(&self, target: &Name) {
        let now = self.now();
        let mut view = self.view();
        view.contacts.record_answer(target);
        let change = view.reachability.record_answer(now);
        drop(view);
        if let Some(change) = change {
            log_change(change);
        }
    }

    /// Records that a request to `target` could not be sent.
    pub(crate) fn record_unsent(&self, target: &Name) {
        let now = self.now();
        self.view().contacts.record_failure(target, now);
        self.record_unreached(target);
    }

    /// Records that a probe did not find `target`.
    pub(crate) fn record_failed_probe(&self, target: &Name) {
        self.view().contacts.record_failed_probe(target);
        self.record_unreached(target);
    }

    /// Records that a request to `target` got no answer.
    pub(crate) fn record_unreached(&self, target: &Name) {
        let now = self.now();
        let mut view = self.view();
        let known = view.targets.len();
        let change = view.reachability.record_failure(target, known, now);
        drop(view);
        if let Some(change) = change {
            log_change(change);
        }
    }

    /// Records that the engine `target` answers neither commands nor reports.
    pub(crate) fn record_lost(&self, target: &Name) {
        let now = self.now();
        self.view().contacts.record_lost(target, now);
    }
}

fn log_change(change: ReachChange) {
    match change {
        ReachChange::Isolated(failed) => {
            let failed = failed.join(" ");
            log::warn!(target: "forward", failed; "no target is reached; requests are passed on");
        }
        ReachChange::Restored(after) => {
            log::info!(target: "forward", after; "targets are reached again");
        }
    }
}

#[cfg(test)]
mod tests;
