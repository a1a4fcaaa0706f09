//! The platform's store: rows, the feed of their changes, and transactions.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Value, or none for a dropped row, and the version of its last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    /// Starts the store at `addr`.
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = value.map(|v| STANDARD.encode(v.to_string()));
        let key = (table.to_string(), String::new(), key.to_string());
        state.rows.insert(key, (value, version));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut to = stream.try_clone().expect("a socket can be cloned");
        let mut from = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut from) {
            let mut body = Vec::new();
            if http::read_body(&mut from, &head, &mut body).is_err() {
                return;
            }
            // A transaction takes 5 ms on the sheets.
            std::thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(head.word(1), &body);
            let answer = answer.to_string();
            let json = "Content-Type: application/json\r\n";
            if http::respond(&mut to, status, json, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k, decode(v)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/rows-get" => self.rows(&get("table"), &get("part"), &get("from"), query.get("to")),
            "/-/rows-feed" => {
                let after = get("after").parse().unwrap_or(0);
                let wait = get("wait-ms").parse().unwrap_or(0);
                self.feed(&get("table"), after, Duration::from_millis(wait))
            }
            "/-/rows-tx" => self.commit(body),
            _ => (404, json!({})),
        }
    }

    fn rows(&self, table: &str, part: &str, from: &str, to: Option<&String>) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((t, p, k), (value, _))| {
            let inside = &**k >= from && to.is_none_or(|to| k < to);
            t == table && p == part && inside && value.is_some()
        });
        let rows: Vec<Value> = rows.map(row).collect();
        (200, self.page(rows, &state))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let ends = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let changed = state.rows.iter();
            let changed = changed.filter(|((t, _, _), (_, v))| t == table && *v > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (_, v))| *v);
            let left = ends.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<Value> = changed.into_iter().map(row).collect();
                return (200, self.page(rows, &state));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| -> Key {
            let text = |name: &str| row[name].as_str().unwrap_or("").to_string();
            (text("table"), text("part"), text("key"))
        };
        let (writes, remove) = (list("writes"), list("remove"));
        let foreign = |row: &Value| matches!(row["table"].as_str(), Some("op" | "servers"));
        if writes.iter().chain(&remove).any(foreign) {
            return (403, json!({}));
        }
        let mut state = self.state.lock().unwrap();
        let expected = list("expected");
        let differs = |row: &Value| {
            let known = state.rows.get(&key(row));
            let version = known.filter(|(v, _)| v.is_some()).map_or(0, |(_, v)| *v);
            row["record-version"].as_u64().unwrap_or(0) != version
        };
        if expected.iter().any(differs) {
            let current = expected
                .iter()
                .filter_map(|r| state.rows.get_key_value(&key(r)));
            let rows: Vec<Value> = current.map(row).collect();
            return (412, self.page(rows, &state));
        }
        state.version += 1;
        let version = state.version;
        for written in &writes {
            let value = written["value"].as_str().unwrap_or("").to_string();
            state.rows.insert(key(written), (Some(value), version));
        }
        for removed in &remove {
            state.rows.insert(key(removed), (None, version));
        }
        self.changed.notify_all();
        (200, self.page(Vec::new(), &state))
    }

    fn page(&self, rows: Vec<Value>, state: &State) -> Value {
        json!({
            "rows": rows, "has-more": false, "record-version": state.version,
            "now-ms": self.began.elapsed().as_millis() as u64,
        })
    }
}

fn row(((table, part, key), (value, version)): (&Key, &(Option<String>, u64))) -> Value {
    match value {
        Some(value) => json!({
            "table": table, "part": part, "key": key, "value": value, "record-version": version,
        }),
        None => json!({
            "table": table, "part": part, "key": key, "record-version": version, "tombstone": true,
        }),
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).to_string();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).to_string()
}
