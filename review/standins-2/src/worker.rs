//! A worker of a service, as a process of its own.
//!
//! The path of a request says what it does: `/ANY/KIND/N/MS/...` makes an answer of N pieces,
//! one each MS ms. KIND is `plain` (with a length), `open` (neither length nor chunks: ends
//! with its channel) or `events` (a stream, open too).

use std::{
    fs::File,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    engine::Engine,
    http::{self, Head},
};

/// Bytes of one piece.
pub const PIECE: usize = 100;

/// A faulty worker spoils the head of one in so many of its answers.
const SPOILT_HEADS: usize = 34;

/// One that spoils bodies does so in one of so many answers.
const SPOILT_BODIES: usize = 50;

pub struct Worker {
    pub addr: SocketAddr,
    pub id: String,
    /// Requests at once; further ones get 503.
    pub slots: usize,
    /// Places for adapters, if it is an engine; otherwise 0.
    pub adapters: usize,
    /// Unix time of its start, in ms.
    pub born: u64,
    /// Where runs are written down.
    pub log: PathBuf,
}

impl Worker {
    /// Whether the platform has marked it as `what`.
    fn is_marked(&self, what: &str) -> bool {
        let mark = format!("{}.{what}", self.id);
        self.log.with_extension(mark).exists()
    }
}

struct Shared {
    worker: Worker,
    /// Answers given while faulty.
    answers: AtomicUsize,
    /// Answers given while some get a second one.
    extras: AtomicUsize,
    engine: Engine,
    running: AtomicUsize,
    log: Mutex<File>,
}

/// The pieces of the answer to the request `id`.
pub fn piece(kind: &str, id: &str, n: usize) -> String {
    let text = match kind {
        "events" => format!("id: {n}\ndata: {id} "),
        _ => format!("{id} {n} "),
    };
    let end = if kind == "events" { "\n\n" } else { "\n" };
    format!("{text:.<width$}{end}", width = PIECE - end.len())
}

/// Serves until the process is killed.
pub fn run(worker: Worker) -> io::Result<()> {
    let listener = TcpListener::bind(worker.addr)?;
    let log = File::options()
        .create(true)
        .append(true)
        .open(&worker.log)?;
    let shared = Arc::new(Shared {
        engine: Engine::new(worker.adapters, worker.born),
        worker,
        answers: AtomicUsize::new(0),
        extras: AtomicUsize::new(0),
        running: AtomicUsize::new(0),
        log: Mutex::new(log),
    });
    for stream in listener.incoming() {
        let (stream, shared) = (stream?, shared.clone());
        std::thread::spawn(move || {
            let _ = serve(&shared, stream);
        });
    }
    Ok(())
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    // A second answer that comes where the next one is expected.
    let mut extra: Option<Vec<u8>> = None;
    while let Some(head) = http::read_head(&mut from)? {
        let mut body = Vec::new();
        http::read_body(&mut from, &head, &mut body)?;
        if let Some(bytes) = extra.take() {
            to.write_all(&bytes)?;
        }
        extra = extra_answer(shared, &head);
        if !answer(shared, &mut to, &head, &body)? {
            return Ok(());
        }
    }
    Ok(())
}

/// A faulty worker's second answer to a request: in one of so many a whole one, in which one
/// byte of the name `X-Request-Id` is wrong.
fn extra_answer(shared: &Shared, head: &Head) -> Option<Vec<u8>> {
    let worker = &shared.worker;
    if !worker.is_marked("extra") {
        shared.extras.store(0, Ordering::SeqCst);
        return None;
    }
    let due = shared.extras.fetch_add(1, Ordering::SeqCst) % SPOILT_HEADS == 0;
    due.then(|| {
        let id = head.get("x-request-id").unwrap_or("");
        note(shared, &format!("{id} gets a second answer"));
        let (body, length) = (piece("plain", id, 1), PIECE);
        format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Request-Ad: {id}\r\n\
             X-Response-Seal: {}.{length:x}\r\nContent-Length: {length}\r\n\r\n{body}",
            worker.id, worker.id
        )
        .into_bytes()
    })
}

/// Answers one request; returns whether the channel is kept.
fn answer(shared: &Shared, to: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<bool> {
    let worker = &shared.worker;
    let id = head.get("x-request-id").unwrap_or("");
    let mut extra = format!("X-Instance-Id: {}\r\nX-Request-Id: {id}\r\n", worker.id);
    if worker.is_marked("faulty")
        && shared.answers.fetch_add(1, Ordering::SeqCst) % SPOILT_HEADS == 0
    {
        extra += "Keep-Alive: timeout=9223372036854775807\r\n";
    }
    if head
        .get("x-expect-instance")
        .is_some_and(|expected| expected != worker.id)
    {
        http::respond(to, 421, &extra, b"")?;
        return Ok(true);
    }
    if head.word(1) == "/health" {
        http::respond(to, 200, &extra, b"")?;
        return Ok(true);
    }
    let json = format!("{extra}Content-Type: application/json\r\n");
    match head.word(1) {
        "/-/report" => {
            http::respond(
                to,
                200,
                &json,
                shared.engine.report().to_string().as_bytes(),
            )?;
            return Ok(true);
        }
        "/-/order" => {
            let status = shared.engine.order(body);
            let order = String::from_utf8_lossy(body);
            note(shared, &format!("- order {order} answered {status}"));
            http::respond(to, status, &json, b"{}")?;
            return Ok(true);
        }
        _ => {}
    }
    let model = head.get("x-model").unwrap_or("");
    if worker.adapters > 0 && !shared.engine.begin(model) {
        note(shared, &format!("{id} turned away, {model} isn't there"));
        http::respond(to, 421, &extra, b"")?;
        return Ok(true);
    }
    let words: Vec<&str> = head.word(1).split('/').collect();
    let number = |n: usize| {
        words
            .get(n)
            .and_then(|w| w.parse::<usize>().ok())
            .unwrap_or(1)
    };
    let kind = words.get(2).copied().unwrap_or("plain");
    let (pieces, pause) = (number(3), Duration::from_millis(number(4) as u64));
    if shared.running.fetch_add(1, Ordering::SeqCst) >= worker.slots {
        shared.running.fetch_sub(1, Ordering::SeqCst);
        shared.engine.end(model);
        note(shared, &format!("{id} turned away, full"));
        http::respond(to, 503, &format!("{extra}X-Not-Executed: 1\r\n"), b"")?;
        return Ok(true);
    }
    note(shared, &format!("{id} runs, {pieces} pieces"));
    extra += &format!("X-Response-Seal: {}.{:x}\r\n", worker.id, pieces * PIECE);
    let spoils = worker.is_marked("spoiling")
        && shared.answers.fetch_add(1, Ordering::SeqCst) % SPOILT_BODIES == 0;
    let last = head.get("last-event-id").and_then(|v| v.parse().ok());
    let run = Run {
        kind,
        id,
        first: last.map_or(1, |last: usize| last + 1),
        pieces,
        pause,
        spoilt: spoils.then_some(pieces / 2),
    };
    if spoils {
        note(
            shared,
            &format!("{id} spoilt, one byte of piece {}", pieces / 2),
        );
    }
    let sent = run_pieces(to, &extra, &run);
    shared.running.fetch_sub(1, Ordering::SeqCst);
    note(
        shared,
        &format!("{id} {}", if sent.is_ok() { "whole" } else { "cut" }),
    );
    sent?;
    Ok(kind == "plain" || kind == "chunkev")
}

/// One answer.
struct Run<'a> {
    kind: &'a str,
    id: &'a str,
    /// The first piece that is sent, and how many there are in all.
    first: usize,
    pieces: usize,
    pause: Duration,
    /// The piece of which one byte is wrong.
    spoilt: Option<usize>,
}

impl Run<'_> {
    fn piece(&self, n: usize) -> Vec<u8> {
        let kind = if self.kind == "chunkev" {
            "events"
        } else {
            self.kind
        };
        let mut piece = piece(kind, self.id, n).into_bytes();
        if self.spoilt == Some(n) {
            piece[PIECE / 2] = 0xff;
        }
        piece
    }
}

fn run_pieces(to: &mut TcpStream, extra: &str, run: &Run<'_>) -> io::Result<()> {
    let numbers = run.first..=run.pieces;
    if run.kind == "plain" {
        std::thread::sleep(run.pause * run.pieces as u32);
        let body: Vec<u8> = numbers.flat_map(|n| run.piece(n)).collect();
        return http::respond(to, 200, extra, &body);
    }
    let framing = match run.kind {
        "chunkev" => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        "events" => "Content-Type: text/event-stream\r\nConnection: close\r\n",
        _ => "Connection: close\r\n",
    };
    to.write_all(format!("HTTP/1.1 200 OK\r\n{extra}{framing}\r\n").as_bytes())?;
    for n in numbers {
        std::thread::sleep(run.pause);
        let piece = run.piece(n);
        match run.kind {
            "chunkev" => {
                let size = format!("{:x}\r\n", piece.len());
                to.write_all(&[size.as_bytes(), &piece, b"\r\n"].concat())?;
            }
            _ => to.write_all(&piece)?,
        }
    }
    match run.kind {
        "chunkev" => to.write_all(b"0\r\n\r\n"),
        _ => Ok(()),
    }
}

fn note(shared: &Shared, what: &str) {
    let line = format!("{} {what}\n", shared.worker.id);
    let _ = shared.log.lock().unwrap().write_all(line.as_bytes());
}
