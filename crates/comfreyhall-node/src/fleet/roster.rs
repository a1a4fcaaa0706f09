//! Live daemons and totals, as a lease holder reports them in a large fleet.

use std::hash::{Hash, Hasher};

use comfreyhall_domain::Name;
use comfreyhall_protocol::{Daemon, TargetTotal};
use rustc_hash::FxHasher;

/// Live daemons, as reported by a holder.
#[derive(Debug, Default)]
pub(super) struct Roster {
    pub(super) version: u64,
    pub(super) members: Vec<Daemon>,
}

impl Roster {
    /// Version of the roster; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn from_members(members: Vec<Daemon>) -> Self {
        let mut hash = FxHasher::default();
        for member in &members {
            (&member.peer, member.boot, member.ready, member.isolated).hash(&mut hash);
            (member.lost_percent, &member.lost_groups).hash(&mut hash);
        }
        // 0 stands for no roster.
        let version = hash.finish().max(1);
        Self { version, members }
    }
}

/// The part of a holder's answers that is the same for all daemons, before each
/// daemon's own work is subtracted.
#[derive(Debug, Default)]
pub(super) struct Summary {
    /// When it was made; 0 for never.
    pub(super) made_at_ms: u64,
    pub(super) roster: Roster,
    /// Work of all daemons at the targets of the held groups.
    pub(super) totals: Vec<(Name, TargetTotal)>,
}
