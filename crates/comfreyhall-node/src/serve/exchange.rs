//! One request sent to one target, up to the whole answer or the first event of a stream.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, Refusal, Target};
use comfreyhall_relay::{EndCause, EventOrder};
use futures::{FutureExt, future::BoxFuture};

use super::{
    ActiveRequest,
    plain::{self, WholeAnswer},
    renew::Binding,
};
use crate::{
    active_send::ActiveSend,
    choose::Plan,
    node::Node,
    outbound::{self, Permit},
    ports::{BodyError, Response, SendError, SendOptions},
    quarantine,
    source::{END_CHECK_PERIOD, EventSource, StreamStart, target_ended},
};

/// What came of a send.
pub(crate) enum Exchanged {
    /// No answer began.
    Failed(SendError),
    /// The target proved that it did not run the request.
    Refused(Refusal),
    /// The answer lacks the marker that answers of targets have.
    Unverified,
    /// The answer ended before it was whole, or before its first event.
    Broken(BodyError),
    /// A stream has begun.
    Stream(Box<StreamStart>),
    /// A whole answer that is no stream.
    Whole(WholeAnswer),
}

impl Exchanged {
    /// Whether the caller's answer can be made of it.
    pub(super) fn is_success(&self) -> bool {
        match self {
            Exchanged::Stream(_) => true,
            Exchanged::Whole(answer) => !answer.status.is_server_error(),
            _ => false,
        }
    }
}

/// A send whose outcome is awaited. Dropping it cancels the run.
pub(crate) struct Exchange {
    pub(crate) plan: Plan,
    pub(crate) send: ActiveSend,
    /// The settings under which it was sent.
    pub(super) binding: Binding,
    /// Whether it is the first send of the request to this target.
    pub(super) is_first: bool,
    /// Ms without an answer after which its target is silent; `None` if that leads to
    /// nothing.
    pub(super) silent_ms: Option<u64>,
    /// Whether its target was recorded as silent.
    pub(super) is_silent: bool,
    outcome: BoxFuture<'static, Exchanged>,
}

impl Exchange {
    /// Sends `request`; the outcome is due after `options.timeout_ms`, or once a target that
    /// has been silent for `silent_ms` is proven to have ended.
    pub(super) fn begin(
        plan: Plan,
        send: ActiveSend,
        permit: Permit,
        request: &ActiveRequest,
        options: SendOptions,
        silent_ms: Option<u64>,
    ) -> Self {
        let (node, target) = (request.node.clone(), plan.target.clone());
        let binding = request.binding();
        let request = request.client_request.clone();
        let limit = Duration::from_millis(options.timeout_ms);
        let outcome = async move {
            let running = run(&node, &target, permit, request, options);
            tokio::select! {
                biased;
                outcome = running => outcome,
                () = tokio::time::sleep(limit) => Exchanged::Broken(BodyError {
                    reason: "the deadline has passed".to_string(),
                    cause: EndCause::DeadlinePassed,
                }),
                () = target_end(&node, &target, silent_ms) => Exchanged::Broken(target_ended()),
            }
        };
        Self {
            plan,
            send,
            binding,
            is_first: true,
            silent_ms,
            is_silent: false,
            outcome: outcome.boxed(),
        }
    }

    /// The outcome; asked for once. The wait may be dropped and taken up again.
    pub(super) async fn outcome(&mut self) -> Exchanged {
        (&mut self.outcome).await
    }
}

/// Waits for the proof that `target`, which is silent after `silent_ms`, has ended.
async fn target_end(node: &Arc<Node>, target: &Arc<Target>, silent_ms: Option<u64>) {
    let Some(silent_ms) = silent_ms else {
        return std::future::pending().await;
    };
    tokio::time::sleep(Duration::from_millis(silent_ms)).await;
    loop {
        tokio::time::sleep(END_CHECK_PERIOD).await;
        if quarantine::is_proven_ended(node, target).await {
            return;
        }
    }
}

async fn run(
    node: &Arc<Node>,
    target: &Arc<Target>,
    permit: Permit,
    request: Arc<ClientRequest>,
    options: SendOptions,
) -> Exchanged {
    let last_event = options.last_event;
    let patience = Duration::from_millis(options.timeout_ms);
    let response = match outbound::send(node, target, permit, request, options, patience).await {
        Ok(response) => response,
        Err(why) => return Exchanged::Failed(why),
    };
    if let Some(refusal) = response.refusal {
        return Exchanged::Refused(refusal);
    }
    if response.status.is_success() && !response.verified {
        return Exchanged::Unverified;
    }
    if response.status.is_success() && response.event_stream {
        return begin_stream(response, EventOrder::after(last_event)).await;
    }
    let Response {
        status,
        headers,
        framing,
        body,
        ..
    } = response;
    match plain::read(node, target, framing, body).await {
        Ok((body, proven)) => Exchanged::Whole(WholeAnswer {
            status,
            headers,
            body,
            proven,
        }),
        Err(why) => Exchanged::Broken(why),
    }
}

async fn begin_stream(response: Response, mut order: EventOrder) -> Exchanged {
    let mut source = EventSource::new(response.body, response.framing);
    match source.first_events(&mut order).await {
        Ok(events) => Exchanged::Stream(Box::new(StreamStart {
            status: response.status,
            headers: response.headers,
            source,
            order,
            events,
        })),
        Err(why) => Exchanged::Broken(why),
    }
}
