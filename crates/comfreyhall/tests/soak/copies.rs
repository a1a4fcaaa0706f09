//! A store that comes back from copies, and what must hold in the end.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use serde_json::json;

use super::{
    Fleet,
    emulator::{
        Rows,
        caller::{Caller, PathOutcome},
        commands, safe_route,
    },
};

/// Longest age of a copy.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Lease term of the daemons.
const LEASE_TERM: Duration = Duration::from_millis(3_000);

/// Time in which a change is in force.
pub const BOUND: Duration = Duration::from_secs(2);

/// How long revoked keys are sent after the end.
const KEYS_AFTER: Duration = Duration::from_millis(500);

const PAUSE: Duration = Duration::from_millis(50);

/// Copies of the store, the oldest first.
#[derive(Default)]
pub struct Copies(VecDeque<(Instant, Rows)>);

impl Copies {
    /// Adds a copy made now.
    pub fn add(&mut self, copy: Rows) {
        self.0.push_back((Instant::now(), copy));
        while self.0.front().is_some_and(|(at, _)| at.elapsed() > MAX_AGE) {
            self.0.pop_front();
        }
    }

    /// Any of the copies, with its time; those that were made after it are gone with the
    /// store.
    pub fn take(&mut self, rng: &mut StdRng) -> Option<(Instant, Rows)> {
        let at = rng.random_range(0..self.0.len().max(1));
        let copy = self.0.get(at)?.clone();
        self.0.truncate(at + 1);
        Some(copy)
    }
}

impl Fleet {
    /// What the operators and the targets write again after the store came back.
    pub fn write_again(&mut self) {
        self.put_config();
        for (host, _) in &self.targets {
            host.write_entry_again();
        }
    }

    /// What lease holders did to the engines that two holders at once do.
    pub fn holder_problems(&self) -> Vec<String> {
        let boots = self.targets.iter().flat_map(|(host, _)| host.boots());
        let boots: Vec<_> = boots.collect();
        let logs: Vec<_> = boots.iter().map(|b| b.commands.lock().unwrap()).collect();
        let commands: usize = logs.iter().map(|l| l.len()).sum();
        println!("{commands} commands to engines");
        commands::holder_problems(logs.iter().map(|l| &**l), LEASE_TERM)
    }

    /// Adds a route; says which daemons do not serve it in time.
    pub async fn late_daemons(&mut self) -> Vec<String> {
        self.version += 3;
        let mut config = (self.routes)(self.version);
        let routes = config["routes"].as_array_mut().unwrap();
        let mut last = safe_route("last", "/last/", "app");
        last["public"] = json!(true);
        routes.push(last);
        self.store.put("op", "config", &config);
        self.changes.lock().unwrap().add(self.version);
        tokio::time::sleep(BOUND).await;
        let mut late = Vec::new();
        for (i, daemon) in self.daemons.iter().enumerate() {
            let began = Instant::now();
            loop {
                let id = format!("last{i}-{}", began.elapsed().as_millis());
                let outcome = Caller::default()
                    .send_path(&daemon.front, "/last/x", &id)
                    .await;
                match outcome {
                    PathOutcome::AnsweredBy(_) => break,
                    // Targets may still be on their way back.
                    PathOutcome::Status(503) if began.elapsed() < BOUND => {
                        tokio::time::sleep(PAUSE).await;
                    }
                    other => {
                        late.push(format!("n{i} does not serve the last route: {other:?}"));
                        break;
                    }
                }
            }
        }
        // The keys that the last configurations revoked are sent on.
        tokio::time::sleep(KEYS_AFTER).await;
        late
    }
}
