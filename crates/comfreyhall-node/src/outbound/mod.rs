//! Everything that goes to targets.
//!
//! The one place that calls the [`Backend`](crate::ports::Backend): requests and
//! their repeats, resumed streams, orders, reports and probes. What targets say
//! of themselves is taken in here from the head of each answer, whatever its
//! status and whoever still waits for it.

mod limits;
mod log;
mod shut;

use std::{
    borrow::Cow,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_backpressure::{Change, Notice, TargetSignals};
use comfreyhall_domain::{ClientRequest, Target};
use rand::Rng;
use tokio::time::timeout;

pub(crate) use self::{
    limits::{grant, holder_notices, limits, merge_notices, notices, own_notices},
    shut::{Unavailable, UnavailableTargets, describe_unavailable, is_draining, unavailable},
};
use crate::{
    caps::{self, Credit, QuotaError, QuotaKind},
    node::Node,
    ports::{
        Command, CommandReply, ProbeResult, Report, ReportError, Response, SendError, SendOptions,
        TargetReply,
    },
};

/// Part of a rest, as its divisor, by which it is lengthened at most.
const REST_SPREAD: u64 = 8;

/// What this daemon knows of what targets say.
#[derive(Default)]
pub(crate) struct Outbound {
    gates: Mutex<TargetSignals>,
}

impl Outbound {
    fn gates(&self) -> MutexGuard<'_, TargetSignals> {
        self.gates.lock().expect("no holder of this lock panics")
    }
}

/// The same with a rest that is somewhat longer. Daemons that were told together
/// would come back together, and give the target no rest after its rest.
fn spread(notice: &Notice) -> Cow<'_, Notice> {
    let Some(rest_ms) = notice.cooldown_ms else {
        return Cow::Borrowed(notice);
    };
    let more = rand::rng().random_range(0..=rest_ms / REST_SPREAD);
    Cow::Owned(Notice {
        cooldown_ms: Some(rest_ms + more),
        ..notice.clone()
    })
}

/// Takes in what `target` says in the answer to a request that was sent at `sent`,
/// or to something else.
fn hear(node: &Arc<Node>, target: &Target, notice: &Notice, sent: Option<u64>) {
    let now = node.now();
    log::odd(node, target, notice, now);
    let notice = spread(notice);
    let changes = node
        .outbound
        .gates()
        .record_notice(&target.id, &notice, sent, now);
    // Most answers say nothing new.
    if changes.is_empty() {
        return;
    }
    let by = node.settings().id.clone();
    for change in changes {
        let age = sent.map_or(0, |s| now - s);
        log::changed(node, &target.id, change, &by, age);
        if matches!(change, Change::Limited { .. } | Change::Unlimited { .. }) {
            caps::refresh(node, QuotaKind::Targets);
            limits::announce(node, &target.id);
        }
    }
}

/// Forgets what targets said that counts no more.
pub(crate) fn sweep(node: &Node) {
    let now = node.now();
    let ended = node.outbound.gates().expire(now);
    for (target, change) in ended {
        log::changed(node, &target, change, "time", 0);
    }
}

/// That a request may be sent to one target now. Every send wants one, taken
/// after whatever the request had to wait for.
pub(crate) struct Permit {
    /// The part of the target's limit that it takes; given back if it is dropped.
    credit: Option<Credit>,
}

impl Permit {
    /// Nothing reached the target after all.
    fn give_back(self) {
        if let Some(credit) = self.credit {
            credit.refund();
        }
    }
}

/// Whether a request may be sent to `target` now; `granted`: the holder of its
/// group has granted it a part of the target's limit.
pub(crate) async fn permit(
    node: &Arc<Node>,
    target: &Target,
    granted: bool,
) -> Result<Permit, Unavailable> {
    if let Some(closed) = unavailable(node, &target.id) {
        return Err(closed);
    }
    if granted {
        let credit = Some(Credit::granted(node, &target.id));
        return Ok(Permit { credit });
    }
    let credit = limits::reserve(node, target).await.map_err(|refused| {
        let (QuotaError::Exceeded { retry_ms } | QuotaError::Unknown { retry_ms }) = refused;
        let why = "its limit is used up";
        Unavailable { why, retry_ms }
    })?;
    Ok(Permit { credit })
}

/// Sends a request; an answer that stays away for `patience` is a doubt.
pub(crate) async fn send(
    node: &Arc<Node>,
    target: &Arc<Target>,
    mut permit: Permit,
    ask: Arc<ClientRequest>,
    options: SendOptions,
    patience: Duration,
) -> Result<Response, SendError> {
    // It may have said so since the permit was taken.
    if let Some(closed) = unavailable(node, &target.id) {
        return Err(SendError::NotSent(closed.why.into()));
    }
    // From here on it may arrive, also if nobody waits for it any more.
    if let Some(credit) = &mut permit.credit {
        credit.mark_sent();
    }
    let sent = node.now();
    let call = node.backend.send(target.clone(), ask, options);
    let answer = timeout(patience, call).await;
    let answer =
        answer.unwrap_or_else(|_| Err(SendError::Indeterminate("no answer in time".into())));
    match &answer {
        Ok(response) => hear(node, target, &response.notice, Some(sent)),
        Err(SendError::NotSent(_)) => permit.give_back(),
        Err(_) => {}
    }
    answer
}

/// Gives an order; waits for the answer for `patience`.
pub(crate) async fn command(
    node: &Arc<Node>,
    target: &Arc<Target>,
    command: Command,
    patience: Duration,
) -> CommandReply {
    if unavailable(node, &target.id).is_some() {
        return CommandReply::Unsent;
    }
    let call = node.backend.command(target.clone(), command);
    match timeout(patience, call).await {
        Ok(heard) => take(node, target, heard),
        Err(_) => CommandReply::Silent("no answer in time".into()),
    }
}

/// Asks for a report; waits for it for `patience`.
pub(crate) async fn report(
    node: &Arc<Node>,
    target: &Arc<Target>,
    patience: Duration,
) -> Result<Report, ReportError> {
    if let Some(closed) = unavailable(node, &target.id) {
        return Err(ReportError::NoAnswer(closed.why.into()));
    }
    let call = node.backend.report(target.clone());
    match timeout(patience, call).await {
        Ok(heard) => take(node, target, heard),
        Err(_) => Err(ReportError::NoAnswer("no answer in time".into())),
    }
}

/// Looks whether `target` is there; not while it rests, but one that leaves is
/// looked at to see whether it has ended.
pub(crate) async fn probe(node: &Arc<Node>, target: &Arc<Target>) -> ProbeResult {
    if node.outbound.gates().cooldown_ms(&target.id, node.now()) > 0 {
        return ProbeResult::NoAnswer;
    }
    let heard = node.backend.probe(target.clone()).await;
    take(node, target, heard)
}

fn take<T>(node: &Arc<Node>, target: &Target, heard: TargetReply<T>) -> T {
    hear(node, target, &heard.notice, None);
    heard.answer
}
