//! A small deployment on loopback: the store, daemons as the deploy file starts them, and
//! workers, each a process.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use serde_json::{Value, json};

use crate::{engine::MODEL, http, store::Store};

/// What the operator's pages and the sheets of the smaller sites set.
const BEAT: Duration = Duration::from_millis(1_200);
pub const HOST: &str = "ficu95.example";
const ZONES: [&str; 3] = ["ikeja-hall", "lekki-hall", "yaba-hall"];

/// The entries that live workers write.
type Entries = Arc<Mutex<BTreeMap<String, Value>>>;

pub struct Platform {
    pub dir: PathBuf,
    root: PathBuf,
    net: [u8; 2],
    pub store: Arc<Store>,
    store_addr: SocketAddr,
    entries: Entries,
    daemons: BTreeMap<usize, Child>,
    workers: BTreeMap<String, Child>,
    record: Mutex<File>,
    began: Instant,
}

/// How a worker is started.
#[derive(Clone)]
pub struct Plan {
    pub service: &'static str,
    pub slots: usize,
    /// Places for adapters, if it is an engine; otherwise 0.
    pub adapters: usize,
}

impl Platform {
    /// Starts the store on a free loopback network; `record` gets what happens.
    pub fn start(root: PathBuf, record: PathBuf) -> Platform {
        let seed = std::process::id() as usize;
        let free =
            |n: &[u8; 2]| TcpListener::bind((Ipv4Addr::new(127, n[0], n[1], 200), 8142)).is_ok();
        let nets = (0..200).map(|n| [10 + ((seed + n) % 240) as u8, (seed / 240 % 250) as u8]);
        let net = nets
            .into_iter()
            .find(free)
            .expect("a loopback network is free");
        let store_addr = SocketAddr::from(([127, net[0], net[1], 200], 8142));
        let dir = std::env::temp_dir().join(format!("review-2-{seed}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let platform = Platform {
            dir,
            root,
            net,
            store: Store::start(store_addr),
            store_addr,
            entries: Entries::default(),
            daemons: BTreeMap::new(),
            workers: BTreeMap::new(),
            record: Mutex::new(File::create(record).expect("the record can be written")),
            began: Instant::now(),
        };
        let (entries, store) = (platform.entries.clone(), platform.store.clone());
        std::thread::spawn(move || {
            loop {
                for (id, entry) in entries.lock().unwrap().iter_mut() {
                    refresh(entry);
                    store.put("servers", id, Some(entry));
                }
                std::thread::sleep(BEAT);
            }
        });
        platform
    }

    pub fn note(&self, what: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:7.3} {what}");
    }

    /// The operator's configuration.
    pub fn configure(&self, routes: Value, services: Value) {
        let config = json!({
            "version": 7, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        });
        self.store.put("op", "config", Some(&config));
    }

    pub fn daemon_addr(&self, n: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net[0], self.net[1], 10 + n as u8], port))
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        self.daemon_addr(n, 8149)
    }

    /// The settings of daemon `n`: the template of the deploy file, filled in.
    fn settings(&self, n: usize, first: bool) -> String {
        let template = fs::read_to_string(self.root.join("deploy/settings.jsonc"));
        let mut text = template.expect("the settings template");
        // No seeds but the first machines, and no field that these sheets leave out.
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("\"{}\"", self.daemon_addr(n, 8144)))
            .collect();
        let addr = |port| json!(self.daemon_addr(n, port).to_string()).to_string();
        while let Some(from) = text.find("{{#") {
            let name = text[from + 3..].split("}}").next().unwrap().to_string();
            let close = format!("{{{{/{name}}}}}");
            let to = text[from..].find(&close).unwrap() + from + close.len();
            let filled = if name == "seeds" {
                seeds.join(",")
            } else {
                String::new()
            };
            text.replace_range(from..to, &filled);
        }
        let values = [
            ("node-name|json", json!(format!("front-{n}")).to_string()),
            ("zone|json", json!(ZONES[n % 3]).to_string()),
            ("listen-addresses.front|json", addr(8149)),
            ("listen-addresses.readiness|json", addr(8141)),
            ("listen-addresses.directory|json", addr(8143)),
            ("listen-addresses.control|json", addr(8144)),
            ("ip-address", self.daemon_addr(n, 0).ip().to_string()),
            ("first-start|json", first.to_string()),
            ("limits.cpu-share|json", "0.25".to_string()),
            (
                "platform.address|json",
                json!(self.store_addr.to_string()).to_string(),
            ),
            ("bounds.grace-s|json", "8".to_string()),
            ("bounds.drain-ms|json", "2000".to_string()),
            ("bounds.lease-ms|json", "3000".to_string()),
            ("bounds.configuration-apply-ms|json", "2000".to_string()),
            ("bounds.version_ms|json", "5000".to_string()),
            ("bounds.ttl_max_s|json", "5".to_string()),
            ("bounds.retry-budget-ratio|json", "0.2".to_string()),
            ("bounds.retry-budget-slack|json", "54".to_string()),
            ("bounds.budget-window-s|json", "10".to_string()),
            ("bounds.require-fencing|json", "true".to_string()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "the template has fields that are not filled in: {text}"
        );
        text
    }

    /// Starts daemon `n` with the command of the deploy file.
    pub fn start_daemon(&mut self, n: usize, first: bool) {
        let path = self.dir.join(format!("daemon-{n}.jsonc"));
        fs::write(&path, self.settings(n, first)).expect("settings can be written");
        let log = self.dir.join(format!("daemon-{n}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let daemon = Command::new(self.root.join("target/release/comfreyhalld"))
            .arg("--platform")
            .current_dir(&self.root)
            .env_clear()
            .envs(std::env::vars().filter(|(k, _)| ["PATH", "HOME", "LANG"].contains(&&**k)))
            .env("COMFREYHALL_NODE_FILE", &path)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.daemons.insert(n, daemon.expect("the daemon is built"));
        self.note(&format!("daemon {n} started"));
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let addr = self.daemon_addr(n, 8141);
        let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        http::call(addr, &request, Duration::from_secs(1)).status == 200
    }

    /// Waits until daemons `0..count` are ready, and some seconds more.
    pub fn await_ready(&self, count: usize) -> bool {
        let ends = Instant::now() + Duration::from_secs(15);
        while !(0..count).all(|n| self.is_ready(n)) {
            if Instant::now() > ends {
                self.note("the daemons did not become ready");
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(4));
        self.note("all daemons are ready");
        true
    }

    pub fn worker_log(&self) -> PathBuf {
        self.dir.join("workers.log")
    }

    /// Starts the worker `id` at its address and enters it in the store.
    pub fn start_worker(&mut self, n: u8, id: &str, plan: &Plan) {
        let addr = SocketAddr::from(([127, self.net[0], self.net[1], 100 + n], 8501));
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap();
        let born = born.as_millis() as u64;
        let worker = Command::new(std::env::current_exe().unwrap())
            .args(["worker", &addr.to_string(), id, &plan.slots.to_string()])
            .args([plan.adapters.to_string(), born.to_string()])
            .arg(self.worker_log())
            .stdin(Stdio::null())
            .spawn();
        self.workers
            .insert(id.to_string(), worker.expect("this program can be started"));
        let entry = json!({
            "service": plan.service, "address": addr.to_string(), "zone": ZONES[n as usize % 3],
            "version": "v1", "slots": plan.slots, "state": "ready", "cold-remaining-ms": 0,
            "sequence": 0, "born": born,
        });
        let mut entry = entry;
        if plan.adapters > 0 {
            entry["stage"] = json!("both");
            entry["models"] = json!([{"name": MODEL, "version": 1, "adapters": []}]);
        }
        self.enter(id, entry);
        self.note(&format!("worker {id} started at {addr}"));
    }

    fn enter(&self, id: &str, entry: Value) {
        self.store.put("servers", id, Some(&entry));
        self.entries.lock().unwrap().insert(id.to_string(), entry);
    }

    /// Marks the worker `id` as `what`, or no longer.
    pub fn mark(&self, id: &str, what: &str, on: bool) {
        let path = self.worker_log().with_extension(format!("{id}.{what}"));
        match on {
            true => fs::write(path, "").expect("a temporary file"),
            false => fs::remove_file(path).expect("it was marked"),
        }
        self.note(&format!("worker {id} {what}: {on}"));
    }

    /// The worker's process is killed; its entry lapses after three intervals of silence.
    pub fn kill_worker(&mut self, id: &str) {
        self.entries.lock().unwrap().remove(id);
        if let Some(mut worker) = self.workers.remove(id) {
            let _ = worker.kill();
            let _ = worker.wait();
        }
        self.note(&format!("worker {id} killed"));
    }

    /// Sends a signal to daemon `n`.
    pub fn signal(&self, n: usize, signal: &str) {
        let pid = self.daemons[&n].id().to_string();
        let _ = Command::new("kill")
            .args([format!("-{signal}"), pid])
            .status();
        self.note(&format!("daemon {n}: SIG{signal}"));
    }

    /// Starts daemon `n` again if it has ended by itself, after a short delay; whether it had.
    pub fn restart_ended(&mut self, n: usize) -> bool {
        let daemon = self.daemons.get_mut(&n).expect("a daemon that was started");
        let Ok(Some(status)) = daemon.try_wait() else {
            return false;
        };
        self.note(&format!("daemon {n} has ended by itself: {status}"));
        std::thread::sleep(Duration::from_millis(200));
        self.start_daemon(n, false);
        true
    }

    /// Copies what the workers wrote down into the record.
    pub fn record_runs(&self) -> String {
        let runs = fs::read_to_string(self.worker_log()).unwrap_or_default();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "\nwhat the workers ran:\n{runs}");
        runs
    }
}

/// Brings the entry of an engine up to date with what it reports.
fn refresh(entry: &mut Value) {
    let address = entry["address"].as_str().and_then(|a| a.parse().ok());
    let (Some(address), true) = (address, entry["models"].is_array()) else {
        return;
    };
    let request = format!("GET /-/report HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let reply = http::call(address, &request, Duration::from_millis(300));
    if let Ok(report) = serde_json::from_slice::<Value>(&reply.body) {
        entry["models"] = report["models"].clone();
        entry["sequence"] = report["sequence"].clone();
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for child in self.daemons.values_mut().chain(self.workers.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
