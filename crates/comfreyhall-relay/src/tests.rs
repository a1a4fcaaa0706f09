use std::collections::HashMap;

use proptest::{prelude::*, test_runner::RngSeed};

use crate::{
    ByteBudget, EndCause, Event, EventKind, EventSplitter, Exceeded, HolderId, MAX_EVENT_BYTES,
    SeekTimer,
};

#[test]
fn take_event_returns_whole_events_only() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(events.take_event().unwrap().kind, EventKind::Numbered(1));
    assert!(events.take_event().is_none());
    assert!(events.has_partial());
    events.push(b"ta: b\n").unwrap();
    assert!(events.take_event().is_none());
    events.push(b"\n").unwrap();
    let event = events.take_event().unwrap();
    assert_eq!(event.kind, EventKind::Numbered(2));
    assert_eq!(&event.bytes[..], b"id: 2\ndata: b\n\n");
    assert!(!events.has_partial());
}

/// Guards against a target that is judged by what its caller or this process did, and
/// against causes that a counter cannot tell apart.
#[test]
fn cause_blames_targets_for_their_own_ends() {
    use EndCause::*;
    let (others, targets): (Vec<EndCause>, Vec<EndCause>) = EndCause::ALL
        .into_iter()
        .partition(|c| !c.is_target_failure());
    assert_eq!(others, [OutOfMemory, CallerLeft, GraceEnded]);
    assert_eq!(targets.len(), 6);
    assert!(others.iter().all(|c| !c.may_be_target_end()));
    let names: std::collections::HashSet<&str> = EndCause::ALL.iter().map(|c| c.name()).collect();
    assert_eq!(names.len(), EndCause::ALL.len());
}

/// Guards against targets that are sought without end or without a pause, and against a wait
/// for the silence of one that has failed.
#[test]
fn due_ms_is_bounded() {
    let mut timer = SeekTimer::new(Some(1_200), 100);
    assert_eq!(timer.due_ms(), Some(1_300));
    timer.asked(Some(1_500), 1_300);
    assert_eq!(timer.due_ms(), Some(2_800));
    timer.failed(1_400);
    assert_eq!(timer.due_ms(), Some(1_800));
    timer.not_asked(1_800);
    assert_eq!(timer.due_ms(), Some(2_200));
    timer.not_asked(2_200);
    assert_eq!(timer.due_ms(), None);
    assert_eq!(SeekTimer::new(None, 100).due_ms(), None);
}

/// Events of `bytes` pushed in pieces of these lengths, in turn, and whether all were taken.
fn split(bytes: &[u8], lengths: &[usize]) -> (Vec<Event>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut lengths = lengths.iter().cycle();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(rest.len().min(*lengths.next().unwrap()));
        rest = after;
        let pushed = splitter.push(piece);
        events.extend(std::iter::from_fn(|| splitter.take_event()));
        if pushed.is_err() {
            return (events, false);
        }
    }
    (events, true)
}

/// A stream with lines that end either way, and now and then an event that is too long.
fn streams() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        4 => "[a-z]{0,6}".prop_map(String::into_bytes),
        2 => (0_u64..99).prop_map(|i| format!("id: {i}").into_bytes()),
        1 => proptest::collection::vec(any::<u8>(), 0..6),
    ];
    let end = prop_oneof![
        Just(&b"\n"[..]),
        Just(&b"\r\n"[..]),
        Just(&b"\n\n"[..]),
        Just(&b"\r\n\r\n"[..]),
        Just(&b"\r"[..]),
    ];
    let lines = proptest::collection::vec((line, end), 0..40);
    let long = prop_oneof![9 => Just(0), 1 => MAX_EVENT_BYTES - 8..MAX_EVENT_BYTES + 2];
    (lines.clone(), long, lines).prop_map(|(before, long, after)| {
        let text = |lines: Vec<(Vec<u8>, &[u8])>| -> Vec<u8> {
            let lines = lines.into_iter();
            lines.flat_map(|(l, e)| [&l[..], e].concat()).collect()
        };
        [text(before), vec![b'x'; long], text(after)].concat()
    })
}

/// Where the first event of `bytes` ends, found in the simplest way.
fn first_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| match &bytes[at..] {
        rest if rest.starts_with(b"\n\n") => Some(at + 2),
        rest if rest.starts_with(b"\r\n\r\n") => Some(at + 4),
        _ => None,
    })
}

fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(731),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Guards against events that depend on how the network has split their bytes, and
    /// against a bound that a sound event meets or a long one passes.
    #[test]
    fn push_any_split_gives_same_events(
        bytes in streams(),
        lengths in proptest::collection::vec(1_usize..3_000, 1..9),
    ) {
        let mut expected = Vec::new();
        let mut rest = &bytes[..];
        while let Some(end) = first_end(rest).filter(|end| *end <= MAX_EVENT_BYTES) {
            expected.push(rest[..end].to_vec());
            rest = &rest[end..];
        }
        let is_whole = rest.len() <= MAX_EVENT_BYTES;
        for lengths in [&lengths[..], &[1], &[usize::MAX]] {
            let (events, whole) = split(&bytes, lengths);
            let events: Vec<Vec<u8>> = events.iter().map(|e| e.bytes.to_vec()).collect();
            prop_assert_eq!(&events, &expected);
            prop_assert_eq!(whole, is_whole);
        }
    }

    /// Guards against bodies that hold more than they may together, and against one that
    /// ends though another that grows holds more.
    #[test]
    fn grow_holds_bounds(steps in proptest::collection::vec((0_usize..8, 0_usize..5, 0_usize..60), 1..200)) {
        let (max_each, max_total) = (100, 250);
        let mut budget = ByteBudget::new(max_each, max_total);
        // Of each holder its bytes, and whether it is complete.
        let mut model: HashMap<HolderId, (usize, bool)> = HashMap::new();
        let mut ids: Vec<HolderId> = (0..8).map(|_| budget.open()).collect();
        model.extend(ids.iter().map(|id| (*id, (0, false))));
        for (at, step, bytes) in steps {
            let id = ids[at];
            let (held, complete) = model[&id];
            if complete || step == 0 {
                budget.close(id);
                model.remove(&id);
                ids[at] = budget.open();
                model.insert(ids[at], (0, false));
            } else if step == 1 {
                budget.complete(id).unwrap();
                model.insert(id, (held, true));
            } else {
                let mut ended = Vec::new();
                let granted = budget.grow(id, bytes, &mut ended);
                for other in &ended {
                    let (bytes_held, other_complete) = model.remove(other).unwrap();
                    prop_assert!(!other_complete && bytes_held > held);
                    prop_assert_eq!(budget.grow(*other, 1, &mut Vec::new()), Err(Exceeded::Spent));
                }
                let most = model.iter().filter(|(other, h)| **other != id && !h.1).map(|(_, h)| h.0).max();
                match granted {
                    Ok(()) => model.insert(id, (held + bytes, false)),
                    Err(Exceeded::TooLong) => {
                        prop_assert!(held + bytes > max_each);
                        model.remove(&id)
                    }
                    Err(Exceeded::Spent) => {
                        prop_assert!(most.unwrap_or(0) <= held + bytes);
                        model.remove(&id)
                    }
                };
                for id in &mut ids {
                    if !model.contains_key(id) {
                        *id = budget.open();
                        model.insert(*id, (0, false));
                    }
                }
            }
            prop_assert_eq!(budget.total(), model.values().map(|h| h.0).sum::<usize>());
            prop_assert!(budget.total() <= max_total);
        }
    }
}
