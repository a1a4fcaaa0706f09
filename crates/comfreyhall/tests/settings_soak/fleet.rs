//! A fleet of daemon processes on the emulated platform, and the faults that are
//! injected into it.

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
    history::{self, NewestVersion},
    oracle::{Disturbance, Record, Scope, Version},
};

/// Failure domains.
const DOMAINS: usize = 3;

/// Number of daemons that every daemon lists as seeds.
const SEED_DAEMONS: usize = 3;

/// Longest time a fleet may take to start.
const MAX_START_TIME: Duration = Duration::from_secs(60);

/// Time the settings give a daemon to stop after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);

/// Minimum uptime before SIGTERM: a younger process may not have executed the
/// daemon's program yet.
const MIN_UPTIME: Duration = Duration::from_secs(1);

/// How long invalid settings stay before the next valid version.
const INVALID_DURATION: Duration = Duration::from_millis(300);

/// Size of the fleet and its settings.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    /// Approximate size of the settings, in KB.
    pub kb: usize,
    /// Bandwidth of each link to the store, in KB/s.
    pub link_kb: u64,
}

/// What is done to end a fault.
#[derive(Debug, Clone)]
pub enum Recovery {
    RestoreStore,
    ResumeStore,
    RestoreLinks(Vec<usize>),
    Restart(usize),
    Unfreeze(usize),
    PublishVersion,
}

struct ActiveFault {
    scope: Scope,
    started_at: Instant,
    ends_at: Instant,
    recovery: Recovery,
}

struct Daemon {
    child: Option<Child>,
    started_at: Instant,
    /// When SIGTERM was sent, while the process is still running.
    stop_sent: Option<Instant>,
    ip: String,
    settings: PathBuf,
    link: Link,
}

/// The daemons and their platform.
pub struct Fleet {
    pub store: Arc<Store>,
    pub newest: NewestVersion,
    pub dir: PathBuf,
    daemons: Vec<Daemon>,
    size: Size,
    versions: Vec<Version>,
    starts: Vec<(usize, Instant)>,
    disturbances: Vec<Disturbance>,
    active_faults: Vec<ActiveFault>,
    /// Index of the daemon that was last considered for a planned stop.
    last_stopped: usize,
    network: LoopbackNet,
}

impl Fleet {
    /// Starts all daemons at once and waits until they are ready.
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
            versions: Vec::new(),
            starts: Vec::new(),
            disturbances: Vec::new(),
            active_faults: Vec::new(),
            last_stopped: 0,
            network: LoopbackNet::reserve(),
        };
        fleet.publish_version();
        for i in 0..size.daemons {
            fleet.add_daemon(i, &addr).await;
        }
        for i in 0..size.daemons {
            fleet.launch(i);
        }
        let start_time = Instant::now();
        for i in 0..size.daemons {
            let addr = format!("{}:{READY_PORT}", fleet.daemons[i].ip);
            while !is_ready(&addr).await {
                assert!(
                    start_time.elapsed() < MAX_START_TIME,
                    "daemon {i} is not ready after {MAX_START_TIME:?}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!(
            "ready after {:?}, {}",
            start_time.elapsed(),
            fleet.traffic()
        );
        fleet
    }

    async fn add_daemon(&mut self, i: usize, store: &str) {
        let link = Link::start(store, self.size.link_kb << 10).await;
        let at = |port: u16| format!("{}:{port}", self.network.ip(i));
        let seeds: Vec<String> = (0..SEED_DAEMONS)
            .map(|s| format!("{}:{PEERS_PORT}", self.network.ip(s)))
            .collect();
        let settings = json!({"id": format!("n{i}"), "domain": domain(i),
            "listen": {"front": at(FRONT_PORT), "ready": at(READY_PORT), "directory": at(DIRECTORY_PORT),
                "peers": at(PEERS_PORT), "metrics": at(METRICS_PORT)},
            "seeds": seeds, "store": link.addr, "cores": 0.12,
            "bounds": {"grace_s": GRACE.as_secs(), "drain_ms": 3000, "lease_ms": 3000,
                "apply_ms": super::oracle::APPLY_LIMIT.as_millis() as u64, "version_ms": 5000,
                "address_s": 5, "retry_ratio": 0.2, "retry_allowance": 220, "retry_s": 10,
                "fencing": false, "return_s": 2}});
        let path = self.dir.join(format!("n{i}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        self.daemons.push(Daemon {
            child: None,
            started_at: Instant::now(),
            stop_sent: None,
            ip: self.network.ip(i),
            settings: path,
            link,
        });
    }

    fn launch(&mut self, i: usize) {
        let earlier_starts = self.starts.iter().filter(|(d, _)| *d == i).count();
        let program = program(i, earlier_starts);
        let daemon = &mut self.daemons[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(daemon.settings.with_extension("log"))
            .unwrap();
        // Recorded before the spawn, so that no answer precedes the recorded start.
        daemon.started_at = Instant::now();
        self.starts.push((i, daemon.started_at));
        let child = Command::new(program)
            .arg("--platform")
            .env("COMFREYHALL_NODE_FILE", &daemon.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        daemon.child = Some(child.unwrap());
    }

    pub fn front_addrs(&self) -> Vec<String> {
        let front_addrs = self
            .daemons
            .iter()
            .map(|d| format!("{}:{FRONT_PORT}", d.ip));
        front_addrs.collect()
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    pub fn version_count(&self) -> usize {
        self.versions.len()
    }

    pub fn fault_count(&self) -> usize {
        self.disturbances.len()
    }

    /// Whether no fault is active and no daemon is stopping.
    pub fn is_idle(&self) -> bool {
        self.active_faults.is_empty() && self.daemons.iter().all(|d| d.stop_sent.is_none())
    }

    /// Summary of the calls to the store and the bytes over its links so far.
    pub fn traffic(&self) -> String {
        let bytes: u64 = self.daemons.iter().map(|d| d.link.forwarded_bytes()).sum();
        let calls = self.store.calls.lock().unwrap().len();
        format!(
            "{calls} reads and commits, {} KB to and from the store",
            bytes >> 10
        )
    }

    /// Publishes the next version of the settings.
    pub fn publish_version(&mut self) {
        let number = self.versions.len() as u64 + 1;
        let config = history::config(number, self.size.kb);
        let sent = Instant::now();
        self.store.put("op", "config", &config);
        self.newest.store(number, Ordering::SeqCst);
        let acked = Instant::now();
        self.versions.push(Version {
            number,
            sent,
            acked,
        });
    }

    /// Publishes settings that cannot be parsed; the next valid version follows after
    /// [`INVALID_DURATION`].
    pub fn publish_invalid(&mut self) {
        let invalid = history::invalid(self.versions.len() as u64 + 1);
        self.store.put("op", "config", &invalid);
        self.begin_fault(Scope::All, INVALID_DURATION, Recovery::PublishVersion);
    }

    /// Records a fault that is about to be injected.
    pub fn begin_fault(&mut self, scope: Scope, duration: Duration, recovery: Recovery) {
        let started_at = Instant::now();
        self.active_faults.push(ActiveFault {
            scope,
            started_at,
            ends_at: started_at + duration,
            recovery,
        });
    }

    fn is_busy(&self, i: usize) -> bool {
        let affects = |a: &ActiveFault| matches!(a.recovery, Recovery::Restart(d) | Recovery::Unfreeze(d) if d == i);
        self.daemons[i].stop_sent.is_some() || self.active_faults.iter().any(affects)
    }

    /// Kills daemons; they restart together after `ms`.
    pub fn kill(&mut self, indices: &[usize], ms: u64) {
        for &i in indices {
            if self.is_busy(i) {
                continue;
            }
            self.begin_fault(
                Scope::Daemon(i),
                Duration::from_millis(ms),
                Recovery::Restart(i),
            );
            let mut child = self.daemons[i].child.take().unwrap();
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Suspends a daemon with SIGSTOP.
    pub fn freeze(&mut self, i: usize, duration: Duration) {
        if !self.is_busy(i) {
            self.begin_fault(Scope::Daemon(i), duration, Recovery::Unfreeze(i));
            self.signal(i, Signal::SIGSTOP);
        }
    }

    /// Sends SIGTERM to the next `count` daemons in turn; each restarts once it has
    /// stopped.
    pub fn stop_next(&mut self, count: usize) {
        for _ in 0..count {
            self.last_stopped = (self.last_stopped + 1) % self.daemons.len();
            let i = self.last_stopped;
            if !self.is_busy(i) && self.daemons[i].started_at.elapsed() > MIN_UPTIME {
                self.daemons[i].stop_sent = Some(Instant::now());
                self.signal(i, Signal::SIGTERM);
            }
        }
    }

    fn signal(&self, i: usize, signal: Signal) {
        let pid = self.daemons[i].child.as_ref().unwrap().id() as i32;
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    /// Scopes of a fault in the links of the daemons in `indices`.
    fn scopes(&self, indices: &[usize]) -> Vec<Scope> {
        match indices.len() == self.daemons.len() {
            true => vec![Scope::All],
            false => indices.iter().map(|i| Scope::Daemon(*i)).collect(),
        }
    }

    fn begin_link_fault(&mut self, indices: &[usize], duration: Duration) {
        for (at, scope) in self.scopes(indices).into_iter().enumerate() {
            let links = if at == 0 {
                indices.to_vec()
            } else {
                Vec::new()
            };
            self.begin_fault(scope, duration, Recovery::RestoreLinks(links));
        }
    }

    /// Puts the links of the daemons in `indices` to the store into a faulty mode.
    pub fn set_link_mode(&mut self, indices: &[usize], mode: Mode, duration: Duration) {
        self.begin_link_fault(indices, duration);
        for &i in indices {
            self.daemons[i].link.set_mode(mode);
        }
    }

    /// Limits the links of the daemons in `indices` to the store to `kb` KB/s.
    pub fn limit_bandwidth(&mut self, indices: &[usize], kb: u64, duration: Duration) {
        self.begin_link_fault(indices, duration);
        for &i in indices {
            self.daemons[i].link.set_bandwidth(kb << 10);
        }
    }

    /// Ends the faults that have run their time, or all of them, and restarts the
    /// daemons that have stopped.
    pub async fn end_faults(&mut self, all: bool) {
        let now = Instant::now();
        let has_ended = |a: &mut ActiveFault| all || now >= a.ends_at;
        let ended: Vec<ActiveFault> = self.active_faults.extract_if(.., has_ended).collect();
        for fault in ended {
            match fault.recovery {
                Recovery::RestoreStore => self.store.down.store(false, Ordering::SeqCst),
                Recovery::ResumeStore => self.store.hang_calls.store(false, Ordering::SeqCst),
                Recovery::Restart(i) => self.launch(i),
                Recovery::Unfreeze(i) => self.signal(i, Signal::SIGCONT),
                Recovery::PublishVersion => self.publish_version(),
                Recovery::RestoreLinks(indices) => {
                    for i in indices {
                        self.daemons[i].link.set_mode(Mode::Open);
                        self.daemons[i].link.set_bandwidth(self.size.link_kb << 10);
                    }
                }
            }
            let span = fault.started_at..Instant::now();
            let scope = fault.scope;
            self.disturbances.push(Disturbance { scope, span });
        }
        for i in 0..self.daemons.len() {
            self.restart_if_stopped(i);
        }
    }

    /// Restarts daemon `i` if it has stopped after SIGTERM. Panics if it takes too
    /// long or fails.
    fn restart_if_stopped(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let Some(sent_at) = daemon.stop_sent else {
            return;
        };
        let overdue = sent_at.elapsed() > 2 * GRACE;
        let status = daemon.child.as_mut().unwrap().try_wait().unwrap();
        assert!(
            !overdue || status.is_some(),
            "daemon {i} did not stop after SIGTERM"
        );
        let Some(status) = status else { return };
        assert!(
            status.success(),
            "daemon {i} failed while stopping: {status}"
        );
        daemon.stop_sent = None;
        self.launch(i);
        let span = sent_at..Instant::now();
        let scope = Scope::Daemon(i);
        self.disturbances.push(Disturbance { scope, span });
    }

    /// The versions, starts and disturbances so far, for the oracle.
    pub fn record(&self) -> Record {
        Record {
            versions: self.versions.clone(),
            starts: self.starts.clone(),
            disturbances: self.disturbances.clone(),
        }
    }
}

/// The program for the next start of daemon `i`, which was started `earlier_starts`
/// times: `SETTINGS_PROGRAM` or this build. With `SETTINGS_MIXED` each start of a daemon
/// takes the other of the two, and daemons with an even index begin with
/// `SETTINGS_PROGRAM`, so that the fleet is rolled both ways.
fn program(i: usize, earlier_starts: usize) -> String {
    let this_build = env!("CARGO_BIN_EXE_comfreyhalld");
    let mixed = std::env::var("SETTINGS_MIXED").is_ok_and(|m| !m.is_empty());
    match std::env::var("SETTINGS_PROGRAM") {
        Ok(other) if !mixed || (i + earlier_starts).is_multiple_of(2) => other,
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
        // Keep the logs of a failed run for diagnosis.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const DIRECTORY_PORT: u16 = 8_143;
const PEERS_PORT: u16 = 8_144;
const METRICS_PORT: u16 = 8_146;

fn domain(i: usize) -> String {
    format!("z{}", i % DOMAINS)
}

/// A loopback network that is reserved for this run while the value lives.
struct LoopbackNet {
    number: u32,
    _reservation: TcpListener,
}

impl LoopbackNet {
    fn reserve() -> Self {
        let offset = std::process::id();
        let all = (0..NETWORK_COUNT).map(|at| FIRST_NETWORK + (offset + at) % NETWORK_COUNT);
        let mut free = all.filter_map(|number| {
            let listener = TcpListener::bind(format!("127.{number}.255.254:{FRONT_PORT}")).ok()?;
            Some(Self {
                number,
                _reservation: listener,
            })
        });
        free.next().expect("a free loopback network")
    }

    /// The IP address of daemon `i`.
    fn ip(&self, i: usize) -> String {
        format!("127.{}.{}.{}", self.number, i / 200, i % 200 + 1)
    }
}

/// Second octets of the loopback networks that runs may reserve.
const FIRST_NETWORK: u32 = 64;
const NETWORK_COUNT: u32 = 128;

async fn start_targets(store: &Store) {
    for (service, count) in [("llm", 3), ("app", 3), ("alt", 3)] {
        for at in 0..count {
            let target = Target::new(&format!("{service}{at}"), Arc::new(Mutex::new(0)));
            let addr = start_target(target.clone()).await;
            let mut entry = target_entry(service, &addr, "ready");
            entry["zone"] = json!(domain(at));
            store.put("servers", &target.id, &entry);
        }
    }
}
