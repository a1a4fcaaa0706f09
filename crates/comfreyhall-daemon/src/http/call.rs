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
use rand::seq::SliceRandom;

use super::{admit, header, request_id};
use crate::{
    app::App,
    claims::{self, ClaimedKey},
    error::RouteError,
    outbound::{self, Target},
    quarantine::{self, SuspectTarget},
};

/// Targets at which one call is attempted.
const MAX_TRIES: usize = 3;

/// Timeout of one attempt; a service answers in tens of milliseconds.
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
        return send(app, &request, true).await;
    };
    let claim = match claims::claim(app, &key, &request.request_id).await? {
        ClaimedKey::Run(claim) => claim,
        ClaimedKey::Replay(stored) => return Ok(stored),
    };
    match send(app, &request, false).await {
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

/// Sends the call to services in turn, those in this failure domain first.
///
/// An attempt that is not proved "not run" ends a call that may not be
/// repeated; for any other call it leaves the outcome unknown unless a later
/// attempt succeeds.
async fn send(app: &App, request: &CallRequest, repeatable: bool) -> Result<Vec<u8>, RouteError> {
    let services = &app.inner.settings.services;
    let mut candidates: Vec<usize> = (0..services.len()).collect();
    candidates.shuffle(&mut rand::rng());
    candidates.sort_by_key(|i| services[*i].domain != app.instance.domain);
    let default_timeout = Duration::from_millis(app.inner.settings.tuning.deadline_ms);
    let deadline = Instant::now() + default_timeout;
    let fingerprint = Fingerprint::of([request.method.as_bytes(), &request.body]);
    let mut may_have_run = None;
    let mut rejections = Vec::new();
    let mut tries = 0;
    for index in candidates {
        if tries == MAX_TRIES {
            break;
        }
        if let Err(reason) = outbound::admit(app, Target::Service(index)) {
            rejections.push(reason);
            continue;
        }
        tries += 1;
        let remaining = deadline.saturating_duration_since(Instant::now());
        quarantine::admit(app, &fingerprint, may_have_run.is_some())?;
        let mut client = app.inner.service_clients[index].clone();
        let sent_at_ms = app.now_ms();
        let call = client.call(request.clone());
        let answer = tokio::time::timeout(remaining.min(TRY_TIMEOUT), call).await;
        let reason = match answer
            .map(|a| outbound::record_answer(app, Target::Service(index), Some(sent_at_ms), a))
        {
            Ok(Ok(reply)) if reply.get_ref().request_id == request.request_id => {
                quarantine::record_completed(app, fingerprint);
                return Ok(reply.into_inner().body);
            }
            Ok(Ok(_)) => "the answer is another request's".to_string(),
            Ok(Err(s)) if proves_not_run(&s) => continue,
            Ok(Err(s)) => {
                quarantine::record_broken_run(
                    app,
                    SuspectTarget::Service(index),
                    fingerprint,
                    true,
                );
                s.message().to_string()
            }
            Err(_) => "no answer in time".to_string(),
        };
        log::warn!(target: "call", "{} at {}: {reason}", request.request_id, services[index].id);
        if !repeatable {
            return Err(RouteError::OutcomeUnknown(reason));
        }
        may_have_run = Some(reason);
    }
    let all = (0..services.len()).map(Target::Service);
    match (may_have_run, outbound::all_unavailable_ms(app, all)) {
        (Some(reason), _) => Err(RouteError::OutcomeUnknown(reason)),
        (None, Some(ms)) if !rejections.is_empty() => Err(RouteError::Unavailable(ms)),
        (None, _) => Err(RouteError::Exhausted(MAX_TRIES as u32)),
    }
}
