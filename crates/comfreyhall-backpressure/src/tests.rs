use super::*;

fn limit(values: &[&str]) -> (Option<f64>, Vec<Anomaly>) {
    let mut odd = Vec::new();
    let rate = parse_limit(values.iter().map(|v| v.as_bytes()), &mut odd);
    (rate.map(Rate::per_s), odd)
}

fn notice(per_s: Option<f64>) -> Notice {
    Notice {
        limit: per_s.and_then(Rate::from_per_s),
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
    use Anomaly::*;
    for text in ["", "many", "NaN", "-nan", "1,5", "2 req", "\u{fe}"] {
        assert_eq!(limit(&[text]), (Some(1.0), vec![LimitInvalid]), "{text}");
    }
    for text in ["0", "-0", "-3", "-inf", "1e-300", "0.05"] {
        assert_eq!(limit(&[text]), (Some(0.1), vec![LimitTooLow]), "{text}");
    }
    for text in ["inf", "1e300", "1000000"] {
        assert_eq!(limit(&[text]), (None, vec![LimitTooHigh]), "{text}");
    }
    assert_eq!(limit(&["9", "4"]), (Some(4.0), vec![LimitRepeated]));
    let unread = vec![LimitRepeated, LimitInvalid];
    assert_eq!(limit(&["9", "x"]), (Some(1.0), unread));
}

#[test]
fn hear_limit_and_its_end() {
    let mut gates = TargetSignals::default();
    let t = "t".into();
    let began = gates.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    let limit = Rate::from_per_s(2.0).unwrap();
    let before = None;
    assert_eq!(
        began,
        [Change::Limited {
            limit,
            previous: before
        }]
    );
    assert_eq!(gates.limit("t", 100), Some(limit));
    assert_eq!(
        gates.record_notice(&t, &notice(Some(2.0)), Some(101), 110),
        []
    );
    let ended = gates.record_notice(&t, &notice(None), Some(120), 130);
    assert_eq!(ended, [Change::Unlimited { after_ms: 30 }]);
    assert_eq!(gates.limit("t", 130), None);
}

/// Guards against an answer from before the limit that is read late and ends it.
#[test]
fn hear_late_answer_does_not_end_limit() {
    let mut gates = TargetSignals::default();
    let t = "t".into();
    gates.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    assert_eq!(gates.record_notice(&t, &notice(None), Some(95), 140), []);
    assert_eq!(
        gates.record_notice(&t, &notice(Some(9.0)), Some(95), 140),
        []
    );
    assert_eq!(gates.limit("t", 140), Rate::from_per_s(2.0));
    gates.record_notice(&t, &notice(Some(1.0)), Some(95), 140);
    assert_eq!(gates.limit("t", 140), Rate::from_per_s(1.0));
}

/// Guards against an order's answer that does not bear the limit and ends it.
#[test]
fn hear_order_does_not_end_limit() {
    let mut gates = TargetSignals::default();
    let t = "t".into();
    gates.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    assert_eq!(gates.record_notice(&t, &notice(None), None, 140), []);
    gates.record_notice(&t, &notice(Some(1.0)), None, 150);
    assert_eq!(gates.limit("t", 150), Rate::from_per_s(1.0));
}

/// Guards against a word that binds another start at the same address.
#[test]
fn hear_binds_one_start() {
    let mut gates = TargetSignals::default();
    gates.record_notice(&"t@1".into(), &notice(Some(2.0)), Some(90), 100);
    assert_eq!(gates.limit("t@2", 100), None);
}

/// Guards against a target that is shut out for good by its last word.
#[test]
fn limit_is_forgotten_after_a_while() {
    let mut gates = TargetSignals::default();
    gates.record_notice(&"t".into(), &notice(Some(0.1)), Some(90), 100);
    assert!(gates.limit("t", 59_000).is_some());
    assert!(gates.limit("t", 61_000).is_none());
}

#[test]
fn told_newer_word_counts() {
    let mut gates = TargetSignals::default();
    let t = "t".into();
    let word = |per_s: Option<f64>, heard| LimitReport {
        limit: per_s.and_then(Rate::from_per_s),
        received_ms: heard,
        direct: false,
    };
    assert_eq!(gates.record_reported_limit(&t, word(None, 90), 100), None);
    assert!(
        gates
            .record_reported_limit(&t, word(Some(2.0), 90), 100)
            .is_some()
    );
    // An older one, which comes late.
    assert_eq!(
        gates.record_reported_limit(&t, word(Some(9.0), 80), 110),
        None
    );
    assert_eq!(gates.limit("t", 110), Rate::from_per_s(2.0));
    assert!(
        gates
            .record_reported_limit(&t, word(None, 95), 120)
            .is_some()
    );
    assert_eq!(gates.limit("t", 120), None);
}

fn rest(values: &[&str]) -> (Option<u64>, Vec<Anomaly>) {
    let mut odd = Vec::new();
    let ms = parse_cooldown(values.iter().map(|v| v.as_bytes()), &mut odd);
    (ms, odd)
}

/// Guards against odd rests that are passed over, panic, or shut a target out.
#[test]
fn read_rest_odd_values_are_safe() {
    use Anomaly::*;
    assert_eq!(rest(&[]), (None, vec![]));
    assert_eq!(rest(&["3"]), (Some(3_000), vec![]));
    assert_eq!(rest(&["0.5"]), (Some(500), vec![]));
    assert_eq!(rest(&["0"]), (None, vec![]));
    assert_eq!(rest(&["-7"]), (None, vec![CooldownNegative]));
    for text in ["", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(
            rest(&[text]),
            (Some(3_000), vec![CooldownInvalid]),
            "{text}"
        );
    }
    for text in ["86400", "1e300", "inf"] {
        assert_eq!(
            rest(&[text]),
            (Some(300_000), vec![CooldownTooLong]),
            "{text}"
        );
    }
    assert_eq!(rest(&["1", "2"]), (Some(2_000), vec![CooldownRepeated]));
}

/// Guards against a leaving that is passed over, or read where there is none.
#[test]
fn read_leaving_odd_values_are_safe() {
    let read = |values: &[&str]| {
        let (mut rest_ms, mut odd) = (None, Vec::new());
        let values = values.iter().map(|v| v.as_bytes());
        let leaving = parse_draining(values, &mut rest_ms, &mut odd);
        (leaving, rest_ms, odd)
    };
    assert_eq!(read(&[]), (false, None, vec![]));
    assert_eq!(read(&["1"]), (true, None, vec![]));
    assert_eq!(read(&["0"]), (false, None, vec![]));
    assert_eq!(read(&["0", "1"]), (true, None, vec![]));
    let odd = vec![Anomaly::DrainingInvalid];
    assert_eq!(read(&["perhaps"]), (false, Some(3_000), odd));
}

#[test]
fn hear_rest_ends_by_itself() {
    let mut gates = TargetSignals::default();
    let t = "t".into();
    let asks = |ms| Notice {
        cooldown_ms: Some(ms),
        ..Notice::default()
    };
    let began = gates.record_notice(&t, &asks(300), Some(90), 100);
    assert_eq!(began, [Change::CooldownStarted { cooldown_ms: 300 }]);
    // A shorter one, and answers that say nothing, do not end it.
    assert_eq!(gates.record_notice(&t, &asks(50), Some(90), 110), []);
    assert_eq!(
        gates.record_notice(&t, &Notice::default(), Some(120), 130),
        []
    );
    assert_eq!(gates.cooldown_ms("t", 130), 270);
    assert_eq!(gates.expire(399), []);
    assert_eq!(gates.expire(400), [("t".into(), Change::CooldownEnded)]);
    assert_eq!(gates.cooldown_ms("t", 400), 0);
    assert!(gates.is_empty());
}

/// Guards against a target that leaves and is sent to again since another of
/// its answers, read late, does not say so.
#[test]
fn hear_leaving_is_final() {
    let mut gates = TargetSignals::default();
    let t = "t@1".into();
    let leaves = Notice {
        draining: true,
        ..Notice::default()
    };
    assert_eq!(
        gates.record_notice(&t, &leaves, Some(90), 100),
        [Change::Draining]
    );
    assert_eq!(gates.record_notice(&t, &leaves, Some(91), 101), []);
    assert_eq!(
        gates.record_notice(&t, &Notice::default(), Some(120), 130),
        []
    );
    assert_eq!(gates.expire(100_000), []);
    assert!(gates.is_draining("t@1", 100_000));
    assert!(!gates.is_draining("t@2", 100_000));
}
