//! Stateful fuzzing of configuration changes against a simple oracle.
//!
//! Operators race each other with changes, and daemons follow them, through
//! a table whose calls are lost, applied unheard, applied late or refused;
//! daemons lose the table and learn from peers, whose news may be old, and
//! restart. The oracle is the list of configurations the table accepted, in
//! order, and what each operator and daemon was told.

use std::collections::BTreeMap;

use comfreyhall_catalog::{
    Catalog, CatalogError, Customer, Effects, Follower, Rows, Rule, Rules, Select, Terms, Version,
};
use comfreyhall_fakes::{FakeTable, Fate, Free, Steps, fates};
use comfreyhall_protocol::SyncReply;
use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};

const OPERATORS: usize = 2;
const DAEMONS: usize = 3;

/// One step of the run.
#[derive(Debug, Clone)]
enum Step {
    /// `operator` applies a new configuration, with the base it last saw or
    /// without one.
    Apply {
        operator: usize,
        based: bool,
        fates: Vec<Fate>,
    },
    /// `operator` adds a version to the one adapter.
    AddVersion { operator: usize, fates: Vec<Fate> },
    /// The oldest late commit of `operator` arrives.
    Deliver(usize),
    /// `daemon` polls the table.
    Poll { daemon: usize, fates: Vec<Fate> },
    /// `daemon` resolves the adapter, from its cache or the table.
    Resolve { daemon: usize, fates: Vec<Fate> },
    /// `peer` writes down its news for `daemon`; they are on their way.
    Ask { daemon: usize, peer: usize },
    /// The news on their way to `daemon` arrive.
    Learn(usize),
    /// `daemon` restarts.
    Restart(usize),
}

/// The steps of a run.
struct Run;

impl Steps for Run {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let d = 0..DAEMONS;
        prop_oneof![
            3 => (0..OPERATORS, any::<bool>(), fates(7))
                .prop_map(|(operator, based, fates)| Step::Apply { operator, based, fates }),
            2 => (0..OPERATORS, fates(7))
                .prop_map(|(operator, fates)| Step::AddVersion { operator, fates }),
            2 => (0..OPERATORS).prop_map(Step::Deliver),
            4 => (d.clone(), fates(7)).prop_map(|(daemon, fates)| Step::Poll { daemon, fates }),
            2 => (d.clone(), fates(7)).prop_map(|(daemon, fates)| Step::Resolve { daemon, fates }),
            2 => (d.clone(), d.clone()).prop_map(|(daemon, peer)| Step::Ask { daemon, peer }),
            2 => d.clone().prop_map(Step::Learn),
            1 => d.prop_map(Step::Restart),
        ]
        .boxed()
    }
}

struct Daemon {
    table: FakeTable,
    follower: Follower<FakeTable>,
    /// Highest version in force since the last restart.
    highest: u64,
    news: Option<SyncReply>,
}

struct Operator {
    table: FakeTable,
    catalog: Catalog<FakeTable>,
    /// Version of the configuration this operator last saw.
    seen: u64,
}

struct System {
    runtime: tokio::runtime::Runtime,
    truth: FakeTable,
    operators: Vec<Operator>,
    daemons: Vec<Daemon>,
    /// Rule name of each accepted configuration, by version: the oracle.
    accepted: BTreeMap<u64, String>,
    /// Rule names that operators were told had failed.
    refused: Vec<String>,
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

    /// Notes what the table holds now; called after every step, each of
    /// which makes the table accept at most one configuration.
    fn observe(&mut self) {
        let config = self.runtime.block_on(self.truth().config()).unwrap();
        let Some(rule) = config.rules.first() else {
            return;
        };
        let newest = self.accepted.keys().next_back().copied().unwrap_or(0);
        assert!(config.version >= newest, "the table went back");
        let name = rule.name.clone();
        let twice = self
            .accepted
            .iter()
            .any(|(v, n)| *n == name && *v != config.version);
        assert!(!twice, "{name} was accepted twice");
        self.accepted.insert(config.version, name);
    }

    fn apply_config(&mut self, operator: usize, based: bool, fates: Vec<Fate>) {
        self.changes += 1;
        let name = format!("r{}", self.changes);
        let op = &mut self.operators[operator];
        let base = based.then_some(op.seen);
        op.table.script(fates);
        let told = self.runtime.block_on(op.catalog.apply(&rules(&name), base));
        op.table.heal();
        self.observe();
        match told {
            Ok(version) => {
                assert_eq!(
                    self.accepted.get(&version),
                    Some(&name),
                    "told a wrong version"
                );
                if let Some(base) = base {
                    let before = self.accepted.range(..version).next_back();
                    assert_eq!(
                        before.map_or(0, |b| *b.0),
                        base,
                        "overwrote an unseen change"
                    );
                }
            }
            Err(CatalogError::Unavailable { .. }) => {}
            Err(CatalogError::Conflict { .. } | CatalogError::Unreachable { .. }) => {
                self.refused.push(name);
            }
            Err(e) => panic!("unexpected {e}"),
        }
        let now = self.runtime.block_on(self.truth().config()).unwrap();
        self.operators[operator].seen = now.version;
    }

    fn add_version(&mut self, operator: usize, fates: Vec<Fate>) {
        self.changes += 1;
        let name = format!("v{}", self.changes);
        let op = &mut self.operators[operator];
        op.table.script(fates);
        let version = Version {
            name: name.clone(),
            labels: Default::default(),
        };
        let told = self
            .runtime
            .block_on(op.catalog.add_version("narrator", version));
        op.table.heal();
        let record = self
            .runtime
            .block_on(self.truth().adapter("narrator"))
            .unwrap();
        match told {
            Ok(()) => assert!(record.has_version(&name), "told of a version that is lost"),
            Err(CatalogError::Conflict { .. } | CatalogError::Unreachable { .. }) => {
                assert!(!record.has_version(&name), "told of a conflict with itself");
            }
            Err(_) => {}
        }
    }

    fn poll(&mut self, daemon: usize, fates: Vec<Fate>) {
        let sound = fates.iter().all(|f| *f == Fate::Answer);
        let d = &mut self.daemons[daemon];
        d.table.script(fates);
        let polled = self.runtime.block_on(d.follower.poll());
        d.table.heal();
        assert!(polled.is_ok() || !sound);
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
            "a poll left an old record"
        );
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Free<Run>;

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
                    seen: 0,
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
                    news: None,
                }
            })
            .collect();
        System {
            runtime,
            truth,
            operators,
            daemons,
            accepted: BTreeMap::new(),
            refused: Vec::new(),
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
                d.table.heal();
            }
            Step::Ask { daemon, peer } => {
                let epoch = system.daemons[daemon].follower.epoch();
                let news = system.daemons[peer].follower.changes_since(epoch);
                let news = system.runtime.block_on(news);
                system.daemons[daemon].news = Some(news);
            }
            Step::Learn(daemon) => {
                let d = &mut system.daemons[daemon];
                if let Some(news) = d.news.take()
                    && d.follower.synced()
                {
                    d.follower.apply_sync(&news).unwrap();
                }
            }
            Step::Restart(daemon) => {
                let d = &mut system.daemons[daemon];
                let catalog = Catalog::new(d.table.clone(), "restarted");
                d.follower = Follower::new(catalog);
                d.news = None;
                d.highest = 0;
            }
        }
        system.observe();
        system.daemons.iter_mut().for_each(|d| {
            let version = d.follower.config().version;
            assert!(version >= d.highest, "a daemon went back to {version}");
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
            assert!(d.follower.synced(), "in force before the first poll");
            let name = config.rules.first().map(|r| &r.name);
            assert_eq!(name, system.accepted.get(&config.version), "never accepted");
        }
        let refused = system.refused.iter();
        let wrong = refused.filter(|r| system.accepted.values().any(|a| a == *r));
        assert_eq!(wrong.count(), 0, "a change told as refused took effect");
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
