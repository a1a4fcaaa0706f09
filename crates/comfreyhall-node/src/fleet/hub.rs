//! Large fleets: the lease holders aggregate gossip for everybody.
//!
//! Exchanging gossip with every daemon costs each of them calls and bytes in
//! proportion to the size of the fleet, while exchanging it with a random part
//! makes it seconds old. Beyond [`FANOUT`] peers a daemon therefore reports to
//! the lease holders only. They answer with totals: the work of all others at
//! the engines of their groups, and the live daemons. A daemon then makes as
//! many calls as there are groups, whatever the size of the fleet, and its
//! knowledge of the others is one [`report_period_ms`] old. A few additional
//! random peers keep the fleet connected when holders change or are cut off.

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::{Daemon, News, TargetTotal};
use comfreyhall_routing::Work;
use rand::seq::IteratorRandom;

use super::{
    periods::{FANOUT, GOSSIP_PERIOD_MS, is_large, report_period_ms},
    roster::{Changes, ListVersion, Roster},
    state::{Fleet, Peer, State},
    totals::{self, TargetNumbers},
};
use crate::{node::Node, reach};

/// Interval between calls to a random peer while holders are known, in ms.
const RANDOM_CALL_MS: u64 = 1_000;

/// Maximum age of a reused summary, in ms: a fifth of the age of the underlying
/// reports, so that ten are made per second instead of one for each call.
const SUMMARY_TTL_MS: u64 = 100;

/// The part of a holder's answers that is the same for all daemons, before each
/// daemon's own work is subtracted.
#[derive(Debug, Default)]
pub(super) struct Summary {
    /// When it was made; 0 for never.
    made_at_ms: u64,
    roster: Roster,
    numbers: TargetNumbers,
    /// What all daemons have at the targets of the held groups, by number.
    totals: Vec<Total>,
}

/// What all daemons together have at a target.
#[derive(Debug)]
struct Total {
    number: u32,
    target: Name,
    work: Work,
    adapters: u32,
}

/// What a caller has of earlier answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownSummary {
    roster: ListVersion,
    /// Up to which number it knows the targets.
    numbers: u32,
}

impl From<&News> for KnownSummary {
    fn from(call: &News) -> Self {
        Self {
            roster: ListVersion {
                boot: call.roster_boot,
                version: call.roster_version,
            },
            numbers: call.numbers_known,
        }
    }
}

impl Summary {
    /// The empty summary of the process `boot`.
    pub(super) fn new(boot: u64) -> Self {
        Self {
            roster: Roster::new(boot),
            ..Self::default()
        }
    }
}

impl Peer {
    /// Whether it holds a lease.
    pub(super) fn holds(&self) -> bool {
        !self.holdings.is_empty()
    }
}

impl State {
    /// Peers to call in a large fleet; `holding`: whether this daemon
    /// holds a lease itself.
    pub(super) fn due_in_large(&mut self, holding: bool, now: u64) -> Vec<Name> {
        let period_ms = report_period_ms(self.peers.len());
        let limit = Fleet::alive_ms(self.peers.len());
        let is_due =
            |p: &Peer| now.saturating_sub(p.called_at_ms) + GOSSIP_PERIOD_MS / 2 >= period_ms;
        let mut out: Vec<Name> = Vec::new();
        let mut known = holding;
        for (addr, peer) in &self.peers {
            let holds = peer.holds() && peer.alive(now, limit);
            known |= holds;
            // Holders call each other as well: only answers carry totals.
            if (holds || peer.holder_hint) && is_due(peer) && !peer.calling {
                out.push(addr.clone());
            }
        }
        let others = match known {
            true if now.saturating_sub(self.random_call_ms) < RANDOM_CALL_MS => 0,
            true => 1,
            false => FANOUT,
        };
        let idle = self
            .peers
            .iter()
            .filter(|(a, p)| is_due(p) && !p.calling && !out.contains(a));
        let idle = idle.map(|(a, _)| a.clone());
        let more = idle.choose_multiple(&mut rand::rng(), others);
        if !more.is_empty() {
            self.random_call_ms = now;
        }
        out.extend(more);
        out
    }

    /// Addresses of the holders seen recently.
    pub(super) fn holders(&self, now: u64) -> Vec<String> {
        let holders = self.recent_peers(now).filter(|(_, p)| p.holds());
        holders.map(|(a, _)| a.to_string()).collect()
    }

    /// Number of adapters in use at each target by all daemons.
    fn adapters_in_use(&self, now: u64) -> Map<Name, u32> {
        let mut out: Map<Name, u32> = Map::default();
        for (target, _) in self.pinned(now) {
            *out.entry(target.clone()).or_default() += 1;
        }
        out
    }

    /// Updates the list of live daemons, including `me`.
    fn update_roster(&mut self, me: &Daemon, now: u64) {
        let mut roster = std::mem::take(&mut self.summary.roster);
        let recent = self.recent_peers(now);
        let recent = recent.filter_map(|(_, p)| p.daemon.as_ref());
        roster.update(recent.chain([me]));
        self.summary.roster = roster;
    }
}

impl Fleet {
    /// Whether the fleet is so large that it reports to holders.
    pub(crate) fn is_large(&self) -> bool {
        is_large(self.state().peers.len())
    }

    /// Whether this daemon gets the state of a large fleet from a lease holder
    /// other than itself.
    pub(crate) fn reports_to_holders(&self, node: &Node) -> bool {
        let holding = node.leases.holds_any(node.settings().bounds.fencing);
        let state = self.state();
        is_large(state.peers.len())
            && !holding
            && state.recent_peers(node.now()).any(|(_, p)| p.holds())
    }

    /// Adds what is known of the answers of the peer at `addr` to a call.
    /// An answer carries the sender's own version: with this one in it, an
    /// answer of a holder that still regards its fleet as small would renew an
    /// old roster.
    pub(super) fn add_known_roster(&self, addr: &str, gossip: &mut News) {
        let state = self.state();
        if let Some(peer) = state.peers.get(addr) {
            let ListVersion { boot, version } = peer.roster.list();
            gossip.roster_version = version;
            gossip.roster_boot = boot;
            gossip.numbers_known = peer.numbers.until(boot);
        }
    }

    /// Adds a holder's totals to the answer for the daemon `asker` in a large
    /// fleet; `known` is what it has of earlier ones.
    pub(super) fn add_totals(
        &self,
        node: &Node,
        asker: &Daemon,
        known: KnownSummary,
        gossip: &mut News,
    ) {
        if !self.is_large() || gossip.holdings.is_empty() {
            return;
        }
        let now = node.now();
        if now.saturating_sub(self.state().summary.made_at_ms) > SUMMARY_TTL_MS {
            self.summarize(node, gossip, now);
        }
        // Lock order: the view before the state.
        let view = node.view();
        let state = self.state();
        let Summary {
            roster,
            numbers,
            totals,
            ..
        } = &state.summary;
        gossip.roster_version = roster.version();
        if let Some(changes) = roster.changes_since(known.roster) {
            gossip.roster_since = changes.since;
            gossip.roster = changes.rows;
            gossip.roster_removed = changes.removed;
        }
        let without_own = |total: &Total| {
            let own = view.board.peer_work(&total.target, &asker.id, now);
            TargetTotal {
                target: String::new(),
                prefill: total.work.prefill_tokens.saturating_sub(own.prefill_tokens),
                waiting: total.work.waiting_tokens.saturating_sub(own.waiting_tokens),
                running: total.work.requests.saturating_sub(own.requests),
                adapters: total.adapters,
            }
        };
        if known.roster.boot == self.me.boot {
            let rows = totals.iter().map(|t| (t.number, without_own(t)));
            gossip.total_columns = Some(totals::encode(rows));
            gossip.target_numbers = numbers.after(known.numbers);
        } else {
            let rows = totals.iter().map(|t| TargetTotal {
                target: t.target.to_string(),
                ..without_own(t)
            });
            gossip.totals = rows.collect();
        }
    }

    fn summarize(&self, node: &Node, gossip: &News, now: u64) {
        let mut me = self.me.clone();
        me.ready = node.ready();
        reach::describe(node, &mut me);
        let in_use = self.state().adapters_in_use(now);
        let view = node.view();
        let held = |domain: &str| gossip.holdings.iter().any(|h| h.group == domain);
        let targets = view.targets.values().filter(|t| held(&t.failure_domain));
        let totals = targets.filter_map(|t| {
            let work = view.board.reported_work(&t.id, now);
            let adapters = in_use.get(&t.id).copied().unwrap_or(0);
            (work != Work::default() || adapters > 0).then(|| (t.id.clone(), work, adapters))
        });
        let totals: Vec<(Name, Work, u32)> = totals.collect();
        let mut state = self.state();
        state.update_roster(&me, now);
        let summary = &mut state.summary;
        summary.made_at_ms = now;
        summary.numbers.retain(|id| view.targets.contains_key(id));
        let numbered = totals.into_iter().map(|(target, work, adapters)| Total {
            number: summary.numbers.number(&target),
            target,
            work,
            adapters,
        });
        summary.totals = numbered.collect();
        summary.totals.sort_unstable_by_key(|t| t.number);
    }

    /// Adds the daemons that are reported to hold leases in a large fleet.
    pub(super) fn learn_holders(&self, holders: &[String], now: u64) {
        for addr in holders {
            self.add_peer(addr, false);
        }
        self.state().mark_holders(holders, now);
    }

    /// Applies the totals of a holder's answer in a large fleet.
    pub(super) fn learn_totals(&self, node: &Node, from: &Daemon, gossip: &News, now: u64) {
        if gossip.roster_version == 0 || gossip.holdings.is_empty() {
            return;
        }
        let until = now + 2 * report_period_ms(self.state().peers.len()) + GOSSIP_PERIOD_MS;
        self.learn_roster(from, gossip, now);
        let Some(totals) = self.read_totals(from, gossip) else {
            log::info!(target: "fleet", peer:% = from.id; "totals with unknown targets; asking for their names");
            return;
        };
        let mut view = node.view();
        let held = |domain: &str| gossip.holdings.iter().any(|h| h.group == domain);
        let targets = view.targets.values().filter(|t| held(&t.failure_domain));
        let targets: Vec<Name> = targets.map(|t| t.id.clone()).collect();
        let totals: Map<&str, &TargetTotal> =
            totals.iter().map(|t| (t.target.as_str(), t)).collect();
        for id in targets {
            let work = totals.get(&*id).map_or(Work::default(), |t| Work {
                prefill_tokens: t.prefill,
                waiting_tokens: t.waiting,
                requests: t.running,
            });
            view.board.set_others_work(&id, work, until);
        }
    }

    /// The totals in a holder's answer; `None` if it names targets by unknown numbers.
    fn read_totals(&self, from: &Daemon, gossip: &News) -> Option<Vec<TargetTotal>> {
        let mut state = self.state();
        let holder = state.peers.get_mut(from.peer.as_str())?;
        let totals = match &gossip.total_columns {
            Some(columns) => {
                let numbers = &gossip.target_numbers;
                holder.numbers.decode(from.boot, numbers, columns)?
            }
            None => gossip.totals.clone(),
        };
        let in_use = totals.iter();
        holder.reported_use = in_use
            .map(|t| (t.target.as_str().into(), t.adapters))
            .collect();
        Some(totals)
    }

    /// Marks the members of a holder's roster as alive.
    fn learn_roster(&self, from: &Daemon, gossip: &News, now: u64) {
        for member in &gossip.roster {
            self.add_peer(&member.peer, false);
        }
        let mut state = self.state();
        let Some(holder) = state.peers.get_mut(from.peer.as_str()) else {
            return;
        };
        let list = ListVersion {
            boot: from.boot,
            version: gossip.roster_version,
        };
        let changes = Changes {
            since: gossip.roster_since,
            rows: gossip.roster.clone(),
            removed: gossip.roster_removed.clone(),
        };
        if !holder.roster.apply(list, changes) {
            return;
        }
        let roster = std::mem::take(&mut holder.roster);
        for member in roster.members() {
            if let Some(peer) = state.peers.get_mut(member.peer.as_str()) {
                peer.confirm_alive(member, now);
            }
        }
        if let Some(holder) = state.peers.get_mut(from.peer.as_str()) {
            holder.roster = roster;
        }
    }
}

impl State {
    /// Schedules a call to daemons that are reported to hold leases.
    fn mark_holders(&mut self, holders: &[String], now: u64) {
        let limit = Fleet::alive_ms(self.peers.len());
        for addr in holders {
            if let Some(peer) = self.peers.get_mut(addr.as_str())
                && !(peer.holds() && peer.alive(now, limit))
            {
                peer.holder_hint = true;
            }
        }
    }
}

impl Peer {
    /// Records that a holder has seen it recently.
    fn confirm_alive(&mut self, member: &Daemon, now: u64) {
        self.reported_at_ms = now;
        let known = self.daemon.as_ref();
        // Its own report is newer than a roster of the same process.
        let newer = now.saturating_sub(self.gossip_at_ms) > GOSSIP_PERIOD_MS;
        if known.is_none_or(|k| k.boot != member.boot || newer && k != member) {
            self.daemon = Some(member.clone());
        }
    }
}
