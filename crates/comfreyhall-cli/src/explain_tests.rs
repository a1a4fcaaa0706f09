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
