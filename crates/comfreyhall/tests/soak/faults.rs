//! What is done to daemons, targets, links and the store.

use std::{
    ops::Range,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::Rng;

use super::{
    DAEMONS, ENGINES, FAULT_AFTERMATH, Fleet, GRACE, emulator::caller::is_ready, support::Wire,
};

/// A link whose proxy can inject faults.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    /// From a daemon to the store.
    Store(usize),
    /// From all daemons to a target.
    Target(usize),
}

/// What is done to end a fault.
#[derive(Debug, Clone, Copy)]
pub enum Recovery {
    Unfreeze(usize),
    /// Restart a killed daemon.
    Restart(usize),
    /// Restart a daemon once it has stopped after SIGTERM.
    AwaitStop(usize),
    RestoreStore,
    ResumeStore,
    RestoreLink(Link),
    /// The operators and the targets write again what the store's copy lacks.
    WriteAgain,
}

/// A fault or planned stop in progress.
pub struct ActiveFault {
    pub started_at: Instant,
    pub ends_at: Instant,
    pub recovery: Recovery,
}

impl Fleet {
    pub fn random_duration(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Whether daemon `i` is neither frozen, killed nor stopping.
    pub fn is_idle(&self, i: usize) -> bool {
        let affects = |a: &ActiveFault| matches!(a.recovery, Recovery::Unfreeze(d) | Recovery::Restart(d) | Recovery::AwaitStop(d) if d == i);
        !self.active_faults.iter().any(affects)
    }

    /// Records a fault that began at `started_at`. Callers of this method take that
    /// time before they inject the fault, as its effects may be seen before this
    /// process continues.
    pub fn begin_fault(&mut self, started_at: Instant, duration: Duration, recovery: Recovery) {
        let ends_at = started_at + duration;
        self.active_faults.push(ActiveFault {
            started_at,
            ends_at,
            recovery,
        });
    }

    /// Does planned operator work, which may not truncate any request.
    ///
    /// Only daemons that are ready get signals: a process that has just been started
    /// may not have executed the daemon's program yet, and any signal would end it.
    pub async fn planned_work(&mut self) {
        let i = self.rng.random_range(0..self.daemons.len());
        let up = self.is_idle(i) && is_ready(&self.daemons[i].ready).await;
        match self.rng.random_range(0..3) {
            0 if up => {
                self.daemons[i].signal(Signal::SIGTERM);
                self.stops.push((i, Instant::now()));
                // Adds time for the machine to end the process.
                self.begin_fault(
                    Instant::now(),
                    GRACE + FAULT_AFTERMATH,
                    Recovery::AwaitStop(i),
                );
            }
            1 if up => self.daemons[i].signal(Signal::SIGHUP),
            _ => self.change_config(),
        }
    }

    /// Puts the next version of the configuration in force.
    pub fn change_config(&mut self) {
        self.version += 3;
        self.put_config();
    }

    /// Writes the configuration of the latest version.
    pub fn put_config(&mut self) {
        let config = (self.routes)(self.version);
        self.store.put("op", "config", &config);
        self.changes.lock().unwrap().add(self.version);
    }

    /// Injects an unplanned fault, which may overlap with others.
    pub fn inject_fault(&mut self) {
        let started_at = Instant::now();
        let duration = self.random_duration(200..2_500);
        let i = self.rng.random_range(0..DAEMONS);
        let link = match self.rng.random_range(0..3) {
            0 => Link::Store(i),
            1 => Link::Target(self.rng.random_range(0..ENGINES)),
            _ => Link::Target(self.rng.random_range(ENGINES..self.targets.len())),
        };
        match self.rng.random_range(0..10) {
            0 if self.is_idle(i) => {
                self.scene.set_up(i, false);
                self.daemons[i].kill();
                self.begin_fault(started_at, duration, Recovery::Restart(i));
            }
            1 if self.is_idle(i) => {
                self.daemons[i].signal(Signal::SIGSTOP);
                self.begin_fault(started_at, duration, Recovery::Unfreeze(i));
            }
            2 => {
                self.store.down.store(true, Ordering::SeqCst);
                self.begin_fault(started_at, duration, Recovery::RestoreStore);
            }
            3 => {
                self.store.hang_commits.store(true, Ordering::SeqCst);
                self.begin_fault(started_at, duration, Recovery::ResumeStore);
            }
            4 | 5 => {
                self.wire(link).cut(true);
                self.begin_fault(started_at, duration, Recovery::RestoreLink(link));
            }
            6 => {
                self.wire(link).silence();
                self.begin_fault(started_at, Duration::ZERO, Recovery::RestoreLink(link));
            }
            7 => {
                self.wire(link).delay(150);
                self.begin_fault(started_at, duration, Recovery::RestoreLink(link));
            }
            8 => {
                self.wire(link).one_way(true);
                self.begin_fault(started_at, duration, Recovery::RestoreLink(link));
            }
            _ => {
                *self.stream_breaks.lock().unwrap() += 4;
                self.begin_fault(started_at, Duration::ZERO, Recovery::RestoreLink(link));
            }
        }
    }

    /// The store comes back from a copy, or the path to an engine refuses connections.
    pub fn inject_copy_fault(&mut self) {
        let started_at = Instant::now();
        let duration = self.random_duration(200..1_500);
        let link = Link::Target(self.rng.random_range(0..ENGINES));
        match self.rng.random_range(0..3) {
            0 => {
                if let Some((at, copy)) = self.copies.take(&mut self.rng) {
                    self.changes.lock().unwrap().lose_since(at);
                    self.store.restore(copy);
                    self.begin_fault(started_at, duration, Recovery::WriteAgain);
                }
            }
            _ => {
                self.wire(link).refuse(true);
                self.begin_fault(started_at, duration, Recovery::RestoreLink(link));
            }
        }
    }

    /// Kills daemon `i` if all run.
    pub fn kill_one(&mut self, i: usize) {
        let started_at = Instant::now();
        if self.active_faults.is_empty() {
            self.scene.set_up(i, false);
            self.daemons[i].kill();
            self.begin_fault(started_at, Duration::from_millis(500), Recovery::Restart(i));
        }
    }

    /// Kills a daemon if all run, or replaces an engine, or half of them.
    pub fn inject_rollout_fault(&mut self) {
        let i = self.rng.random_range(0..DAEMONS);
        let engines = &self.scene.engines;
        match self.rng.random_range(0..12) {
            0 | 1 if self.active_faults.is_empty() => self.kill_one(i),
            2 => engines.iter().step_by(2).for_each(|e| e.crash()),
            3 | 4 => engines[self.rng.random_range(0..engines.len())].crash(),
            _ => {}
        }
    }

    pub fn wire(&self, link: Link) -> &Wire {
        match link {
            Link::Store(i) => &self.daemons[i].store,
            Link::Target(t) => &self.targets[t].1,
        }
    }

    /// Ends the faults that have run their time, or all of them.
    pub fn end_faults(&mut self, all: bool) {
        let now = Instant::now();
        // Scripted stream breaks that remain can happen whenever a stream starts.
        if *self.stream_breaks.lock().unwrap() > 0 {
            self.faults.push(now..now);
        }
        for fault in std::mem::take(&mut self.active_faults) {
            let is_over = match fault.recovery {
                Recovery::AwaitStop(i) => self.restart_if_stopped(i, now >= fault.ends_at),
                _ => all || now >= fault.ends_at,
            };
            if !is_over {
                self.active_faults.push(fault);
                continue;
            }
            match fault.recovery {
                Recovery::AwaitStop(_) => continue,
                Recovery::Unfreeze(i) => self.daemons[i].signal(Signal::SIGCONT),
                Recovery::Restart(i) => {
                    self.daemons[i].start();
                    self.scene.set_up(i, true);
                }
                Recovery::RestoreStore => {
                    self.store.down.store(false, Ordering::SeqCst);
                    self.change_in_burst();
                }
                Recovery::ResumeStore => self.store.hang_commits.store(false, Ordering::SeqCst),
                Recovery::WriteAgain => self.write_again(),
                Recovery::RestoreLink(link) => {
                    let wire = self.wire(link);
                    wire.refuse(false);
                    wire.delay(0);
                    wire.one_way(false);
                }
            }
            self.faults.push(fault.started_at..Instant::now());
        }
    }

    /// Makes three configuration changes at once, if the seed has such bursts.
    pub fn change_in_burst(&mut self) {
        for _ in 0..if self.burst_changes { 3 } else { 0 } {
            self.change_config();
        }
    }

    /// Restarts daemon `i` if it has stopped after SIGTERM, and says whether it has.
    pub fn restart_if_stopped(&mut self, i: usize, overdue: bool) -> bool {
        let ended = self.daemons[i].try_wait();
        assert!(
            !overdue || ended.is_some(),
            "daemon {i} did not stop after SIGTERM"
        );
        let Some(status) = ended else { return false };
        assert!(
            status.success(),
            "daemon {i} failed while stopping: {status}"
        );
        self.daemons[i].start();
        true
    }
}
