//! A small deployment on loopback: the store, servers and daemons, and its consumers.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http;

pub const HOST: &str = "ficu95.example";
pub const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// What was sent, answered and run, with times in ms from the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl std::fmt::Display) {
        let line = format!("{:6} {line}", self.ms());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text).expect("the record can be written");
    }
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one with 2 once a script may not take longer.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A process that is killed when this is dropped.
pub struct Process(Mutex<Child>);

impl Process {
    fn new(child: Child) -> Self {
        RUNNING.lock().unwrap().push(child.id());
        Self(Mutex::new(child))
    }

    pub fn kill(&self) {
        let mut child = self.0.lock().unwrap();
        let id = child.id();
        RUNNING.lock().unwrap().retain(|pid| *pid != id);
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.0.lock().unwrap().id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> bool {
        matches!(self.0.lock().unwrap().try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One run at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// How many pieces it made, once it has ended there.
    pub made: Option<u64>,
}

/// An order that a server got.
#[derive(Clone, Debug)]
pub struct Order {
    pub at_ms: u64,
    pub holder: String,
    pub token: u64,
    pub accepted: bool,
}

/// A server process and what it printed.
pub struct Server {
    pub id: String,
    pub process: Process,
    input: Mutex<std::process::ChildStdin>,
    runs: Arc<Mutex<Vec<Run>>>,
    orders: Arc<Mutex<Vec<Order>>>,
    /// When it turned the last request away, in ms of the record; 0 for never.
    refused_ms: Arc<AtomicU64>,
}

/// What a server is like.
#[derive(Clone, Copy)]
pub struct Kind {
    pub service: &'static str,
    pub model: &'static str,
    pub slots: usize,
    pub piece_ms: u64,
    pub rest_s: u64,
}

impl Server {
    pub fn start(record: &Record, store: SocketAddr, id: &str, zone: &str, kind: Kind) -> Self {
        let model = if kind.model.is_empty() { "-" } else { kind.model };
        let mut child = Command::new(std::env::current_exe().expect("it has a path"))
            .args(["server", &store.to_string(), id, kind.service, zone, model])
            .args([kind.slots as u64, kind.piece_ms, kind.rest_s].map(|n| n.to_string()))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server starts");
        let lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let input = Mutex::new(child.stdin.take().expect("it is piped"));
        let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
        let refused_ms = Arc::new(AtomicU64::new(0));
        let orders = Arc::new(Mutex::new(Vec::<Order>::new()));
        let ordered = orders.clone();
        let (known, refused, name, record) =
            (runs.clone(), refused_ms.clone(), id.to_string(), record.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(format!("server {name}: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                let mut runs = known.lock().unwrap();
                match words[0] {
                    "run" => runs.push(Run {
                        id: words[1].to_string(),
                        made: None,
                    }),
                    "end" => {
                        let run = runs.iter_mut().rev().find(|r| r.id == words[1]);
                        if let Some(run) = run {
                            run.made = words[3].parse().ok();
                        }
                    }
                    "order" => ordered.lock().unwrap().push(Order {
                        at_ms: record.ms(),
                        holder: words[1].to_string(),
                        token: words[2].parse().unwrap_or(0),
                        accepted: words[4] == "202" || words[4] == "200",
                    }),
                    "refused" => refused.store(record.ms(), Ordering::SeqCst),
                    _ => {}
                }
            }
        });
        Self { id: id.to_string(), process: Process::new(child), input, runs, orders, refused_ms }
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    pub fn running(&self) -> usize {
        self.runs.lock().unwrap().iter().filter(|r| r.made.is_none()).count()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn refused_ms(&self) -> u64 {
        self.refused_ms.load(Ordering::SeqCst)
    }

    /// Tells it that it is taken away in `ms`.
    pub fn leave(&self, ms: u64) {
        let _ = writeln!(self.input.lock().unwrap(), "leave {ms}");
    }
}

pub struct Daemon {
    pub id: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    pub process: Process,
    settings: PathBuf,
    log: File,
}

impl Daemon {
    fn spawn(settings: &Path, log: &File) -> Process {
        let out = || log.try_clone().expect("it is open");
        let child = Command::new("target/release/comfreyhalld")
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("COMFREYHALL_NODE_FILE", settings)
            .stdout(out())
            .stderr(out())
            .stdin(Stdio::null())
            .spawn()
            .expect("target/release/comfreyhalld starts");
        Process::new(child)
    }

    /// Starts its process again; `first-start` is true only for the first time.
    pub fn restart(&mut self, record: &Record) {
        let text = fs::read_to_string(&self.settings).expect("it was written");
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&self.settings, text).expect("settings can be written");
        self.process = Self::spawn(&self.settings, &self.log);
        record.note(format!("daemon {} started again", self.id));
    }
}

/// Free ports of loopback, all different.
fn ports(count: usize) -> Vec<SocketAddr> {
    let bound: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    bound.iter().map(|l| l.local_addr().expect("it is bound")).collect()
}

fn answers_200(addr: SocketAddr, path: &str) -> bool {
    let patience = Duration::from_millis(500);
    let headers = [("Host", addr.to_string())];
    matches!(http::call(addr, "GET", path, &headers, b"", patience), Some((_, 200, _)))
}

/// Starts `count` daemons as the platform does, with the settings of a small deployment.
pub fn start_daemons(
    record: &Record,
    dir: &Path,
    store: SocketAddr,
    count: usize,
    fencing: bool,
) -> Vec<Daemon> {
    let addrs: Vec<Vec<SocketAddr>> = (0..count).map(|_| ports(5)).collect();
    let seeds: Vec<String> = addrs.iter().take(3).map(|a| a[3].to_string()).collect();
    let text = |a: &SocketAddr| a.to_string();
    addrs
        .iter()
        .enumerate()
        .map(|(i, a)| {
            let zone = ZONES[i % ZONES.len()];
            let id = format!("front-{zone}-{}", i / ZONES.len() + 1);
            // The fields of deploy/settings.jsonc, with the bounds of the site file.
            let settings = json!({"id": id, "domain": zone,
                "listen": {"front": text(&a[0]), "ready": text(&a[1]),
                    "directory": text(&a[2]), "peers": text(&a[3]), "metrics": text(&a[4])},
                "first_start": true, "cores": 0.25, "seeds": seeds, "store": store.to_string(),
                "bounds": {"grace_s": 8, "drain_ms": 2000, "lease_ms": 3000, "apply_ms": 2000,
                    "version_ms": 5000, "address_s": 5, "retry_ratio": 0.2,
                    "retry_allowance": 52, "retry_s": 10, "fencing": fencing, "return_s": 2}});
            let path = dir.join(format!("{id}.json"));
            fs::write(&path, settings.to_string()).expect("settings can be written");
            let log = File::create(dir.join(format!("{id}.out"))).expect("a file can be made");
            let process = Daemon::spawn(&path, &log);
            record.note(format!("daemon {id} started, front {}", a[0]));
            Daemon { id, front: a[0], directory: a[2], ready: a[1], process, settings: path, log }
        })
        .collect()
}

/// Waits until all daemons are ready; false if they are not in time.
pub fn await_ready(daemons: &[Daemon]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while !daemons.iter().all(|d| answers_200(d.ready, "/-/readiness")) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    true
}

/// The addresses that a consumer uses, as the system names them.
pub struct Addresses {
    directories: Vec<SocketAddr>,
    fronts: Vec<SocketAddr>,
    until: Instant,
}

impl Addresses {
    pub fn new(directories: Vec<SocketAddr>) -> Self {
        Self { directories, fronts: Vec::new(), until: Instant::now() }
    }

    /// One of them; asks again once the last answer has expired.
    pub fn pick(&mut self, turn: usize) -> Option<SocketAddr> {
        if Instant::now() >= self.until {
            let count = self.directories.len();
            let answer = (0..count).find_map(|i| ask(self.directories[(turn + i) % count]));
            if let Some((fronts, ttl)) = answer {
                self.fronts = fronts;
                self.until = Instant::now() + ttl;
            }
        }
        let count = self.fronts.len();
        (count > 0).then(|| self.fronts[turn % count.max(1)])
    }
}

/// Asks a daemon which addresses to use.
fn ask(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/-/resolve?name={HOST}&region=bkk&zone=bkk-a");
    let headers = [("Host", directory.to_string())];
    let patience = Duration::from_secs(1);
    let (from, status, headers) = http::call(directory, "GET", &path, &headers, b"", patience)?;
    let (body, _) = read_body(from, &headers);
    let answer: Value = serde_json::from_slice(&body).ok().filter(|_| status == 200)?;
    let fronts = answer["addresses"].as_array()?.iter();
    let fronts: Vec<_> = fronts.filter_map(|a| a.as_str()?.parse().ok()).collect();
    Some((fronts, Duration::from_secs_f64(answer["ttl-s"].as_f64()?.min(5.0))))
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("comfreyhall-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A configuration with one streaming route to `llm`, one unsafe and one safe route to `app`.
pub fn config(slots: usize) -> Value {
    json!({"version": 7, "routes": [
        {"name": "r-gen", "host": HOST, "prefix": "/gen/", "kind": "streaming",
         "timeout-ms": 15000, "target-latency-ms": 1000, "priority": 0, "service": "llm",
         "attempts": 2, "sticky": true, "resumable": true, "target-gap-ms": 400},
        {"name": "r-file", "host": HOST, "prefix": "/file/", "kind": "unsafe",
         "timeout-ms": 2500, "target-latency-ms": 300, "priority": 2, "service": "app",
         "attempts": 1},
        {"name": "r-look", "host": HOST, "prefix": "/look/", "kind": "safe",
         "timeout-ms": 2500, "target-latency-ms": 300, "priority": 2, "service": "app",
         "attempts": 2}],
      "services": [
        {"name": "llm", "health-path": "/health", "connection-limit": 360, "protocol": "h1",
         "tls": false, "engine": {"slots": slots, "cache-tokens": 232000, "stride": 4,
         "models": [{"name": "daka", "weights-mb": 34300.0, "load-s": 1.3, "adapters": 3000,
           "adapter-mb": 40.0}],
         "weights-mb": 35300.0, "adapter-slots": 8, "loads-per-s": 2.1}},
        {"name": "app", "health-path": "/health", "connection-limit": 96, "protocol": "h1",
         "tls": false}],
      "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
}

/// The answer to a consumer.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer ended as complete.
    pub complete: bool,
}

impl Outcome {
    /// Ids of the events in order.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok());
        ids.collect()
    }

    pub fn retry_after(&self) -> Option<f64> {
        http::find(&self.headers, "retry-after")?.parse().ok()
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer attempt.
pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Sends a request and reads its answer to the end; `None` if no channel was opened or no
/// answer began.
pub fn request(
    front: SocketAddr,
    method: &str,
    path: &str,
    extra: &[(&str, String)],
    limit_ms: u64,
) -> Option<Outcome> {
    let id = new_id();
    let mut headers = vec![
        ("Host", HOST.to_string()),
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Milliseconds", limit_ms.to_string()),
    ];
    headers.extend(extra.iter().map(|(n, v)| (*n, v.clone())));
    let patience = Duration::from_millis(limit_ms + 500);
    let (from, status, headers) = http::call(front, method, path, &headers, b"", patience)?;
    let (body, complete) = read_body(from, &headers);
    Some(Outcome { id, status, headers, body, complete })
}

fn read_body(
    mut from: BufReader<std::net::TcpStream>,
    headers: &[(String, String)],
) -> (Vec<u8>, bool) {
    use std::io::Read;
    let mut body = Vec::new();
    if let Some(length) = http::find(headers, "content-length").and_then(|v| v.parse().ok()) {
        let complete = from.take(length).read_to_end(&mut body).is_ok();
        return (body.clone(), complete && body.len() as u64 == length);
    }
    if http::find(headers, "transfer-encoding").is_some() {
        loop {
            match http::read_chunk(&mut from) {
                Some(chunk) if chunk.is_empty() => return (body, true),
                Some(chunk) => body.extend(chunk),
                None => return (body, false),
            }
        }
    }
    let complete = from.read_to_end(&mut body).is_ok();
    (body, complete)
}

/// All runs of `servers`, by the id of their request.
pub fn runs_by_id<'a>(
    servers: impl IntoIterator<Item = &'a Server>,
) -> BTreeMap<String, Vec<(String, Run)>> {
    let mut out: BTreeMap<String, Vec<(String, Run)>> = BTreeMap::new();
    for server in servers {
        for run in server.runs() {
            out.entry(run.id.clone()).or_default().push((server.id.clone(), run));
        }
    }
    out
}
