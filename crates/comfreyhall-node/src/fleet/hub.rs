//! Large fleets: the holders of leases collect for everybody.
//!
//! Swapping news with every daemon costs each of them calls and bytes in
//! proportion to the fleet; swapping with a random part of it makes news
//! seconds old. So beyond [`FANOUT`] peers a daemon reports to the holders of
//! leases only, and they answer with sums: what all others have at the
//! engines of their groups, and who is alive. A daemon then makes as many
//! calls as there are groups, whatever the size of the fleet, and knows what
//! everybody does one [`pace_ms`] late. A few random peers besides keep the
//! fleet joined when holders change or are cut off.

use std::hash::{Hash, Hasher};

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::{Daemon, News, TargetTotal};
use comfreyhall_routing::Work;
use rand::seq::IteratorRandom;
use rustc_hash::FxHasher;

use super::{FANOUT, Fleet, PERIOD_MS, Peer, State};
use crate::node::Node;

/// Calls a holder answers in a second: at 0.2 ms each (processor time over
/// calls with 89 daemons, all other work included) 4% of a core, which is below
/// what a daemon may spend on control.
const CALLS_PER_S: u64 = 200;

/// Pause between calls to a random peer while holders are known, in ms.
const OTHER_MS: u64 = 1_000;

/// Age up to which a summary is handed out again, in ms: a fifth of the age
/// of the reports it is made from, so that ten are made in a second and not
/// one for each call.
const SUMMARY_MS: u64 = 100;

/// Whether a fleet of `peers` reports to holders.
pub(super) fn is_large(peers: usize) -> bool {
    peers > FANOUT
}

/// Ms between two reports to the same holder in a fleet of `peers`.
pub(super) fn pace_ms(peers: usize) -> u64 {
    (peers as u64 * 1_000 / CALLS_PER_S).max(PERIOD_MS)
}

/// Who is alive, as a holder tells.
#[derive(Debug, Default)]
pub(super) struct Roster {
    version: u64,
    members: Vec<Daemon>,
}

impl Roster {
    /// Which roster it is; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    fn of(members: Vec<Daemon>) -> Self {
        let mut hash = FxHasher::default();
        for member in &members {
            (&member.peer, member.boot, member.ready).hash(&mut hash);
        }
        // 0 stands for no roster.
        let version = hash.finish().max(1);
        Self { version, members }
    }
}

impl Peer {
    /// Whether it holds a lease.
    pub(super) fn holds(&self) -> bool {
        !self.holdings.is_empty()
    }
}

impl State {
    /// Peers to call in a large fleet; `holding`: whether this daemon holds a
    /// lease itself.
    pub(super) fn due_large(&mut self, holding: bool, now: u64) -> Vec<Name> {
        let pace = pace_ms(self.peers.len());
        let limit = Fleet::alive_ms(self.peers.len());
        let rested = |p: &Peer| now.saturating_sub(p.called) + PERIOD_MS / 2 >= pace;
        let mut out: Vec<Name> = Vec::new();
        let mut known = holding;
        for (addr, peer) in &self.peers {
            let holds = peer.holds() && peer.alive(now, limit);
            known |= holds;
            // Holders call each other too: only answers bear sums.
            if (holds || peer.hinted) && rested(peer) && !peer.calling {
                out.push(addr.clone());
            }
        }
        let others = match known {
            true if now.saturating_sub(self.strayed) < OTHER_MS => 0,
            true => 1,
            false => FANOUT,
        };
        let idle = self
            .peers
            .iter()
            .filter(|(a, p)| rested(p) && !p.calling && !out.contains(a));
        let idle = idle.map(|(a, _)| a.clone());
        let more = idle.choose_multiple(&mut rand::rng(), others);
        if !more.is_empty() {
            self.strayed = now;
        }
        out.extend(more);
        out
    }

    /// Addresses of the holders heard from lately.
    pub(super) fn holders(&self, now: u64) -> Vec<String> {
        let holders = self.heard(now).filter(|(_, p)| p.holds());
        holders.map(|(a, _)| a.to_string()).collect()
    }

    /// Adapters in use at each target by all daemons.
    fn used(&self, now: u64) -> Map<Name, u32> {
        let mut out: Map<Name, u32> = Map::default();
        for (target, _) in self.pinned(now) {
            *out.entry(target.clone()).or_default() += 1;
        }
        out
    }

    /// Who is alive, `me` included.
    fn roster(&self, me: Daemon, now: u64) -> Roster {
        let heard = self.heard(now).filter_map(|(_, p)| p.about.clone());
        let mut members: Vec<Daemon> = heard.chain([me]).collect();
        members.sort_by(|a, b| a.peer.cmp(&b.peer));
        Roster::of(members)
    }
}

/// What a holder tells all daemons, but for each daemon's own part.
#[derive(Debug, Default)]
pub(super) struct Summary {
    /// When it was made; 0 for never.
    at: u64,
    roster: Roster,
    /// Work of all daemons at the targets of the groups held.
    totals: Vec<(Name, TargetTotal)>,
}

impl Fleet {
    /// Whether the fleet is so large that it reports to holders.
    pub(crate) fn large(&self) -> bool {
        is_large(self.state().peers.len())
    }

    /// Whether a holder of leases, other than this daemon, tells it what is
    /// known in a large fleet.
    pub(crate) fn served(&self, node: &Node) -> bool {
        let holding = node.leases.holds_any(node.settings().bounds.fencing);
        let state = self.state();
        is_large(state.peers.len()) && !holding && state.heard(node.now()).any(|(_, p)| p.holds())
    }

    /// Adds what a holder tells in a large fleet to the answer for the daemon
    /// `asker`, which has the roster `known`.
    pub(super) fn add_totals(&self, node: &Node, asker: &Daemon, known: u64, news: &mut News) {
        if !self.large() || news.holdings.is_empty() {
            return;
        }
        let now = node.now();
        if now.saturating_sub(self.state().summary.at) > SUMMARY_MS {
            let summary = self.sum_up(node, news, now);
            self.state().summary = summary;
        }
        // The view is locked before the state elsewhere.
        let view = node.view();
        let state = self.state();
        let Summary { roster, totals, .. } = &state.summary;
        news.roster_version = roster.version;
        if roster.version != known {
            news.roster = roster.members.clone();
        }
        let but_own = |(id, total): &(Name, TargetTotal)| {
            let own = view.board.peer_work(id, &asker.id, now);
            TargetTotal {
                prefill: total.prefill.saturating_sub(own.prefill_tokens),
                waiting: total.waiting.saturating_sub(own.waiting_tokens),
                running: total.running.saturating_sub(own.requests),
                ..total.clone()
            }
        };
        news.totals = totals.iter().map(but_own).collect();
    }

    fn sum_up(&self, node: &Node, news: &News, now: u64) -> Summary {
        let mut me = self.me.clone();
        me.ready = node.ready();
        let (roster, used) = {
            let state = self.state();
            (state.roster(me, now), state.used(now))
        };
        let view = node.view();
        let held = |domain: &str| news.holdings.iter().any(|h| h.group == domain);
        let targets = view.targets.values().filter(|t| held(&t.failure_domain));
        let totals = targets.filter_map(|t| {
            let work = view.board.reported_work(&t.id, now);
            let adapters = used.get(&t.id).copied().unwrap_or(0);
            let total = TargetTotal {
                target: t.id.to_string(),
                prefill: work.prefill_tokens,
                waiting: work.waiting_tokens,
                running: work.requests,
                adapters,
            };
            (work != Work::default() || adapters > 0).then(|| (t.id.clone(), total))
        });
        Summary {
            at: now,
            roster,
            totals: totals.collect(),
        }
    }

    /// Takes in who is said to hold leases in a large fleet.
    pub(super) fn learn_holders(&self, holders: &[String], now: u64) {
        for addr in holders {
            self.add_peer(addr, false);
        }
        self.state().hint(holders, now);
    }

    /// Takes in what a holder's answer tells in a large fleet.
    pub(super) fn learn_totals(&self, node: &Node, from: &Daemon, news: &News, now: u64) {
        if news.roster_version == 0 || news.holdings.is_empty() {
            return;
        }
        let until = now + 2 * pace_ms(self.state().peers.len()) + PERIOD_MS;
        self.learn_roster(from, news, now);
        let mut view = node.view();
        let held = |domain: &str| news.holdings.iter().any(|h| h.group == domain);
        let targets = view.targets.values().filter(|t| held(&t.failure_domain));
        let targets: Vec<Name> = targets.map(|t| t.id.clone()).collect();
        let totals: Map<&str, &TargetTotal> =
            news.totals.iter().map(|t| (t.target.as_str(), t)).collect();
        for id in targets {
            let work = totals.get(&*id).map_or(Work::default(), |t| Work {
                prefill_tokens: t.prefill,
                waiting_tokens: t.waiting,
                requests: t.running,
            });
            view.board.set_others_work(&id, work, until);
        }
    }

    /// Counts the members of a holder's roster as alive.
    fn learn_roster(&self, from: &Daemon, news: &News, now: u64) {
        for member in &news.roster {
            self.add_peer(&member.peer, false);
        }
        let mut state = self.state();
        let Some(holder) = state.peers.get_mut(from.peer.as_str()) else {
            return;
        };
        let used = news.totals.iter();
        holder.used = used
            .map(|t| (t.target.as_str().into(), t.adapters))
            .collect();
        if news.roster_version != holder.roster.version && !news.roster.is_empty() {
            holder.roster = Roster {
                version: news.roster_version,
                members: news.roster.clone(),
            };
        }
        let members = std::mem::take(&mut holder.roster.members);
        for member in &members {
            if let Some(peer) = state.peers.get_mut(member.peer.as_str()) {
                peer.vouch(member, now);
            }
        }
        if let Some(holder) = state.peers.get_mut(from.peer.as_str()) {
            holder.roster.members = members;
        }
    }
}

impl State {
    /// Has daemons that are said to hold leases called soon.
    fn hint(&mut self, holders: &[String], now: u64) {
        let limit = Fleet::alive_ms(self.peers.len());
        for addr in holders {
            if let Some(peer) = self.peers.get_mut(addr.as_str())
                && !(peer.holds() && peer.alive(now, limit))
            {
                peer.hinted = true;
            }
        }
    }
}

impl Peer {
    /// A holder has heard from it lately.
    fn vouch(&mut self, member: &Daemon, now: u64) {
        self.vouched = now;
        let known = self.about.as_ref();
        // What it told itself is newer than a roster of the same process.
        let newer = now.saturating_sub(self.heard) > PERIOD_MS;
        if known.is_none_or(|k| k.boot != member.boot) || newer {
            self.about = Some(member.clone());
        }
    }
}
