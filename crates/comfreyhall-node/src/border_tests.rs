//! Messages of other daemons with extreme numbers. The messages are made field by field:
//! a field of any type is kept if the message can still be decoded with it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::BufMut;
use comfreyhall_domain::{EngineConfig, LoadedModel, Model, Service, Target};
use comfreyhall_life::Event;
use comfreyhall_protocol::{
    BindRequest, CapCall, ForwardRequest, News, ProgressReport, ReachQuery, SettingsAsk,
    StreamQuery, StreamRecordBatch,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    bind, fleet, forward,
    leases::state::HeldLease,
    node::Node,
    quarantine::reach,
    quotas, streams,
    test_node::{config, node, target},
};

/// Messages of each type.
const MESSAGES: u64 = 60;

/// Largest field number.
const MAX_TAG: u32 = 45;

/// The same for a message within another one.
const MAX_NESTED_TAG: u32 = 14;

/// Longest nesting of messages.
const MAX_DEPTH: u32 = 1;

/// Longest wait for what a message leads to.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2);

const NUMBERS: [u64; 12] = [
    0,
    1,
    2,
    1_000,
    u32::MAX as u64,
    1 << 32,
    1 << 53,
    i64::MAX as u64,
    1 << 63,
    u64::MAX / 1_000,
    u64::MAX - 1,
    u64::MAX,
];

const FLOATS: [f64; 10] = [
    0.0,
    -0.0,
    -1.0,
    1.0,
    1e18,
    1e300,
    -1e300,
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
];

/// Names that the daemon of the test knows, among others.
const NAMES: [&str; 9] = ["", "n", "d", "s", "r", "m", "m/a", "e", "127.0.0.1:1"];

/// A field with the number `tag` and this content.
fn field(tag: u32, wire_type: u32, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    prost::encoding::encode_varint(u64::from(tag << 3 | wire_type), &mut bytes);
    if wire_type == 2 {
        prost::encoding::encode_varint(content.len() as u64, &mut bytes);
    }
    bytes.extend_from_slice(content);
    bytes
}

/// The content of a field that is no message, and its type on the wire.
fn scalar(rng: &mut StdRng) -> (u32, Vec<u8>) {
    let mut bytes = Vec::new();
    let number = NUMBERS.choose(rng).copied().unwrap();
    match rng.random_range(0..6) {
        0 => bytes.put_f64_le(FLOATS.choose(rng).copied().unwrap()),
        1 => bytes.put_u32_le(number as u32),
        2 => bytes.extend_from_slice(NAMES.choose(rng).unwrap().as_bytes()),
        3 => (0..3).for_each(|_| prost::encoding::encode_varint(number, &mut bytes)),
        _ => prost::encoding::encode_varint(number, &mut bytes),
    }
    let wire_type = match bytes.len() {
        _ if NAMES.iter().any(|n| n.as_bytes() == bytes) => 2,
        8 => 1,
        4 => 5,
        _ => 0,
    };
    (wire_type, bytes)
}

/// Fields of a message, each of which `accepts` takes with those before it.
fn fields(rng: &mut StdRng, depth: u32, accepts: &dyn Fn(&[u8]) -> bool) -> Vec<u8> {
    let (tries, tags) = match depth {
        MAX_DEPTH => (150, MAX_TAG),
        _ => (24, MAX_NESTED_TAG),
    };
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(tries / 4..tries) {
        let tag = rng.random_range(1..tags);
        let nested = |content: &[u8]| accepts(&[&bytes[..], &field(tag, 2, content)].concat());
        let added = match depth > 0 && rng.random_bool(0.3) && nested(&[]) {
            true => field(tag, 2, &fields(rng, depth - 1, &nested)),
            false => {
                let (wire_type, content) = scalar(rng);
                field(tag, wire_type, &content)
            }
        };
        let longer = [&bytes[..], &added].concat();
        if accepts(&longer) {
            bytes = longer;
        }
    }
    bytes
}

/// A message with some of its fields.
fn message<M: Message + Default>(rng: &mut StdRng) -> M {
    let bytes = fields(rng, MAX_DEPTH, &|bytes| M::decode(bytes).is_ok());
    M::decode(&bytes[..]).unwrap()
}

/// A lease that does not end.
struct OwnLease;

impl HeldLease for OwnLease {
    fn token(&self, _: Instant) -> Option<u64> {
        Some(1_000)
    }

    fn expired_token(&self) -> Option<u64> {
        None
    }

    fn is_return(&self) -> bool {
        false
    }
}

/// A daemon with an engine whose lease it holds.
fn start() -> Arc<Node> {
    let node = node();
    let mut config = config(1);
    let engine = EngineConfig {
        max_running: 4,
        cache_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 2,
        load_rate: 1.0,
        event_tokens: 1,
        models: vec![Model {
            name: "m".into(),
            weights_mb: 50.0,
            load_ms: 100,
            adapter_mb: 1.0,
        }],
    };
    let service = Service {
        name: "s".into(),
        max_connections: 10,
        engine: Some(engine),
    };
    config.services.insert("s".into(), service);
    let engine = Target {
        loaded: vec![LoadedModel {
            model: "m".into(),
            adapters: Vec::new(),
        }],
        ..target("e")
    };
    let mut view = node.view();
    view.config = Some(config.into());
    view.targets.insert("e".into(), engine.into());
    drop(view);
    node.leases.add(&"d".into(), Arc::new(OwnLease));
    node.life.handle(Event::Synced);
    node
}

/// Counts the panics of this thread, also those of tasks that it has spawned.
fn count_panics() -> Arc<AtomicUsize> {
    let panics = Arc::new(AtomicUsize::new(0));
    let (counter, own) = (panics.clone(), std::thread::current().id());
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        if std::thread::current().id() == own {
            counter.fetch_add(1, Ordering::SeqCst);
        }
        hook(info);
    }));
    panics
}

/// Guards against a number in a message of another daemon that ends this one: it reaches
/// arithmetic that panics, at once or with the next message.
#[tokio::test]
async fn answer_extreme_numbers() {
    let panics = count_panics();
    let mut rng = StdRng::seed_from_u64(8);
    for _ in 0..MESSAGES {
        let node = start();
        for _ in 0..3 {
            fleet::answer(&node, message::<News>(&mut rng));
            quotas::answer(&node, message::<CapCall>(&mut rng));
            streams::receive(&node, message::<StreamRecordBatch>(&mut rng));
            streams::answer(&node, &message::<StreamQuery>(&mut rng));
            let report = message::<ProgressReport>(&mut rng);
            node.fleet.apply_progress(&node, &report);
            let _ = fleet::send_settings(&node, &message::<SettingsAsk>(&mut rng));
            let query = message::<ReachQuery>(&mut rng);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, reach::answer(&node, &query)).await;
            let ask = message::<BindRequest>(&mut rng);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, bind::answer(&node, ask)).await;
            let call = message::<ForwardRequest>(&mut rng);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, forward::receive(&node, call)).await;
        }
        fleet::answer(&node, News::default());
        node.metrics_text();
    }
    assert_eq!(panics.load(Ordering::SeqCst), 0, "panics end a daemon");
}
