//! The rows of leases.

use std::sync::Arc;

use comfreyhall_catalog::{CatalogError, Rows};
use comfreyhall_protocol::{Revision, Row};
use serde::{Deserialize, Serialize};

use crate::Succession;

/// Owner of a row that does not contain a lease; not the id of any instance.
const UNKNOWN_OWNER: &str = "(unknown)";

/// Key prefix of lease rows.
pub(crate) const KEY_PREFIX: &str = "lease/";

/// Bits of a token below its era: more than a table has transactions in a year.
const TOKEN_BITS: u32 = 36;

/// Era of a table that has never come back from a copy.
pub(crate) const FIRST_ERA: u32 = 1;

/// Lowest token of `era`, above all of earlier ones.
pub(crate) fn first_token(era: u32) -> u64 {
    u64::from(era.saturating_sub(FIRST_ERA)) << TOKEN_BITS
}

/// Contents of a lease row.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub(crate) struct Record {
    /// The holder; empty once the lease was released.
    pub(crate) owner: Arc<str>,
    /// Random id of the holder's process.
    pub(crate) boot: u64,
    /// Fencing token; grows with every new holder.
    pub(crate) token: u64,
    /// Era of the table in which it was written; 0 if unknown.
    #[serde(default)]
    pub(crate) era: u32,
    /// Its last holder, and those before; unknown in rows of earlier releases.
    #[serde(default)]
    pub(crate) succession: Succession,
    /// How long its holder trusts a renewal, in ms; 0 if unknown. Another daemon may have
    /// been started with a shorter term.
    #[serde(default)]
    pub(crate) term_ms: u64,
    /// Random id of the write. Otherwise two renewals in a row would be equal,
    /// and finding the earlier one would be taken for the later one, which
    /// trusts the lease longer than other daemons wait.
    pub(crate) write: u64,
}

/// Decodes a lease row.
///
/// Other writers may overwrite the row. Without a record the token to continue
/// from is unknown, and a new lease would start at a token that targets have
/// seen. Each token was written by a transaction of its own, and the row's
/// version counts all of them, so the version is above every token issued.
pub(crate) fn decode(key: &str, row: &Row) -> Record {
    serde_json::from_slice(&row.value).unwrap_or_else(|e| {
        log::warn!(target: "lease", key, error:% = e; "row does not contain a lease; it can be acquired after one term");
        Record {
            owner: UNKNOWN_OWNER.into(),
            boot: 0,
            token: first_token(Revision::from_wire(row.version).era())
                + Revision::from_wire(row.version).number(),
            era: 0,
            succession: Succession::unknown(),
            term_ms: 0,
            write: 0,
        }
    })
}

/// A lease of which an instance was a holder, as its row says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerLease {
    /// Its name.
    pub name: String,
    /// Whether the instance still holds it.
    pub held: bool,
}

/// The leases in `table` under which commands of `owner` may still be carried out, in one
/// call.
///
/// Reading them one by one, the starts of 195 instances cost the table 975
/// calls for five leases.
pub async fn former_leases<R: Rows>(
    table: &R,
    owner: &str,
) -> Result<Vec<FormerLease>, CatalogError> {
    let rows = table.scan(KEY_PREFIX, "", 0).await?;
    let named = rows.iter().filter_map(|row| {
        let record = decode(&row.key, row);
        let held = *record.owner == *owner;
        let name = row.key.strip_prefix(KEY_PREFIX)?.to_string();
        (held || record.succession.names(owner)).then_some(FormerLease { name, held })
    });
    Ok(named.collect())
}
