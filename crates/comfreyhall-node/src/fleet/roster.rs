//! The live daemons of a large fleet: a holder's list, and the copy of it that a caller
//! keeps.
//!
//! Each row has the version of the list at which it last changed, so a caller gets the
//! rows that changed since the version that it has, each once however often it changed.
//! The full list goes to a caller that has none, that has one of another process of the
//! holder, that lacks removals which are no longer kept, or that takes every list for a
//! full one.

use std::collections::VecDeque;

use comfreyhall_domain::{Map, Set};
use comfreyhall_protocol::Daemon;

/// Removed daemons that are kept; a caller that lacks an earlier removal gets the full
/// list.
const MAX_REMOVED: usize = 64;

/// A list of daemons that somebody has: the process of the holder that made it, and its
/// version. Version 0 stands for none, and boot 0 for a caller that takes no changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ListVersion {
    pub(super) boot: u64,
    pub(super) version: u64,
}

/// What a caller lacks.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Changes {
    /// Version of the list that `rows` and `removed` change; 0 if `rows` are the full
    /// list.
    pub(super) since: u64,
    pub(super) rows: Vec<Daemon>,
    /// Peer addresses of the daemons that are no longer alive.
    pub(super) removed: Vec<String>,
}

#[derive(Debug)]
struct Row {
    /// Version at which it last changed.
    changed: u64,
    daemon: Daemon,
}

/// The list of a holder.
#[derive(Debug, Default)]
pub(super) struct Roster {
    boot: u64,
    version: u64,
    /// Keyed by peer address.
    rows: Map<String, Row>,
    /// Removed daemons that have not come back, the oldest first.
    removed: VecDeque<(u64, String)>,
    /// Version since which no removal was dropped.
    complete_since: u64,
}

impl Roster {
    /// The empty list of the holder's process `boot`.
    ///
    /// Versions of different processes differ, as callers of an older build compare only
    /// them.
    pub(super) fn new(boot: u64) -> Self {
        Self {
            boot,
            // Leaves room for as many changes, and is not 0.
            version: boot / 2 + 1,
            ..Self::default()
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the list by the daemons that are alive now.
    pub(super) fn update<'a>(&mut self, alive: impl Iterator<Item = &'a Daemon>) {
        let next = self.version + 1;
        let mut changed = false;
        let mut seen: Set<&str> = Set::default();
        for daemon in alive {
            seen.insert(&daemon.peer);
            match self.rows.get_mut(&daemon.peer) {
                Some(row) if row.daemon == *daemon => continue,
                Some(row) => {
                    row.changed = next;
                    row.daemon.clone_from(daemon);
                }
                None => {
                    self.removed.retain(|(_, addr)| *addr != daemon.peer);
                    let row = Row {
                        changed: next,
                        daemon: daemon.clone(),
                    };
                    self.rows.insert(daemon.peer.clone(), row);
                }
            }
            changed = true;
        }
        let gone = self.rows.extract_if(|addr, _| !seen.contains(&**addr));
        for (addr, _) in gone {
            self.removed.push_back((next, addr));
            changed = true;
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((version, _)) = self.removed.pop_front() {
                self.complete_since = version;
            }
        }
        if changed {
            self.version = next;
        }
    }

    /// What a caller lacks that has `known`; `None` if it lacks nothing.
    pub(super) fn changes_since(&self, known: ListVersion) -> Option<Changes> {
        let ListVersion { boot, version } = known;
        if version == self.version && (boot == self.boot || boot == 0) {
            return None;
        }
        let follows = boot == self.boot && (self.complete_since..self.version).contains(&version);
        if !follows || version == 0 {
            let rows = self.rows.values().map(|row| row.daemon.clone());
            return Some(Changes {
                rows: rows.collect(),
                ..Changes::default()
            });
        }
        let rows = self.rows.values().filter(|row| row.changed > version);
        let removed = self.removed.iter().filter(|(at, _)| *at > version);
        Some(Changes {
            since: version,
            rows: rows.map(|row| row.daemon.clone()).collect(),
            removed: removed.map(|(_, addr)| addr.clone()).collect(),
        })
    }
}

/// A holder's list as a caller has it.
#[derive(Debug, Default)]
pub(super) struct KnownRoster {
    list: ListVersion,
    /// Keyed by peer address.
    members: Map<String, Daemon>,
}

impl KnownRoster {
    /// Which list it is.
    pub(super) fn list(&self) -> ListVersion {
        self.list
    }

    /// Daemons in the list.
    pub(super) fn members(&self) -> impl Iterator<Item = &Daemon> {
        self.members.values()
    }

    /// Applies `changes` that lead to `list`; returns whether the list is as recent as
    /// that.
    ///
    /// Answers of calls that were made together may arrive in any order.
    pub(super) fn apply(&mut self, list: ListVersion, changes: Changes) -> bool {
        if changes.since == 0 {
            if list != self.list && !changes.rows.is_empty() {
                self.list = list;
                self.members.clear();
                self.add(changes.rows);
            }
            return list == self.list;
        }
        if list.boot != self.list.boot || changes.since > self.list.version {
            // Rows before these are missing; the next call names the list that is known.
            return false;
        }
        if list.version > self.list.version {
            self.list = list;
            for addr in &changes.removed {
                self.members.remove(addr);
            }
            self.add(changes.rows);
        }
        true
    }

    fn add(&mut self, rows: Vec<Daemon>) {
        let rows = rows.into_iter().map(|row| (row.peer.clone(), row));
        self.members.extend(rows);
    }
}

#[cfg(test)]
mod tests;
