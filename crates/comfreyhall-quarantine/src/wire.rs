//! Evidence as messages between daemons.

use comfreyhall_protocol as proto;

use crate::{Evidence, Feature, FeatureKind, Fingerprint, Observation};

impl Evidence {
    /// Converts it into a message; its age counts from `now`.
    pub fn to_wire(&self, now: u64) -> proto::Evidence {
        let (target, early) = match &self.observation {
            Observation::TargetEnded { target, early } => (target.to_string(), *early),
            Observation::Completed => (String::new(), false),
        };
        proto::Evidence {
            fingerprint: self.feature.fingerprint.as_bytes().to_vec(),
            target,
            age_ms: now.saturating_sub(self.at_ms),
            observer: self.observer.to_string(),
            early,
            segment: match self.feature.kind {
                FeatureKind::Request => 0,
                FeatureKind::Segment { position } => position.into(),
            },
        }
    }

    /// Reads a message; `None` if it has no valid fingerprint.
    pub fn from_wire(wire: &proto::Evidence, now: u64) -> Option<Self> {
        Some(Self {
            feature: Feature {
                kind: match u8::try_from(wire.segment).unwrap_or(u8::MAX) {
                    0 => FeatureKind::Request,
                    position => FeatureKind::Segment { position },
                },
                fingerprint: Fingerprint::from_bytes(&wire.fingerprint)?,
            },
            observation: match wire.target.as_str() {
                "" => Observation::Completed,
                target => Observation::TargetEnded {
                    target: target.into(),
                    early: wire.early,
                },
            },
            at_ms: now.saturating_sub(wire.age_ms),
            observer: wire.observer.as_str().into(),
        })
    }
}
