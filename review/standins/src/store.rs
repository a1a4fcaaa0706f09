//! The platform's store: rows with versions of one counter, range reads, a feed and atomic
//! transactions. Servers register through `/-/stand-in/beat`; an entry lapses after three
//! heartbeats of silence.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http;

/// Interval at which servers write their entries, as in the site files.
pub const BEAT: Duration = Duration::from_millis(1_200);

#[derive(Default)]
struct Rows {
    /// By table and key: the value, or `None` once dropped, and the version.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
    beats: BTreeMap<String, Instant>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    /// Starts a store on a free port of loopback.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let served = store.clone();
        http::serve(listener, move |request, out| served.handle(request, out));
        let lapsing = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                lapsing.lapse();
            }
        });
        (store, addr)
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.set(table, key, Some(STANDARD.encode(value.to_string())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (value, version));
        drop(rows);
        self.changed.notify_all();
    }

    fn lapse(&self) {
        let mut rows = self.rows.lock().unwrap();
        let silent = rows.beats.iter().filter(|(_, at)| at.elapsed() > 3 * BEAT);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            rows.beats.remove(id);
        }
        drop(rows);
        for id in silent {
            self.remove("servers", &id);
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    fn list(&self, rows: &Rows, keep: impl Fn(&str, &str, &Option<String>, u64) -> bool) -> Value {
        let found = rows.rows.iter().filter(|((t, k), (v, n))| keep(t, k, v, *n));
        let found: Vec<Value> = found
            .map(|((table, key), (value, version))| match value {
                Some(value) => json!({"table": table, "part": "", "key": key, "value": value,
                    "record-version": version}),
                None => json!({"table": table, "part": "", "key": key,
                    "record-version": version, "tombstone": true}),
            })
            .collect();
        json!({"rows": found, "has-more": false, "record-version": rows.version,
            "now-ms": self.now_ms()})
    }

    fn handle(&self, request: &http::Request, out: &mut std::net::TcpStream) -> bool {
        let json = [("Content-Type", "application/json")];
        let path = request.path.split('?').next().unwrap_or("");
        let query = |name: &str| request.query(name).unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/-/rows-get") => {
                let (table, from, to) = (query("table"), query("from"), request.query("to"));
                let rows = self.rows.lock().unwrap();
                let found = self.list(&rows, |t, k, v, _| {
                    let below = to.as_ref().is_none_or(|to| k < to.as_str());
                    t == table && v.is_some() && k >= from.as_str() && below
                });
                drop(rows);
                http::answer(out, 200, &json, found.to_string().as_bytes())
            }
            ("GET", "/-/rows-feed") => {
                let table = query("table");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait: u64 = query("wait-ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut rows = self.rows.lock().unwrap();
                let found = loop {
                    let found = self.list(&rows, |t, _, _, n| t == table && n > after);
                    let left = end.saturating_duration_since(Instant::now());
                    let is_empty = found["rows"].as_array().unwrap().is_empty();
                    if !is_empty || left.is_zero() {
                        break found;
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                };
                drop(rows);
                http::answer(out, 200, &json, found.to_string().as_bytes())
            }
            ("POST", "/-/rows-tx") => {
                let (status, body) = self.commit(&request.body);
                http::answer(out, status, &json, body.to_string().as_bytes())
            }
            ("POST", "/-/stand-in/beat") => {
                let id = query("id");
                let mut rows = self.rows.lock().unwrap();
                rows.beats.insert(id.clone(), Instant::now());
                drop(rows);
                if let Ok(entry) = serde_json::from_slice(&request.body) {
                    self.put("servers", &id, &entry);
                }
                http::answer(out, 200, &json, b"{}")
            }
            _ => http::answer(out, 404, &json, b"{}"),
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, Value) {
        let Ok(tx) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let list = |name: &str| tx[name].as_array().cloned().unwrap_or_default();
        let id = |row: &Value| {
            let text = |f: &str| row[f].as_str().unwrap_or("").to_string();
            (text("table"), text("key"))
        };
        let touched = list("writes").into_iter().chain(list("remove"));
        if touched.map(|r| id(&r).0).any(|t| t == "op" || t == "servers") {
            return (403, json!({}));
        }
        let mut rows = self.rows.lock().unwrap();
        for row in list("expected") {
            let known = rows.rows.get(&id(&row)).filter(|r| r.0.is_some());
            if known.map_or(0, |r| r.1) != row["record-version"].as_u64().unwrap_or(0) {
                let wanted: Vec<_> = list("expected").iter().map(id).collect();
                let current = self.list(&rows, |t, k, v, _| {
                    v.is_some() && wanted.contains(&(t.to_string(), k.to_string()))
                });
                return (412, current);
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("writes") {
            let value = row["value"].as_str().unwrap_or("").to_string();
            rows.rows.insert(id(&row), (Some(value), version));
        }
        for row in list("remove") {
            rows.rows.insert(id(&row), (None, version));
        }
        drop(rows);
        self.changed.notify_all();
        (200, json!({"record-version": version, "now-ms": self.now_ms()}))
    }
}
