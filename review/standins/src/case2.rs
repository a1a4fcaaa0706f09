//! A server that has asked for rest crashes while it answers without a length.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Folder, Kind, Outcome, Record, Server},
    has_trouble,
    store::Store,
};

const ENGINE: Kind =
    Kind { service: "llm", model: "daka", slots: 4, piece_ms: 60, rest_s: 3 };

/// One server in seven: below the share of 0.15 of a crash.
const ENGINES: usize = 7;
const DAEMONS: usize = 3;
const CONSUMERS: usize = 40;
const PIECES: u64 = 40;
const LOAD: Duration = Duration::from_secs(24);
/// Runs that have to be under way at the server that crashes.
const BUSY: usize = 3;

pub fn main(folder: &str) -> i32 {
    let record = Record::new();
    let code = play(&record);
    record.note(format!("exit {code}"));
    record.write(&Path::new(folder).join("record.txt"));
    code
}

/// The servers; with `REST=0` they ask for no rest, for comparison.
fn engine() -> Kind {
    match std::env::var("REST").as_deref() {
        Ok("0") => Kind { rest_s: 0, ..ENGINE },
        _ => ENGINE,
    }
}

fn play(record: &Record) -> i32 {
    let dir = Folder::new();
    let (store, addr) = Store::start();
    store.put("op", "config", &fleet::config(ENGINE.slots));
    let mut servers: Vec<Server> = (0..ENGINES)
        .map(|i| {
            let zone = fleet::ZONES[i % fleet::ZONES.len()];
            Server::start(record, addr, &format!("i-7f3a91{i:02}"), zone, engine())
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let daemons = fleet::start_daemons(record, &dir.0, addr, DAEMONS, false);
    if !fleet::await_ready(&daemons) {
        record.note("the daemons are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = daemons.iter().map(|d| d.front).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let ends = Instant::now() + LOAD;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|i| {
            let (record, outcomes, fronts) = (record.clone(), outcomes.clone(), fronts.clone());
            thread::spawn(move || {
                let mut turn = i;
                while Instant::now() < ends {
                    turn += 1;
                    consume(&record, fronts[turn % fronts.len()], &outcomes);
                }
            })
        })
        .collect();
    if has_trouble() && !crash(record, addr, &mut servers) {
        record.note("no server was busy and at rest");
        return 2;
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    if let Some(ended) = daemons.iter().find(|d| d.process.has_ended()) {
        record.note(format!("daemon {} has ended", ended.id));
        return 2;
    }
    judge(record, &outcomes.lock().unwrap(), &servers)
}

/// One stream, asked for again after a refusal as its answer says.
fn consume(record: &Record, front: std::net::SocketAddr, outcomes: &Mutex<Vec<Outcome>>) {
    let headers = [
        ("X-Model", "daka".to_string()),
        ("X-Token-Counts", format!("1460,{}", PIECES * 4)),
        ("X-Length-Hint", (PIECES * 4).to_string()),
    ];
    let Some(got) = fleet::request(front, "POST", "/gen/2f", &headers, 15_000) else {
        record.note(format!("consumer at {front}: no answer"));
        return;
    };
    let events = got.events();
    record.note(format!(
        "consumer {} at {front}: {}, {} events, last {}, {}",
        got.id,
        got.status,
        events.len(),
        events.last().copied().unwrap_or(0),
        if got.complete { "complete" } else { "broken off" },
    ));
    let pause = got.retry_after().unwrap_or(0.0).clamp(0.05, 5.0);
    let refused = got.status != 200;
    outcomes.lock().unwrap().push(got);
    if refused {
        thread::sleep(Duration::from_secs_f64(pause));
    }
}

/// Kills one server that has just asked for rest and is at work; whether there was one.
fn crash(
    record: &Record,
    addr: std::net::SocketAddr,
    servers: &mut Vec<Server>,
) -> bool {
    thread::sleep(Duration::from_secs(5));
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        let now = record.ms();
        let resting = |s: &&Server| {
            let at = s.refused_ms();
            at > 0 && now.saturating_sub(at) < 1_000 && s.running() >= BUSY
        };
        if let Some(found) = servers.iter().find(resting) {
            record.note(format!("server {} is killed, {} runs", found.id, found.running()));
            found.process.kill();
            // It is back after some seconds, as a new boot with a new id.
            thread::sleep(Duration::from_millis(4_500));
            servers.push(Server::start(record, addr, "i-02d9e6b4", fleet::ZONES[0], engine()));
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// ORDER: a stream ends as complete before its last piece, or pieces are missing or twice.
fn judge(record: &Record, outcomes: &[Outcome], servers: &[Server]) -> i32 {
    let runs = fleet::runs_by_id(servers);
    let (mut whole, mut broken, mut refused, mut early) = (0, 0, 0, 0);
    for got in outcomes {
        let events = got.events();
        let in_order = events.iter().enumerate().all(|(i, id)| *id == i as u64 + 1);
        match (got.status, got.complete) {
            (200, true) if in_order && events.len() as u64 == PIECES => whole += 1,
            (200, true) => {
                early += 1;
                record.note(format!(
                    "ORDER: {} ended as complete with {} of {PIECES} events; run: {:?}",
                    got.id,
                    events.len(),
                    runs.get(&got.id),
                ));
            }
            (200, false) => broken += 1,
            _ => refused += 1,
        }
    }
    record.note(format!(
        "streams: {whole} whole, {broken} broken off, {early} complete too early; {refused} refused"
    ));
    if whole < 20 {
        return 2;
    }
    i32::from(early > 0)
}
