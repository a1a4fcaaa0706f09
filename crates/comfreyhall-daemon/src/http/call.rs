//! Calls to the plain services beside the engines.

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
    claims::{self, Turn},
    error::RouteError,
    outbound::{self, Target},
    quarantine::{self, Suspect},
};

/// Targets one call is tried at.
const TRIES: usize = 3;

/// Longest one try may take; a service answers in tens of milliseconds.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn call(
    State(app): State<App>,
    Path(method): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = request_id(&headers);
    let once = headers.contains_key(NON_IDEMPOTENT_HEADER);
    let key = header(&headers, IDEMPOTENCY_HEADER).unwrap_or(&id);
    let key = once.then(|| format!("plain/{key}"));
    let order = CallRequest {
        request_id: id.clone(),
        method,
        body: body.to_vec(),
    };
    match serve(&app, order, key).await {
        Ok(body) => {
            app.inner.metrics.request("answered");
            let mut resp = body.into_response();
            if let Ok(value) = HeaderValue::from_str(&id) {
                resp.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            resp
        }
        Err(e) => super::refuse(&app, &id, &e),
    }
}

async fn serve(app: &App, order: CallRequest, key: Option<String>) -> Result<Vec<u8>, RouteError> {
    let _tracked = app.track();
    admit(app)?;
    app.inner.counters.request();
    let Some(key) = key else {
        return send(app, &order, true).await;
    };
    let claim = match claims::claim(app, &key, &order.request_id).await? {
        Turn::Run(claim) => claim,
        Turn::Replay(kept) => return Ok(kept),
    };
    match send(app, &order, false).await {
        Ok(body) => {
            claims::keep(app, claim, &key, body.clone());
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

/// Sends the call to services in turn, those in our failure domain first.
///
/// A try that is not proved "not run" ends a call that may not be repeated,
/// and leaves the outcome of any other unknown unless a later try succeeds.
async fn send(app: &App, order: &CallRequest, repeatable: bool) -> Result<Vec<u8>, RouteError> {
    let services = &app.inner.settings.services;
    let mut turn: Vec<usize> = (0..services.len()).collect();
    turn.shuffle(&mut rand::rng());
    turn.sort_by_key(|i| services[*i].domain != app.instance.domain);
    let default = Duration::from_millis(app.inner.settings.tuning.deadline_ms);
    let until = Instant::now() + default;
    let fingerprint = Fingerprint::of([order.method.as_bytes(), &order.body]);
    let mut doubt = None;
    let mut shut = Vec::new();
    let mut tries = 0;
    for index in turn {
        if tries == TRIES {
            break;
        }
        if let Err(why) = outbound::admit(app, Target::Service(index)) {
            shut.push(why);
            continue;
        }
        tries += 1;
        let left = until.saturating_duration_since(Instant::now());
        quarantine::admit(app, &fingerprint, doubt.is_some())?;
        let mut client = app.inner.plain[index].clone();
        let sent = app.now_ms();
        let call = client.call(order.clone());
        let answer = tokio::time::timeout(left.min(TRY_TIMEOUT), call).await;
        let why = match answer.map(|a| outbound::hear(app, Target::Service(index), Some(sent), a)) {
            Ok(Ok(reply)) if reply.get_ref().request_id == order.request_id => {
                quarantine::ran_whole(app, fingerprint);
                return Ok(reply.into_inner().body);
            }
            Ok(Ok(_)) => "the answer is another request's".to_string(),
            Ok(Err(s)) if proves_not_run(&s) => continue,
            Ok(Err(s)) => {
                quarantine::broke(app, Suspect::Service(index), fingerprint, true);
                s.message().to_string()
            }
            Err(_) => "no answer in time".to_string(),
        };
        log::warn!(target: "call", "{} at {}: {why}", order.request_id, services[index].id);
        if !repeatable {
            return Err(RouteError::InDoubt(why));
        }
        doubt = Some(why);
    }
    let all = (0..services.len()).map(Target::Service);
    match (doubt, outbound::all_ms(app, all)) {
        (Some(why), _) => Err(RouteError::InDoubt(why)),
        (None, Some(ms)) if !shut.is_empty() => Err(RouteError::Shut(ms)),
        (None, _) => Err(RouteError::Exhausted(TRIES as u32)),
    }
}
