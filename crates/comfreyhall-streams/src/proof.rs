//! What proves the version of a stream that is resumed.

use std::fmt;

use comfreyhall_domain::Name;

/// How the version of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// This daemon began the stream, or was sent its record.
    OwnRecord,
    /// Another daemon has its record.
    PeerRecord,
    /// Only one version has served, by this daemon's history.
    OwnHistory,
    /// Only one version has served, by another daemon's history.
    PeerHistory,
}

impl Evidence {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::OwnRecord => "own_record",
            Evidence::PeerRecord => "peer_record",
            Evidence::OwnHistory => "own_history",
            Evidence::PeerHistory => "peer_history",
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The version of a stream, and how it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proof {
    /// The service that the stream belongs to; `None` for any whose versions are
    /// known.
    pub service: Option<Name>,
    /// Version that sent the stream's first event.
    pub software: Name,
    /// How that is known.
    pub evidence: Evidence,
    /// Age of the record, or of the list of targets, in ms.
    pub age_ms: u64,
}

/// A daemon's answer to the question which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It has the record.
    Recorded {
        /// The service that the stream belongs to.
        service: Name,
        /// Version that sent the first event.
        software: Name,
        /// Age of the record in ms.
        age_ms: u64,
    },
    /// Only one version can have begun it.
    Only {
        /// That version.
        software: Name,
        /// Age of the daemon's list of targets in ms.
        age_ms: u64,
        /// For how long the version has been the only one, in ms.
        span_ms: u64,
    },
    /// It does not know.
    Unknown,
}

/// What the answers of other daemons prove together. Records go before histories;
/// records that contradict each other prove nothing.
pub fn conclude(answers: &[Answer]) -> Option<Proof> {
    let mut records = answers.iter().filter_map(recorded);
    if let Some(first) = records.next() {
        let same =
            |other: &Proof| other.service == first.service && other.software == first.software;
        return records.all(|other| same(&other)).then_some(first);
    }
    answers.iter().find_map(|a| match a {
        Answer::Only {
            software, age_ms, ..
        } => Some(Proof {
            service: None,
            software: software.clone(),
            evidence: Evidence::PeerHistory,
            age_ms: *age_ms,
        }),
        _ => None,
    })
}

fn recorded(answer: &Answer) -> Option<Proof> {
    match answer {
        Answer::Recorded {
            service,
            software,
            age_ms,
        } => Some(Proof {
            service: Some(service.clone()),
            software: software.clone(),
            evidence: Evidence::PeerRecord,
            age_ms: *age_ms,
        }),
        _ => None,
    }
}
