use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use comfreyhall_protocol::{ForwardHead, ForwardOutcome, ForwardPart};

use super::read_answer;
use crate::test_node::node;

/// Guards against a daemon that passes an answer back without end, which is collected
/// until memory is exhausted.
#[tokio::test]
async fn read_answer_endless() {
    let read = Arc::new(AtomicUsize::new(0));
    let counter = read.clone();
    let piece = move || {
        let count = counter.fetch_add(1, Ordering::SeqCst);
        (count < 200).then(|| {
            Ok(ForwardPart {
                data: vec![b'x'; 1 << 20],
                ..ForwardPart::default()
            })
        })
    };
    let head = ForwardHead {
        outcome: i32::from(ForwardOutcome::Answered),
        status: 200,
        ..ForwardHead::default()
    };
    let parts = futures::stream::iter(std::iter::from_fn(piece));
    let answer = read_answer(&node(), head, parts).await;
    assert!(answer.is_err());
    let read = read.load(Ordering::SeqCst);
    assert!(read < 20, "{read} MB");
}

/// Guards against a status that is none and that another daemon passes back.
#[tokio::test]
async fn read_answer_without_status() {
    for status in [0, 99, 100, 101, 600, 999, 1_000, u32::MAX] {
        let head = ForwardHead {
            outcome: i32::from(ForwardOutcome::Answered),
            status,
            ..ForwardHead::default()
        };
        let last = ForwardPart {
            last: true,
            ..ForwardPart::default()
        };
        let parts = futures::stream::iter([Ok(last)]);
        let answer = read_answer(&node(), head, parts).await;
        assert!(answer.is_err(), "{status}");
    }
}
