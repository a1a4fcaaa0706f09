//! Sends records of begun streams to the daemons that keep them.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::StreamRecordBatch;
use comfreyhall_streams::StreamRecord;

use super::{MAX_RECORD_MS, OWNERS, wire};
use crate::{node::Node, traffic::Kind};

/// Delay that batches records into one call: short against the time after which a
/// caller resumes a stream.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Longest duration of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which expired records are dropped.
const EXPIRY_PERIOD: Duration = Duration::from_secs(2);

/// Starts the tasks that send and expire records.
pub(crate) fn spawn(node: &Arc<Node>) {
    tokio::spawn(send_records(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD).await;
            let left = node.streams.expire(node.now());
            node.metrics.stream_records(left);
        }
    });
}

async fn send_records(node: Arc<Node>) {
    loop {
        node.streams.queued.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let (records, dropped) = node.streams.take_queue();
        if dropped > 0 {
            log::warn!(target: "streams", dropped; "records of streams not sent: too many at once");
        }
        let now = node.now();
        let mut calls: Map<Name, Vec<(Name, StreamRecord)>> = Map::default();
        for record in records {
            for owner in node.fleet.first_peers(&record.0, OWNERS, now) {
                calls.entry(owner).or_default().push(record.clone());
            }
        }
        for (owner, records) in calls {
            let batch = wire::encode_records(&records, now);
            tokio::spawn(send_batch(node.clone(), owner, batch, records.len()));
        }
    }
}

async fn send_batch(node: Arc<Node>, owner: Name, batch: StreamRecordBatch, records: usize) {
    let Some(mut client) = node.fleet.client(&owner) else {
        return;
    };
    let batch = node.metrics.peer_sent(Kind::Versions, batch);
    let call = tokio::time::timeout(CALL_TIMEOUT, client.record_streams(batch)).await;
    let why = match call {
        Ok(Ok(_)) => {
            node.metrics.stream_records_sent("received", records);
            return;
        }
        Ok(Err(status)) => status.message().to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    node.metrics.stream_records_sent("failed", records);
    if let Some(left_out) = node.log_limits.stream_records.take(node.now()) {
        log::info!(target: "streams", peer:% = owner, records, why, left_out; "records of streams not received");
    }
}

/// Keeps records that another daemon has sent.
pub(crate) fn receive(node: &Node, batch: StreamRecordBatch) {
    let now = node.now();
    for (id, record) in wire::decode_records(batch, MAX_RECORD_MS, now) {
        node.streams.insert(&id, record, now);
    }
}
