use super::*;
use crate::lines::parse;

const LOG: &str = r#"1.0 front-1 {"t":1000,"level":"INFO","part":"follow","msg":"target","id":"i-1","stage":"draining"}
1.2 front-1 {"t":1200,"level":"INFO","part":"serve","msg":"send","id":"r1","target_id":"i-1","outcome":"refused"}
1.3 front-2 {"t":1300,"level":"INFO","part":"serve","msg":"answered","id":"r2","target_id":"i-2"}
not a line
1.4 front-1 {"t":1400,"level":"INFO","part":"serve","msg":"given up","id":"r1","answer":"NotRun"}"#;

#[test]
fn story_request_and_its_targets() {
    let story = story(parse(LOG, "log"), "r1");
    insta::assert_snapshot!(show(&story));
}

#[test]
fn story_unknown_is_empty() {
    assert!(story(parse(LOG, "log"), "r9").is_empty());
}

/// Symptom: a request was held back, and its story did not say why. Events: its
/// attempts before ended two engines, minutes ago and through another daemon.
/// Cause: each attempt has an id of its own.
#[test]
fn story_has_earlier_attempts() {
    let log = r#"0 front-1 {"t":1000,"part":"serve","msg":"send","id":"r1","fingerprint":"ab","target_id":"i-1"}
0 front-1 {"t":1100,"part":"serve","msg":"send","id":"r2","fingerprint":"cd","target_id":"i-1"}
0 front-2 {"t":90000,"part":"serve","msg":"given up","id":"r3","fingerprint":"ab"}
0 front-2 {"t":95000,"part":"serve","msg":"given up","id":"r4","fingerprint":"ab"}"#;
    let story = story(parse(log, "log"), "r3");
    let ids: Vec<&str> = story.iter().map(|l| l.text("id")).collect();
    assert_eq!(ids, ["r1", "r3"]);
}

/// Two daemons and two configurations; one hears late of the second.
const CHANGES: &str = r#"0 n1 {"t":1000,"part":"follow","msg":"configuration in force","version":4,"before":0,"row":10,"from":"store","waited":20}
0 n2 {"t":1010,"part":"follow","msg":"configuration in force","version":4,"before":0,"row":10,"from":"store","waited":30}
0 n1 {"t":30000,"part":"follow","msg":"configuration in force","version":7,"before":4,"row":15,"from":"store","waited":40}
0 n2 {"t":30100,"part":"follow","msg":"settings not read","error":"no answer in time"}
0 n2 {"t":30400,"part":"follow","msg":"newer settings heard of","newer":15,"peer":"n1","row":10}
0 n2 {"t":30500,"part":"serve","msg":"turned away","id":"r1","config":4,"newer":15}
0 n2 {"t":30900,"part":"follow","msg":"configuration in force","version":7,"before":4,"row":15,"from":"n1","waited":500}"#;

#[test]
fn story_has_settings_it_was_judged_by() {
    let story = story(parse(CHANGES, "log"), "r1");
    let times: Vec<u64> = story.iter().map(|l| l.at).collect();
    assert_eq!(times, [1_010, 30_100, 30_400, 30_500]);
}

#[test]
fn change_tells_who_had_it_when() {
    let story = change(parse(CHANGES, "log"), "7");
    let times: Vec<u64> = story.iter().map(|l| l.at).collect();
    assert_eq!(times, [30_000, 30_100, 30_400, 30_900]);
    assert!(change(parse(CHANGES, "log"), "5").is_empty());
}
