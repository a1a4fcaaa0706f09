//! Encoding of requests that are passed on, and of their answers.

use comfreyhall_domain::{
    AdapterRef, Answer, ClientRequest, ForwardedRequest, PresentedKey, PromptSegment, StatedTime,
    TokenCounts,
};
use comfreyhall_protocol::{
    ForwardHead, ForwardHeader, ForwardOutcome, ForwardRequest, ForwardSegment,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tonic::Status;

use crate::{ports::is_final_status, serve::Reply};

fn encode_headers(headers: &HeaderMap) -> Vec<ForwardHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| ForwardHeader {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

fn decode_headers(headers: &[ForwardHeader]) -> Result<HeaderMap, Status> {
    let invalid = || Status::invalid_argument("a header is invalid");
    let mut out = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| invalid())?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| invalid())?;
        out.append(name, value);
    }
    Ok(out)
}

/// Encodes a request that the daemon `from` received.
pub(super) fn encode_request(from: &str, request: &ClientRequest, left_ms: u64) -> ForwardRequest {
    let segment = |s: &PromptSegment| ForwardSegment {
        id: s.id,
        tokens: s.tokens,
    };
    let adapter = request.adapter.as_ref();
    ForwardRequest {
        from: from.to_string(),
        id: request.id.to_string(),
        key: request.key.as_ref().map(|k| k.expose().to_vec()),
        host: request.host.to_string(),
        remaining_ms: request.remaining_ms.map(|_| left_ms),
        model: adapter.map(|a| a.model.to_string()),
        adapter: adapter.and_then(|a| a.adapter.as_deref().map(str::to_string)),
        prompt_tokens: request.tokens.map(|t| t.prompt),
        output_tokens: request.tokens.map(|t| t.max_output),
        expected_output: request.expected_output,
        segments: request.prompt_segments.iter().map(segment).collect(),
        last_event_id: request.last_event_id,
        resumes: request.resumes.as_deref().map(str::to_string),
        method: request.forwarded.method.to_string(),
        path: request.forwarded.path.to_string(),
        headers: encode_headers(&request.forwarded.headers),
        body: request.forwarded.body.to_vec(),
    }
}

/// Decodes a request that another daemon received.
pub(super) fn decode_request(call: ForwardRequest) -> Result<ClientRequest, Status> {
    let method = Method::from_bytes(call.method.as_bytes());
    let segment = |s: &ForwardSegment| PromptSegment {
        id: s.id,
        tokens: s.tokens,
    };
    let adapter = call.adapter.as_deref().map(Into::into);
    Ok(ClientRequest {
        id: call.id.as_str().into(),
        key: call.key.map(|k| PresentedKey::new(&k)),
        host: call.host.as_str().into(),
        remaining_ms: call.remaining_ms.map(|ms| StatedTime::from_ms(ms).ms()),
        adapter: call.model.map(|model| AdapterRef {
            model: model.as_str().into(),
            adapter,
        }),
        tokens: call.prompt_tokens.map(|prompt| TokenCounts {
            prompt,
            max_output: call.output_tokens.unwrap_or(0),
        }),
        expected_output: call.expected_output,
        prompt_segments: call.segments.iter().map(segment).collect(),
        last_event_id: call.last_event_id,
        resumes: call.resumes.as_deref().map(Into::into),
        forwarded: ForwardedRequest {
            method: method.map_err(|_| Status::invalid_argument("the method is invalid"))?,
            path: call.path.as_str().into(),
            headers: decode_headers(&call.headers)?,
            body: call.body.into(),
        },
    })
}

/// Head of the answer `reply`.
pub(super) fn encode_head(reply: &Reply) -> ForwardHead {
    let rejected = |outcome, retry_ms, may_have_run| ForwardHead {
        outcome: i32::from(outcome),
        retry_ms,
        may_have_run,
        ..ForwardHead::default()
    };
    let answered = |outcome, status: &StatusCode, headers| ForwardHead {
        outcome: i32::from(outcome),
        status: u32::from(status.as_u16()),
        headers: encode_headers(headers),
        ..ForwardHead::default()
    };
    match reply {
        Reply::NotReady { retry_ms } | Reply::Unanswered(Answer::NotRun { retry_ms }) => {
            rejected(ForwardOutcome::NotRun, *retry_ms, false)
        }
        Reply::NoRoute => rejected(ForwardOutcome::NoRoute, 0, false),
        Reply::UnknownKey => rejected(ForwardOutcome::UnknownKey, 0, false),
        Reply::Unanswered(Answer::OverCap { retry_ms }) => {
            rejected(ForwardOutcome::OverQuota, *retry_ms, false)
        }
        Reply::Unanswered(Answer::TimedOut) => rejected(ForwardOutcome::TimedOut, 0, true),
        Reply::Unanswered(Answer::Unknown) => rejected(ForwardOutcome::Unknown, 0, true),
        Reply::Unanswered(Answer::Quarantined {
            may_have_run,
            retry_ms,
        }) => rejected(ForwardOutcome::Quarantined, *retry_ms, *may_have_run),
        Reply::Complete {
            status, headers, ..
        } => answered(ForwardOutcome::Answered, status, headers),
        Reply::Stream {
            status, headers, ..
        } => answered(ForwardOutcome::Stream, status, headers),
    }
}

/// Status and headers of a target's answer.
pub(super) fn decode_head(head: &ForwardHead) -> Result<(StatusCode, HeaderMap), Status> {
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let status = status.filter(|s| is_final_status(*s));
    let status = status.ok_or_else(|| Status::invalid_argument("the status is invalid"))?;
    Ok((status, decode_headers(&head.headers)?))
}

/// The answer of a daemon that did not pass one of a target back.
pub(super) fn decode_rejection(head: &ForwardHead) -> Result<Reply, Status> {
    let retry_ms = StatedTime::from_ms(head.retry_ms).ms();
    Ok(match head.outcome() {
        ForwardOutcome::NotRun => Reply::Unanswered(Answer::NotRun { retry_ms }),
        ForwardOutcome::NoRoute => Reply::NoRoute,
        ForwardOutcome::UnknownKey => Reply::UnknownKey,
        ForwardOutcome::OverQuota => Reply::Unanswered(Answer::OverCap { retry_ms }),
        ForwardOutcome::TimedOut => Reply::Unanswered(Answer::TimedOut),
        ForwardOutcome::Unknown => Reply::Unanswered(Answer::Unknown),
        ForwardOutcome::Quarantined => Reply::Unanswered(Answer::Quarantined {
            may_have_run: head.may_have_run,
            retry_ms,
        }),
        ForwardOutcome::Answered | ForwardOutcome::Stream => {
            return Err(Status::internal("an answer of a target is no rejection"));
        }
    })
}
