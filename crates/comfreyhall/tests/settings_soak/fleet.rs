//! Many daemons as processes before the emulated platform, and what is done
//! to them.

use std::{
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::json;

use super::{
    emulator::{
        Store, Target,
        caller::is_ready,
        link::{Link, Mode},
        start_store, start_target, target_entry,
    },
    history::{self, Newest},
    oracle::{Disturbance, Made, Record, Whom},
};

/// Failure domains.
const DOMAINS: usize = 3;

/// Daemons that all others know of at their start.
const KNOWN: usize = 3;

/// Longest a fleet may take to start.
const START: Duration = Duration::from_secs(60);

/// Longest a daemon that is told to stop may take.
const GRACE: Duration = Duration::from_secs(8);

/// A process that has run for less is not told to stop: it may not be the
/// daemon's program yet.
const SETTLED: Duration = Duration::from_secs(1);

/// Time from invalid settings to the next valid ones.
const INVALID: Duration = Duration::from_millis(300);

/// How large a run is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    /// Of the settings, in KB.
    pub kb: usize,
    /// Speed of each way to the store, in KB a second.
    pub link_kb: u64,
}

/// What ends a fault.
#[derive(Debug, Clone)]
pub enum End {
    StoreUp,
    StoreSpeaks,
    Links(Vec<usize>),
    Start(usize),
    Thaw(usize),
    Change,
}

struct Active {
    whom: Whom,
    began: Instant,
    until: Instant,
    end: End,
}

struct Daemon {
    child: Option<Child>,
    began: Instant,
    /// Told to stop at this moment, and not ended yet.
    stopping: Option<Instant>,
    ip: String,
    settings: PathBuf,
    link: Link,
}

/// The daemons with their platform.
pub struct Fleet {
    pub store: Arc<Store>,
    pub newest: Newest,
    pub dir: PathBuf,
    daemons: Vec<Daemon>,
    size: Size,
    made: Vec<Made>,
    starts: Vec<(usize, Instant)>,
    over: Vec<Disturbance>,
    active: Vec<Active>,
    /// The next daemon that is told to stop.
    turn: usize,
    net: Net,
}

impl Fleet {
    /// Starts all daemons within a moment, and waits until they serve.
    pub async fn start(seed: u64, size: Size) -> Self {
        let dir = format!("comfreyhall-settings-{seed}-{}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).unwrap();
        let store = Arc::new(Store::default());
        let addr = start_store(store.clone()).await;
        start_targets(&store).await;
        let mut fleet = Self {
            store,
            newest: Arc::new(AtomicU64::new(0)),
            dir,
            daemons: Vec::new(),
            size,
            made: Vec::new(),
            starts: Vec::new(),
            over: Vec::new(),
            active: Vec::new(),
            turn: 0,
            net: Net::take(),
        };
        fleet.change();
        for i in 0..size.daemons {
            fleet.add(i, &addr).await;
        }
        for i in 0..size.daemons {
            fleet.launch(i);
        }
        let begun = Instant::now();
        for i in 0..size.daemons {
            let addr = format!("{}:{READY}", fleet.daemons[i].ip);
            while !is_ready(&addr).await {
                assert!(begun.elapsed() < START, "daemon {i} does not get ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!("ready after {:?}, {}", begun.elapsed(), fleet.traffic());
        fleet
    }

    async fn add(&mut self, i: usize, store: &str) {
        let link = Link::start(store, self.size.link_kb << 10).await;
        let at = |port: u16| format!("{}:{port}", self.net.ip(i));
        let seeds: Vec<String> = (0..KNOWN)
            .map(|s| format!("{}:{PEERS}", self.net.ip(s)))
            .collect();
        let settings = json!({"id": format!("n{i}"), "domain": domain(i),
            "listen": {"front": at(FRONT), "ready": at(READY), "directory": at(DIRECTORY),
                "peers": at(PEERS), "metrics": at(METRICS)},
            "seeds": seeds, "store": link.addr, "cores": 0.12,
            "bounds": {"grace_s": GRACE.as_secs(), "drain_ms": 3000, "lease_ms": 3000,
                "apply_ms": super::oracle::APPLY.as_millis() as u64, "version_ms": 5000,
                "address_s": 5, "retry_ratio": 0.2, "retry_allowance": 220, "retry_s": 10,
                "fencing": false, "return_s": 2}});
        let path = self.dir.join(format!("n{i}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        self.daemons.push(Daemon {
            child: None,
            began: Instant::now(),
            stopping: None,
            ip: self.net.ip(i),
            settings: path,
            link,
        });
    }

    fn launch(&mut self, i: usize) {
        let before = self.starts.iter().filter(|(d, _)| *d == i).count();
        let program = program(i, before);
        let daemon = &mut self.daemons[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(daemon.settings.with_extension("log"))
            .unwrap();
        // Noted first: nobody may see it answer before it counts as started.
        daemon.began = Instant::now();
        self.starts.push((i, daemon.began));
        let child = Command::new(program)
            .arg("--platform")
            .env("COMFREYHALL_NODE_FILE", &daemon.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        daemon.child = Some(child.unwrap());
    }

    pub fn fronts(&self) -> Vec<String> {
        let fronts = self.daemons.iter().map(|d| format!("{}:{FRONT}", d.ip));
        fronts.collect()
    }

    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    pub fn versions(&self) -> usize {
        self.made.len()
    }

    pub fn faults(&self) -> usize {
        self.over.len()
    }

    /// Whether nothing is being done.
    pub fn calm(&self) -> bool {
        self.active.is_empty() && self.daemons.iter().all(|d| d.stopping.is_none())
    }

    /// Calls to the store and bytes between it and the daemons so far.
    pub fn traffic(&self) -> String {
        let bytes: u64 = self.daemons.iter().map(|d| d.link.forwarded_bytes()).sum();
        let calls = self.store.calls.lock().unwrap().len();
        format!(
            "{calls} reads and commits, {} KB from and to the store",
            bytes >> 10
        )
    }

    /// The next version is accepted.
    pub fn change(&mut self) {
        let number = self.made.len() as u64 + 1;
        let config = history::config(number, self.size.kb);
        let sent = Instant::now();
        self.store.put("op", "config", &config);
        self.newest.store(number, Ordering::SeqCst);
        let acked = Instant::now();
        self.made.push(Made {
            number,
            sent,
            acked,
        });
    }

    /// Settings that nobody can read, and some time later the next version.
    pub fn change_invalid(&mut self) {
        let invalid = history::invalid(self.made.len() as u64 + 1);
        self.store.put("op", "config", &invalid);
        self.begin(Whom::All, INVALID, End::Change);
    }

    /// Notes what is about to be done.
    pub fn begin(&mut self, whom: Whom, lasts: Duration, end: End) {
        let began = Instant::now();
        self.active.push(Active {
            whom,
            began,
            until: began + lasts,
            end,
        });
    }

    fn busy(&self, i: usize) -> bool {
        let concerns = |a: &Active| matches!(a.end, End::Start(d) | End::Thaw(d) if d == i);
        self.daemons[i].stopping.is_some() || self.active.iter().any(concerns)
    }

    /// Kills daemons; they start again together after `ms`.
    pub fn kill(&mut self, whom: &[usize], ms: u64) {
        for &i in whom {
            if self.busy(i) {
                continue;
            }
            self.begin(Whom::Daemon(i), Duration::from_millis(ms), End::Start(i));
            let mut child = self.daemons[i].child.take().unwrap();
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Freezes a daemon.
    pub fn freeze(&mut self, i: usize, lasts: Duration) {
        if !self.busy(i) {
            self.begin(Whom::Daemon(i), lasts, End::Thaw(i));
            self.signal(i, Signal::SIGSTOP);
        }
    }

    /// Tells the next `count` daemons to stop; each starts again.
    pub fn stop_next(&mut self, count: usize) {
        for _ in 0..count {
            self.turn = (self.turn + 1) % self.daemons.len();
            let i = self.turn;
            if !self.busy(i) && self.daemons[i].began.elapsed() > SETTLED {
                self.daemons[i].stopping = Some(Instant::now());
                self.signal(i, Signal::SIGTERM);
            }
        }
    }

    fn signal(&self, i: usize, signal: Signal) {
        let pid = self.daemons[i].child.as_ref().unwrap().id() as i32;
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    /// Whom a fault at the store's links concerns.
    fn concerned(&self, whom: &[usize]) -> Vec<Whom> {
        match whom.len() == self.daemons.len() {
            true => vec![Whom::All],
            false => whom.iter().map(|i| Whom::Daemon(*i)).collect(),
        }
    }

    fn begin_links(&mut self, whom: &[usize], lasts: Duration) {
        for (at, concerned) in self.concerned(whom).into_iter().enumerate() {
            let links = if at == 0 { whom.to_vec() } else { Vec::new() };
            self.begin(concerned, lasts, End::Links(links));
        }
    }

    /// Spoils the ways of `whom` to the store.
    pub fn spoil(&mut self, whom: &[usize], mode: Mode, lasts: Duration) {
        self.begin_links(whom, lasts);
        for &i in whom {
            self.daemons[i].link.set_mode(mode);
        }
    }

    /// Slows the ways of `whom` to the store down.
    pub fn slow(&mut self, whom: &[usize], kb: u64, lasts: Duration) {
        self.begin_links(whom, lasts);
        for &i in whom {
            self.daemons[i].link.set_bandwidth(kb << 10);
        }
    }

    /// Ends what is due, or everything.
    pub async fn end_due(&mut self, all: bool) {
        let now = Instant::now();
        let due = |a: &mut Active| all || now >= a.until;
        let ended: Vec<Active> = self.active.extract_if(.., due).collect();
        for active in ended {
            match active.end {
                End::StoreUp => self.store.down.store(false, Ordering::SeqCst),
                End::StoreSpeaks => self.store.hang_calls.store(false, Ordering::SeqCst),
                End::Start(i) => self.launch(i),
                End::Thaw(i) => self.signal(i, Signal::SIGCONT),
                End::Change => self.change(),
                End::Links(whom) => {
                    for i in whom {
                        self.daemons[i].link.set_mode(Mode::Open);
                        self.daemons[i].link.set_bandwidth(self.size.link_kb << 10);
                    }
                }
            }
            let span = active.began..Instant::now();
            let whom = active.whom;
            self.over.push(Disturbance { whom, span });
        }
        for i in 0..self.daemons.len() {
            self.look_at_stop(i);
        }
    }

    /// Starts a daemon again that has ended as it was told to.
    fn look_at_stop(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let Some(told) = daemon.stopping else { return };
        let late = told.elapsed() > 2 * GRACE;
        let status = daemon.child.as_mut().unwrap().try_wait().unwrap();
        assert!(
            !late || status.is_some(),
            "daemon {i} did not end by itself"
        );
        let Some(status) = status else { return };
        assert!(
            status.success(),
            "daemon {i} failed as it stopped: {status}"
        );
        daemon.stopping = None;
        self.launch(i);
        let span = told..Instant::now();
        let whom = Whom::Daemon(i);
        self.over.push(Disturbance { whom, span });
    }

    /// What was done, for the oracle.
    pub fn record(&self) -> Record {
        Record {
            made: self.made.clone(),
            starts: self.starts.clone(),
            disturbances: self.over.clone(),
        }
    }
}

/// The program for the next start of daemon `i`, which was started `before` times:
/// `SETTINGS_PROGRAM` or this build. With `SETTINGS_MIXED` each start of a daemon
/// takes the other of the two, and daemons with an even index begin with
/// `SETTINGS_PROGRAM`, so that the fleet is rolled both ways.
fn program(i: usize, before: usize) -> String {
    let this_build = env!("CARGO_BIN_EXE_comfreyhalld");
    let mixed = std::env::var("SETTINGS_MIXED").is_ok_and(|m| !m.is_empty());
    match std::env::var("SETTINGS_PROGRAM") {
        Ok(other) if !mixed || (i + before).is_multiple_of(2) => other,
        _ => this_build.into(),
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        // The logs of a failed run are kept: they say why it failed.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

const FRONT: u16 = 8_149;
const READY: u16 = 8_141;
const DIRECTORY: u16 = 8_143;
const PEERS: u16 = 8_144;
const METRICS: u16 = 8_146;

fn domain(i: usize) -> String {
    format!("z{}", i % DOMAINS)
}

/// Loopback addresses that no other run has, while this is held.
struct Net {
    number: u32,
    _held: TcpListener,
}

impl Net {
    fn take() -> Self {
        let begin = std::process::id();
        let all = (0..NETS).map(|at| FIRST_NET + (begin + at) % NETS);
        let mut free = all.filter_map(|number| {
            let held = TcpListener::bind(format!("127.{number}.255.254:{FRONT}")).ok()?;
            Some(Self {
                number,
                _held: held,
            })
        });
        free.next().expect("fewer runs at once than nets")
    }

    /// The address of daemon `i`.
    fn ip(&self, i: usize) -> String {
        format!("127.{}.{}.{}", self.number, i / 200, i % 200 + 1)
    }
}

/// Loopback nets that runs may take.
const FIRST_NET: u32 = 64;
const NETS: u32 = 128;

async fn start_targets(store: &Store) {
    for (service, count) in [("llm", 3), ("app", 3), ("alt", 3)] {
        for at in 0..count {
            let worker = Target::new(&format!("{service}{at}"), Arc::new(Mutex::new(0)));
            let addr = start_target(worker.clone()).await;
            let mut said = target_entry(service, &addr, "ready");
            said["zone"] = json!(domain(at));
            store.put("servers", &worker.id, &said);
        }
    }
}
