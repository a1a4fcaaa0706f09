//! Wire types of comfreyhall.
//!
//! The crate covers two interfaces. comfreyhall's own processes and the
//! platform's stand-ins exchange protobuf messages over gRPC; their Rust types are
//! generated from `proto/comfreyhall.proto` and committed under `src/gen`, so
//! the build needs no protobuf compiler. Callers use an OpenAI-compatible
//! HTTP/JSON API; its requests, chunks and errors are the serde types in
//! [`api`]. Code inside the daemon should not pass these types around: they are
//! converted where they enter or leave the process.

#[allow(missing_docs, clippy::all)]
mod generated {
    include!("gen/comfreyhall.v1.rs");
}

pub mod api;
pub mod link;
pub mod notice;
mod outcome;
mod revision;

pub use generated::*;
pub use outcome::{NOT_RUN, not_run, proves_not_run};
pub use revision::Revision;

/// The hash map that the project uses: the map of std with a fast, unkeyed hasher.
///
/// Keys are names from our own configuration, which attackers cannot choose in
/// bulk, so a keyed hasher has no benefit.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Header of the table service's answers with its era, the first of which is 1. It rises by
/// one when the service comes back from a copy.
pub const STORE_ERA_HEADER: &str = "store-era";

/// Header with the caller's request id, which every response repeats.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header that marks a call to a plain service as non-idempotent, with any value.
pub const NON_IDEMPOTENT_HEADER: &str = "x-comfreyhall-non-idempotent";

/// Header with the time that the request waited for an adapter load, in ms.
pub const STALL_HEADER: &str = "x-comfreyhall-load-stall-ms";

/// Header with the id of the engine that served the request.
pub const ENGINE_HEADER: &str = "x-comfreyhall-engine";

#[cfg(test)]
mod tests;
