//! Metadata in which a target reports its own state with every answer.

use tonic::metadata::MetadataMap;

/// Rate limit of the target for all daemons together, in requests per second.
pub const LIMIT: &str = "x-limit";

/// Cooldown in seconds: how long the daemon whose call the target rejects should
/// send it no calls.
pub const COOLDOWN: &str = "retry-after";

/// `1` if the target is draining.
pub const DRAINING: &str = "x-leaving";

/// All values of the metadata key `name`.
pub fn values<'a>(metadata: &'a MetadataMap, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    let entries = metadata.get_all(name).into_iter();
    entries.map(|v| v.as_encoded_bytes())
}
