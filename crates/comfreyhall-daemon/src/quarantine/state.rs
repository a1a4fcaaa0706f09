//! What this daemon knows of requests that crash targets.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

use comfreyhall_protocol::Map;
use comfreyhall_quarantine::{Fingerprint, Quarantine, SyncPosition};
use rand::Rng;

/// This daemon's quarantine and its exchange with other daemons.
pub(crate) struct SharedQuarantine {
    pub(super) boot: u64,
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) quarantine: Quarantine,
    /// Exchange progress with each peer.
    pub(super) peer_syncs: Map<Arc<str>, PeerSync>,
    pub(super) trials: Map<Fingerprint, Instant>,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        Self {
            boot: rand::rng().random(),
            state: Mutex::default(),
        }
    }
}

impl SharedQuarantine {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// Progress of the exchange of evidence with one peer.
#[derive(Default, Clone, Copy)]
pub(super) struct PeerSync {
    /// Position in the peer's evidence up to which it was received here.
    pub(super) received: SyncPosition,
    /// Serial of the last evidence of ours that the peer has acknowledged.
    pub(super) acknowledged_serial: u64,
}
