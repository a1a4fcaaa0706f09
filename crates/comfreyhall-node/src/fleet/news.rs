//! What daemons tell each other, made and taken in.

use std::sync::Arc;

use comfreyhall_domain::{Map, Name, Set};
use comfreyhall_inforce::{SettingsTracker, Source};
use comfreyhall_protocol::{Daemon, Demand, EngineRun, Holding, News, TargetWork};
use comfreyhall_quarantine::SyncPosition;
use comfreyhall_routing::{Presence, Work};
use rand::seq::IteratorRandom;

use super::{Fleet, Peer, State, hub, parse_adapter_key, runs::Runs};
use crate::{
    facts::{self, Provenance},
    follow,
    node::Node,
    outbound,
    ports::{Record, RecordBatch, Topic},
    quarantine::wire,
};

/// Peers named in one call of a large fleet.
const NAMED: usize = 3;

/// Most bytes of settings that news bears: some named versions, or a configuration
/// of some dozen routes.
///
/// What goes wrong without a bound: holders answer each report of a large fleet
/// with the whole configuration until it has been taken in, and over small links
/// no answer comes in time. Larger ones are read in the store or fetched once.
const CARRIED_BYTES: usize = 8 * 1_024;

impl Fleet {
    /// What to tell the peer at `addr`.
    pub(super) fn news_for(&self, node: &Node, addr: &str) -> News {
        let now = node.now();
        let mut news = self.own_news(node, now);
        let mut state = self.state();
        let known = state.alive(now).filter(|(a, _)| &***a != addr);
        let known = known.map(|(a, _)| a.to_string());
        news.peers = if hub::is_large(state.peers.len()) {
            // Rosters name the rest.
            known.choose_multiple(&mut rand::rng(), NAMED)
        } else {
            known.collect()
        };
        if hub::is_large(state.peers.len()) {
            news.holders = state.holders(now);
        }
        news.runs = state.runs_for(addr, now);
        if let Some(peer) = state.peers.get(addr) {
            (news.evidence, news.told_serial) = wire::since(node, peer.findings);
            news.heard_boot = peer.heard_of.boot;
            news.heard_serial = peer.heard_of.serial;
            news.echoed_at = peer.clock;
        }
        let State {
            peers,
            runs,
            placed,
            next,
            cessions,
            ..
        } = &mut *state;
        news.cessions = cessions.clone();
        let engines: Set<&str> = runs.iter().map(|(_, r)| &*r.target).collect();
        for work in &mut news.work {
            if engines.contains(work.target.as_str()) {
                // The runs tell it.
                work.prefill = 0;
                work.running = 0;
            }
        }
        news.work.retain(|w| w.waiting > 0 || w.running > 0);
        if let Some(peer) = peers.get_mut(addr) {
            let untold = placed.iter().filter(|(serial, _)| *serial >= peer.told);
            news.placed = untold.map(|(_, p)| p.clone()).collect();
            peer.told = *next;
            let demands = std::mem::take(&mut peer.demands);
            news.demands = demands
                .into_iter()
                .map(|(key, requests)| Demand {
                    key: key.to_string(),
                    requests,
                })
                .collect();
        }
        news
    }

    pub(super) fn own_news(&self, node: &Node, now: u64) -> News {
        let words = outbound::holder_notices(node);
        let mut view = node.view();
        let work = view.board.own_work().map(|(target, w)| TargetWork {
            target: target.to_string(),
            prefill: w.prefill_tokens,
            waiting: w.waiting_tokens,
            running: w.requests,
        });
        let work = work.collect();
        let targets = view.records.topic_rows(Topic::Targets);
        let targets_version = targets.version;
        let targets_age = targets.age(now);
        let settings_age = view.records.settings_sync.age_ms(now);
        let settings_version = view.records.settings_sync.newest();
        // Who has heard of newer settings for one part of their bound and does
        // not have them counts as cut off; the other parts are left for a peer
        // to hear of it and to send them. What goes wrong without it: the store
        // falls silent in the middle of a feed call, which takes its 11 s to
        // fail, and until then the daemon does not know that it is cut off:
        // routes denied 3 s after they were added, 17 times in a heavy day of
        // 90 daemons.
        let behind_ms = view.records.settings_sync.lag_ms(now);
        let lag_ms = node.settings().bounds.apply_ms / follow::PARTS_PER_APPLY;
        let mut from = self.me.clone();
        from.ready = node.ready();
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
            targets_age,
            settings_age,
            cut_off: node.settings_unavailable() || behind_ms > lag_ms,
            members: self.known_members(),
            words,
            sent_at: now,
            ..News::default()
        }
    }

    /// Adds to a call which roster of the peer at `addr` is known here. An
    /// answer bears the sender's own: with this one in it, an answer of a
    /// holder that still takes its fleet for small would renew an old roster.
    pub(super) fn tell_roster(&self, addr: &str, news: &mut News) {
        let state = self.state();
        news.roster_version = state.peers.get(addr).map_or(0, |p| p.roster.version());
    }

    /// Adds rows that the peer at `addr` may lack to a call.
    ///
    /// In a large fleet only holders get them unasked, and hand them on:
    /// rows for peers called by chance, of whom nothing recent is known, came
    /// to two thirds of the bytes between 89 daemons.
    pub(super) fn push_rows(&self, node: &Node, addr: &str, news: &mut News) {
        let (new, cut_off, settings, known) = {
            let state = self.state();
            let Some(peer) = state.peers.get(addr) else {
                return;
            };
            if hub::is_large(state.peers.len()) && !peer.holds() {
                return;
            }
            let new = peer.about.is_none();
            (new, peer.cut_off, peer.settings, peer.targets)
        };
        // A new peer may have just started. What goes wrong if one that is cut
        // off is sent what it has already: in an outage of the store all are,
        // and a configuration of 300 KB went to the holders with each report of
        // 90 daemons, 0.45 GB between failure domains in six seconds.
        if new || cut_off {
            add_settings(node, settings, news);
        }
        news.targets = rows_since(node, Topic::Targets, known);
    }

    /// Takes in a peer's news.
    pub(super) fn learn(&self, node: &Arc<Node>, news: News, how: super::Origin) {
        let Some(from) = news.from.clone() else {
            return;
        };
        let now = node.now();
        self.add_peer(&from.peer, false);
        for addr in &news.peers {
            self.add_peer(addr, false);
        }
        wire::hear(node, &news.evidence);
        outbound::merge_notices(node, &news.words, &from.id);
        let mut works = self.learn_peer(node, &from, &news, now);
        self.learn_holders(&news.holders, now);
        if how == super::Origin::Answer {
            self.learn_totals(node, &from, &news, now);
        }
        let ours = news.cessions.iter().filter(|c| c.to == self.me.peer);
        for cession in ours {
            node.leases.accept_handover(&cession.group, cession.token);
            node.changed.notify_waiters();
        }
        let peer: Name = from.id.as_str().into();
        let alive_for = self.alive_for();
        let mut view = node.view();
        for work in &news.work {
            let told = Work {
                prefill_tokens: work.prefill,
                waiting_tokens: work.waiting,
                requests: work.running,
            };
            let sum = works.entry(work.target.as_str().into()).or_default();
            *sum = sum.plus(told);
        }
        view.board.set_peer_work(&peer, &works, now + alive_for);
        for placed in &news.placed {
            if let Some(adapter) = parse_adapter_key(&placed.adapter) {
                let target: Name = placed.target.as_str().into();
                let standing = match placed.dropped {
                    true => Presence::Absent,
                    false => Presence::Held(placed.version),
                };
                view.residency.record(&adapter, &target, standing, now);
            }
        }
        for demand in &news.demands {
            view.count_demand(&demand.key, demand.requests, now);
        }
        drop(view);
        let age = news.targets_age;
        let covers = news.targets_version >= node.view().records.targets.version;
        let settings_as_of = self.settings_as_of(&news);
        let settings_version = news.settings_version;
        // What it takes this daemon to have may be what an earlier start had.
        let settings = match node
            .view()
            .records
            .settings_sync
            .is_contiguous(news.settings_since)
        {
            true => news.settings,
            false => Vec::new(),
        };
        let origin = Provenance {
            way: Source::Peer(peer.clone()),
            asked: now,
        };
        for (topic, rows) in [(Topic::Settings, settings), (Topic::Targets, news.targets)] {
            if rows.is_empty() {
                continue;
            }
            let rows: Vec<Record> = rows.into_iter().map(from_wire).collect();
            let version = rows.iter().map(|f| f.version).max().unwrap_or(0);
            facts::apply(node, topic, RecordBatch { rows, version }, &origin);
            follow::settle(node);
        }
        let mut view = node.view();
        if age != u64::MAX && covers {
            view.records.targets.confirm(now.saturating_sub(age));
        }
        let in_force = &mut view.records.settings_sync;
        let before = in_force.newer_version().map(|h| h.version);
        in_force.peer_reported(&peer, settings_version, settings_as_of, now);
        tell_heard(in_force, before, now);
        let lacking = in_force.newer_version().is_some();
        drop(view);
        if lacking {
            self.wake_fetch();
        }
    }

    /// When, by this daemon's clock, the store said what the sender knows of the
    /// settings, or later.
    ///
    /// The age in news is as of when it was made, and news may lie for seconds
    /// before a daemon that was frozen or busy: counted from when it is read, an
    /// old version would pass for confirmed.
    fn settings_as_of(&self, news: &News) -> Option<u64> {
        let known = news.settings_age != u64::MAX && news.echoed_at > 0;
        let made_after = (known && news.heard_boot == self.me.boot).then_some(news.echoed_at)?;
        // A moment before this start is as good as none: its clock began then.
        made_after.checked_sub(news.settings_age)
    }

    /// Takes in what a peer tells of itself; returns its work at engines.
    fn learn_peer(&self, node: &Node, from: &Daemon, news: &News, now: u64) -> Map<Name, Work> {
        for holding in &news.holdings {
            node.leases.observe_token(&holding.group, holding.token);
        }
        let mut state = self.state();
        let limit = Self::alive_ms(state.peers.len());
        let Some(peer) = state.peers.get_mut(from.peer.as_str()) else {
            return Map::default();
        };
        if !peer.seen(now, limit) {
            log::info!(target: "fleet", peer:% = from.id, addr:% = from.peer; "peer heard");
        }
        peer.heard = now;
        peer.hinted = false;
        peer.settings = news.settings_version;
        peer.targets = news.targets_version;
        peer.cut_off = news.cut_off;
        peer.members = news.members as usize;
        if news.holdings.is_empty() {
            // It sums up for nobody any more.
            peer.used.clear();
        }
        let holdings = news.holdings.iter();
        peer.holdings = holdings
            .map(|h| (h.group.as_str().into(), h.token))
            .collect();
        if peer.about.as_ref().is_none_or(|a| a.boot != from.boot) {
            // What an earlier process ran is gone.
            peer.runs = Runs::default();
        }
        peer.about = Some(from.clone());
        peer.findings = match news.heard_boot == self.me.boot {
            true => news.heard_serial,
            false => 0,
        };
        peer.heard_of = SyncPosition {
            boot: from.boot,
            serial: news.told_serial,
        };
        peer.clock = news.sent_at;
        peer.runs.replace(&news.runs, now);
        peer.runs.works()
    }
}

/// Notes a newer version of the settings that was just heard of, and why it may
/// take time to come.
fn tell_heard(in_force: &SettingsTracker, before: Option<u64>, now: u64) {
    let Some(heard) = in_force
        .newer_version()
        .filter(|h| Some(h.version) != before)
    else {
        return;
    };
    let (row, age) = (in_force.newest(), in_force.age_ms(now));
    let away = in_force
        .store_down_since()
        .map_or(0, |since| now.saturating_sub(since));
    log::info!(target: "follow", newer = heard.version, peer:% = heard.reported_by, row, age, away, behind = in_force.lag_ms(now); "newer settings heard of");
}

impl State {
    /// Own runs that the peer at `addr` has to know of: in a large fleet those
    /// at engines of its groups, and those of groups without a known holder.
    fn runs_for(&self, addr: &str, now: u64) -> Vec<EngineRun> {
        let all = self.runs.iter();
        if !hub::is_large(self.peers.len()) {
            return all.map(|(id, run)| run.to_wire(id)).collect();
        }
        let holds = |p: &Peer, group: &Name| p.holdings.iter().any(|(g, _)| g == group);
        let peer = self.peers.get(addr);
        let told = |group: &Name| {
            peer.is_some_and(|p| holds(p, group)) || !self.heard(now).any(|(_, p)| holds(p, group))
        };
        let concerned = all.filter(|(_, run)| told(&run.group));
        concerned.map(|(id, run)| run.to_wire(id)).collect()
    }
}

pub(super) fn to_wire(fact: &Record) -> comfreyhall_protocol::Fact {
    comfreyhall_protocol::Fact {
        key: fact.key.to_string(),
        value: fact.value.as_ref().map(|v| v.to_vec()).unwrap_or_default(),
        version: fact.version,
        deleted: fact.value.is_none(),
    }
}

pub(super) fn from_wire(fact: comfreyhall_protocol::Fact) -> Record {
    Record {
        key: fact.key.into(),
        value: (!fact.deleted).then(|| fact.value.into()),
        version: fact.version,
    }
}

/// Rows of `topic` with news since `version`.
pub(super) fn rows_since(
    node: &Node,
    topic: Topic,
    version: u64,
) -> Vec<comfreyhall_protocol::Fact> {
    let mut view = node.view();
    let shelf = view.records.topic_rows(topic);
    // All settings, so that nobody lacks the newest row; of targets, what matters.
    let newer = |fact: &&Record| match topic {
        Topic::Settings => fact.version > version,
        Topic::Targets => shelf.news.get(&fact.key).is_some_and(|v| *v > version),
    };
    shelf.rows.values().filter(newer).map(to_wire).collect()
}

/// What the sender of news lacks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lack {
    settings_version: u64,
    targets_version: u64,
    targets_age: u64,
}

impl From<&News> for Lack {
    fn from(news: &News) -> Self {
        Self {
            settings_version: news.settings_version,
            targets_version: news.targets_version,
            targets_age: news.targets_age,
        }
    }
}

/// Adds the settings newer than `version` to news for a peer, all of them or none:
/// one that has the newest row counts as having those before it. A peer that is
/// not given them hears of a newer version, and reads or fetches it.
fn add_settings(node: &Node, version: u64, news: &mut News) {
    let rows = rows_since(node, Topic::Settings, version);
    let bytes: usize = rows.iter().map(|r| r.value.len()).sum();
    if bytes <= CARRIED_BYTES {
        news.settings = rows;
        news.settings_since = version;
    }
}

/// Adds the rows that a peer lacks to the news for it.
pub(super) fn add_rows(node: &Node, asked: Lack, news: &mut News) {
    add_settings(node, asked.settings_version, news);
    if news.targets_age < asked.targets_age {
        news.targets = rows_since(node, Topic::Targets, asked.targets_version);
    }
}
