//! Messages between daemons about streams.

use comfreyhall_domain::Name;
use comfreyhall_protocol::{
    ServiceVersion, StreamEvidence, StreamFinding, StreamGroup, StreamId, StreamRecordBatch,
};
use comfreyhall_streams::{Answer, Reported, StreamRecord};

/// Encodes records, grouped by service and version.
pub(super) fn encode_records(records: &[(Name, StreamRecord)], now: u64) -> StreamRecordBatch {
    let mut batch = StreamRecordBatch::default();
    for (id, record) in records {
        let same = |g: &StreamGroup| g.service == *record.service && g.software == *record.software;
        let at = batch.groups.iter().position(same).unwrap_or_else(|| {
            batch.groups.push(StreamGroup {
                service: record.service.to_string(),
                software: record.software.to_string(),
                streams: Vec::new(),
            });
            batch.groups.len() - 1
        });
        batch.groups[at].streams.push(StreamId {
            id: id.to_string(),
            left_ms: record.expires_ms.saturating_sub(now),
        });
    }
    batch
}

/// Decodes records that expire as long after `now` as the message says, `max_ms` at
/// most.
pub(super) fn decode_records(
    batch: StreamRecordBatch,
    max_ms: u64,
    now: u64,
) -> Vec<(Name, StreamRecord)> {
    let mut out = Vec::new();
    for group in batch.groups {
        let service: Name = group.service.into();
        let software: Name = group.software.into();
        out.extend(group.streams.into_iter().map(|stream| {
            let record = StreamRecord {
                service: service.clone(),
                software: software.clone(),
                expires_ms: now + stream.left_ms.min(max_ms),
            };
            (stream.id.into(), record)
        }));
    }
    out
}

pub(super) fn encode_answer(answer: &Answer) -> StreamFinding {
    match answer {
        Answer::Recorded {
            service,
            software,
            age_ms,
        } => StreamFinding {
            evidence: i32::from(StreamEvidence::Record),
            service: service.to_string(),
            software: software.to_string(),
            age_ms: *age_ms,
            span_ms: 0,
        },
        Answer::Only {
            software,
            age_ms,
            span_ms,
        } => StreamFinding {
            evidence: i32::from(StreamEvidence::Only),
            service: String::new(),
            software: software.to_string(),
            age_ms: *age_ms,
            span_ms: *span_ms,
        },
        Answer::Unknown => StreamFinding::default(),
    }
}

pub(super) fn decode_answer(finding: &StreamFinding) -> Answer {
    let software: Name = finding.software.as_str().into();
    match finding.evidence() {
        StreamEvidence::Record => Answer::Recorded {
            service: finding.service.as_str().into(),
            software,
            age_ms: finding.age_ms,
        },
        StreamEvidence::Only => Answer::Only {
            software,
            age_ms: finding.age_ms,
            span_ms: finding.span_ms,
        },
        StreamEvidence::Unknown => Answer::Unknown,
    }
}

/// Encodes what this daemon has seen of a version of `service`.
pub(crate) fn encode_version(service: &Name, reported: &Reported) -> ServiceVersion {
    ServiceVersion {
        service: service.to_string(),
        software: reported.software.as_deref().unwrap_or("").to_string(),
        established: reported.established,
        left_ms: reported.left_ago_ms,
    }
}

pub(crate) fn decode_version(version: &ServiceVersion) -> Reported {
    let software = version.software.as_str();
    Reported {
        software: (!software.is_empty()).then(|| software.into()),
        established: version.established,
        left_ago_ms: version.left_ms,
    }
}
