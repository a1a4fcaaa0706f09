//! What tells that two attempts are the same request.
//!
//! Each attempt of a caller has an id of its own, so the id cannot tell. The
//! fingerprint is a cryptographic hash over everything that makes a request
//! what it is, its caller among it: nobody can make up a body whose
//! fingerprint is that of somebody else's request.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes kept of the hash: finding two inputs that share them takes 2^64
/// tries, and evidence stays small enough to be told to every daemon.
const BYTES: usize = 16;

/// Bytes shown in logs.
const SHOWN: usize = 6;

/// The identity of a request over all its attempts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

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
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }

    /// Its bytes, to be told to another daemon.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// A fingerprint that another daemon told; `None` if it is none.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(SHOWN);
        shown.into_iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
