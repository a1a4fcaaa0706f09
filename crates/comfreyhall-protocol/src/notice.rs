//! What targets say of themselves, in the metadata of every answer.

use tonic::metadata::MetadataMap;

/// Requests a second that the target takes from all daemons together.
pub const LIMIT: &str = "x-limit";

/// Seconds for which the target wants nothing from the daemon that it turns away.
pub const COOLDOWN: &str = "retry-after";

/// `1` if the target leaves.
pub const DRAINING: &str = "x-leaving";

/// The values under `name`.
pub fn values<'a>(metadata: &'a MetadataMap, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    let all = metadata.get_all(name).into_iter();
    all.map(|v| v.as_encoded_bytes())
}
