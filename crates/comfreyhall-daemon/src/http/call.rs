//! Calls to the plain services that run beside the engines.

use std::time::{Duration, Instant};

use axum::{
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, HeaderValue},
    response::{IntoResponse, Response},
};
use comfreyhall_protocol::{
    CallRequest, IDEMPOTENCY_HEADER, NON_IDEMPOTENT_HEADER, REQUEST_ID_HEADER, proves_not_run,
};
use comfreyhall_quarantine::Fingerprint;
use comfreyhall_relay::EndCause;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::SliceRandom;

use super::{admit, header, request_id};
use crate::{
    app::App,
    claims::{self, ClaimedKey},
    ends::{self, OpenAnswer},
    error::RouteError,
    outbound::{self, Target},
    quarantine::{self, SuspectTarget},
    stopping,
};

/// Targets at which one call is attempted.
const MAX_TRIES: usize = 3;

/// Time without an answer after which a call that may be repeated is sent to another service
/// too; a service answers in tens of milliseconds.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn call(
    State(app): State<App>,
    Path(method): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = request_id(&headers);
    let non_idempotent = headers.contains_key(NON_IDEMPOTENT_HEADER);
    let key = header(&headers, IDEMPOTENCY_HEADER).unwrap_or(&id);
    let key = non_idempotent.then(|| format!("plain/{key}"));
    let request = CallRequest {
        request_id: id.clone(),
        method,
        body: body.to_vec(),
    };
    match serve(&app, request, key).await {
        Ok(body) => {
            app.inner.metrics.count_request("answered");
            let mut resp = body.into_response();
            if let Ok(value) = HeaderValue::from_str(&id) {
                resp.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            resp
        }
        Err(e) => super::refuse(&app, &id, &e),
    }
}

async fn serve(
    app: &App,
    request: CallRequest,
    key: Option<String>,
) -> Result<Vec<u8>, RouteError> {
    let _tracked = app.track_request();
    admit(app)?;
    app.inner.counters.count_request();
    let Some(key) = key else {
        let mut open = OpenAnswer::new(app, &request.request_id);
        let result = send_until_stop(app, &request, true).await;
        open.close();
        return result;
    };
    let claim = match claims::claim(app, &key, &request.request_id).await? {
        ClaimedKey::Run(claim) => claim,
        ClaimedKey::Replay(stored) => return Ok(stored),
    };
    let mut open = OpenAnswer::new(app, &request.request_id);
    let result = send_until_stop(app, &request, false).await;
    open.close();
    match result {
        Ok(body) => {
            claims::store_answer(app, claim, &key, body.clone());
            Ok(body)
        }
        Err(e) => {
            if e.not_run() {
                claims::release(app, claim).await;
            }
            Err(e)
        }
    }
}

/// How an attempt ended.
enum Ended {
    Answered(Vec<u8>),
    NotRun,
    MayHaveRun(String),
}

/// Sends the call; at the end of a planned stop its outcome is not known.
async fn send_until_stop(
    app: &App,
    request: &CallRequest,
    repeatable: bool,
) -> Result<Vec<u8>, RouteError> {
    tokio::select! {
        result = send(app, request, repeatable) => result,
        () = stopping::answer_due(app) => Err(RouteError::stop_ended()),
    }
}

/// Sends the call to services in turn, those in this failure domain first.
///
/// A silent service may still answer, so its attempt goes on beside the next one, and the
/// first answer is taken. A call that may not be repeated waits for its one service until the
/// deadline. An attempt that is not proved "not run" ends such a call; for any other it leaves
/// the outcome unknown unless another attempt succeeds.
async fn send(app: &App, request: &CallRequest, repeatable: bool) -> Result<Vec<u8>, RouteError> {
    let services = &app.inner.settings.services;
    let mut candidates: Vec<usize> = (0..services.len()).collect();
    candidates.shuffle(&mut rand::rng());
    candidates.sort_by_key(|i| services[*i].domain != app.instance.domain);
    let mut candidates = candidates.into_iter();
    let default_timeout = Duration::from_millis(app.inner.settings.tuning.deadline_ms);
    let deadline = Instant::now() + default_timeout;
    let fingerprint = Fingerprint::of([request.method.as_bytes(), &request.body]);
    let end_all = |open: usize, cause| {
        for _ in 0..open {
            ends::record(app, &request.request_id, cause, "no answer yet");
        }
    };
    let mut attempts = FuturesUnordered::new();
    let mut may_have_run = None;
    let mut rejections = Vec::new();
    let mut tries = 0;
    loop {
        let next = match tries < MAX_TRIES {
            true => next_admitted(app, &mut candidates, &mut rejections),
            false => None,
        };
        if let Some(index) = next {
            tries += 1;
            match quarantine::admit(app, &fingerprint, may_have_run.is_some()) {
                Ok(()) => attempts.push(attempt(app, index, request, fingerprint)),
                Err(e) if attempts.is_empty() => return Err(e),
                Err(_) => tries = MAX_TRIES,
            }
        }
        if attempts.is_empty() {
            break;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let pause = match repeatable && tries < MAX_TRIES {
            true => remaining.min(TRY_TIMEOUT),
            false => remaining,
        };
        match tokio::time::timeout(pause, attempts.next()).await {
            Ok(Some(Ended::Answered(body))) => {
                quarantine::record_completed(app, fingerprint);
                end_all(attempts.len(), EndCause::Superseded);
                return Ok(body);
            }
            Ok(Some(Ended::MayHaveRun(reason))) if !repeatable => {
                return Err(RouteError::OutcomeUnknown(reason));
            }
            Ok(Some(Ended::MayHaveRun(reason))) => may_have_run = Some(reason),
            Ok(Some(Ended::NotRun) | None) => {}
            Err(_) if Instant::now() >= deadline => {
                end_all(attempts.len(), EndCause::DeadlinePassed);
                may_have_run = Some("no answer in time".to_string());
                break;
            }
            Err(_) => {}
        }
    }
    let all = (0..services.len()).map(Target::Service);
    match (may_have_run, outbound::all_unavailable_ms(app, all)) {
        (Some(reason), _) => Err(RouteError::OutcomeUnknown(reason)),
        (None, Some(ms)) if !rejections.is_empty() => Err(RouteError::Unavailable(ms)),
        (None, _) => Err(RouteError::Exhausted(MAX_TRIES as u32)),
    }
}

/// The next service that may be called; adds why others may not.
fn next_admitted(
    app: &App,
    candidates: &mut impl Iterator<Item = usize>,
    rejections: &mut Vec<RouteError>,
) -> Option<usize> {
    candidates.find(
        |index| match outbound::admit(app, Target::Service(*index)) {
            Ok(()) => true,
            Err(reason) => {
                rejections.push(reason);
                false
            }
        },
    )
}

/// Sends the call to one service and waits for its answer.
async fn attempt(
    app: &App,
    index: usize,
    request: &CallRequest,
    fingerprint: Fingerprint,
) -> Ended {
    let link = &app.inner.service_links[index];
    let mut client = link.client();
    let sent_at_ms = app.now_ms();
    let mut call = std::pin::pin!(client.call(request.clone()));
    let answer = match tokio::time::timeout(TRY_TIMEOUT, &mut call).await {
        Ok(answer) => answer,
        Err(_) => {
            link.renew();
            call.await
        }
    };
    let target = Target::Service(index);
    let (cause, reason) = match outbound::record_answer(app, target, Some(sent_at_ms), answer) {
        Ok(reply) if reply.get_ref().request_id == request.request_id => {
            return Ended::Answered(reply.into_inner().body);
        }
        Ok(_) => {
            let reason = "the answer is another request's";
            (EndCause::Broken, reason.to_string())
        }
        Err(s) if proves_not_run(&s) => return Ended::NotRun,
        Err(s) => {
            let at = SuspectTarget::Service(index);
            quarantine::record_broken_run(app, at, fingerprint, true);
            (ends::cause_of(&s), s.message().to_string())
        }
    };
    ends::record(app, &request.request_id, cause, &reason);
    let service = &app.inner.settings.services[index].id;
    log::warn!(target: "call", "{} at {service}: {reason}", request.request_id);
    Ended::MayHaveRun(reason)
}
