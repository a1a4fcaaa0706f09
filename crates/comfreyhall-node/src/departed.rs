//! Boots of targets that have ended.
//!
//! A store that comes back from a copy lists targets again that had left before. Such an
//! entry counts only once its target has written it again: a live target does so within
//! about a second, and the entry of one that has ended disappears.

use std::collections::VecDeque;

use comfreyhall_domain::{Map, Name, Revision, Target};

/// Boots kept; the oldest is dropped first.
const MAX_BOOTS: usize = 4_096;

/// A boot whose entry was removed.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Era in which it was removed.
    era: u32,
    /// Version of its first entry in a later era.
    listed: Option<Revision>,
}

/// The boots whose entries were removed.
#[derive(Debug, Default)]
pub(crate) struct DepartedBoots {
    boots: Map<Name, Departure>,
    order: VecDeque<Name>,
}

impl DepartedBoots {
    /// Records that the entry of `target` was removed in `era`.
    pub(crate) fn record(&mut self, target: &Target, era: u32) {
        let departure = Departure { era, listed: None };
        if self.boots.insert(target.id.clone(), departure).is_none() {
            self.order.push_back(target.id.clone());
        }
        while self.order.len() > MAX_BOOTS {
            if let Some(oldest) = self.order.pop_front() {
                self.boots.remove(&oldest);
            }
        }
    }

    /// Whether `entry` is of a boot that had ended before the store came back from a
    /// copy, and has not been written again since.
    pub(crate) fn has_ended(&mut self, entry: &Target) -> bool {
        let Some(departure) = self.boots.get_mut(&entry.id) else {
            return false;
        };
        let version = entry.row_version;
        if version.era() <= departure.era {
            return false;
        }
        let first = *departure.listed.get_or_insert(version);
        first.era() == version.era() && version <= first
    }
}
