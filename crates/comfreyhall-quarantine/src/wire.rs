//! Findings as messages between daemons.

use comfreyhall_protocol as proto;

use crate::{Evidence, Fingerprint, Observation};

impl Evidence {
    /// The message; what it says of time counts from `now`.
    pub fn to_wire(&self, now: u64) -> proto::Evidence {
        let (target, early) = match &self.observation {
            Observation::TargetEnded { target, early } => (target.to_string(), *early),
            Observation::Completed => (String::new(), false),
        };
        proto::Evidence {
            fingerprint: self.fingerprint.as_bytes().to_vec(),
            target,
            age_ms: now.saturating_sub(self.at_ms),
            witness: self.observer.to_string(),
            early,
        }
    }

    /// What a message says; `None` if it names no request.
    pub fn from_wire(wire: &proto::Evidence, now: u64) -> Option<Self> {
        Some(Self {
            fingerprint: Fingerprint::from_bytes(&wire.fingerprint)?,
            observation: match wire.target.as_str() {
                "" => Observation::Completed,
                target => Observation::TargetEnded {
                    target: target.into(),
                    early: wire.early,
                },
            },
            at_ms: now.saturating_sub(wire.age_ms),
            observer: wire.witness.as_str().into(),
        })
    }
}
