//! Callers' keys, kept so that nobody can read them.
//!
//! A key is a password. What goes wrong if one is kept as it is: it stands in a
//! core dump, a log line or an error, and whoever reads that calls as its
//! workspace. So a configuration's keys are kept as keyed hashes, under a salt
//! drawn by whoever read them first, and a caller's key lives only as long as
//! its request.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use zeroize::Zeroizing;

/// Bytes kept of a hash: two keys share them once in 2^64 keys.
const HASH_BYTES: usize = 16;

/// Bytes of a salt.
const SALT_BYTES: usize = 32;

/// What the hashes of one configuration are made with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Salt([u8; SALT_BYTES]);

impl Salt {
    /// The salt of these bytes, which must be drawn at random.
    pub fn new(bytes: [u8; SALT_BYTES]) -> Self {
        Self(bytes)
    }

    /// A salt that another daemon told; `None` if it is none.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }

    /// Its bytes, to be told to another daemon with the hashes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Salt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Salt(..)")
    }
}

/// A key as it is kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// A hash that another daemon told; `None` if it is none.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }

    /// Its bytes, to be told to another daemon.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Makes the hashes of one salt.
#[derive(Clone)]
pub struct KeyHasher {
    salt: Salt,
    mac: Hmac<Sha256>,
}

impl KeyHasher {
    /// A hasher with `salt`.
    pub fn new(salt: Salt) -> Self {
        let mac = Hmac::new_from_slice(&salt.0);
        let mac = mac.expect("a MAC takes a key of any length");
        Self { salt, mac }
    }

    /// What it hashes with.
    pub fn salt(&self) -> Salt {
        self.salt
    }

    /// The hash of `key`.
    pub fn hash(&self, key: &[u8]) -> KeyHash {
        let mut mac = self.mac.clone();
        mac.update(key);
        let whole = mac.finalize().into_bytes();
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&whole[..HASH_BYTES]);
        KeyHash(bytes)
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHasher(..)")
    }
}

/// The key that a caller sent, wiped when its request ends.
#[derive(Clone)]
pub struct PresentedKey(Zeroizing<Vec<u8>>);

impl PresentedKey {
    /// The key of these bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Zeroizing::new(bytes.to_vec()))
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PresentedKey(..)")
    }
}
