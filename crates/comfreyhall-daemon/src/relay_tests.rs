use std::time::{Duration, Instant};

use comfreyhall_protocol::GenerateRequest;

use super::*;

fn job(next: u32) -> Job {
    Job {
        order: GenerateRequest {
            request_id: "r".into(),
            adapter: "a".into(),
            version: "v1".into(),
            max_tokens: 9,
            resume_from: next,
            ..GenerateRequest::default()
        },
        until: Instant::now() + Duration::from_secs(1),
        fingerprint: comfreyhall_quarantine::Fingerprint::of([]),
        repeatable: true,
    }
}

fn chunk(id: &str, version: &str, index: u32) -> GenerateChunk {
    GenerateChunk {
        request_id: id.into(),
        adapter: "a".into(),
        version: version.into(),
        index,
        ..GenerateChunk::default()
    }
}

#[test]
fn fit_next_token() {
    assert_eq!(fit(&job(3), &chunk("r", "v1", 3)), Fit::Next);
}

#[test]
fn fit_doubled_token() {
    assert_eq!(fit(&job(3), &chunk("r", "v1", 1)), Fit::Doubled);
}

#[test]
fn fit_refuses_foreign() {
    // Symptom: a caller got tokens of another request, or of another version
    // of its adapter, or an answer with a hole. Sequence: an engine that
    // restarted mixes its streams up. Cause: chunks were passed on unread.
    assert_eq!(fit(&job(3), &chunk("other", "v1", 3)), Fit::Foreign);
    assert_eq!(fit(&job(3), &chunk("r", "v2", 3)), Fit::Foreign);
    assert_eq!(fit(&job(3), &chunk("r", "v1", 5)), Fit::Foreign);
}
