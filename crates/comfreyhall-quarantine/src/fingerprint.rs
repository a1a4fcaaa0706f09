//! Identifies a request across its attempts.
//!
//! Each attempt of a caller has its own id, so the id cannot identify the
//! request. The fingerprint is a cryptographic hash over everything that
//! defines a request, including its caller: nobody can construct a body whose
//! fingerprint equals that of another caller's request.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes kept of the hash: finding two inputs that share them takes 2^64 tries,
/// and evidence stays small enough to be sent to every daemon.
const LEN: usize = 16;

/// Bytes shown in logs.
const LOG_LEN: usize = 6;

/// The identity of a request across all its attempts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LEN]);

impl Fingerprint {
    /// The fingerprint of the request that consists of `parts`, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // Without the length, `ab` + `c` would be the same as `a` + `bc`.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&whole[..LEN]);
        Self(bytes)
    }

    /// Its bytes, as sent to other daemons.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// All its bytes in hexadecimal, as in keys of rows.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// A fingerprint received from another daemon; `None` if the length is
    /// wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(LOG_LEN);
        shown.into_iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
