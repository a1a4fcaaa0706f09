//! One request sent to one target, up to the whole answer or the first event of a stream.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{ClientRequest, Refusal, Target};
use comfreyhall_relay::{EndCause, EventOrder};
use futures::{FutureExt, future::BoxFuture};

use super::plain::{self, WholeAnswer};
use crate::{
    active_send::ActiveSend,
    choose::Plan,
    node::Node,
    outbound::{self, Permit},
    ports::{BodyError, Response, SendError, SendOptions},
    source::{EventSource, StreamStart},
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
    /// Whether it is the first send of the request to this target.
    pub(super) is_first: bool,
    outcome: BoxFuture<'static, Exchanged>,
}

impl Exchange {
    /// Sends `request`; the outcome is due after `options.timeout_ms`.
    pub(super) fn begin(
        node: &Arc<Node>,
        plan: Plan,
        send: ActiveSend,
        permit: Permit,
        request: Arc<ClientRequest>,
        options: SendOptions,
    ) -> Self {
        let (node, target) = (node.clone(), plan.target.clone());
        let limit = Duration::from_millis(options.timeout_ms);
        let outcome = async move {
            let running = run(&node, &target, permit, request, options);
            match tokio::time::timeout(limit, running).await {
                Ok(outcome) => outcome,
                Err(_) => Exchanged::Broken(BodyError {
                    reason: "the deadline has passed".to_string(),
                    cause: EndCause::DeadlinePassed,
                }),
            }
        };
        Self {
            plan,
            send,
            is_first: true,
            outcome: outcome.boxed(),
        }
    }

    /// The outcome; asked for once. The wait may be dropped and taken up again.
    pub(super) async fn outcome(&mut self) -> Exchanged {
        (&mut self.outcome).await
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
    match source.first_event(&mut order).await {
        Ok(event) => Exchanged::Stream(Box::new(StreamStart {
            status: response.status,
            headers: response.headers,
            source,
            order,
            events: vec![event],
        })),
        Err(why) => Exchanged::Broken(why),
    }
}
