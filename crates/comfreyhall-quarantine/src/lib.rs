//! Requests that end the targets that run them.
//!
//! [`Fingerprint`] tells that two attempts are the same request.

mod fingerprint;

pub use fingerprint::Fingerprint;

#[cfg(test)]
mod tests;
