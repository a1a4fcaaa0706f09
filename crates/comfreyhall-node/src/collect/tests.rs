use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, channel::mpsc};

use super::{Budget, CollectError, Exceeded, collect};

type Piece = Result<Bytes, Infallible>;

fn piece(len: usize) -> Piece {
    Ok(vec![0; len].into())
}

/// A body of this many pieces of `len` bytes.
fn body(pieces: usize, len: usize) -> impl futures::Stream<Item = Piece> + Unpin {
    futures::stream::iter((0..pieces).map(move |_| piece(len)))
}

#[tokio::test]
async fn collect_counts_until_dropped() {
    let budget = Budget::new(100, 150);
    let whole = collect(&budget, body(100, 1)).await.unwrap();
    let copy = whole.clone();
    drop(whole);
    assert_eq!((copy.len(), budget.held()), (100, 100));
    // What was read whole is not ended for another.
    let second = collect(&budget, body(1, 60)).await;
    assert!(matches!(
        second,
        Err(CollectError::Exceeded(Exceeded::Spent))
    ));
    drop(copy);
    assert_eq!(budget.held(), 0);
    let long = collect(&budget, body(101, 1)).await;
    assert!(matches!(
        long,
        Err(CollectError::Exceeded(Exceeded::TooLong))
    ));
    assert_eq!(budget.held(), 0);
}

/// Guards against sound answers that end since one without end has spent the budget, also
/// if the long one is silent at that time.
#[tokio::test]
async fn collect_ends_longest() {
    let budget = Budget::new(100, 150);
    let (sender, long) = mpsc::unbounded();
    sender.unbounded_send(piece(90)).unwrap();
    let of_long = budget.clone();
    let long = tokio::spawn(async move { collect(&of_long, long).await.map(|b| b.len()) });
    while budget.held() < 90 {
        tokio::task::yield_now().await;
    }
    let mut sound = Vec::new();
    for _ in 0..4 {
        let slowly = body(3, 10).then(|piece| async {
            tokio::time::sleep(Duration::from_millis(1)).await;
            piece
        });
        sound.push(collect(&budget, Box::pin(slowly)).await.unwrap());
    }
    let ended = tokio::time::timeout(Duration::from_secs(2), long).await;
    let ended = ended.unwrap().unwrap();
    assert!(matches!(
        ended,
        Err(CollectError::Exceeded(Exceeded::Spent))
    ));
    assert_eq!(budget.held(), 120);
}
