//! A fleet of daemons in one process: real gossip, encoded and decoded, over simulated
//! time and without sockets.

use std::sync::Arc;

use comfreyhall_domain::{Map, Target};
use comfreyhall_protocol::{Daemon, News};
use comfreyhall_slots::SlotShare;
use prost::Message;

use super::super::{Origin, Run, exchange};
use crate::{
    node::Node,
    test_node::{node_at, set_time, target},
    traffic,
};

/// Time of the first round, in ms: none of a daemon's times is 0.
const START_MS: u64 = 10_000;

pub(super) struct Daemons {
    pub(super) nodes: Vec<Arc<Node>>,
    holders: usize,
    now: u64,
    /// Bytes sent since they were last taken, by kind of content.
    sent: Map<&'static str, usize>,
}

fn addr_of(index: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + index)
}

impl Daemons {
    /// Daemons that know each other; the first `holders` hold a lease each.
    pub(super) fn new(count: usize, holders: usize) -> Self {
        set_time(START_MS);
        let daemons = Self {
            nodes: (0..count).map(start).collect(),
            holders,
            now: START_MS,
            sent: Map::default(),
        };
        for index in 0..count {
            daemons.introduce(index);
        }
        for (holder, node) in daemons.nodes[..holders].iter().enumerate() {
            node.leases
                .accept_handover(&format!("d{holder}"), 1, START_MS);
        }
        daemons
    }

    /// Makes the daemon at `index` known to the others, and them to it.
    fn introduce(&self, index: usize) {
        for other in 0..self.nodes.len() {
            self.nodes[index].fleet.add_peer(&addr_of(other), false);
            self.nodes[other].fleet.add_peer(&addr_of(index), false);
        }
    }

    /// Replaces the process of the daemon at `index`; a holder keeps its lease.
    pub(super) fn restart(&mut self, index: usize) {
        self.nodes[index] = start(index);
        self.introduce(index);
        if index < self.holders {
            let leases = &self.nodes[index].leases;
            leases.accept_handover(&format!("d{index}"), 2, self.now);
        }
    }

    /// Gives holders `targets` engines each, and each daemon `runs` runs there.
    pub(super) fn start_runs(&self, targets: usize, runs: usize) {
        let engine = |holder: usize, i: usize| format!("engine-{holder}-{i}@1764800000000");
        for (holder, node) in self.nodes[..self.holders].iter().enumerate() {
            for i in 0..targets {
                let target = Target {
                    failure_domain: format!("d{holder}").as_str().into(),
                    ..target(&engine(holder, i))
                };
                let mut view = node.view();
                view.targets.insert(target.id.clone(), target.into());
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            for i in 0..runs {
                let at = index * runs + i;
                let (holder, target) = (at % self.holders, at / self.holders % targets);
                let run = Run {
                    target: engine(holder, target).as_str().into(),
                    group: format!("d{holder}").as_str().into(),
                    share: SlotShare::priority(0),
                    adapter: None,
                    unread_tokens: 500,
                    queued_tokens: 500,
                    bound_at_ms: self.now,
                    began_at_ms: self.now,
                };
                node.fleet.start_run(node.fleet.next_run_id(), run);
            }
        }
    }

    /// Own runs of the daemon at `index` at `target`.
    pub(super) fn runs_at(&self, index: usize, target: &str) -> usize {
        let state = self.nodes[index].fleet.state();
        state
            .runs
            .iter()
            .filter(|(_, r)| *r.target == *target)
            .count()
    }

    /// Lets each daemon but those in `silent` exchange gossip with each holder.
    pub(super) fn round(&mut self, silent: &[usize]) {
        self.advance(300);
        for caller in (0..self.nodes.len()).filter(|i| !silent.contains(i)) {
            for holder in (0..self.holders).filter(|h| *h != caller && !silent.contains(h)) {
                self.exchange(caller, holder, |_| {});
            }
        }
    }

    /// Passes time, after which holders sum up anew.
    pub(super) fn advance(&mut self, ms: u64) {
        self.now += ms;
        set_time(self.now);
    }

    /// One call with its answer; `change` is applied to the call on its way.
    pub(super) fn exchange(
        &mut self,
        caller: usize,
        callee: usize,
        change: impl Fn(&mut News),
    ) -> News {
        let (caller, holder) = (&self.nodes[caller].clone(), &self.nodes[callee].clone());
        let mut call = exchange::call_for(caller, &addr_of(callee));
        change(&mut call);
        let call = self.send(&call);
        let answer = self.send(&exchange::answer(holder, call));
        caller
            .fleet
            .apply_gossip(caller, answer.clone(), Origin::Answer);
        answer
    }

    fn send(&mut self, gossip: &News) -> News {
        for (kind, bytes) in traffic::parts(gossip) {
            *self.sent.entry(kind.name()).or_default() += bytes;
        }
        News::decode(&*gossip.encode_to_vec()).expect("gossip that was just encoded")
    }

    /// Bytes sent since the last call, by kind of content.
    pub(super) fn take_sent(&mut self) -> Map<&'static str, usize> {
        std::mem::take(&mut self.sent)
    }

    /// What the daemon at `index` knows of the one at `about`.
    pub(super) fn known(&self, index: usize, about: usize) -> Option<Daemon> {
        let state = self.nodes[index].fleet.state();
        state.peers.get(&*addr_of(about))?.daemon.clone()
    }

    /// Versions of the rosters of the holders, as the daemon at `index` has them.
    pub(super) fn roster_versions(&self, index: usize) -> Vec<u64> {
        let state = self.nodes[index].fleet.state();
        let holders = (0..self.holders).map(|h| &state.peers[&*addr_of(h)]);
        holders.map(|p| p.roster.list().version).collect()
    }

    /// Whether the daemon at `index` counts the one at `about` as alive.
    pub(super) fn sees(&self, index: usize, about: usize) -> bool {
        let state = self.nodes[index].fleet.state();
        let addr = addr_of(about);
        state.alive_peers(self.now).any(|(a, _)| **a == *addr)
    }

    /// What the daemon at `index` says of itself.
    pub(super) fn own(&self, index: usize) -> Daemon {
        let gossip = self.nodes[index].fleet.own_gossip(&self.nodes[index], 0);
        gossip.from.expect("gossip names its sender")
    }
}

fn start(index: usize) -> Arc<Node> {
    node_at(&format!("n{index}"), &addr_of(index))
}
