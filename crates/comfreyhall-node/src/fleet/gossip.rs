//! Gossip messages: creation and processing.

use std::sync::Arc;

use comfreyhall_domain::{Map, Name, Revision, Set};
use comfreyhall_inforce::{SettingsTracker, Source};
use comfreyhall_protocol::{Daemon, Demand, EngineRun, Holding, News, SlotUse, TargetWork};
use comfreyhall_quarantine::SyncPosition;
use comfreyhall_routing::{Presence, Work};
use rand::seq::IteratorRandom;

use super::{
    histories::apply_histories,
    kept, periods,
    rows::from_wire,
    runs::Runs,
    state::{Fleet, Peer, State},
};
use crate::adapter_key::parse_adapter_key;
use crate::{
    follow,
    node::Node,
    outbound,
    ports::{Record, RecordBatch, Topic},
    quarantine::wire,
    reach, records,
    rows::Provenance,
};

/// Peers named in one call of a large fleet.
const NAMED_PEERS: usize = 3;

/// Messages that report the slots used in its group to a new holder: one may get
/// lost.
const SLOT_USE_MESSAGES: u8 = 3;

impl Fleet {
    /// Creates the gossip message for the peer at `addr`.
    pub(super) fn gossip_for(&self, node: &Node, addr: &str) -> News {
        let now = node.now();
        let mut gossip = self.own_gossip(node, now);
        gossip.load_histories = self.next_histories(node, &gossip.holdings, addr);
        self.add_paces(node, addr, &mut gossip);
        let mut state = self.state();
        let known = state.alive_peers(now).filter(|(a, _)| &***a != addr);
        let known = known.map(|(a, _)| a.to_string());
        gossip.peers = if periods::is_large(state.peers.len()) {
            // The rosters name the rest.
            known.choose_multiple(&mut rand::rng(), NAMED_PEERS)
        } else {
            known.collect()
        };
        if periods::is_large(state.peers.len()) {
            gossip.holders = state.holders(now);
        }
        gossip.runs = state.runs_for(addr, now);
        if let Some(peer) = state.peers.get(addr) {
            (gossip.evidence, gossip.told_serial) = wire::findings_since(node, peer.findings_acked);
            gossip.heard_boot = peer.findings_received.boot;
            gossip.heard_serial = peer.findings_received.serial;
            gossip.echoed_at = peer.clock_ms;
        }
        let State {
            peers,
            runs,
            placements,
            next_placement,
            handovers,
            ..
        } = &mut *state;
        handovers.retain(|(until_ms, _)| now < *until_ms);
        gossip.cessions = handovers.iter().map(|(_, c)| c.clone()).collect();
        let engines: Set<&str> = runs.iter().map(|(_, r)| &*r.target).collect();
        for work in &mut gossip.work {
            if engines.contains(work.target.as_str()) {
                // Already covered by the runs.
                work.prefill = 0;
                work.running = 0;
            }
        }
        gossip.work.retain(|w| w.waiting > 0 || w.running > 0);
        if let Some(peer) = peers.get_mut(addr) {
            gossip.slot_use = slot_use_for(node, peer, now);
            gossip.versions = Self::versions_for(node, peer, now);
            let unsent = placements
                .iter()
                .filter(|(serial, _)| *serial >= peer.unsent_from);
            gossip.placed = unsent.map(|(_, p)| p.clone()).collect();
            peer.unsent_from = *next_placement;
            let demands = std::mem::take(&mut peer.demands);
            gossip.demands = demands
                .into_iter()
                .map(|(key, requests)| Demand {
                    key: key.to_string(),
                    requests,
                })
                .collect();
        }
        gossip
    }

    pub(super) fn own_gossip(&self, node: &Node, now: u64) -> News {
        let words = outbound::holder_notices(node);
        let mut from = self.me.clone();
        from.ready = node.ready();
        reach::describe(node, &mut from);
        let mut view = node.view();
        let work = view.board.own_work().map(|(target, w)| TargetWork {
            target: target.to_string(),
            prefill: w.prefill_tokens,
            waiting: w.waiting_tokens,
            running: w.requests,
        });
        let work = work.collect();
        let targets = view.records.topic_rows(Topic::Targets);
        let targets_version = targets.version.to_wire();
        let targets_age = targets.age(now);
        let targets_complete = targets.complete_to.to_wire();
        let settings_age = view.records.settings_sync.age_ms(now);
        let settings_version = view.records.settings_sync.newest().to_wire();
        let kept = view.records.kept_digest();
        // A daemon that has known of newer settings for one part of their bound
        // without having them counts as cut off; the other parts are left for a
        // peer to learn of it and to send them. Otherwise, when the store becomes
        // unresponsive in the middle of a feed call, which takes its 11 s to fail,
        // the daemon does not know until then that it is cut off: routes were
        // denied 3 s after they were added, 17 times on a heavily loaded day of
        // 90 daemons.
        let behind_ms = view.records.settings_sync.lag_ms(now);
        let lag_ms = node.settings().bounds.apply_ms / follow::PARTS_PER_APPLY;
        News {
            from: Some(from),
            work,
            holdings: node
                .leases
                .held(node.settings().bounds.fencing)
                .into_iter()
                .map(|(group, token)| Holding {
                    group: group.to_string(),
                    token,
                })
                .collect(),
            settings_version,
            targets_version,
            targets_complete,
            targets_age,
            settings_age,
            kept,
            cut_off: node.settings_unavailable() || behind_ms > lag_ms,
            members: self.certain_members(),
            words,
            sent_at: now,
            ..News::default()
        }
    }

    /// Applies a peer's gossip message.
    pub(crate) fn apply_gossip(&self, node: &Arc<Node>, gossip: News, arrival: super::Origin) {
        let Some(from) = gossip.from.clone() else {
            return;
        };
        let now = node.now();
        self.add_peer(&from.peer, false);
        for addr in &gossip.peers {
            self.add_peer(addr, false);
        }
        wire::apply_findings(node, &gossip.evidence);
        outbound::merge_notices(node, &gossip.words, &from.id);
        let mut work_by_target = self.update_peer(node, &from, &gossip, now);
        self.learn_holders(&gossip.holders, now);
        self.learn_paces(node, &gossip, now);
        if arrival == super::Origin::Answer {
            self.learn_totals(node, &from, &gossip, now);
        }
        for cession in &gossip.cessions {
            let (group, token) = (&cession.group, cession.token);
            if cession.to == self.me.peer {
                node.leases.accept_handover(group, token, now);
                let fencing = node.settings().bounds.fencing;
                node.leases.begin_tenure(group, fencing, node.time());
                node.changed.notify_waiters();
            } else {
                node.leases.note_ceded(group, token, now);
            }
        }
        let peer: Name = from.id.as_str().into();
        let liveness_ms = self.liveness_ms();
        let mut view = node.view();
        for work in &gossip.work {
            let reported = Work {
                prefill_tokens: work.prefill,
                waiting_tokens: work.waiting,
                requests: work.running,
            };
            let sum = work_by_target
                .entry(work.target.as_str().into())
                .or_default();
            *sum = sum.plus(reported);
        }
        view.board
            .set_peer_work(&peer, &work_by_target, now + liveness_ms);
        for placed in &gossip.placed {
            if let Some(adapter) = parse_adapter_key(&placed.adapter) {
                let target: Name = placed.target.as_str().into();
                // Of a boot that has ended, or is not known yet, nothing would be
                // removed again.
                if !view.targets.contains_key(&target) {
                    continue;
                }
                let presence = match placed.dropped {
                    true => Presence::Absent,
                    false => Presence::Held(placed.version),
                };
                if placed.load_ms > 0 {
                    let age = placed.load_age.checked_sub(1).map(|a| a as usize);
                    view.residency
                        .record_load(&adapter, &target, age, placed.load_ms);
                }
                view.residency.record(&adapter, &target, presence, now);
            }
        }
        apply_histories(&mut view, &gossip.load_histories);
        for demand in &gossip.demands {
            view.count_demand(&demand.key, demand.requests, now);
        }
        drop(view);
        let is_held = |group: &Name| node.token(group).is_some();
        node.slots
            .add_reported(is_held, &peer, &gossip.slot_use, now);
        let age = gossip.targets_age;
        let covers =
            Revision::from_wire(gossip.targets_version) >= node.view().records.targets.version;
        let settings_as_of = match gossip.settings_age {
            u64::MAX => None,
            age_ms => self.as_of(&gossip, age_ms),
        };
        let targets_proof = gossip.targets_proof;
        let proven_at = targets_proof.and_then(|p| self.as_of(&gossip, p.age_ms));
        let complete_to = node.view().records.targets.complete_to;
        let settings_version = Revision::from_wire(gossip.settings_version);
        // The version that the peer assumes here may be that of an earlier
        // start.
        let settings = match node
            .view()
            .records
            .settings_sync
            .is_contiguous(Revision::from_wire(gossip.settings_since))
        {
            true => gossip.settings,
            false => Vec::new(),
        };
        let origin = Provenance {
            source: Source::Peer(peer.clone()),
            requested_at_ms: now,
        };
        for (topic, rows) in [
            (Topic::Settings, settings),
            (Topic::Targets, gossip.targets),
        ] {
            if rows.is_empty() {
                continue;
            }
            let rows: Vec<Record> = rows.into_iter().map(from_wire).collect();
            let version = rows.iter().map(|f| f.version).max().unwrap_or_default();
            records::apply(node, topic, RecordBatch { rows, version }, &origin);
        }
        if let (Some(proof), Some(at)) = (targets_proof, proven_at)
            && Revision::from_wire(proof.since) <= complete_to
            && node.view().records.targets.is_newer_proof(at)
        {
            records::prove_targets(node, Revision::from_wire(proof.until), at);
        }
        self.learn_versions(node, &gossip.versions, now);
        let mut view = node.view();
        if age != u64::MAX && covers {
            view.records.targets.confirm(now.saturating_sub(age));
        }
        let sync = &mut view.records.settings_sync;
        let before = sync.newer_version().map(|h| h.version);
        sync.peer_reported(&peer, settings_version, settings_as_of, now);
        log_newer_settings(sync, before, now);
        let is_behind = sync.newer_version().is_some();
        drop(view);
        follow::start_if_synced(node);
        kept::request(node, &from.peer, gossip.kept);
        if is_behind {
            self.wake_fetch();
        }
    }

    /// Returns a lower bound, by this daemon's clock, on a time that was `age_ms` ago
    /// when the sender made the message.
    ///
    /// The age in a message applies to the time it was made, and a message may
    /// stay unread for seconds in a daemon that was frozen or busy. Counted
    /// from the time of reading, old knowledge would pass for confirmed.
    fn as_of(&self, gossip: &News, age_ms: u64) -> Option<u64> {
        let known = gossip.echoed_at > 0 && gossip.heard_boot == self.me.boot;
        let made_after = known.then_some(gossip.echoed_at)?;
        // A time before this start is useless, because the clock began at the
        // start.
        made_after.checked_sub(age_ms)
    }

    /// Updates a peer's own state; returns its work at engines.
    fn update_peer(&self, node: &Node, from: &Daemon, gossip: &News, now: u64) -> Map<Name, Work> {
        for holding in &gossip.holdings {
            node.leases.observe_token(&holding.group, holding.token);
        }
        let mut state = self.state();
        let limit = Self::alive_ms(state.peers.len());
        let Some(peer) = state.peers.get_mut(from.peer.as_str()) else {
            return Map::default();
        };
        if !peer.is_seen(now, limit) {
            log::info!(target: "fleet", peer:% = from.id, addr:% = from.peer; "peer heard");
        }
        peer.gossip_at_ms = now;
        peer.holder_hint = false;
        peer.settings_version = Revision::from_wire(gossip.settings_version);
        peer.targets_complete = Revision::from_wire(gossip.targets_complete);
        peer.cut_off = gossip.cut_off;
        peer.members = gossip.members as usize;
        if gossip.holdings.is_empty() {
            // It no longer aggregates for anybody.
            peer.reported_use.clear();
        }
        let holdings = gossip.holdings.iter();
        peer.holdings = holdings
            .map(|h| (h.group.as_str().into(), h.token))
            .collect();
        if peer.daemon.as_ref().is_none_or(|a| a.boot != from.boot) {
            // The runs of an earlier process have ended.
            peer.runs = Runs::default();
            peer.histories_sent = 0;
            peer.paces_sent = 0;
            peer.use_sent.clear();
            peer.versions_sent = 0;
        }
        let held = &peer.holdings;
        peer.use_sent
            .retain(|group, _| held.iter().any(|(g, _)| g == group));
        peer.daemon = Some(from.clone());
        peer.findings_acked = match gossip.heard_boot == self.me.boot {
            true => gossip.heard_serial,
            false => 0,
        };
        peer.findings_received = SyncPosition {
            boot: from.boot,
            serial: gossip.told_serial,
        };
        peer.clock_ms = gossip.sent_at;
        peer.runs.reconcile(&gossip.runs, now);
        peer.runs.work_by_target()
    }
}

/// Logs a newer version of the settings that was just reported, and what may
/// delay it.
fn log_newer_settings(sync: &SettingsTracker, before: Option<Revision>, now: u64) {
    let Some(newer) = sync.newer_version().filter(|h| Some(h.version) != before) else {
        return;
    };
    let (row, age) = (sync.newest(), sync.age_ms(now));
    let away = sync
        .store_down_since()
        .map_or(0, |since| now.saturating_sub(since));
    log::info!(target: "follow", newer:% = newer.version, peer:% = newer.reported_by, row:%, age, away, behind = sync.lag_ms(now); "newer settings heard of");
}

/// Slot time of own runs in the groups that `peer` holds, for the first messages
/// after it has taken their leases: later it has seen all runs itself.
fn slot_use_for(node: &Node, peer: &mut Peer, now: u64) -> Vec<SlotUse> {
    let mut out = Vec::new();
    for (group, _) in &peer.holdings {
        let sent = peer.use_sent.entry(group.clone()).or_default();
        if *sent < SLOT_USE_MESSAGES {
            *sent += 1;
            out.extend(node.slots.own_use(group, now));
        }
    }
    out
}

impl State {
    /// Own runs to report to the peer at `addr`: in a large fleet those at
    /// engines of its groups, and those of groups without a known holder.
    fn runs_for(&self, addr: &str, now: u64) -> Vec<EngineRun> {
        let all = self.runs.iter();
        if !periods::is_large(self.peers.len()) {
            return all.map(|(id, run)| run.to_wire(id, now)).collect();
        }
        let holds = |p: &Peer, group: &Name| p.holdings.iter().any(|(g, _)| g == group);
        let peer = self.peers.get(addr);
        let is_recipient = |group: &Name| {
            peer.is_some_and(|p| holds(p, group))
                || !self.recent_peers(now).any(|(_, p)| holds(p, group))
        };
        let concerned = all.filter(|(_, run)| is_recipient(&run.group));
        concerned.map(|(id, run)| run.to_wire(id, now)).collect()
    }
}
