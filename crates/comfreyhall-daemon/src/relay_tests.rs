use std::time::{Duration, Instant};

use comfreyhall_protocol::GenerateRequest;

use super::*;

fn request(next_index: u32) -> RoutedRequest {
    RoutedRequest {
        command: GenerateRequest {
            request_id: "r".into(),
            adapter: "a".into(),
            version: "v1".into(),
            max_tokens: 9,
            resume_from: next_index,
            ..GenerateRequest::default()
        },
        deadline: Instant::now() + Duration::from_secs(1),
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

/// Guards against an answer without end, which is collected until memory is exhausted.
#[test]
fn check_chunk_too_long() {
    let mut long = chunk("r", "v1", 3);
    long.text = "x".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(check_chunk(&request(3), &long), ChunkCheck::Mismatch);
    let tenth = chunk("r", "v1", 10);
    assert_eq!(check_chunk(&request(10), &tenth), ChunkCheck::Mismatch);
}

#[test]
fn check_chunk_next() {
    assert_eq!(
        check_chunk(&request(3), &chunk("r", "v1", 3)),
        ChunkCheck::Next
    );
}

#[test]
fn check_chunk_duplicate() {
    assert_eq!(
        check_chunk(&request(3), &chunk("r", "v1", 1)),
        ChunkCheck::Duplicate
    );
}

#[test]
fn check_chunk_mismatch() {
    // Guards against forwarding tokens of another request, of another version
    // of the adapter, or after a gap: an engine that restarted may mix up its
    // streams.
    assert_eq!(
        check_chunk(&request(3), &chunk("other", "v1", 3)),
        ChunkCheck::Mismatch
    );
    assert_eq!(
        check_chunk(&request(3), &chunk("r", "v2", 3)),
        ChunkCheck::Mismatch
    );
    assert_eq!(
        check_chunk(&request(3), &chunk("r", "v1", 5)),
        ChunkCheck::Mismatch
    );
}
