use super::api::*;

#[test]
fn completion_request_defaults() {
    let req: CompletionRequest = serde_json::from_str(r#"{"model":"a@v1","prompt":"hi"}"#).unwrap();
    assert_eq!(req.max_tokens, 16);
    assert!(!req.stream);
    assert!(!req.non_idempotent);
    assert_eq!(req.deadline_ms, None);
}

#[test]
fn error_body_shape() {
    let body = ErrorBody {
        error: ErrorDetail {
            kind: "overloaded".into(),
            message: "all engines are busy; send again after the delay".into(),
            outcome: Outcome::NotRun,
            retry_after_ms: Some(250),
            request_id: "r1".into(),
        },
    };
    insta::assert_json_snapshot!(body);
}
