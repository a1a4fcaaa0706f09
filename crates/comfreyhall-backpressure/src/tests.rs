use super::*;

fn limit(values: &[&str]) -> (Option<f64>, Vec<Odd>) {
    let mut odd = Vec::new();
    let rate = read_limit(values.iter().map(|v| v.as_bytes()), &mut odd);
    (rate.map(Rate::per_s), odd)
}

fn notice(per_s: Option<f64>) -> Notice {
    Notice {
        limit: per_s.and_then(Rate::of),
        ..Notice::default()
    }
}

#[test]
fn read_limit_plain_number() {
    assert_eq!(limit(&["2"]), (Some(2.0), vec![]));
    assert_eq!(limit(&[" 1.3 "]), (Some(1.3), vec![]));
    assert_eq!(limit(&[]), (None, vec![]));
}

/// Guards against odd limits that are passed over, panic, or shut a target out.
#[test]
fn read_limit_odd_values_are_safe() {
    use Odd::*;
    for text in ["", "many", "NaN", "-nan", "1,5", "2 req", "\u{fe}"] {
        assert_eq!(limit(&[text]), (Some(1.0), vec![LimitUnread]), "{text}");
    }
    for text in ["0", "-0", "-3", "-inf", "1e-300", "0.05"] {
        assert_eq!(limit(&[text]), (Some(0.1), vec![LimitLow]), "{text}");
    }
    for text in ["inf", "1e300", "1000000"] {
        assert_eq!(limit(&[text]), (None, vec![LimitHigh]), "{text}");
    }
    assert_eq!(limit(&["9", "4"]), (Some(4.0), vec![LimitTwice]));
    let unread = vec![LimitTwice, LimitUnread];
    assert_eq!(limit(&["9", "x"]), (Some(1.0), unread));
}

#[test]
fn hear_limit_and_its_end() {
    let mut gates = Gates::default();
    let t = "t".into();
    let began = gates.hear(&t, &notice(Some(2.0)), 90, 100);
    let limit = Rate::of(2.0).unwrap();
    let before = None;
    assert_eq!(began, Some(Change::Limited { limit, before }));
    assert_eq!(gates.limit("t", 100), Some(limit));
    assert_eq!(gates.hear(&t, &notice(Some(2.0)), 101, 110), None);
    let ended = gates.hear(&t, &notice(None), 120, 130);
    assert_eq!(ended, Some(Change::Unlimited { after_ms: 30 }));
    assert_eq!(gates.limit("t", 130), None);
}

/// Guards against an answer from before the limit that is read late and ends it.
#[test]
fn hear_late_answer_does_not_end_limit() {
    let mut gates = Gates::default();
    let t = "t".into();
    gates.hear(&t, &notice(Some(2.0)), 90, 100);
    assert_eq!(gates.hear(&t, &notice(None), 95, 140), None);
    assert_eq!(gates.hear(&t, &notice(Some(9.0)), 95, 140), None);
    assert_eq!(gates.limit("t", 140), Rate::of(2.0));
    gates.hear(&t, &notice(Some(1.0)), 95, 140);
    assert_eq!(gates.limit("t", 140), Rate::of(1.0));
}

/// Guards against a word that binds another start at the same address.
#[test]
fn hear_binds_one_start() {
    let mut gates = Gates::default();
    gates.hear(&"t@1".into(), &notice(Some(2.0)), 90, 100);
    assert_eq!(gates.limit("t@2", 100), None);
}

/// Guards against a target that is shut out for good by its last word.
#[test]
fn limit_is_forgotten_after_a_while() {
    let mut gates = Gates::default();
    gates.hear(&"t".into(), &notice(Some(0.1)), 90, 100);
    assert!(gates.limit("t", 59_000).is_some());
    assert!(gates.limit("t", 61_000).is_none());
}
