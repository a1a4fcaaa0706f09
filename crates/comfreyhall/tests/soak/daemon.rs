//! Processes of the daemon.

use std::{
    path::PathBuf,
    process::{Child, Command, ExitStatus},
    time::Instant,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use super::support::Wire;

/// One daemon process and its link to the store.
pub struct Daemon {
    pub child: Option<Child>,
    pub front: String,
    pub ready: String,
    pub settings: PathBuf,
    pub store: Wire,
    /// When its processes started.
    pub starts: Vec<Instant>,
}

impl Daemon {
    pub fn start(&mut self) {
        self.starts.push(Instant::now());
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        let program = std::env::var("SOAK_PROGRAM");
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_comfreyhalld").into());
        let child = Command::new(program)
            .arg("--platform")
            .env("COMFREYHALL_NODE_FILE", &self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().unwrap().id() as i32;
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// The exit status, once the process has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }
}
