use super::*;
use crate::lines::parse;

/// Seven requests: one for each outcome, and one that was answered at its second send.
const LOG: &str = r#"
0 a {"t":100,"part":"serve","msg":"streamed","id":"r1","route":"g","first":400,"stall":0,"aim":1000,"sends":1}
0 a {"t":1200,"part":"serve","msg":"adapter not placed","id":"r2","why":"no place fell free in time"}
0 a {"t":1300,"part":"serve","msg":"streamed","id":"r2","route":"g","first":1500,"stall":900,"aim":1000,"sends":1}
0 b {"t":1400,"part":"serve","msg":"given up","id":"r3","route":"g","why":"the wait is too long","answer":"NotRun { retry_ms: 100 }"}
0 b {"t":1500,"part":"serve","msg":"send","id":"r4","route":"p","why":"no answer in time"}
0 b {"t":1600,"part":"serve","msg":"given up","id":"r4","route":"p","why":"it may have run","answer":"Unknown"}
0 b {"t":2100,"part":"serve","msg":"caller left","id":"r5","route":"g","first":0,"stall":30}
0 b {"t":2200,"part":"serve","msg":"send","id":"r6","route":"p","why":"connection reset"}
0 b {"t":2300,"part":"keeper","msg":"adapter loaded","id":"e1"}
0 b {"t":2400,"part":"serve","msg":"answered","id":"r7","route":"p","status":500,"ms":20,"aim":150}
0 b {"t":2500,"part":"serve","msg":"answered","id":"r7","route":"p","status":200,"ms":170,"aim":150,"sends":2}
"#;

#[test]
fn summarize_counts_each_request_once() {
    let report = summarize(&parse(LOG, "log"));
    assert_eq!(report.requests, 7);
    let by_route: usize = report.routes.iter().map(|r| r.requests).sum();
    let outcomes = report.routes.iter().flat_map(|r| r.outcomes.values());
    let by_second = report.seconds.iter().flat_map(|s| s.values());
    assert_eq!(by_route, 7);
    assert_eq!(outcomes.sum::<usize>(), 7);
    assert_eq!(by_second.sum::<usize>(), 7);
    // Every request that was not answered in time has exactly one cause.
    let causes = report.routes.iter().flat_map(|r| &r.causes);
    assert_eq!(causes.map(|(_, n)| n).sum::<usize>(), 6);
    insta::assert_snapshot!(format_summary(&report));
}

/// Guards against an answer that a planned stop cut off and that counts as one whose caller
/// left.
#[test]
fn summarize_stop_is_no_caller_that_left() {
    let line = r#"0 a {"t":100,"part":"serve","msg":"cut off by the stop","id":"r1","route":"g","first":40,"cause":"grace_ended"}"#;
    let report = summarize(&parse(line, "log"));
    let outcomes = &report.routes[0].outcomes;
    assert_eq!(outcomes.get(&RequestOutcome::Failed), Some(&1));
    assert_eq!(outcomes.len(), 1);
}
