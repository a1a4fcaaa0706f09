use super::*;

fn total(target: &str, running: u32) -> TargetTotal {
    TargetTotal {
        target: target.into(),
        prefill: 500 * u64::from(running),
        waiting: 7,
        running,
        adapters: 1,
    }
}

/// The totals of `targets`, as a holder sends them to a caller that knows the numbers up
/// to `known`.
fn answer(
    numbers: &mut TargetNumbers,
    targets: &[TargetTotal],
    known: u32,
) -> (Vec<TargetNumber>, TotalColumns) {
    let numbered = targets.iter().map(|t| {
        let number = numbers.number(&t.target.as_str().into());
        (number, t.clone())
    });
    let mut numbered: Vec<(u32, TargetTotal)> = numbered.collect();
    numbered.sort_by_key(|(number, _)| *number);
    (numbers.after(known), encode(numbered.into_iter()))
}

fn sorted(mut totals: Vec<TargetTotal>) -> Vec<TargetTotal> {
    totals.sort_by(|a, b| a.target.cmp(&b.target));
    totals
}

/// Guards against a total that counts for another target, and against names in each
/// answer.
#[test]
fn decode_names_are_told_once() {
    let (mut numbers, mut known) = (TargetNumbers::default(), KnownNumbers::default());
    let first = [total("b", 1), total("a", 2)];
    let (told, columns) = answer(&mut numbers, &first, known.until(7));
    assert_eq!(told.len(), 2);
    let read = known.decode(7, &told, &columns).unwrap();
    assert_eq!(sorted(read), sorted(first.to_vec()));
    // This answer is lost.
    let more = [total("c", 1), total("a", 3)];
    let (lost, _) = answer(&mut numbers, &more, known.until(7));
    assert_eq!(lost.len(), 1);
    // `c` is idle again, and its number is reported all the same: the next ones count on it.
    let later = [total("d", 4), total("a", 3)];
    let (told, columns) = answer(&mut numbers, &later, known.until(7));
    assert_eq!(told.len(), 2);
    let read = known.decode(7, &told, &columns).unwrap();
    assert_eq!(sorted(read), sorted(later.to_vec()));
    numbers.retain(|target| &**target != "a");
    let last = [total("c", 1), total("a", 5)];
    let (told, columns) = answer(&mut numbers, &last, known.until(7));
    assert_eq!(told.len(), 1, "a number is not used again");
    let read = known.decode(7, &told, &columns).unwrap();
    assert_eq!(sorted(read), sorted(last.to_vec()));
}

/// Guards against totals by numbers of another process, or that are not known, which
/// would make busy targets look idle.
#[test]
fn decode_unknown_number_is_told_again() {
    let (mut numbers, mut known) = (TargetNumbers::default(), KnownNumbers::default());
    let totals = [total("a", 1)];
    let (told, columns) = answer(&mut numbers, &totals, 0);
    assert!(known.decode(7, &[], &columns).is_none());
    assert!(known.decode(7, &told, &columns).is_some());
    assert_eq!((known.until(7), known.until(8)), (1, 0));
    assert!(known.decode(8, &[], &columns).is_none());
    assert_eq!(known.until(7), 0);
    let mut cut = columns.clone();
    cut.running.clear();
    assert!(known.decode(7, &told, &cut).is_none());
    let mut odd = columns;
    odd.steps = vec![1, u32::MAX];
    assert!(known.decode(7, &told, &odd).is_none());
}
