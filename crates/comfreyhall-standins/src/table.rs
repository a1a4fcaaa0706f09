//! The table service stand-in: rows with versions and conditional commits.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use comfreyhall_protocol::{
    CommitReply, CommitRequest, FaultOrder, FaultReply, GetReply, GetRequest, Row, ScanReply,
    ScanRequest, table_server::Table,
};
use tonic::{Request, Response, Status};

use crate::Faults;

#[derive(Default)]
struct Rows {
    rows: BTreeMap<String, (Vec<u8>, u64)>,
    /// Last version handed out; versions grow across all keys, never reused.
    clock: u64,
}

/// An in-memory table service with conditional, all-or-nothing commits.
#[derive(Clone, Default)]
pub struct TableStandin {
    rows: Arc<Mutex<Rows>>,
    faults: Faults,
}

fn row(key: &str, value: &[u8], version: u64) -> Row {
    Row {
        key: key.to_string(),
        value: value.to_vec(),
        version,
    }
}

#[tonic::async_trait]
impl Table for TableStandin {
    async fn get(&self, req: Request<GetRequest>) -> Result<Response<GetReply>, Status> {
        self.faults.gate().await?;
        let key = req.into_inner().key;
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.get(&key).map(|(v, ver)| row(&key, v, *ver));
        Ok(Response::new(GetReply {
            found: found.is_some(),
            row: found,
        }))
    }

    async fn scan(&self, req: Request<ScanRequest>) -> Result<Response<ScanReply>, Status> {
        self.faults.gate().await?;
        let req = req.into_inner();
        let limit = if req.limit == 0 {
            usize::MAX
        } else {
            req.limit as usize
        };
        let rows = self.rows.lock().unwrap();
        let found = rows
            .rows
            .range(req.prefix.clone()..)
            .take_while(|(k, _)| k.starts_with(&req.prefix))
            .take(limit)
            .map(|(k, (v, ver))| row(k, v, *ver))
            .collect();
        Ok(Response::new(ScanReply { rows: found }))
    }

    async fn commit(&self, req: Request<CommitRequest>) -> Result<Response<CommitReply>, Status> {
        self.faults.gate().await?;
        let req = req.into_inner();
        let mut rows = self.rows.lock().unwrap();
        for check in &req.checks {
            let current = rows.rows.get(&check.key).map_or(0, |(_, v)| *v);
            if current != check.version {
                return Ok(Response::new(CommitReply {
                    applied: false,
                    conflict: check.key.clone(),
                    versions: Vec::new(),
                }));
            }
        }
        rows.clock += 1;
        let version = rows.clock;
        let mut versions = Vec::with_capacity(req.puts.len());
        for put in req.puts {
            if put.delete {
                rows.rows.remove(&put.key);
            } else {
                rows.rows.insert(put.key, (put.value, version));
            }
            versions.push(version);
        }
        drop(rows);
        // The write took effect; with the fault set, the caller never hears.
        if self.faults.loses_answer() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        Ok(Response::new(CommitReply {
            applied: true,
            conflict: String::new(),
            versions,
        }))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
