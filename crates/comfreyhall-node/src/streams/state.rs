//! Streams that this daemon runs, and records of streams that have begun.

use std::sync::{Arc, Mutex, MutexGuard};

use comfreyhall_domain::{Map, Name};
use comfreyhall_streams::{StreamRecord, StreamRecords};
use tokio::sync::Notify;

/// Maximum number of records that wait to be sent.
const MAX_QUEUED: usize = 4_096;

#[derive(Debug, Default)]
struct Table {
    records: StreamRecords,
    /// Streams in progress that began here.
    running: Map<Name, StreamRecord>,
    /// Records to be sent to other daemons.
    queue: Vec<(Name, StreamRecord)>,
    /// Records that did not fit into the queue.
    dropped: u64,
}

impl Table {
    fn record(&mut self, id: &Name, record: StreamRecord, now: u64) {
        if self.records.find(id, now).is_some() {
            return;
        }
        match self.queue.len() < MAX_QUEUED {
            true => self.queue.push((id.clone(), record.clone())),
            false => self.dropped += 1,
        }
        self.records.insert(id, record, now);
    }
}

/// Streams by the id of the attempt that brought their first event.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    table: Mutex<Table>,
    /// Notifies the task that sends records.
    pub(super) queued: Notify,
}

impl Streams {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of this lock panics")
    }

    /// Notes that a stream began here; it counts as running until the guard drops.
    /// `mixed`: several versions of its service may have streams.
    pub(crate) fn begin(
        self: &Arc<Self>,
        id: &Name,
        record: StreamRecord,
        mixed: bool,
        now: u64,
    ) -> RunningStream {
        let mut table = self.table();
        if mixed {
            table.record(id, record.clone(), now);
        }
        table.running.insert(id.clone(), record);
        drop(table);
        if mixed {
            self.queued.notify_one();
        }
        RunningStream {
            streams: self.clone(),
            id: id.clone(),
        }
    }

    /// Records the running streams of `service`, because another version may serve
    /// now.
    pub(crate) fn record_running(&self, service: &str, now: u64) {
        let mut table = self.table();
        let running = table.running.iter().filter(|(_, r)| &*r.service == service);
        let running: Vec<(Name, StreamRecord)> =
            running.map(|(id, r)| (id.clone(), r.clone())).collect();
        for (id, record) in running {
            table.record(&id, record, now);
        }
        drop(table);
        self.queued.notify_one();
    }

    /// Adds a record from another daemon.
    pub(super) fn insert(&self, id: &Name, record: StreamRecord, now: u64) {
        self.table().records.insert(id, record, now);
    }

    /// The record of the stream that began as `id`, and its age in ms.
    pub(super) fn find(&self, id: &str, now: u64) -> Option<(StreamRecord, u64)> {
        let table = self.table();
        if let Some((record, age_ms)) = table.records.find(id, now) {
            return Some((record.clone(), age_ms));
        }
        table.running.get(id).map(|record| (record.clone(), 0))
    }

    /// Takes the records to be sent, and how many did not fit.
    pub(super) fn take_queue(&self) -> (Vec<(Name, StreamRecord)>, u64) {
        let mut table = self.table();
        let dropped = std::mem::take(&mut table.dropped);
        (std::mem::take(&mut table.queue), dropped)
    }

    /// Drops expired records; returns how many are left.
    pub(super) fn expire(&self, now: u64) -> usize {
        let mut table = self.table();
        table.records.expire(now);
        table.records.len()
    }
}

/// A stream in progress.
#[derive(Debug)]
pub(crate) struct RunningStream {
    streams: Arc<Streams>,
    id: Name,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.streams.table().running.remove(&self.id);
    }
}
