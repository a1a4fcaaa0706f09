//! The table service stand-in: rows with versions and conditional commits.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, Mutex},
};

use comfreyhall_protocol::{
    CommitReply, CommitRequest, FaultOrder, FaultReply, GetReply, GetRequest, Revision, Row,
    STORE_ERA_HEADER, ScanReply, ScanRequest, table_server::Table,
};
use tonic::{Request, Response, Status};

use crate::Faults;

#[derive(Default, Clone)]
struct Rows {
    rows: BTreeMap<String, (Vec<u8>, u64)>,
    /// Last version assigned. Versions increase across all keys and are never reused, not
    /// even after the table has come back from a copy: they carry its era.
    last_version: u64,
}

/// What a table held at one moment.
#[derive(Clone)]
pub struct TableCopy(Rows);

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

impl TableStandin {
    /// What the table holds now.
    pub fn copy(&self) -> TableCopy {
        TableCopy(self.rows.lock().unwrap().clone())
    }

    /// Comes back from `copy`, in the next era: what was written since is lost.
    pub fn restore(&self, copy: &TableCopy) {
        let mut rows = self.rows.lock().unwrap();
        let era = Revision::from_wire(rows.last_version).era() + 1;
        let number = Revision::from_wire(copy.0.last_version).number();
        *rows = copy.0.clone();
        rows.last_version = Revision::new(era, number).to_wire();
    }

    /// How often the table has come back from a copy.
    pub fn era(&self) -> u32 {
        Revision::from_wire(self.rows.lock().unwrap().last_version).era()
    }

    /// An answer that carries the era.
    fn answer<T>(&self, reply: T) -> Result<Response<T>, Status> {
        let mut response = Response::new(reply);
        let era = u64::from(self.era()) + 1;
        response.metadata_mut().insert(STORE_ERA_HEADER, era.into());
        Ok(response)
    }

    /// Reads one row, bypassing the fault switches.
    pub fn read(&self, key: &str) -> Option<Row> {
        let rows = self.rows.lock().unwrap();
        rows.rows.get(key).map(|(v, ver)| row(key, v, *ver))
    }

    /// Lists up to `limit` rows (0 for all) whose keys start with `prefix` and sort after `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: u32) -> Vec<Row> {
        let limit = if limit == 0 {
            usize::MAX
        } else {
            limit as usize
        };
        let start = if after > prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let rows = self.rows.lock().unwrap();
        rows.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(k, _)| k.starts_with(prefix))
            .take(limit)
            .map(|(k, (v, ver))| row(k, v, *ver))
            .collect()
    }

    /// Commits all or nothing, bypassing the fault switches.
    pub fn write(&self, req: CommitRequest) -> CommitReply {
        let mut rows = self.rows.lock().unwrap();
        for check in req.checks {
            let current = rows.rows.get(&check.key).map_or(0, |(_, v)| *v);
            if current != check.version {
                return CommitReply {
                    applied: false,
                    conflict: check.key,
                    versions: Vec::new(),
                };
            }
        }
        rows.last_version += 1;
        let version = rows.last_version;
        let mut versions = Vec::with_capacity(req.puts.len());
        for put in req.puts {
            if put.delete {
                rows.rows.remove(&put.key);
            } else {
                rows.rows.insert(put.key, (put.value, version));
            }
            versions.push(version);
        }
        CommitReply {
            applied: true,
            conflict: String::new(),
            versions,
        }
    }
}

#[tonic::async_trait]
impl Table for TableStandin {
    async fn get(&self, req: Request<GetRequest>) -> Result<Response<GetReply>, Status> {
        self.faults.delay_or_fail().await?;
        let found = self.read(&req.get_ref().key);
        self.answer(GetReply {
            found: found.is_some(),
            row: found,
        })
    }

    async fn scan(&self, req: Request<ScanRequest>) -> Result<Response<ScanReply>, Status> {
        self.faults.delay_or_fail().await?;
        let req = req.into_inner();
        let rows = self.list(&req.prefix, &req.after, req.limit);
        self.answer(ScanReply { rows })
    }

    async fn commit(&self, req: Request<CommitRequest>) -> Result<Response<CommitReply>, Status> {
        self.faults.delay_or_fail().await?;
        let reply = self.write(req.into_inner());
        // The write has taken effect; only its reply is lost.
        if reply.applied && self.faults.loses_reply() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        self.answer(reply)
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
