use comfreyhall_domain::{AdapterRef, Map, Name, Set};
use comfreyhall_routing::selection::{Candidate, Spread, rendezvous_rank, select};

use super::{StoreState, keep_affine, recovery_order};

const ENGINES: usize = 12;
const GROUPS: usize = 3;
const KEPT: usize = 30;
const OBJECTIVE_MS: f64 = 1_000.0;

fn group(engine: &str) -> Name {
    let number: usize = engine[1..].parse().unwrap();
    format!("g{}", number % GROUPS).into()
}

fn loader(id: &Name, cached: bool, full: bool) -> Candidate {
    Candidate {
        id: id.clone(),
        same_domain: true,
        wait_ms: 0.0,
        load_ms: if cached { 50.0 } else { 300.0 } + if full { 250.0 } else { 0.0 },
        from_store: !cached,
        evicts: true,
        interference_ms: 0.0,
        success_rate: 1.0,
        tried: false,
    }
}

/// Ratio of store loads to adapters where daemons that learn of each other's
/// choices late send 3,000 requests for 400 adapters to engines of three
/// groups, a third of which are full at any time.
fn store_loads_per_adapter(affine: bool) -> f64 {
    let engines: Vec<Name> = (0..ENGINES).map(|i| format!("e{i}").into()).collect();
    let groups: Map<Name, Name> = engines.iter().map(|e| (e.clone(), group(e))).collect();
    let mut caches: Map<Name, Vec<u64>> = Map::default();
    let (mut loads, mut seen, mut seed) = (0, Set::default(), 7_u64);
    for turn in 0..3_000_u64 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let adapter = (400.0_f64.powf((seed >> 33) as f64 / (1_u64 << 31) as f64)) as u64;
        let key = format!("m/a{adapter}");
        let is_cached = |e: &Name| caches.get(e).is_some_and(|c| c.contains(&adapter));
        let mut loaders: Vec<(bool, u64, Candidate)> = engines
            .iter()
            .map(|e| {
                let cached = is_cached(e);
                let full = rendezvous_rank(&format!("{}", turn / 50), e).is_multiple_of(3);
                let rank = if cached { 0 } else { rendezvous_rank(&key, e) };
                (full && !cached, rank, loader(e, cached, full))
            })
            .collect();
        loaders.sort_by_key(|(full, rank, _)| (*full, *rank));
        let mut loaders: Vec<Candidate> = loaders.into_iter().map(|(.., c)| c).collect();
        if affine {
            loaders = keep_affine(loaders, OBJECTIVE_MS, |e| groups.get(e));
        }
        loaders.truncate(2);
        let spread = Spread::Stale(150.0);
        let random = seed.rotate_left(17).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let best = select(&loaders, OBJECTIVE_MS, spread, random).unwrap();
        loads += u32::from(best.from_store);
        seen.insert(adapter);
        let cache = caches.entry(best.id.clone()).or_default();
        cache.retain(|a| *a != adapter);
        cache.push(adapter);
        if cache.len() > KEPT {
            cache.remove(0);
        }
    }
    f64::from(loads) / seen.len() as f64
}

/// Guards against weights that are fetched from the store once for each group,
/// though an engine has them cached, while daemons spread requests over groups.
#[test]
fn keep_affine_loads_from_store_once() {
    let (old, new) = (
        store_loads_per_adapter(false),
        store_loads_per_adapter(true),
    );
    assert!(new <= 1.15 && old > 1.15, "before {old}, after {new}");
}

const STORE: StoreState = StoreState {
    load_ms: 300.0,
    waiting: 0,
    size: 10,
};

/// Guards against callers made late by an engine in demand that has the weights:
/// each waits only as long as all together wait for what one load would cost,
/// and none so long that a load from the store would come too late.
#[test]
fn cached_wait_ms_is_bounded() {
    assert_eq!(STORE.cached_wait_ms(1_000, 1), 300.0);
    assert_eq!(STORE.cached_wait_ms(1_000, 6), 50.0);
    assert_eq!(STORE.cached_wait_ms(100, 1), 100.0);
    assert_eq!(STORE.cached_wait_ms(0, 1), 0.0);
    let busy = StoreState {
        waiting: 5,
        ..STORE
    };
    assert!(busy.cached_wait_ms(100, 1) <= 0.0);
}

/// Guards against loads from a busy store that delay those behind them, for
/// requests that an engine with the weights would serve sooner.
#[test]
fn cached_wait_ms_grows_with_queue() {
    let busy = StoreState {
        waiting: 10,
        ..STORE
    };
    assert_eq!(busy.wait_ms(), 300.0);
    assert_eq!(busy.cached_wait_ms(2_000, 1), 900.0);
}

/// Guards against rare adapters that are loaded after a loss before those that
/// are asked for most.
#[test]
fn recovery_order_follows_demand() {
    let adapter = |name: &str| AdapterRef {
        model: "m".into(),
        adapter: Some(name.into()),
    };
    let lost = [("rare", 0.1), ("some", 1.0), ("hot", 9.0)];
    let lost = lost.map(|(name, score)| (adapter(name), score));
    assert_eq!(
        recovery_order(lost.to_vec()),
        [adapter("hot"), adapter("some")]
    );
}
