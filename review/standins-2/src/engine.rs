//! What a worker has that is an engine: a model, places for adapters, and orders.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// The engine's only model.
pub const MODEL: &str = "m0";

/// How long an adapter takes to load, as on the sheets.
const LOAD: Duration = Duration::from_millis(250);

#[derive(Default)]
struct State {
    /// Orders accepted.
    sequence: u64,
    /// Highest fencing token seen.
    fence: u64,
    /// When each adapter is there, and how many runs use it.
    adapters: BTreeMap<String, (Instant, usize)>,
}

pub struct Engine {
    slots: usize,
    born: u64,
    state: Mutex<State>,
}

impl Engine {
    /// With places for `slots` adapters.
    pub fn new(slots: usize, born: u64) -> Self {
        Self {
            slots,
            born,
            state: Mutex::default(),
        }
    }

    /// Begins a run of `MODEL/ADAPTER` if that is there.
    pub fn begin(&self, model: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some((_, adapter)) = model.split_once('/') else {
            return model == MODEL;
        };
        match state.adapters.get_mut(adapter) {
            Some((ready, runs)) if *ready <= Instant::now() => {
                *runs += 1;
                true
            }
            _ => false,
        }
    }

    /// Ends a run.
    pub fn end(&self, model: &str) {
        let mut state = self.state.lock().unwrap();
        let adapter = model.split_once('/').map_or("", |(_, a)| a);
        if let Some((_, runs)) = state.adapters.get_mut(adapter) {
            *runs -= 1;
        }
    }

    /// What it says of itself.
    pub fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let of = |there: bool| {
            let adapters = state.adapters.iter();
            adapters.filter(move |(_, (ready, _))| (*ready <= now) == there)
        };
        let held: Vec<String> = of(true).map(|(a, _)| format!("{a}@1")).collect();
        let coming: Vec<String> = of(false).map(|(a, _)| format!("{MODEL}/{a}@1")).collect();
        let running: usize = state.adapters.values().map(|(_, runs)| runs).sum();
        json!({
            "stage": "both", "busy": false, "sequence": state.sequence, "waiting": 0,
            "running": running, "cache-used": 0, "cache-total": 120_000, "handles": 0,
            "models": [{"name": MODEL, "version": 1, "adapters": held}], "coming": coming,
            "born": self.born,
        })
    }

    /// Carries out an order, or not; the status of its answer.
    pub fn order(&self, body: &[u8]) -> u16 {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (Some(token), Some(adapter)) =
            (order["fencing-token"].as_u64(), order["adapter"].as_str())
        else {
            return 400;
        };
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            return 412;
        }
        state.fence = token;
        if order["expected"]
            .as_u64()
            .is_some_and(|n| n != state.sequence)
        {
            return 409;
        }
        let now = Instant::now();
        let known = state.adapters.get(adapter).copied();
        match (order["operation"].as_str(), known) {
            (Some("load"), Some((ready, _))) => return if ready <= now { 200 } else { 202 },
            (Some("load"), None) => {
                if state.adapters.len() >= self.slots {
                    // More than its places hold: it crashes.
                    std::process::exit(3);
                }
                state.adapters.insert(adapter.into(), (now + LOAD, 0));
                state.sequence += 1;
                return 202;
            }
            (Some("unload"), Some((_, 0))) => {
                state.adapters.remove(adapter);
            }
            // It waits for its runs; this engine has no such order carried out.
            (Some("unload"), Some(_)) => return 409,
            (Some("unload"), None) => return 200,
            _ => return 400,
        }
        state.sequence += 1;
        200
    }
}
