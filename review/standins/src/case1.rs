//! A server is silent for a moment while the holder of its lease is stopped and started.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Addresses, Daemon, Folder, Kind, Order, Record, Server},
    has_trouble,
    store::Store,
};

const ENGINE: Kind = Kind { service: "llm", model: "daka", slots: 64, piece_ms: 10, rest_s: 0 };
const CONSUMERS: usize = 24;

/// The bounds of the site file.
const LEASE_MS: u64 = 3_000;

/// How long the server is silent, and when in that time its holder is stopped.
const SILENCE: Duration = Duration::from_millis(1_300);
const STOP_AFTER: Duration = Duration::from_millis(150);
/// When the platform starts an ended process again.
const RESTART: Duration = Duration::from_millis(100);
const ROUNDS: usize = 9;
const ROUND: Duration = Duration::from_secs(10);

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
    let servers: Vec<Server> = fleet::ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Server::start(record, addr, &format!("i-7f3a91{i:02}"), zone, ENGINE))
        .collect();
    thread::sleep(Duration::from_millis(500));
    // One daemon in each zone, without checks of fences.
    let mut daemons = fleet::start_daemons(record, &dir.0, addr, fleet::ZONES.len(), false);
    if !fleet::await_ready(&daemons) {
        record.note("the daemons are not ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let directories: Vec<_> = daemons.iter().map(|d| d.directory).collect();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|i| {
            let (stop, served, record) = (stop.clone(), served.clone(), record.clone());
            let mut addresses = Addresses::new(directories.clone());
            thread::spawn(move || {
                let mut turn = i as u64;
                while !stop.load(Ordering::SeqCst) {
                    turn += CONSUMERS as u64;
                    let Some(front) = addresses.pick(turn as usize) else { continue };
                    consume(&record, front, turn, &served);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        let began = Instant::now();
        silence(record, &servers[2], &mut daemons[2]);
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
        record.note(format!("round {round} done"));
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let served = served.load(Ordering::SeqCst);
    record.note(format!("{served} streams whole"));
    if served < 100 {
        return 2;
    }
    judge(record, &servers)
}

/// The server of the third zone falls silent for a moment. Meanwhile the daemon of its zone
/// is stopped as planned, and it is started again: that is the disruption.
fn silence(record: &Record, server: &Server, daemon: &mut Daemon) {
    record.note(format!("server {} is silent", server.id));
    server.process.signal("-STOP");
    thread::sleep(STOP_AFTER);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(SILENCE - STOP_AFTER);
            record.note(format!("server {} goes on", server.id));
            server.process.signal("-CONT");
        });
        if has_trouble() {
            restart(record, daemon);
        }
    });
}

fn restart(record: &Record, daemon: &mut Daemon) {
    record.note(format!("daemon {} gets SIGTERM", daemon.id));
    daemon.process.signal("-TERM");
    // The platform sends SIGKILL after grace-s.
    let ends = Instant::now() + Duration::from_secs(8);
    while !daemon.process.has_ended() && Instant::now() < ends {
        thread::sleep(Duration::from_millis(20));
    }
    daemon.process.kill();
    record.note(format!("daemon {} has ended", daemon.id));
    thread::sleep(RESTART);
    daemon.restart(record);
}

/// A short stream from an adapter that few others ask for.
fn consume(record: &Record, front: std::net::SocketAddr, turn: u64, served: &AtomicU64) {
    let headers = [
        ("X-Model", format!("daka/a{}", turn % 300 + 1)),
        ("X-Token-Counts", "1460,16".to_string()),
        ("X-Length-Hint", "16".to_string()),
        ("X-Prompt-Prefix", format!("{:x}:1460", turn + 0x5c1e_0000)),
    ];
    match fleet::request(front, "POST", "/gen/2f", &headers, 5_000) {
        Some(got) if got.status == 200 && got.complete => {
            served.fetch_add(1, Ordering::SeqCst);
        }
        Some(got) => {
            record.note(format!("consumer {} at {front}: {}", got.id, got.status));
            thread::sleep(Duration::from_secs_f64(got.retry_after().unwrap_or(0.1).min(1.0)));
        }
        None => thread::sleep(Duration::from_millis(200)),
    }
    thread::sleep(Duration::from_millis(100));
}

/// ONE: orders of two machines to one server that does not check fences take turns within
/// `lease-ms`, or a lower fencing token comes after a higher one. Only orders that the
/// server accepted count. No sender is frozen and no link is cut, so nothing is left out.
fn judge(record: &Record, servers: &[Server]) -> i32 {
    let mut broken = 0;
    for server in servers {
        let orders = server.orders().into_iter().filter(|o| o.accepted);
        // The last order of each stretch of one holder.
        let mut highest = 0;
        let mut stretches: Vec<(Order, Order)> = Vec::new();
        for order in orders {
            if order.token < highest {
                broken += 1;
                record.note(format!("ONE: a lower token at {}: {order:?}", server.id));
            }
            highest = highest.max(order.token);
            match stretches.last_mut() {
                Some((_, last)) if last.holder == order.holder => *last = order,
                _ => stretches.push((order.clone(), order)),
            }
        }
        for three in stretches.windows(3) {
            let [(_, first), (begin, end), (third, _)] = three else { continue };
            if first.holder == third.holder && third.at_ms - first.at_ms < LEASE_MS {
                broken += 1;
                record.note(format!(
                    "ONE: two holders acted in turn inside {LEASE_MS} ms at {}: {first:?}; \
                     {begin:?} to {end:?}; {third:?}",
                    server.id
                ));
            }
        }
        record.note(format!("server {}: {} orders", server.id, server.orders().len()));
    }
    i32::from(broken > 0)
}
