//! Stateful fuzzing of configuration changes against a simple oracle.
//!
//! Operators make concurrent changes and daemons follow them through a table
//! whose calls are lost, applied without a reply, applied late or refused.
//! Daemons lose the table, sync from peers whose replies may be old, and restart.
//! The oracle is the list of configurations that the table accepted, in order,
//! and the result that each operator and daemon received.

use std::collections::BTreeMap;

use comfreyhall_catalog::{
    Catalog, CatalogError, Customer, Effects, Follower, Rows, Rule, Rules, Select, Terms, Version,
};
use comfreyhall_fakes::{CallOutcome, FakeTable, StatelessReference, Steps, call_outcomes};
use comfreyhall_protocol::SyncReply;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const OPERATORS: usize = 2;
const DAEMONS: usize = 3;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// `operator` applies a new configuration, based on the version it last saw
    /// or without a base.
    Apply {
        operator: usize,
        based: bool,
        fates: Vec<CallOutcome>,
    },
    /// `operator` adds a version to the one adapter.
    AddVersion {
        operator: usize,
        fates: Vec<CallOutcome>,
    },
    /// The oldest delayed commit of `operator` arrives at the table.
    Deliver(usize),
    /// `daemon` polls the table.
    Poll {
        daemon: usize,
        fates: Vec<CallOutcome>,
    },
    /// `daemon` resolves the adapter, from its cache or the table.
    Resolve {
        daemon: usize,
        fates: Vec<CallOutcome>,
    },
    /// `peer` answers a sync request of `daemon`; the reply is now in flight.
    RequestSync { daemon: usize, peer: usize },
    /// The sync reply in flight to `daemon` arrives.
    ApplySync(usize),
    /// `daemon` restarts.
    Restart(usize),
}

/// The generator of steps.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let d = 0..DAEMONS;
        prop_oneof![
            3 => (0..OPERATORS, any::<bool>(), call_outcomes(7))
                .prop_map(|(operator, based, fates)| Step::Apply { operator, based, fates }),
            2 => (0..OPERATORS, call_outcomes(7))
                .prop_map(|(operator, fates)| Step::AddVersion { operator, fates }),
            2 => (0..OPERATORS).prop_map(Step::Deliver),
            4 => (d.clone(), call_outcomes(7)).prop_map(|(daemon, fates)| Step::Poll { daemon, fates }),
            2 => (d.clone(), call_outcomes(7)).prop_map(|(daemon, fates)| Step::Resolve { daemon, fates }),
            2 => (d.clone(), d.clone()).prop_map(|(daemon, peer)| Step::RequestSync { daemon, peer }),
            2 => d.clone().prop_map(Step::ApplySync),
            1 => d.prop_map(Step::Restart),
        ]
        .boxed()
    }
}

struct Daemon {
    table: FakeTable,
    follower: Follower<FakeTable>,
    /// Highest version that was active since the last restart.
    highest: u64,
    reply: Option<SyncReply>,
}

struct Operator {
    table: FakeTable,
    catalog: Catalog<FakeTable>,
    /// Version of the configuration this operator last saw.
    last_seen: u64,
}

struct System {
    runtime: tokio::runtime::Runtime,
    truth: FakeTable,
    operators: Vec<Operator>,
    daemons: Vec<Daemon>,
    /// The oracle: rule name of each accepted configuration, by version.
    accepted: BTreeMap<u64, String>,
    /// Rule names of changes that were reported to operators as failed.
    rejected: Vec<String>,
    changes: u32,
}

fn rules(name: &str) -> Rules {
    Rules {
        rules: vec![Rule {
            name: name.into(),
            select: Select::default(),
            set: Effects {
                priority: Some(1),
                ..Effects::default()
            },
        }],
    }
}

impl System {
    fn truth(&self) -> Catalog<FakeTable> {
        Catalog::new(self.truth.clone(), "oracle")
    }

    /// Records the configuration that the table holds now. Called after every
    /// step, since a step makes the table accept at most one configuration.
    fn observe(&mut self) {
        let config = self.runtime.block_on(self.truth().config()).unwrap();
        let Some(rule) = config.rules.first() else {
            return;
        };
        let newest = self.accepted.keys().next_back().copied().unwrap_or(0);
        assert!(
            config.version >= newest,
            "the table reverted to an older version"
        );
        let name = rule.name.clone();
        let duplicate = self
            .accepted
            .iter()
            .any(|(v, n)| *n == name && *v != config.version);
        assert!(!duplicate, "{name} was accepted twice");
        self.accepted.insert(config.version, name);
    }

    fn apply_config(&mut self, operator: usize, based: bool, fates: Vec<CallOutcome>) {
        self.changes += 1;
        let name = format!("r{}", self.changes);
        let op = &mut self.operators[operator];
        let base = based.then_some(op.last_seen);
        op.table.script(fates);
        let result = self.runtime.block_on(op.catalog.apply(&rules(&name), base));
        op.table.clear_script();
        self.observe();
        match result {
            Ok(version) => {
                assert_eq!(
                    self.accepted.get(&version),
                    Some(&name),
                    "reported a wrong version"
                );
                if let Some(base) = base {
                    let before = self.accepted.range(..version).next_back();
                    assert_eq!(
                        before.map_or(0, |b| *b.0),
                        base,
                        "overwrote a change the operator had not seen"
                    );
                }
            }
            Err(CatalogError::Unavailable { .. }) => {}
            Err(CatalogError::Conflict { .. } | CatalogError::Unreachable { .. }) => {
                self.rejected.push(name);
            }
            Err(e) => panic!("unexpected {e}"),
        }
        let now = self.runtime.block_on(self.truth().config()).unwrap();
        self.operators[operator].last_seen = now.version;
    }

    fn add_version(&mut self, operator: usize, fates: Vec<CallOutcome>) {
        self.changes += 1;
        let name = format!("v{}", self.changes);
        let op = &mut self.operators[operator];
        op.table.script(fates);
        let version = Version {
            name: name.clone(),
            labels: Default::default(),
        };
        let result = self
            .runtime
            .block_on(op.catalog.add_version("narrator", version));
        op.table.clear_script();
        let record = self
            .runtime
            .block_on(self.truth().adapter("narrator"))
            .unwrap();
        match result {
            Ok(()) => assert!(
                record.has_version(&name),
                "reported success for a lost version"
            ),
            Err(CatalogError::Conflict { .. } | CatalogError::Unreachable { .. }) => {
                assert!(
                    !record.has_version(&name),
                    "reported a conflict with itself"
                );
            }
            Err(_) => {}
        }
    }

    fn poll(&mut self, daemon: usize, fates: Vec<CallOutcome>) {
        let all_answered = fates.iter().all(|f| *f == CallOutcome::Answered);
        let d = &mut self.daemons[daemon];
        d.table.script(fates);
        let polled = self.runtime.block_on(d.follower.poll());
        d.table.clear_script();
        assert!(polled.is_ok() || !all_answered);
        if polled.is_err() {
            return;
        }
        let newest = self.accepted.keys().next_back().copied().unwrap_or(0);
        let d = &self.daemons[daemon];
        assert_eq!(
            d.follower.config().version,
            newest,
            "a poll missed a change"
        );
        let cached = self.runtime.block_on(d.follower.adapter("narrator"));
        let record = self.runtime.block_on(self.truth().adapter("narrator"));
        assert_eq!(
            *cached.unwrap(),
            record.unwrap(),
            "a poll left a stale record"
        );
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = StatelessReference<Run>;

    fn init_test((): &()) -> System {
        let truth = FakeTable::default();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let setup = Catalog::new(truth.clone(), "setup");
        runtime.block_on(async {
            let customer = Customer {
                name: "oduya".into(),
                labels: Default::default(),
                terms: Terms::default(),
            };
            setup.create_customer(&customer).await.unwrap();
            let labels = Default::default();
            setup
                .create_adapter("narrator", "oduya", labels)
                .await
                .unwrap();
        });
        let operators = (0..OPERATORS)
            .map(|i| {
                let table = truth.client();
                Operator {
                    catalog: Catalog::new(table.clone(), &format!("operator-{i}")),
                    table,
                    last_seen: 0,
                }
            })
            .collect();
        let daemons = (0..DAEMONS)
            .map(|i| {
                let table = truth.client();
                Daemon {
                    follower: Follower::new(Catalog::new(table.clone(), &format!("d{i}"))),
                    table,
                    highest: 0,
                    reply: None,
                }
            })
            .collect();
        System {
            runtime,
            truth,
            operators,
            daemons,
            accepted: BTreeMap::new(),
            rejected: Vec::new(),
            changes: 0,
        }
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        match step {
            Step::Apply {
                operator,
                based,
                fates,
            } => system.apply_config(operator, based, fates),
            Step::AddVersion { operator, fates } => system.add_version(operator, fates),
            Step::Deliver(operator) => system.operators[operator].table.deliver(),
            Step::Poll { daemon, fates } => system.poll(daemon, fates),
            Step::Resolve { daemon, fates } => {
                let d = &system.daemons[daemon];
                d.table.script(fates);
                let _ = system.runtime.block_on(d.follower.adapter("narrator"));
                d.table.clear_script();
            }
            Step::RequestSync { daemon, peer } => {
                let epoch = system.daemons[daemon].follower.epoch();
                let reply = system.daemons[peer].follower.changes_since(epoch);
                let reply = system.runtime.block_on(reply);
                system.daemons[daemon].reply = Some(reply);
            }
            Step::ApplySync(daemon) => {
                let d = &mut system.daemons[daemon];
                if let Some(reply) = d.reply.take()
                    && d.follower.synced()
                {
                    d.follower.apply_sync(&reply).unwrap();
                }
            }
            Step::Restart(daemon) => {
                let d = &mut system.daemons[daemon];
                let catalog = Catalog::new(d.table.clone(), "restarted");
                d.follower = Follower::new(catalog);
                d.reply = None;
                d.highest = 0;
            }
        }
        system.observe();
        system.daemons.iter_mut().for_each(|d| {
            let version = d.follower.config().version;
            assert!(version >= d.highest, "a daemon reverted to {version}");
            d.highest = version;
        });
        system
    }

    fn check_invariants(system: &System, (): &()) {
        for d in &system.daemons {
            let config = d.follower.config();
            if config.version == 0 {
                continue;
            }
            assert!(d.follower.synced(), "active before the first poll");
            let name = config.rules.first().map(|r| &r.name);
            assert_eq!(
                name,
                system.accepted.get(&config.version),
                "active but never accepted"
            );
        }
        let rejected = system.rejected.iter();
        let wrong = rejected.filter(|r| system.accepted.values().any(|a| a == *r));
        assert_eq!(wrong.count(), 0, "a change reported as failed took effect");
        let truth = system.truth();
        let trail = system.runtime.block_on(truth.audit_trail(10_000)).unwrap();
        let epochs: Vec<u64> = trail.iter().map(|a| a.epoch).collect();
        assert!(
            epochs.iter().copied().eq(1..=trail.len() as u64),
            "{epochs:?}"
        );
        let applied = trail.iter().filter(|a| a.action == "config.apply");
        let applied: Vec<u64> = applied.map(|a| a.epoch).collect();
        assert!(
            applied.iter().eq(system.accepted.keys()),
            "audit trail differs"
        );
        let epoch = system.runtime.block_on(system.truth.get("epoch")).unwrap();
        let epoch = epoch.map_or(0, |r| serde_json::from_slice(&r.value).unwrap());
        assert_eq!(epochs.last().copied().unwrap_or(0), epoch);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn config_never_reverts(sequential 1..90 => System);
}
