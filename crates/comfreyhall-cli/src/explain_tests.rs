use super::*;
use crate::lines::parse;

const LOG: &str = r#"1.0 front-1 {"t":1000,"level":"INFO","part":"follow","msg":"target","id":"i-1","stage":"draining"}
1.2 front-1 {"t":1200,"level":"INFO","part":"serve","msg":"send","id":"r1","target_id":"i-1","outcome":"refused"}
1.3 front-2 {"t":1300,"level":"INFO","part":"serve","msg":"answered","id":"r2","target_id":"i-2"}
not a line
1.4 front-1 {"t":1400,"level":"INFO","part":"serve","msg":"given up","id":"r1","answer":"NotRun"}"#;

#[test]
fn request_lines_include_targets() {
    let found = request_lines(parse(LOG, "log"), "r1");
    insta::assert_snapshot!(format_lines(&found));
}

#[test]
fn request_lines_unknown_id_is_empty() {
    assert!(request_lines(parse(LOG, "log"), "r9").is_empty());
}

/// Guards against output that does not show why a request was quarantined: its
/// earlier attempts crashed two engines minutes before, through another daemon,
/// and each attempt has its own id.
#[test]
fn request_lines_include_earlier_attempts() {
    let log = r#"0 front-1 {"t":1000,"part":"serve","msg":"send","id":"r1","fingerprint":"ab","target_id":"i-1"}
0 front-1 {"t":1100,"part":"serve","msg":"send","id":"r2","fingerprint":"cd","target_id":"i-1"}
0 front-2 {"t":90000,"part":"serve","msg":"given up","id":"r3","fingerprint":"ab"}
0 front-2 {"t":95000,"part":"serve","msg":"given up","id":"r4","fingerprint":"ab"}"#;
    let found = request_lines(parse(log, "log"), "r3");
    let ids: Vec<&str> = found.iter().map(|l| l.str_field("id")).collect();
    assert_eq!(ids, ["r1", "r3"]);
}

/// Guards against output that does not show which software version began a stream
/// that its caller resumes at another daemon.
#[test]
fn request_lines_include_resumed_attempt() {
    let log = r#"0 front-1 {"t":1000,"part":"serve","msg":"stream broke off","id":"r1","target_id":"i-1","software":"v1"}
0 front-2 {"t":1500,"part":"serve","msg":"caller resumes a stream","id":"r2","first":"r1","last":3}
0 front-2 {"t":1600,"part":"serve","msg":"streamed","id":"r2","target_id":"i-2","software":"v2"}"#;
    let found = request_lines(parse(log, "log"), "r2");
    let times: Vec<u64> = found.iter().map(|l| l.at_ms).collect();
    assert_eq!(times, [1_000, 1_500, 1_600]);
}

/// Two daemons and two configurations; `n2` is notified of the second one late.
const CHANGES: &str = r#"0 n1 {"t":1000,"part":"follow","msg":"configuration in force","version":4,"before":0,"row":10,"from":"store","waited":20}
0 n2 {"t":1010,"part":"follow","msg":"configuration in force","version":4,"before":0,"row":10,"from":"store","waited":30}
0 n1 {"t":30000,"part":"follow","msg":"configuration in force","version":7,"before":4,"row":"2/15","from":"store","waited":40}
0 n2 {"t":30100,"part":"follow","msg":"settings not read","error":"no answer in time"}
0 n2 {"t":30400,"part":"follow","msg":"newer settings heard of","newer":"2/15","peer":"n1","row":10}
0 n2 {"t":30500,"part":"serve","msg":"turned away","id":"r1","config":4,"newer":"2/15"}
0 n2 {"t":30900,"part":"follow","msg":"configuration in force","version":7,"before":4,"row":"2/15","from":"n1","waited":500}"#;

#[test]
fn request_lines_include_settings() {
    let found = request_lines(parse(CHANGES, "log"), "r1");
    let times: Vec<u64> = found.iter().map(|l| l.at_ms).collect();
    assert_eq!(times, [1_010, 30_100, 30_400, 30_500]);
}

#[test]
fn config_lines_of_each_daemon() {
    let found = config_lines(parse(CHANGES, "log"), "7");
    let times: Vec<u64> = found.iter().map(|l| l.at_ms).collect();
    assert_eq!(times, [30_000, 30_100, 30_400, 30_900]);
    assert!(config_lines(parse(CHANGES, "log"), "5").is_empty());
}
