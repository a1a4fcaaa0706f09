//! Faults the load tool injects into the stand-ins, one after another.

use std::time::{Duration, Instant};

use comfreyhall_protocol::{
    FaultOrder, engine_client::EngineClient, objects_client::ObjectsClient,
    plain_client::PlainClient, table_client::TableClient, weights_client::WeightsClient,
};
use comfreyhall_settings::Settings;
use eyre::bail;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tonic::transport::Endpoint;

/// Shortest and longest time a fault lasts, in ms.
const LASTS_MS: std::ops::Range<u64> = 500..2_500;

/// Pause between faults.
const PAUSE: Duration = Duration::from_millis(300);

/// Longest one fault order may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Which faults a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// None.
    None,
    /// Table service, object store and weight store.
    Platform,
    /// Engines and plain services.
    Targets,
    /// Both, one of each at a time.
    Mix,
}

impl Kind {
    pub(super) fn parse(word: &str) -> eyre::Result<Self> {
        Ok(match word {
            "none" => Self::None,
            "platform" => Self::Platform,
            "targets" => Self::Targets,
            "mix" => Self::Mix,
            other => bail!("--faults {other:?} is unknown; use none, platform, targets or mix"),
        })
    }
}

/// A stand-in that takes fault orders.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// The table service.
    Table,
    /// The weight store.
    Weights,
    /// The object store.
    Objects,
    /// The engine at this address.
    Engine(String),
    /// The plain service at this address.
    Plain(String),
}

impl Target {
    /// The stand-in that the settings call `name`.
    pub(crate) fn named(s: &Settings, name: &str) -> Option<Self> {
        let engine = || s.engine(name).map(|e| Self::Engine(e.listen.clone()));
        let plain = || s.services.iter().find(|v| &*v.id == name);
        match name {
            "table" => Some(Self::Table),
            "weights" => Some(Self::Weights),
            "objects" => Some(Self::Objects),
            _ => engine().or_else(|| plain().map(|v| Self::Plain(v.listen.clone()))),
        }
    }

    /// Sends the stand-in a fault order.
    pub(crate) async fn order(&self, s: &Settings, order: FaultOrder) -> eyre::Result<()> {
        let p = &s.platform;
        let addr = match self {
            Self::Table => &p.table,
            Self::Weights => &p.weights,
            Self::Objects => &p.objects,
            Self::Engine(a) | Self::Plain(a) => a,
        };
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))?;
        let channel = endpoint.timeout(ORDER_TIMEOUT).connect().await?;
        match self {
            Self::Table => TableClient::new(channel).fault(order).await?,
            Self::Weights => WeightsClient::new(channel).fault(order).await?,
            Self::Objects => ObjectsClient::new(channel).fault(order).await?,
            Self::Engine(_) => EngineClient::new(channel).fault(order).await?,
            Self::Plain(_) => PlainClient::new(channel).fault(order).await?,
        };
        Ok(())
    }
}

fn down() -> FaultOrder {
    FaultOrder {
        down: true,
        ..FaultOrder::default()
    }
}

fn slow(delay_ms: u64) -> FaultOrder {
    FaultOrder {
        delay_ms,
        ..FaultOrder::default()
    }
}

fn lossy(lose_share: f64) -> FaultOrder {
    FaultOrder {
        lose_answers: true,
        lose_share,
        ..FaultOrder::default()
    }
}

fn failing(fail_share: f64) -> FaultOrder {
    FaultOrder {
        fail_share,
        ..FaultOrder::default()
    }
}

fn limited(limit: f64) -> FaultOrder {
    FaultOrder {
        limit,
        ..FaultOrder::default()
    }
}

fn resting(rest_s: f64) -> FaultOrder {
    FaultOrder {
        rest_s,
        ..FaultOrder::default()
    }
}

fn restart() -> FaultOrder {
    FaultOrder {
        restart: true,
        ..FaultOrder::default()
    }
}

fn platform_fault(rng: &mut StdRng) -> (Target, FaultOrder) {
    match rng.random_range(0..6) {
        0 => (Target::Table, down()),
        1 => (Target::Table, slow(300)),
        2 => (Target::Table, lossy(0.5)),
        3 => (Target::Objects, down()),
        4 => (Target::Weights, failing(0.4)),
        _ => (Target::Weights, down()),
    }
}

fn target_fault(s: &Settings, rng: &mut StdRng) -> (Target, FaultOrder) {
    let engine = s.engines.choose(rng).expect("settings name an engine");
    let engine = Target::Engine(engine.listen.clone());
    match rng.random_range(0..8) {
        0 => (engine, restart()),
        1 => (engine, lossy(0.5)),
        2 => (engine, down()),
        3 => (engine, slow(200)),
        4 => (engine, failing(0.5)),
        5 => (engine, limited(rng.random_range(0.5..20.0))),
        6 => (engine, resting(rng.random_range(0.5..3.0))),
        _ => match s.services.choose(rng) {
            Some(v) => (Target::Plain(v.listen.clone()), lossy(0.5)),
            None => (engine, restart()),
        },
    }
}

/// Injects faults of `kind` until `until`; returns how many.
pub(super) async fn inject(s: Settings, kind: Kind, seed: u64, until: Instant) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let mut count = 0;
    while kind != Kind::None && Instant::now() < until {
        let mut set = Vec::new();
        if matches!(kind, Kind::Platform | Kind::Mix) {
            set.push(platform_fault(&mut rng));
        }
        if matches!(kind, Kind::Targets | Kind::Mix) {
            set.push(target_fault(&s, &mut rng));
        }
        for (target, order) in &set {
            if target.order(&s, *order).await.is_ok() {
                count += 1;
            }
        }
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        tokio::time::sleep(lasts).await;
        for (target, _) in &set {
            let _ = target.order(&s, FaultOrder::default()).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
    count
}
