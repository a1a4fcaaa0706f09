//! What this daemon knows of the others.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, atomic::AtomicU64},
};

use comfreyhall_domain::{AdapterRef, Map, Name, Revision, Set};
use comfreyhall_protocol::{Cession, Daemon, Placed, fleet_client::FleetClient, link};
use comfreyhall_quarantine::SyncPosition;
use comfreyhall_routing::selection;
use comfreyhall_settings::NodeSettings;
use rand::{Rng, seq::IteratorRandom};
use tokio::sync::{Notify, mpsc};
use tonic::transport::Channel;

use super::{
    hub::Summary,
    kept_fetch::KeptFetch,
    pace_log::PaceLog,
    periods::report_period_ms,
    roster::KnownRoster,
    runs::Runs,
    sender::SettingsSender,
    totals::KnownNumbers,
    updates::{RunUpdate, UPDATE_QUEUE_LEN},
};
use crate::{adapter_key::adapter_key, clock};

/// Missing reports after which a peer's address is no longer given to callers,
/// so that a few lost calls do not exclude it.
const ALIVE_PERIODS: u64 = 4;

/// Placements kept for peers that have not received them yet.
const MAX_PLACEMENTS: usize = 512;

/// Time after which a peer that nobody has seen is dropped, in ms.
pub(super) const FORGET_MS: u64 = 60_000;

pub(super) struct Peer {
    pub(super) client: FleetClient<Channel>,
    /// Used for requests that are passed on, once there was one.
    pub(super) answer_client: Option<FleetClient<Channel>>,
    pub(super) seed: bool,
    pub(super) daemon: Option<Daemon>,
    /// When its address became known.
    pub(super) added_at_ms: u64,
    pub(super) gossip_at_ms: u64,
    /// When a lease holder last reported it as alive.
    pub(super) reported_at_ms: u64,
    pub(super) called_at_ms: u64,
    pub(super) calling: bool,
    /// Reported to hold a lease, and not called yet.
    pub(super) holder_hint: bool,
    /// The live daemons as it last reported them.
    pub(super) roster: KnownRoster,
    /// Its numbers of targets.
    pub(super) numbers: KnownNumbers,
    /// Adapters in use by others at targets of its groups, if it reported them.
    pub(super) reported_use: Map<Name, u32>,
    pub(super) holdings: Vec<(Name, u64)>,
    /// Its runs at engines, as it reported them or as they were bound here.
    pub(super) runs: Runs,
    /// Receives no placement requests before this, because it did not answer in
    /// time.
    pub(super) suspended_until_ms: u64,
    /// Newest settings row it has.
    pub(super) settings_version: Revision,
    /// Version up to which it lacks no relevant change of targets.
    pub(super) targets_complete: Revision,
    /// Whether it cannot read the settings from the store itself.
    pub(super) cut_off: bool,
    /// Daemons that may serve requests, by its own count; 0 if it does not
    /// know.
    pub(super) members: usize,
    pub(super) demands: Map<Name, u32>,
    /// How many messages reported to it the slots used in each group that it holds.
    pub(super) use_sent: Map<Name, u8>,
    /// How many messages sent it all software versions.
    pub(super) versions_sent: u8,
    /// First placement not sent to it yet.
    pub(super) unsent_from: u64,
    /// Load histories sent to it, in order of their targets.
    pub(super) histories_sent: usize,
    /// Serial of the last pace of an engine that it was sent.
    pub(super) paces_sent: u64,
    /// Serial of the last finding it has received from this daemon.
    pub(super) findings_acked: u64,
    /// Its findings that this daemon has received.
    pub(super) findings_received: SyncPosition,
    /// Its clock in its last gossip message.
    pub(super) clock_ms: u64,
}

/// How long a load took, and how many others its target had loaded since it
/// last loaded the adapter.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadTiming {
    pub(crate) load_ms: u64,
    pub(crate) age: Option<usize>,
}

#[derive(Default)]
pub(super) struct State {
    /// Keyed by peer address.
    pub(super) peers: Map<Name, Peer>,
    /// Peers that were dropped because nobody saw them, each with the number of listings in a
    /// row that lacked it: it may serve all the same.
    pub(super) dropped: Map<Name, u32>,
    /// Requests that wait for an adapter at a target managed here.
    pub(super) pins: Map<(Name, AdapterRef), u32>,
    /// Runs of this daemon at engines.
    pub(super) runs: Runs,
    pub(super) placements: VecDeque<(u64, Placed)>,
    pub(super) next_placement: u64,
    /// Groups that this daemon handed over, and until when peers are notified.
    pub(super) handovers: Vec<(u64, Cession)>,
    /// Fetches of what the store has lost.
    pub(super) kept_fetch: KeptFetch,
    /// Cached part of the answers to daemons that report here.
    pub(super) summary: Summary,
    /// What this holder reports of the paces of its engines.
    pub(super) paces: PaceLog,
    /// Whether this process has read the list of members from the store.
    pub(super) members_listed: bool,
    /// When a random peer was last called, in a large fleet.
    pub(super) random_call_ms: u64,
}

/// The fleet as this daemon knows it.
pub(crate) struct Fleet {
    pub(super) me: Daemon,
    pub(super) state: Mutex<State>,
    /// Number of the next run.
    pub(super) next_run: AtomicU64,
    /// Transfers of settings to other daemons.
    pub(super) settings_sender: SettingsSender,
    /// Notifies the task that fetches settings.
    pub(super) fetch_wanted: Notify,
    /// Queue of run updates to be reported to lease holders.
    pub(super) updates_tx: mpsc::Sender<RunUpdate>,
    pub(super) updates_rx: Mutex<Option<mpsc::Receiver<RunUpdate>>>,
}

impl Fleet {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let me = Daemon {
            id: settings.id.to_string(),
            boot: rand::rng().random(),
            peer: settings.listen.peers.to_string(),
            front: settings.listen.front.to_string(),
            domain: settings.domain.to_string(),
            ready: false,
            isolated: false,
            lost_percent: 0,
            lost_groups: Vec::new(),
            millicores: (settings.cores * 1_000.0) as u32,
        };
        let state = Mutex::new(State {
            summary: Summary::new(me.boot),
            ..State::default()
        });
        let (updates_tx, updates_rx) = mpsc::channel(UPDATE_QUEUE_LEN);
        let fleet = Self {
            me,
            state,
            // After a restart the numbers must not overlap with earlier ones:
            // holders still know some of those runs.
            next_run: AtomicU64::new(rand::rng().random::<u64>() >> 1),
            settings_sender: SettingsSender::default(),
            fetch_wanted: Notify::new(),
            updates_tx,
            updates_rx: Mutex::new(Some(updates_rx)),
        };
        for seed in &settings.seeds {
            fleet.add_peer(&seed.to_string(), true);
        }
        fleet
    }

    /// Longest time without gossip from a live peer, in ms, in a fleet of `peers`.
    pub(super) fn alive_ms(peers: usize) -> u64 {
        ALIVE_PERIODS * report_period_ms(peers)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds a peer to call.
    pub(crate) fn add_peer(&self, addr: &str, seed: bool) {
        if addr == self.me.peer || addr.parse::<std::net::SocketAddr>().is_err() {
            return;
        }
        let mut state = self.state();
        let unsent_from = state.next_placement;
        state.dropped.remove(addr);
        state.peers.entry(addr.into()).or_insert_with(|| Peer {
            client: FleetClient::new(link::channel(addr)),
            answer_client: None,
            seed,
            daemon: None,
            added_at_ms: clock::now(),
            gossip_at_ms: 0,
            reported_at_ms: 0,
            called_at_ms: 0,
            calling: false,
            holder_hint: false,
            roster: KnownRoster::default(),
            numbers: KnownNumbers::default(),
            reported_use: Map::default(),
            holdings: Vec::new(),
            runs: Runs::default(),
            suspended_until_ms: 0,
            settings_version: Revision::ZERO,
            targets_complete: Revision::ZERO,
            cut_off: false,
            members: 0,
            demands: Map::default(),
            use_sent: Map::default(),
            versions_sent: 0,
            unsent_from,
            histories_sent: 0,
            paces_sent: 0,
            findings_acked: 0,
            findings_received: SyncPosition::default(),
            clock_ms: 0,
        });
    }

    /// Whether the peer at `addr` has not been seen by anybody for so long that
    /// it counts as lost.
    pub(crate) fn is_lost(&self, addr: &str, now: u64) -> bool {
        let state = self.state();
        state.peers.get(addr).is_some_and(|p| {
            let last = p.gossip_at_ms.max(p.reported_at_ms).max(p.added_at_ms);
            now.saturating_sub(last) >= FORGET_MS / 2
        })
    }

    /// Whether this daemon's address is the lowest of those alive.
    pub(crate) fn has_lowest_addr(&self, now: u64) -> bool {
        let state = self.state();
        state
            .alive_peers(now)
            .all(|(addr, _)| *self.me.peer < **addr)
    }

    /// Daemons alive now, including this one.
    pub(crate) fn size(&self, now: u64) -> usize {
        let state = self.state();
        1 + state.alive_peers(now).count()
    }

    /// Number of live daemons ranked before this one for `key`. Each key has
    /// its own order, which is the same on all daemons that know each other.
    pub(crate) fn rank(&self, key: &str, now: u64) -> usize {
        let own = selection::rendezvous_rank(key, &self.me.peer);
        let state = self.state();
        let before = |addr: &Name| selection::rendezvous_rank(key, addr) < own;
        state
            .alive_peers(now)
            .filter(|(addr, _)| before(addr))
            .count()
    }

    /// The first `count` live peers in the order for `key`.
    pub(crate) fn first_peers(&self, key: &str, count: usize, now: u64) -> Vec<Name> {
        let state = self.state();
        let ranked = state.alive_peers(now);
        let mut ranked: Vec<(u64, &Name)> = ranked
            .map(|(addr, _)| (selection::rendezvous_rank(key, addr), addr))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, addr)| addr.clone()).collect()
    }

    /// Notifies the task that fetches settings.
    pub(crate) fn wake_fetch(&self) {
        self.fetch_wanted.notify_one();
    }

    /// Longest time without gossip from a live daemon, in ms.
    pub(super) fn liveness_ms(&self) -> u64 {
        Self::alive_ms(self.state().peers.len())
    }

    /// Records a served request for `adapter`, to be reported to lease holders.
    pub(crate) fn record_demand(&self, key: &Name) {
        for peer in self.state().peers.values_mut() {
            if !peer.holdings.is_empty() {
                *peer.demands.entry(key.clone()).or_default() += 1;
            }
        }
    }

    /// Records that an adapter was loaded on a target by a command of this
    /// daemon, or unloaded from it (`None`).
    pub(crate) fn record_placement(
        &self,
        target: &Name,
        adapter: &AdapterRef,
        version: Option<u64>,
        timing: LoadTiming,
    ) {
        let mut state = self.state();
        let serial = state.next_placement;
        state.next_placement += 1;
        let placed = Placed {
            target: target.to_string(),
            adapter: adapter_key(adapter).to_string(),
            version: version.unwrap_or(0),
            dropped: version.is_none(),
            load_ms: timing.load_ms,
            load_age: timing.age.map_or(0, |a| a as u32 + 1),
        };
        state.placements.push_back((serial, placed));
        if state.placements.len() > MAX_PLACEMENTS {
            state.placements.pop_front();
        }
    }

    /// Id of this process.
    pub(crate) fn boot(&self) -> u64 {
        self.me.boot
    }

    /// Id of the process that answers at `peer`, as it reported.
    pub(crate) fn boot_of(&self, peer: &str) -> Option<u64> {
        let state = self.state();
        Some(state.peers.get(peer)?.daemon.as_ref()?.boot)
    }

    /// Address at which this daemon answers its peers.
    pub(crate) fn peer_addr(&self) -> &str {
        &self.me.peer
    }

    pub(crate) fn client(&self, peer: &str) -> Option<FleetClient<Channel>> {
        self.state().peers.get(peer).map(|p| p.client.clone())
    }

    /// A client for calls whose answers take as long as callers wait.
    pub(crate) fn answer_client(&self, addr: &str) -> Option<FleetClient<Channel>> {
        let mut state = self.state();
        let peer = state.peers.get_mut(addr)?;
        let open = || FleetClient::new(link::answer_channel(addr));
        Some(peer.answer_client.get_or_insert_with(open).clone())
    }

    /// Clients of up to `most` peers seen recently, drawn at random.
    pub(crate) fn some_clients(&self, most: usize, now: u64) -> Vec<FleetClient<Channel>> {
        let state = self.state();
        let alive = state.alive_peers(now).map(|(_, p)| p.client.clone());
        alive.choose_multiple(&mut rand::rng(), most)
    }
}

impl State {
    /// Peers seen recently, by this daemon or by a lease holder.
    pub(super) fn alive_peers(&self, now: u64) -> impl Iterator<Item = (&Name, &Peer)> {
        let limit = Fleet::alive_ms(self.peers.len());
        self.peers
            .iter()
            .filter(move |(_, p)| p.is_seen(now, limit))
    }

    /// Each adapter in use at a target by any daemon, once.
    pub(super) fn pinned(&self, now: u64) -> Set<(&Name, &AdapterRef)> {
        self.uses(now).collect()
    }

    /// Adapters in use at targets; the same one may be listed several times.
    pub(super) fn uses(&self, now: u64) -> impl Iterator<Item = (&Name, &AdapterRef)> {
        let theirs = self.recent_peers(now).flat_map(|(_, p)| p.runs.uses());
        let waiting = self.pins.keys().map(|(target, adapter)| (target, adapter));
        waiting.chain(self.runs.uses()).chain(theirs)
    }

    /// Peers that this daemon received gossip from recently.
    pub(super) fn recent_peers(&self, now: u64) -> impl Iterator<Item = (&Name, &Peer)> {
        let limit = Fleet::alive_ms(self.peers.len());
        self.peers.iter().filter(move |(_, p)| p.alive(now, limit))
    }
}

impl Peer {
    pub(super) fn alive(&self, now: u64, limit: u64) -> bool {
        is_recent(self.gossip_at_ms, now, limit)
    }

    /// Whether it was seen recently, by this daemon or by a lease holder.
    pub(super) fn is_seen(&self, now: u64, limit: u64) -> bool {
        self.alive(now, limit) || is_recent(self.reported_at_ms, now, limit)
    }
}

/// Whether `at` is set and at most `limit` ms ago.
fn is_recent(at: u64, now: u64, limit: u64) -> bool {
    at > 0 && now.saturating_sub(at) <= limit
}
