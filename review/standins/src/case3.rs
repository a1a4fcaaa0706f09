//! A server that is taken away at short notice ends while it answers without a length.

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

const ENGINE: Kind = Kind { service: "llm", model: "daka", slots: 8, piece_ms: 60, rest_s: 0 };

/// One server in seven is taken away: below the share of 0.15.
const ENGINES: usize = 7;
const DAEMONS: usize = 3;
const CONSUMERS: usize = 28;
const PIECES: u64 = 80;
const LOAD: Duration = Duration::from_secs(20);
/// Notice that the server gives, in ms.
const NOTICE_MS: u64 = 2_000;

pub fn main(folder: &str) -> i32 {
    let record = Record::new();
    let code = play(&record);
    record.note(format!("exit {code}"));
    record.write(&Path::new(folder).join("record.txt"));
    code
}

fn play(record: &Record) -> i32 {
    let dir = Folder::new();
    let (store, addr) = Store::start();
    store.put("op", "config", &fleet::config(ENGINE.slots));
    let servers: Vec<Server> = (0..ENGINES)
        .map(|i| {
            let zone = fleet::ZONES[i % fleet::ZONES.len()];
            Server::start(record, addr, &format!("i-7f3a91{i:02}"), zone, ENGINE)
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
    thread::sleep(Duration::from_secs(6));
    if has_trouble() {
        // The busiest server leaves.
        let Some(leaving) = servers.iter().max_by_key(|s| s.running()) else { return 2 };
        leaving.leave(NOTICE_MS);
        record.note(format!("server {} leaves in {NOTICE_MS} ms", leaving.id));
        thread::sleep(Duration::from_millis(NOTICE_MS));
        let busy = leaving.running();
        record.note(format!("server {} is gone, {busy} runs", leaving.id));
        leaving.process.kill();
        store.remove("servers", &leaving.id);
        if busy == 0 {
            record.note("it was not at work any more");
            return 2;
        }
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
    let pause = got.retry_after().unwrap_or(0.05).clamp(0.05, 5.0);
    outcomes.lock().unwrap().push(got);
    thread::sleep(Duration::from_secs_f64(pause));
}

/// ORDER: a stream ends as complete before its last piece, or pieces are missing or twice.
fn judge(record: &Record, outcomes: &[Outcome], servers: &[Server]) -> i32 {
    let runs = fleet::runs_by_id(servers);
    let (mut whole, mut broken, mut refused, mut early) = (0, 0, 0, 0);
    for got in outcomes {
        match (got.status, got.complete) {
            (200, true) if got.events() == (1..=PIECES).collect::<Vec<_>>() => whole += 1,
            (200, true) => {
                early += 1;
                record.note(format!(
                    "ORDER: {} ended as complete with {} of {PIECES} events; run: {:?}",
                    got.id,
                    got.events().len(),
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
