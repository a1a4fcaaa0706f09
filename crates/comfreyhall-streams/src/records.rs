//! Records of which version began which stream.

use std::collections::BTreeSet;

use comfreyhall_domain::{Map, Name};

/// Maximum number of records; the ones that expire first make room.
const MAX_RECORDS: usize = 50_000;

/// The version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The service that the stream belongs to.
    pub service: Name,
    /// Version that sent its first event.
    pub software: Name,
    /// When the stream can no longer be resumed.
    pub expires_ms: u64,
}

#[derive(Debug)]
struct Entry {
    record: StreamRecord,
    recorded_ms: u64,
    /// Whether two versions were recorded, so that neither counts.
    conflicting: bool,
}

/// Streams by the id of the attempt that brought their first event.
#[derive(Debug, Default)]
pub struct StreamRecords {
    entries: Map<Name, Entry>,
    /// Ids in the order in which they expire.
    by_expiry: BTreeSet<(u64, Name)>,
}

impl StreamRecords {
    /// Records a stream. The same record may arrive several times.
    pub fn insert(&mut self, id: &Name, record: StreamRecord, now: u64) {
        self.expire(now);
        if record.expires_ms <= now {
            return;
        }
        if let Some(known) = self.entries.get_mut(id) {
            let same =
                known.record.service == record.service && known.record.software == record.software;
            known.conflicting |= !same;
            return;
        }
        while self.entries.len() >= MAX_RECORDS {
            let Some((_, first)) = self.by_expiry.pop_first() else {
                break;
            };
            self.entries.remove(&first);
        }
        self.by_expiry.insert((record.expires_ms, id.clone()));
        let entry = Entry {
            record,
            recorded_ms: now,
            conflicting: false,
        };
        self.entries.insert(id.clone(), entry);
    }

    /// The record of the stream that began as `id`, and its age in ms.
    pub fn find(&self, id: &str, now: u64) -> Option<(&StreamRecord, u64)> {
        let entry = self.entries.get(id)?;
        let valid = !entry.conflicting && entry.record.expires_ms > now;
        valid.then(|| (&entry.record, now.saturating_sub(entry.recorded_ms)))
    }

    /// Drops records of streams that can no longer be resumed.
    pub fn expire(&mut self, now: u64) {
        while let Some((at, _)) = self.by_expiry.first()
            && *at <= now
            && let Some((_, id)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&id);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
