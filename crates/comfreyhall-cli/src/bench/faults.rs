//! Faults that the load tool injects into the stand-ins, one after another.

use std::time::{Duration, Instant};

use comfreyhall_protocol::{
    FaultOrder, engine_client::EngineClient, objects_client::ObjectsClient,
    plain_client::PlainClient, table_client::TableClient, weights_client::WeightsClient,
};
use comfreyhall_settings::Settings;
use eyre::bail;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tonic::transport::Endpoint;

/// Range of the duration of a fault, in ms.
const DURATION_MS: std::ops::Range<u64> = 500..2_500;

/// Range of the duration of a silence, in ms.
const SILENCE_MS: std::ops::Range<u64> = 300..3_000;

/// Pause between faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of one fault command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Which faults a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// No faults.
    None,
    /// Table service, object store and weight store.
    Platform,
    /// Engines and plain services.
    Targets,
    /// Both kinds, one of each at a time.
    Mix,
}

impl Kind {
    pub(super) fn parse(name: &str) -> eyre::Result<Self> {
        Ok(match name {
            "none" => Self::None,
            "platform" => Self::Platform,
            "targets" => Self::Targets,
            "mix" => Self::Mix,
            other => bail!("--faults {other:?} is unknown; use none, platform, targets or mix"),
        })
    }
}

/// A stand-in that accepts fault commands.
#[derive(Debug, Clone)]
pub(crate) enum StandIn {
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

impl StandIn {
    /// The stand-in with this name in the settings.
    pub(crate) fn by_name(s: &Settings, name: &str) -> Option<Self> {
        let engine = || s.engine(name).map(|e| Self::Engine(e.listen.clone()));
        let plain = || s.services.iter().find(|v| &*v.id == name);
        match name {
            "table" => Some(Self::Table),
            "weights" => Some(Self::Weights),
            "objects" => Some(Self::Objects),
            _ => engine().or_else(|| plain().map(|v| Self::Plain(v.listen.clone()))),
        }
    }

    /// Sends a fault command to the stand-in.
    pub(crate) async fn set_faults(&self, s: &Settings, command: FaultOrder) -> eyre::Result<()> {
        let p = &s.platform;
        let addr = match self {
            Self::Table => &p.table,
            Self::Weights => &p.weights,
            Self::Objects => &p.objects,
            Self::Engine(a) | Self::Plain(a) => a,
        };
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))?;
        let channel = endpoint.timeout(COMMAND_TIMEOUT).connect().await?;
        match self {
            Self::Table => TableClient::new(channel).fault(command).await?,
            Self::Weights => WeightsClient::new(channel).fault(command).await?,
            Self::Objects => ObjectsClient::new(channel).fault(command).await?,
            Self::Engine(_) => EngineClient::new(channel).fault(command).await?,
            Self::Plain(_) => PlainClient::new(channel).fault(command).await?,
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

fn cooling_down(rest_s: f64) -> FaultOrder {
    FaultOrder {
        rest_s,
        ..FaultOrder::default()
    }
}

fn silent(silent_ms: u64) -> FaultOrder {
    FaultOrder {
        silent_ms,
        ..FaultOrder::default()
    }
}

fn restart() -> FaultOrder {
    FaultOrder {
        restart: true,
        ..FaultOrder::default()
    }
}

fn platform_fault(rng: &mut StdRng) -> (StandIn, FaultOrder) {
    match rng.random_range(0..6) {
        0 => (StandIn::Table, down()),
        1 => (StandIn::Table, slow(300)),
        2 => (StandIn::Table, lossy(0.5)),
        3 => (StandIn::Objects, down()),
        4 => (StandIn::Weights, failing(0.4)),
        _ => (StandIn::Weights, down()),
    }
}

fn target_fault(s: &Settings, rng: &mut StdRng) -> (StandIn, FaultOrder) {
    let engine = s.engines.choose(rng).expect("settings name an engine");
    let engine = StandIn::Engine(engine.listen.clone());
    let silence = silent(rng.random_range(SILENCE_MS));
    match rng.random_range(0..10) {
        0 => (engine, restart()),
        1 => (engine, lossy(0.5)),
        2 => (engine, down()),
        3 => (engine, slow(200)),
        4 => (engine, failing(0.5)),
        5 => (engine, limited(rng.random_range(0.5..20.0))),
        6 => (engine, cooling_down(rng.random_range(0.5..3.0))),
        7 => (engine, silence),
        8 => match s.services.choose(rng) {
            Some(v) => (StandIn::Plain(v.listen.clone()), silence),
            None => (engine, silence),
        },
        _ => match s.services.choose(rng) {
            Some(v) => (StandIn::Plain(v.listen.clone()), lossy(0.5)),
            None => (engine, restart()),
        },
    }
}

/// Injects faults of `kind` until `until`; returns their number.
pub(super) async fn inject(s: Settings, kind: Kind, seed: u64, until: Instant) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let mut count = 0;
    while kind != Kind::None && Instant::now() < until {
        let mut active = Vec::new();
        if matches!(kind, Kind::Platform | Kind::Mix) {
            active.push(platform_fault(&mut rng));
        }
        if matches!(kind, Kind::Targets | Kind::Mix) {
            active.push(target_fault(&s, &mut rng));
        }
        for (stand_in, command) in &active {
            if stand_in.set_faults(&s, *command).await.is_ok() {
                count += 1;
            }
        }
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        tokio::time::sleep(duration).await;
        for (stand_in, _) in &active {
            let _ = stand_in.set_faults(&s, FaultOrder::default()).await;
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    count
}
