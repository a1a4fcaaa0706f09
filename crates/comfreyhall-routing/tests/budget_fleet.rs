//! The retries of a fleet whose instances restart, join and see different numbers
//! of others, against the bound for all of them together.

use comfreyhall_routing::RetryBudget;
use proptest::prelude::*;

const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 52.0;

/// Starts of one instance in a window that the budget covers.
const STARTS_PER_WINDOW: usize = 2;

#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    /// This many requests arrive at an instance.
    Requests(usize, usize),
    /// An instance retries as often as it may.
    Retry(usize),
    /// All instances do.
    RetryAll,
    Restart(usize),
    /// All instances lose their processes.
    RestartAll,
    /// An instance joins, and the others know of it.
    Join,
}

fn op() -> impl Strategy<Value = Op> {
    let instance = || 0..8usize;
    prop_oneof![
        4 => (1..6_000u64).prop_map(Op::Wait),
        3 => (instance(), 1..60usize).prop_map(|(i, n)| Op::Requests(i, n)),
        3 => instance().prop_map(Op::Retry),
        1 => Just(Op::RetryAll),
        1 => instance().prop_map(Op::Restart),
        1 => Just(Op::RestartAll),
        1 => Just(Op::Join),
    ]
}

struct Instance {
    budget: RetryBudget,
    starts: Vec<u64>,
}

impl Instance {
    fn new(now: u64) -> Self {
        Self {
            budget: RetryBudget::new(WINDOW_MS, RATIO, ALLOWANCE, now),
            starts: Vec::new(),
        }
    }

    fn restart(&mut self, now: u64) {
        let recent = self.starts.iter().filter(|at| now - **at <= WINDOW_MS);
        if recent.count() < STARTS_PER_WINDOW {
            self.starts.push(now);
            self.budget = RetryBudget::new(WINDOW_MS, RATIO, ALLOWANCE, now);
        }
    }
}

struct Fleet {
    now: u64,
    instances: Vec<Instance>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn retry(&mut self, index: usize) {
        let members = Some(self.instances.len());
        let now = self.now;
        let Some(instance) = self.instances.get_mut(index) else {
            return;
        };
        while instance.budget.try_retry(now, members) {
            self.retries.push(now);
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = self.now;
        match *op {
            Op::Wait(ms) => self.now += ms,
            Op::Requests(index, count) => {
                if let Some(instance) = self.instances.get_mut(index) {
                    (0..count).for_each(|_| instance.budget.record_request(now));
                    self.requests.extend(std::iter::repeat_n(now, count));
                }
            }
            Op::Retry(index) => self.retry(index),
            Op::RetryAll => (0..self.instances.len()).for_each(|i| self.retry(i)),
            Op::Restart(index) => {
                if let Some(instance) = self.instances.get_mut(index) {
                    instance.restart(now);
                }
            }
            Op::RestartAll => self.instances.iter_mut().for_each(|i| i.restart(now)),
            Op::Join => self.instances.push(Instance::new(now)),
        }
    }

    /// Events of `times` in the window that ends `before` ms ago.
    fn in_window(&self, times: &[u64], before: u64) -> f64 {
        let inside = |at: &&u64| {
            let age = self.now - **at;
            age >= before && age <= before + WINDOW_MS
        };
        times.iter().filter(inside).count() as f64
    }

    fn check(&self) {
        let windows = [0, WINDOW_MS / 2, WINDOW_MS];
        let requests = windows.map(|before| self.in_window(&self.requests, before));
        let most = requests.into_iter().fold(0.0, f64::max);
        let retries = self.in_window(&self.retries, 0);
        let allowed = RATIO * most + ALLOWANCE;
        assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against shares of the retry budget that add up to more than the whole.
    #[test]
    fn try_retry_fleet_stays_below_bound(ops in prop::collection::vec(op(), 1..80)) {
        let mut fleet = Fleet {
            now: WINDOW_MS,
            instances: (0..3).map(|_| Instance::new(0)).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for op in &ops {
            fleet.apply(op);
            fleet.check();
        }
    }
}
