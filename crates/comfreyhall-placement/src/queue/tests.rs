use super::QueuedRequest;

fn request(priority: u32, arrived_ms: u64, start_by_ms: u64) -> QueuedRequest {
    QueuedRequest {
        priority,
        arrived_ms,
        start_by_ms,
    }
}

/// Guards against a freed slot that goes to a load from the store while a
/// request waits whose weights the engine has cached; one that is more urgent,
/// or may still be on time, keeps its turn.
#[test]
fn slot_key_prefers_cached_among_equals() {
    let mut queue = [
        ("late cached", request(0, 10, 400), true),
        ("store", request(1, 20, 2_000), false),
        ("cached", request(1, 30, 2_000), true),
        ("urgent store", request(0, 40, 2_000), false),
    ];
    queue.sort_by_key(|(_, r, cached)| r.slot_key(*cached, 500));
    let order = queue.map(|(name, ..)| name);
    assert_eq!(order, ["urgent store", "cached", "store", "late cached"]);
}
