//! Non-idempotent requests: claim, run once, keep the answer.
//!
//! The claim itself is the `comfreyhall-once` crate's; here it is tied to
//! the request path. The answer of a claimed request goes to the object
//! store, and the claim then names that object, so a caller whose answer
//! was lost asks with the same key and gets it without a second run.

use std::time::Duration;

use comfreyhall_once::{Claim, ClaimOutcome, UnconfirmedClaim};
use comfreyhall_protocol::{GetObjectRequest, PutObjectRequest};

use crate::{app::App, error::RouteError};

/// Longest a claim may take: a caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest one read or write of an answer may take.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest the first try to give a claim back may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tries to keep an answer or give back a claim, a pause apart.
const TRIES: u32 = 60;

/// Pause between those tries.
const PAUSE: Duration = Duration::from_secs(1);

/// Pause before each look for a claim in doubt.
const ABANDON_PAUSE: Duration = Duration::from_millis(500);

/// Looks the table must answer before a claim in doubt is let go.
const ABANDON_LOOKS: u32 = 4;

/// What a claimed key allows.
pub(crate) enum Turn {
    /// Run the request, once.
    Run(Claim),
    /// It ran; this is the answer.
    Replay(Vec<u8>),
}

/// Claims `key` for the attempt `id`; any error means it must not be sent.
///
/// The claim goes on in a task of its own when it outlasts the caller's
/// patience, so that a key claimed too late is given back.
pub(crate) async fn claim(app: &App, key: &str, id: &str) -> Result<Turn, RouteError> {
    let mut asked = tokio::spawn({
        let (app, key, id) = (app.clone(), key.to_string(), id.to_string());
        async move { app.inner.once.claim(&key, &id).await }
    });
    let Ok(joined) = tokio::time::timeout(CLAIM_TIMEOUT, &mut asked).await else {
        let app = app.clone();
        tokio::spawn(async move {
            match asked.await {
                Ok(Ok(ClaimOutcome::Acquired(claim))) => release(&app, claim).await,
                Ok(Ok(ClaimOutcome::Unconfirmed(doubt, _))) => abandon(&app, doubt),
                _ => {}
            }
        });
        return Err(RouteError::ClaimDown("the table service is slow".into()));
    };
    let claimed = joined.map_err(|e| RouteError::ClaimDown(e.to_string()))?;
    match claimed.map_err(|e| RouteError::ClaimDown(e.to_string()))? {
        ClaimOutcome::Acquired(claim) => Ok(Turn::Run(claim)),
        ClaimOutcome::Completed(object) => read_answer(app, object).await.map(Turn::Replay),
        ClaimOutcome::HeldByOther => Err(RouteError::Held),
        ClaimOutcome::Unconfirmed(doubt, why) => {
            abandon(app, doubt);
            Err(RouteError::ClaimDown(why.to_string()))
        }
    }
}

/// Gives back, in the background, a claim that may have been written.
///
/// One look that finds no row is not the last: the commit may still be on
/// its way.
fn abandon(app: &App, doubt: UnconfirmedClaim) {
    let app = app.clone();
    tokio::spawn(async move {
        let mut answered = 0;
        for _ in 0..TRIES {
            tokio::time::sleep(ABANDON_PAUSE).await;
            if app.inner.once.release_unconfirmed(&doubt).await.is_ok() {
                answered += 1;
            }
            if answered == ABANDON_LOOKS {
                return;
            }
        }
    });
}

async fn read_answer(app: &App, object: String) -> Result<Vec<u8>, RouteError> {
    let mut objects = app.inner.objects.clone();
    let ask = GetObjectRequest { key: object };
    match tokio::time::timeout(OBJECT_TIMEOUT, objects.get_object(ask)).await {
        Ok(Ok(reply)) if reply.get_ref().found => Ok(reply.into_inner().value),
        _ => Err(RouteError::AnswerAway),
    }
}

/// Gives back the claim of a request that certainly did not run.
///
/// The caller is told "not run" right after, and may come back at once, so
/// the first try is waited for; the rest go on in the background.
pub(crate) async fn release(app: &App, claim: Claim) {
    let first = tokio::time::timeout(RELEASE_TIMEOUT, app.inner.once.release(&claim)).await;
    if let Ok(Ok(())) = first {
        return;
    }
    let app = app.clone();
    tokio::spawn(async move {
        for _ in 0..TRIES {
            tokio::time::sleep(PAUSE).await;
            if app.inner.once.release(&claim).await.is_ok() {
                return;
            }
        }
        log::warn!(target: "once", "a claim could not be given back; its key answers \"held\"");
    });
}

/// Keeps the answer of a claimed request, in the background; a planned stop
/// waits for it.
pub(crate) fn keep(app: &App, claim: Claim, key: &str, answer: Vec<u8>) {
    let tracked = app.track();
    let app = app.clone();
    let object = format!("answer/{key}");
    tokio::spawn(async move {
        let _tracked = tracked;
        for _ in 0..TRIES {
            if put_answer(&app, &object, &answer).await
                && app.inner.once.record_answer(&claim, &object).await.is_ok()
            {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        log::warn!(target: "once", "the answer {object} could not be kept; its key answers \"held\"");
    });
}

async fn put_answer(app: &App, object: &str, answer: &[u8]) -> bool {
    let mut objects = app.inner.objects.clone();
    let put = PutObjectRequest {
        key: object.to_string(),
        value: answer.to_vec(),
    };
    let answered = tokio::time::timeout(OBJECT_TIMEOUT, objects.put_object(put)).await;
    matches!(answered, Ok(Ok(_)))
}
