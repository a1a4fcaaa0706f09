//! Wire types of comfreyhall.
//!
//! Two borders meet here. Between comfreyhall's own processes and the
//! platform's stand-ins, messages are protobuf over gRPC; their Rust types are
//! generated from `proto/comfreyhall.proto` and committed under `src/gen`, so
//! the build needs no protobuf compiler. Towards callers, the daemon speaks an
//! OpenAI-compatible HTTP/JSON dialect; its request, chunk and error shapes
//! are the serde types in [`api`]. Nothing inside the daemon should pass these
//! types around: they are converted at the border.

#[allow(missing_docs, clippy::all)]
mod generated {
    include!("gen/comfreyhall.v1.rs");
}

pub mod api;
pub mod link;
pub mod notice;
mod outcome;

pub use generated::*;
pub use outcome::{NOT_RUN, not_run, proves_not_run};

/// The one hash map of the project: std's map with a fast, non-keyed hasher.
///
/// Keys are our own names, never attacker-chosen in bulk, so a keyed hasher
/// buys nothing here.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Header that carries the caller's request id, echoed on every answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header that marks a plain call as non-idempotent, with any value.
pub const NON_IDEMPOTENT_HEADER: &str = "x-comfreyhall-non-idempotent";

/// Header that reports how long the request waited for an adapter load, in ms.
pub const STALL_HEADER: &str = "x-comfreyhall-load-stall-ms";

/// Header that names the engine that served the request.
pub const ENGINE_HEADER: &str = "x-comfreyhall-engine";

#[cfg(test)]
mod tests;
