//! Asking for an engine, as messages between daemons.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name, PromptSegment, TokenCounts};
use comfreyhall_protocol::{BindReply, BindRequest, PromptPart};

use super::{Bind, Bound, Unbound, here};
use crate::{choose::Need, fleet::Run, node::Node};

/// The message of the daemon at `from`.
pub(super) fn ask(from: &str, ask: &Bind) -> BindRequest {
    let need = &ask.need;
    let adapter = need.adapter.as_ref();
    let name = adapter.and_then(|a| a.adapter.as_deref());
    let names = |all: &[Name]| all.iter().map(|n| n.to_string()).collect();
    let parts = need.parts.iter().map(|p| PromptPart {
        id: p.id,
        tokens: p.tokens,
    });
    BindRequest {
        from: from.to_string(),
        run: ask.run,
        group: ask.group.to_string(),
        service: ask.service.to_string(),
        model: adapter.map_or("", |a| &*a.model).to_string(),
        adapter: name.unwrap_or("").to_string(),
        version: ask.version,
        prompt_tokens: need.tokens.map_or(0, |t| t.prompt),
        output_tokens: need.tokens.map_or(0, |t| t.max_output),
        parts: parts.collect(),
        priority: u32::from(ask.priority),
        aim_ms: ask.aim_ms,
        spent_ms: ask.spent_ms,
        left_ms: ask.left_ms,
        tried: names(&ask.tried),
        closed: names(&ask.closed),
        only_tried: ask.only_tried,
        may_wait: ask.may_wait,
    }
}

fn from_wire(ask: &BindRequest) -> Bind {
    let names = |all: &[String]| all.iter().map(|n| Name::from(n.as_str())).collect();
    let parts = ask.parts.iter().map(|p| PromptSegment {
        id: p.id,
        tokens: p.tokens,
    });
    let need = Need {
        adapter: Some(AdapterRef {
            model: ask.model.as_str().into(),
            adapter: (!ask.adapter.is_empty()).then(|| ask.adapter.as_str().into()),
        }),
        tokens: Some(TokenCounts {
            prompt: ask.prompt_tokens,
            max_output: ask.output_tokens,
        }),
        parts: parts.collect(),
    };
    Bind {
        run: ask.run,
        group: ask.group.as_str().into(),
        service: ask.service.as_str().into(),
        need: Arc::new(need),
        version: ask.version,
        priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
        aim_ms: ask.aim_ms,
        spent_ms: ask.spent_ms,
        left_ms: ask.left_ms,
        tried: names(&ask.tried),
        closed: names(&ask.closed),
        only_tried: ask.only_tried,
        may_wait: ask.may_wait,
    }
}

/// Answers another daemon that wants an engine of a group held here.
pub(crate) async fn answer(node: &Arc<Node>, message: BindRequest) -> BindReply {
    let ask = from_wire(&message);
    let adapter = ask.need.adapter.clone().filter(|a| a.adapter.is_some());
    let (run, group) = (ask.run, ask.group.clone());
    if node.token(&group).is_none() {
        return refusal(Unbound::unplaced("this daemon does not hold the lease"));
    }
    match here::bind(node, ask).await {
        Ok(bound) => {
            let now = node.now();
            let ahead = node
                .view()
                .board
                .total_work(&bound.target, now)
                .prefill_tokens
                + bound.unread;
            let counted = Run {
                target: bound.target.clone(),
                group,
                adapter,
                unread_tokens: bound.unread,
                queued_tokens: ahead,
                bound_at_ms: now,
            };
            node.fleet.add_bound_run(node, &message.from, run, counted);
            BindReply {
                target: bound.target.to_string(),
                version: bound.version,
                unread: bound.unread,
                wait_ms: bound.wait_ms,
                hot: bound.hot,
                granted: bound.granted,
                ..BindReply::default()
            }
        }
        Err(why) => refusal(why),
    }
}

fn refusal(why: Unbound) -> BindReply {
    let error = why.to_string();
    let mut reply = BindReply {
        error,
        ..BindReply::default()
    };
    match why {
        Unbound::MustWait => reply.must_wait = true,
        Unbound::TooLong(ms) => {
            reply.too_long = true;
            reply.wait_ms = ms;
        }
        Unbound::Unplaced { gone, .. } => {
            reply.gone = gone.iter().map(|t| t.to_string()).collect();
        }
        Unbound::Unanswered => {}
    }
    reply
}

/// What a holder's answer says.
pub(super) fn reply(reply: BindReply) -> Result<Bound, Unbound> {
    if !reply.target.is_empty() {
        return Ok(Bound {
            target: reply.target.into(),
            version: reply.version,
            unread: reply.unread,
            wait_ms: reply.wait_ms,
            hot: reply.hot,
            granted: reply.granted,
        });
    }
    if reply.must_wait {
        return Err(Unbound::MustWait);
    }
    if reply.too_long {
        return Err(Unbound::TooLong(reply.wait_ms));
    }
    Err(Unbound::Unplaced {
        why: reply.error,
        gone: reply.gone.into_iter().map(Name::from).collect(),
    })
}
