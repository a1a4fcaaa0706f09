//! What a request consists of that may be the cause when its targets end.
//!
//! A request is sent with its body, which nobody else may send, and with segments of
//! its prompt, which many requests share. Either may crash the targets. Evidence is
//! therefore collected for each [`Feature`] of a request, and only the attribution
//! decides which of them is the cause.

use crate::Fingerprint;

/// Which feature of a request something is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeatureKind {
    /// The request as a whole, over all its attempts.
    Request,
    /// A segment of its prompt that other requests may share.
    Segment {
        /// Its position in the prompt, from 1.
        position: u8,
    },
}

/// A feature of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Feature {
    /// Which one.
    pub kind: FeatureKind,
    /// Its identity in all requests that have it.
    pub fingerprint: Fingerprint,
}

impl Feature {
    /// The whole request with this fingerprint.
    pub fn request(fingerprint: Fingerprint) -> Self {
        Self {
            kind: FeatureKind::Request,
            fingerprint,
        }
    }

    /// The prompt segment `id` at `position`, from 1. Its fingerprint depends on the
    /// id alone: the segment is the same in prompts of other callers and routes.
    pub fn segment(id: u64, position: u8) -> Self {
        Self {
            kind: FeatureKind::Segment { position },
            fingerprint: Fingerprint::of([&b"segment"[..], &id.to_be_bytes()[..]]),
        }
    }
}

impl FeatureKind {
    /// How few requests may have it: of two features that explain the same ends, the
    /// more specific one is the cause, as far as is known.
    pub(crate) fn specificity(self) -> u8 {
        match self {
            FeatureKind::Request => u8::MAX,
            FeatureKind::Segment { position } => position,
        }
    }

    /// Whether this is a whole request.
    pub fn is_request(self) -> bool {
        self == FeatureKind::Request
    }
}
