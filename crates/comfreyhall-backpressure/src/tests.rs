use super::*;

fn limit(values: &[&str]) -> (Option<f64>, Vec<Anomaly>) {
    let mut anomalies = Vec::new();
    let rate = parse_limit(values.iter().map(|v| v.as_bytes()), &mut anomalies);
    (rate.map(Rate::per_s), anomalies)
}

fn notice(per_s: Option<f64>) -> Notice {
    Notice {
        limit: per_s.and_then(Rate::from_per_s),
        ..Notice::default()
    }
}

#[test]
fn parse_limit_plain_number() {
    assert_eq!(limit(&["2"]), (Some(2.0), vec![]));
    assert_eq!(limit(&[" 1.3 "]), (Some(1.3), vec![]));
    assert_eq!(limit(&[]), (None, vec![]));
}

/// Guards against invalid limits that are ignored, panic, or exclude a target.
#[test]
fn parse_limit_invalid_values_are_safe() {
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
    let repeated = vec![LimitRepeated, LimitInvalid];
    assert_eq!(limit(&["9", "x"]), (Some(1.0), repeated));
}

#[test]
fn record_notice_limit_and_its_end() {
    let mut signals = TargetSignals::default();
    let t = "t".into();
    let started = signals.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    let limit = Rate::from_per_s(2.0).unwrap();
    let previous = None;
    assert_eq!(started, [Change::Limited { limit, previous }]);
    assert_eq!(signals.limit("t", 100), Some(limit));
    assert_eq!(
        signals.record_notice(&t, &notice(Some(2.0)), Some(101), 110),
        []
    );
    let ended = signals.record_notice(&t, &notice(None), Some(120), 130);
    assert_eq!(ended, [Change::Unlimited { after_ms: 30 }]);
    assert_eq!(signals.limit("t", 130), None);
}

/// Guards against an answer from before the limit that is read late and lifts
/// it.
#[test]
fn record_notice_late_answer_does_not_end_limit() {
    let mut signals = TargetSignals::default();
    let t = "t".into();
    signals.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    assert_eq!(signals.record_notice(&t, &notice(None), Some(95), 140), []);
    assert_eq!(
        signals.record_notice(&t, &notice(Some(9.0)), Some(95), 140),
        []
    );
    assert_eq!(signals.limit("t", 140), Rate::from_per_s(2.0));
    signals.record_notice(&t, &notice(Some(1.0)), Some(95), 140);
    assert_eq!(signals.limit("t", 140), Rate::from_per_s(1.0));
}

/// Guards against a command's answer that does not carry the limit and lifts
/// it.
#[test]
fn record_notice_command_answer_does_not_end_limit() {
    let mut signals = TargetSignals::default();
    let t = "t".into();
    signals.record_notice(&t, &notice(Some(2.0)), Some(90), 100);
    assert_eq!(signals.record_notice(&t, &notice(None), None, 140), []);
    signals.record_notice(&t, &notice(Some(1.0)), None, 150);
    assert_eq!(signals.limit("t", 150), Rate::from_per_s(1.0));
}

/// Guards against a limit that applies to another boot at the same address.
#[test]
fn record_notice_applies_to_one_boot() {
    let mut signals = TargetSignals::default();
    signals.record_notice(&"t@1".into(), &notice(Some(2.0)), Some(90), 100);
    assert_eq!(signals.limit("t@2", 100), None);
}

/// Guards against a target that is excluded permanently by its last notice.
#[test]
fn limit_expires() {
    let mut signals = TargetSignals::default();
    signals.record_notice(&"t".into(), &notice(Some(0.1)), Some(90), 100);
    assert!(signals.limit("t", 59_000).is_some());
    assert!(signals.limit("t", 61_000).is_none());
}

#[test]
fn record_reported_limit_newer_counts() {
    let mut signals = TargetSignals::default();
    let t = "t".into();
    let report = |per_s: Option<f64>, received_ms| LimitReport {
        limit: per_s.and_then(Rate::from_per_s),
        received_ms,
        direct: false,
    };
    assert_eq!(
        signals.record_reported_limit(&t, report(None, 90), 100),
        None
    );
    assert!(
        signals
            .record_reported_limit(&t, report(Some(2.0), 90), 100)
            .is_some()
    );
    // An older report that arrives late.
    assert_eq!(
        signals.record_reported_limit(&t, report(Some(9.0), 80), 110),
        None
    );
    assert_eq!(signals.limit("t", 110), Rate::from_per_s(2.0));
    assert!(
        signals
            .record_reported_limit(&t, report(None, 95), 120)
            .is_some()
    );
    assert_eq!(signals.limit("t", 120), None);
}

fn cooldown(values: &[&str]) -> (Option<u64>, Vec<Anomaly>) {
    let mut anomalies = Vec::new();
    let ms = parse_cooldown(values.iter().map(|v| v.as_bytes()), &mut anomalies);
    (ms, anomalies)
}

/// Guards against invalid cooldowns that are ignored, panic, or exclude a
/// target.
#[test]
fn parse_cooldown_invalid_values_are_safe() {
    use Anomaly::*;
    assert_eq!(cooldown(&[]), (None, vec![]));
    assert_eq!(cooldown(&["3"]), (Some(3_000), vec![]));
    assert_eq!(cooldown(&["0.5"]), (Some(500), vec![]));
    assert_eq!(cooldown(&["0"]), (None, vec![]));
    assert_eq!(cooldown(&["-7"]), (None, vec![CooldownNegative]));
    for text in ["", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(
            cooldown(&[text]),
            (Some(3_000), vec![CooldownInvalid]),
            "{text}"
        );
    }
    for text in ["86400", "1e300", "inf"] {
        assert_eq!(
            cooldown(&[text]),
            (Some(300_000), vec![CooldownTooLong]),
            "{text}"
        );
    }
    assert_eq!(cooldown(&["1", "2"]), (Some(2_000), vec![CooldownRepeated]));
}

/// Guards against a draining flag that is ignored, or read where there is none.
#[test]
fn parse_draining_invalid_values_are_safe() {
    let read = |values: &[&str]| {
        let (mut cooldown_ms, mut anomalies) = (None, Vec::new());
        let values = values.iter().map(|v| v.as_bytes());
        let draining = parse_draining(values, &mut cooldown_ms, &mut anomalies);
        (draining, cooldown_ms, anomalies)
    };
    assert_eq!(read(&[]), (false, None, vec![]));
    assert_eq!(read(&["1"]), (true, None, vec![]));
    assert_eq!(read(&["0"]), (false, None, vec![]));
    assert_eq!(read(&["0", "1"]), (true, None, vec![]));
    let anomalies = vec![Anomaly::DrainingInvalid];
    assert_eq!(read(&["perhaps"]), (false, Some(3_000), anomalies));
}

#[test]
fn record_notice_cooldown_ends() {
    let mut signals = TargetSignals::default();
    let t = "t".into();
    let cooldown_notice = |ms| Notice {
        cooldown_ms: Some(ms),
        ..Notice::default()
    };
    let started = signals.record_notice(&t, &cooldown_notice(300), Some(90), 100);
    assert_eq!(started, [Change::CooldownStarted { cooldown_ms: 300 }]);
    // A shorter one, and answers without signals, do not end it.
    assert_eq!(
        signals.record_notice(&t, &cooldown_notice(50), Some(90), 110),
        []
    );
    assert_eq!(
        signals.record_notice(&t, &Notice::default(), Some(120), 130),
        []
    );
    assert_eq!(signals.cooldown_ms("t", 130), 270);
    assert_eq!(signals.expire(399), []);
    assert_eq!(signals.expire(400), [("t".into(), Change::CooldownEnded)]);
    assert_eq!(signals.cooldown_ms("t", 400), 0);
    assert!(signals.is_empty());
}

/// Guards against requests to a draining target after another of its answers,
/// read late, does not carry the flag.
#[test]
fn record_notice_draining_is_final() {
    let mut signals = TargetSignals::default();
    let t = "t@1".into();
    let draining_notice = Notice {
        draining: true,
        ..Notice::default()
    };
    assert_eq!(
        signals.record_notice(&t, &draining_notice, Some(90), 100),
        [Change::Draining]
    );
    assert_eq!(
        signals.record_notice(&t, &draining_notice, Some(91), 101),
        []
    );
    assert_eq!(
        signals.record_notice(&t, &Notice::default(), Some(120), 130),
        []
    );
    assert_eq!(signals.expire(100_000), []);
    assert!(signals.is_draining("t@1", 100_000));
    assert!(!signals.is_draining("t@2", 100_000));
}

/// Guards against a fleet whose daemons, one rejection each, are too many for the
/// target.
#[test]
fn rejection_pause_ms_fleet_stays_below() {
    for (per_s, daemons) in [(1.0, 1), (5.0, 7), (3.0, 195), (0.5, 30)] {
        let rate = Rate::from_per_s(per_s).unwrap();
        let pause_s = rejection_pause_ms(rate, daemons) as f64 / 1_000.0;
        assert!(daemons as f64 / pause_s <= per_s, "{per_s} {daemons}");
    }
}

#[test]
fn parse_rejections_lowest_or_one() {
    let parse = |values: &[&str]| {
        let mut anomalies = Vec::new();
        let rate = parse_rejections(values.iter().map(|v| v.as_bytes()), &mut anomalies);
        (rate.map(Rate::per_s), anomalies.len())
    };
    assert_eq!(parse(&[]), (None, 0));
    assert_eq!(parse(&["6"]), (Some(6.0), 0));
    assert_eq!(parse(&["x"]), (Some(1.0), 1));
    assert_eq!(parse(&["6", "4"]), (Some(4.0), 1));
}
