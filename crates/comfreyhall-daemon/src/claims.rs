//! Non-idempotent requests: claim the key, run once, store the answer.
//!
//! The `comfreyhall-once` crate implements the claim; this module connects it
//! to the request path. The answer of a claimed request is written to the
//! object store, and the claim then names that object. A caller whose answer
//! was lost repeats the request with the same key and gets the stored answer
//! without a second run.

use std::time::Duration;

use comfreyhall_once::{Claim, ClaimOutcome, UnconfirmedClaim};
use comfreyhall_protocol::{GetObjectRequest, PutObjectRequest};

use crate::{app::App, error::RouteError};

/// Timeout of a claim; a caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of one read or write of a stored answer.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the first attempt to release a claim.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to store an answer or release a claim.
const MAX_TRIES: u32 = 60;

/// Delay between those attempts.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before each check of an unconfirmed claim.
const RECHECK_DELAY: Duration = Duration::from_millis(500);

/// Checks that the table must answer before an unconfirmed claim counts as
/// released.
const RECHECKS: u32 = 4;

/// What to do with a request after claiming its key.
pub(crate) enum ClaimedKey {
    /// Run the request.
    Run(Claim),
    /// The request ran already; this is the stored answer.
    Replay(Vec<u8>),
}

/// Claims `key` for `attempt`; on any error the request must not be sent.
///
/// A claim that takes longer than [`CLAIM_TIMEOUT`] continues in a task of its
/// own, which releases the key if the claim succeeds too late.
pub(crate) async fn claim(app: &App, key: &str, attempt: &str) -> Result<ClaimedKey, RouteError> {
    let mut claiming = tokio::spawn({
        let (app, key, attempt) = (app.clone(), key.to_string(), attempt.to_string());
        async move { app.inner.claims.claim(&key, &attempt).await }
    });
    let Ok(joined) = tokio::time::timeout(CLAIM_TIMEOUT, &mut claiming).await else {
        let app = app.clone();
        tokio::spawn(async move {
            match claiming.await {
                Ok(Ok(ClaimOutcome::Acquired(claim))) => release(&app, claim).await,
                Ok(Ok(ClaimOutcome::Unconfirmed(unconfirmed, _))) => {
                    release_unconfirmed(&app, unconfirmed)
                }
                _ => {}
            }
        });
        return Err(RouteError::ClaimUnavailable(
            "the table service is slow".into(),
        ));
    };
    let claimed = joined.map_err(|e| RouteError::ClaimUnavailable(e.to_string()))?;
    match claimed.map_err(|e| RouteError::ClaimUnavailable(e.to_string()))? {
        ClaimOutcome::Acquired(claim) => Ok(ClaimedKey::Run(claim)),
        ClaimOutcome::Completed(object) => read_answer(app, object).await.map(ClaimedKey::Replay),
        ClaimOutcome::HeldByOther => Err(RouteError::KeyHeld),
        ClaimOutcome::Unconfirmed(unconfirmed, reason) => {
            release_unconfirmed(app, unconfirmed);
            Err(RouteError::ClaimUnavailable(reason.to_string()))
        }
    }
}

/// Releases, in the background, a claim that may have been written.
///
/// The row is checked several times, because the commit may still be in
/// progress when one check finds no row.
fn release_unconfirmed(app: &App, unconfirmed: UnconfirmedClaim) {
    let app = app.clone();
    tokio::spawn(async move {
        let mut replies = 0;
        for _ in 0..MAX_TRIES {
            tokio::time::sleep(RECHECK_DELAY).await;
            if app
                .inner
                .claims
                .release_unconfirmed(&unconfirmed)
                .await
                .is_ok()
            {
                replies += 1;
            }
            if replies == RECHECKS {
                return;
            }
        }
    });
}

async fn read_answer(app: &App, object: String) -> Result<Vec<u8>, RouteError> {
    let mut objects = app.inner.objects.clone();
    let request = GetObjectRequest { key: object };
    match tokio::time::timeout(OBJECT_TIMEOUT, objects.get_object(request)).await {
        Ok(Ok(reply)) if reply.get_ref().found => Ok(reply.into_inner().value),
        _ => Err(RouteError::AnswerUnreadable),
    }
}

/// Releases the claim of a request that certainly did not run.
///
/// The caller is answered "not run" right after and may retry at once, so the
/// first attempt is awaited; further attempts run in the background.
pub(crate) async fn release(app: &App, claim: Claim) {
    let first_try = tokio::time::timeout(RELEASE_TIMEOUT, app.inner.claims.release(&claim)).await;
    if let Ok(Ok(())) = first_try {
        return;
    }
    let app = app.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_TRIES {
            tokio::time::sleep(RETRY_DELAY).await;
            if app.inner.claims.release(&claim).await.is_ok() {
                return;
            }
        }
        log::warn!(target: "once", "a claim could not be given back; its key answers \"held\"");
    });
}

/// Stores the answer of a claimed request, in the background; a planned stop
/// waits for it.
pub(crate) fn store_answer(app: &App, claim: Claim, key: &str, answer: Vec<u8>) {
    let tracked = app.track_request();
    let app = app.clone();
    let object = format!("answer/{key}");
    tokio::spawn(async move {
        let _tracked = tracked;
        for _ in 0..MAX_TRIES {
            if put_answer(&app, &object, &answer).await
                && app
                    .inner
                    .claims
                    .record_answer(&claim, &object)
                    .await
                    .is_ok()
            {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        log::warn!(target: "once", "the answer {object} could not be kept; its key answers \"held\"");
    });
}

async fn put_answer(app: &App, object: &str, answer: &[u8]) -> bool {
    let mut objects = app.inner.objects.clone();
    let request = PutObjectRequest {
        key: object.to_string(),
        value: answer.to_vec(),
    };
    let reply = tokio::time::timeout(OBJECT_TIMEOUT, objects.put_object(request)).await;
    matches!(reply, Ok(Ok(_)))
}
