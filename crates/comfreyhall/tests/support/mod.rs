//! Starts a small deployment of real processes on loopback for tests.
//!
//! Ports are picked free by the OS, the settings file is written to a fresh
//! temporary folder, and every process started is killed when the
//! [`Deployment`] drops, so a failing test leaves nothing running.

#![allow(dead_code)]

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

/// Longest a process may take to start answering.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A deployment of stand-ins and daemons on loopback.
pub struct Deployment {
    pub dir: PathBuf,
    pub settings: PathBuf,
    pub instances: Vec<String>,
    children: Vec<Child>,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

/// Settings text for `daemons` instances and `engines` engines on free ports.
pub fn settings_text(daemons: usize, engines: usize, slots: u32) -> (String, Vec<String>) {
    let domains = ["ikeja", "lekki", "yaba"];
    let mut instances = Vec::new();
    let mut text =
        String::from("// Written by the end-to-end tests.\n{ deployment: \"test\", instances: [\n");
    for i in 0..daemons {
        let addr = format!("127.0.0.1:{}", free_port());
        text.push_str(&format!(
            "  {{ id: \"d{i}\", domain: \"{}\", listen: \"{addr}\" }},\n",
            domains[i % 3]
        ));
        instances.push(addr);
    }
    text.push_str("], engines: [\n");
    for i in 0..engines {
        text.push_str(&format!(
            "  {{ id: \"e{i}\", domain: \"{}\", listen: \"127.0.0.1:{}\", slots: {slots}, width: 4 }},\n",
            domains[i % 3],
            free_port()
        ));
    }
    text.push_str(&format!(
        "], platform: {{ table: \"127.0.0.1:{}\", weights: \"127.0.0.1:{}\", objects: \"127.0.0.1:{}\", instances: \"127.0.0.1:{}\", loads_per_sec: 20.0 }},\n\
         tuning: {{ heartbeat_ms: 100, lease_ms: 400, poll_ms: 20, follow_ms: 50, address_ttl_ms: 500 }},\n\
         workload: {{ customers: 2, adapters: 20 }} }}\n",
        free_port(),
        free_port(),
        free_port(),
        free_port()
    ));
    (text, instances)
}

impl Deployment {
    /// Starts the stand-ins and `daemons` daemons, and waits until they answer.
    pub fn start(name: &str, daemons: usize, engines: usize, slots: u32) -> Self {
        let dir = std::env::temp_dir().join(format!("comfreyhall-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (text, instances) = settings_text(daemons, engines, slots);
        let settings = dir.join("settings.jsonc");
        std::fs::write(&settings, text).unwrap();
        let mut d = Self {
            dir,
            settings,
            instances,
            children: Vec::new(),
        };
        d.spawn(env!("CARGO_BIN_EXE_comfreyhall-standin"), &[], "standin");
        for i in 0..daemons {
            let id = format!("d{i}");
            d.spawn(
                env!("CARGO_BIN_EXE_comfreyhalld"),
                &["--instance", &id],
                &id,
            );
        }
        for addr in d.instances.clone() {
            d.wait_http(&addr);
        }
        d
    }

    fn spawn(&mut self, bin: &str, extra: &[&str], log: &str) {
        let log = std::fs::File::create(self.dir.join(format!("{log}.log"))).unwrap();
        let child = Command::new(bin)
            .arg("--settings")
            .arg(&self.settings)
            .args(extra)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.push(child);
    }

    fn wait_http(&self, addr: &str) {
        let begun = Instant::now();
        while begun.elapsed() < START_LIMIT {
            // Up is not enough: a daemon refuses work until it has read a
            // configuration.
            if let Ok((200, body)) = http(addr, "GET", "/v1/health", "", &[])
                && body.contains("serving")
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{addr} did not answer within {START_LIMIT:?}");
    }

    /// Runs the command line against this deployment.
    pub fn cli(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_comfreyhall"))
            .arg("--settings")
            .arg(&self.settings)
            .arg("--actor")
            .arg("test")
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs the command line and insists that it succeeds.
    pub fn cli_ok(&self, args: &[&str]) -> String {
        let out = self.cli(args);
        assert!(
            out.status.success(),
            "comfreyhall {args:?} failed: {}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8(out.stdout).unwrap()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for c in &mut self.children {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

/// One HTTP/1.1 exchange; returns the status and the body (chunks joined).
pub fn http(
    addr: &str,
    method: &str,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> std::io::Result<(u16, String)> {
    let mut s = TcpStream::connect(addr)?;
    s.set_read_timeout(Some(Duration::from_secs(30)))?;
    let mut req = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (k, v) in headers {
        req.push_str(&format!("{k}: {v}\r\n"));
    }
    req.push_str("\r\n");
    req.push_str(body);
    s.write_all(req.as_bytes())?;
    let mut raw = String::new();
    s.read_to_string(&mut raw)?;
    let status = raw
        .split(' ')
        .nth(1)
        .and_then(|c| c.parse().ok())
        .unwrap_or(0);
    let body = raw.split_once("\r\n\r\n").map(|x| x.1).unwrap_or("");
    Ok((status, body.to_string()))
}
