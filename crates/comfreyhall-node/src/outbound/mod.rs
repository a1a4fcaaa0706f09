//! All calls to targets.
//!
//! The only module that calls the [`Backend`](crate::ports::Backend): requests
//! and their retries, resumed streams, commands, reports and probes. It reads
//! what targets announce about themselves from the head of each response,
//! whatever its status and even if nobody waits for it any more.

mod availability;
mod limits;
mod log;
pub(crate) mod state;

use std::{borrow::Cow, sync::Arc, time::Duration};

use comfreyhall_backpressure::{Change, Notice, rejection_pause_ms};
use comfreyhall_domain::{ClientRequest, Refusal, Target};
use rand::Rng;
use tokio::time::timeout;

pub(crate) use self::{
    availability::{
        Unavailable, UnavailableTargets, describe_unavailable, is_draining, unavailable,
    },
    limits::{grant, holder_notices, limits, merge_notices, notices, own_notices},
};
use crate::{
    node::Node,
    ports::{
        Command, CommandReply, ProbeResult, Report, ReportError, Response, SendError, SendOptions,
        TargetReply,
    },
    quotas::{self, Credit, QuotaError, QuotaKind},
};

/// Divisor of a cooldown that gives the maximum of its jitter.
const COOLDOWN_JITTER_DIVISOR: u64 = 8;

/// Lengthens a cooldown by a random part. Daemons that were notified together
/// would otherwise return together, and overload the target right after its
/// cooldown.
fn add_jitter(notice: &Notice) -> Cow<'_, Notice> {
    let Some(cooldown_ms) = notice.cooldown_ms else {
        return Cow::Borrowed(notice);
    };
    let jitter_ms = rand::rng().random_range(0..=cooldown_ms / COOLDOWN_JITTER_DIVISOR);
    Cow::Owned(Notice {
        cooldown_ms: Some(cooldown_ms + jitter_ms),
        ..notice.clone()
    })
}

/// Records what `target` announces in a response; `sent` is when its request
/// was sent, `None` if it was not a request.
fn observe(node: &Arc<Node>, target: &Target, notice: &Notice, sent_ms: Option<u64>) {
    let now = node.now();
    log::log_problems(node, target, notice, now);
    let notice = add_jitter(notice);
    let changes = node
        .outbound
        .signals()
        .record_notice(&target.id, &notice, sent_ms, now);
    // Most responses announce nothing new.
    if changes.is_empty() {
        return;
    }
    let by = node.settings().id.clone();
    for change in changes {
        let age = sent_ms.map_or(0, |s| now - s);
        log::log_change(node, &target.id, change, &by, age);
        if matches!(change, Change::Limited { .. } | Change::Unlimited { .. }) {
            quotas::refresh(node, QuotaKind::Targets);
            limits::announce(node, &target.id);
        }
    }
}

/// The notice of `response`, with a cooldown if the target rejected the request for
/// want of room and bears few such rejections.
fn with_rejection_pause<'a>(node: &Node, response: &'a Response) -> Cow<'a, Notice> {
    let notice = &response.notice;
    let rejected = response.refusal == Some(Refusal::Full);
    let Some(most) = notice.max_rejections.filter(|_| rejected) else {
        return Cow::Borrowed(notice);
    };
    let now = node.now();
    let daemons = node.fleet.members(now);
    let daemons = daemons.unwrap_or_else(|| node.fleet.size(now));
    let pause_ms = rejection_pause_ms(most, daemons);
    node.metrics.target_notice("rejected");
    Cow::Owned(Notice {
        cooldown_ms: notice.cooldown_ms.max(Some(pause_ms)),
        ..notice.clone()
    })
}

/// Drops announcements that have expired.
pub(crate) fn sweep(node: &Node) {
    let now = node.now();
    let ended = node.outbound.signals().expire(now);
    for (target, change) in ended {
        log::log_change(node, &target, change, "time", 0);
    }
}

/// Permission to send a request to one target now. Every send needs one, taken
/// after all waits of the request.
pub(crate) struct Permit {
    /// The part of the target's limit that the send takes; returned if this is
    /// dropped.
    credit: Option<Credit>,
}

impl Permit {
    /// Returns the credit, since nothing reached the target.
    fn refund(self) {
        if let Some(credit) = self.credit {
            credit.refund();
        }
    }
}

/// Asks for permission to send a request to `target` now; `granted`: the holder
/// of its group's lease has already granted it a part of the target's limit.
pub(crate) async fn permit(
    node: &Arc<Node>,
    target: &Target,
    granted: bool,
) -> Result<Permit, Unavailable> {
    if let Some(blocked) = unavailable(node, &target.id) {
        return Err(blocked);
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

/// Sends a request; without an answer within `patience` its outcome is
/// indeterminate.
pub(crate) async fn send(
    node: &Arc<Node>,
    target: &Arc<Target>,
    mut permit: Permit,
    request: Arc<ClientRequest>,
    options: SendOptions,
    patience: Duration,
) -> Result<Response, SendError> {
    // The target may have announced it since the permit was taken.
    if let Some(blocked) = unavailable(node, &target.id) {
        return Err(SendError::NotSent(blocked.why.into()));
    }
    // From here on the request may arrive, even if nobody waits for it any more.
    if let Some(credit) = &mut permit.credit {
        credit.mark_sent();
    }
    let sent_ms = node.now();
    let call = node.backend.send(target.clone(), request, options);
    let Ok(answer) = timeout(patience, call).await else {
        // A slow target may be reached all the same.
        return Err(SendError::Indeterminate("no answer in time".into()));
    };
    match &answer {
        Ok(response) => {
            node.record_reached(&target.id);
            let notice = with_rejection_pause(node, response);
            observe(node, target, &notice, Some(sent_ms));
        }
        Err(SendError::NotSent(_)) => {
            node.record_unsent(&target.id);
            permit.refund();
        }
        Err(_) => node.record_unreached(&target.id),
    }
    answer
}

/// Sends a command to an engine; waits for the reply for `patience`. A reply that comes
/// later, within `watch`, goes to `late`.
pub(crate) async fn command(
    node: &Arc<Node>,
    target: &Arc<Target>,
    command: Command,
    patience: Duration,
    watch: Duration,
    late: impl FnOnce(&Node, CommandReply) + Send + 'static,
) -> CommandReply {
    if unavailable(node, &target.id).is_some() {
        return CommandReply::Withheld;
    }
    let call = node.backend.command(target.clone(), command);
    let mut call = tokio::spawn(call);
    match timeout(patience, &mut call).await {
        Ok(Ok(reply)) => observe_reply(node, target, reply),
        Ok(Err(e)) => CommandReply::Silent(e.to_string()),
        Err(_) => {
            let (node, target) = (node.clone(), target.clone());
            tokio::spawn(async move {
                match timeout(watch, &mut call).await {
                    Ok(Ok(reply)) => late(&node, observe_reply(&node, &target, reply)),
                    Ok(Err(_)) | Err(_) => call.abort(),
                }
            });
            CommandReply::Silent("no answer in time".into())
        }
    }
}

/// Asks for a report; waits for it for `patience`.
pub(crate) async fn report(
    node: &Arc<Node>,
    target: &Arc<Target>,
    patience: Duration,
) -> Result<Report, ReportError> {
    if let Some(blocked) = unavailable(node, &target.id) {
        return Err(ReportError::NoAnswer(blocked.why.into()));
    }
    let call = node.backend.report(target.clone());
    match timeout(patience, call).await {
        Ok(reply) => {
            if reply.answer.is_ok() {
                node.record_reached(&target.id);
            }
            observe_reply(node, target, reply)
        }
        Err(_) => Err(ReportError::NoAnswer("no answer in time".into())),
    }
}

/// Checks whether `target` is alive. A target in cooldown is not probed; a
/// draining one is, to see whether it has ended.
pub(crate) async fn probe(node: &Arc<Node>, target: &Arc<Target>) -> ProbeResult {
    if node.outbound.signals().cooldown_ms(&target.id, node.now()) > 0 {
        return ProbeResult::NoAnswer;
    }
    let reply = node.backend.probe(target.clone()).await;
    match reply.answer {
        ProbeResult::Alive => node.record_reached(&target.id),
        _ => node.record_failed_probe(&target.id),
    }
    observe_reply(node, target, reply)
}

fn observe_reply<T>(node: &Arc<Node>, target: &Target, reply: TargetReply<T>) -> T {
    observe(node, target, &reply.notice, None);
    reply.answer
}
