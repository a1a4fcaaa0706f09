//! Messages between daemons for binding runs.

use std::sync::Arc;

use comfreyhall_domain::{AdapterRef, Name, PromptSegment, StatedTime, TokenCounts};
use comfreyhall_protocol::{BindReply, BindRequest, PromptPart};
use comfreyhall_slots::SlotShare;
use comfreyhall_streams::{Software, SoftwareRule};

use super::{
    local,
    params::{BindError, BindParams, Binding},
};
use crate::{criteria::Requirements, fleet::Run, node::Node};

/// The request that the daemon at `from` sends.
pub(super) fn ask(from: &str, params: &BindParams) -> BindRequest {
    let requirements = &params.requirements;
    let adapter = requirements.adapter.as_ref();
    let name = adapter.and_then(|a| a.adapter.as_deref());
    let names = |all: &[Name]| all.iter().map(|n| n.to_string()).collect();
    let parts = requirements.prompt_segments.iter().map(|p| PromptPart {
        id: p.id,
        tokens: p.tokens,
    });
    BindRequest {
        from: from.to_string(),
        run: params.run,
        group: params.group.to_string(),
        service: params.service.to_string(),
        model: adapter.map_or("", |a| &*a.model).to_string(),
        adapter: name.unwrap_or("").to_string(),
        version: params.min_version,
        prompt_tokens: requirements.tokens.map_or(0, |t| t.prompt),
        output_tokens: requirements.tokens.map_or(0, |t| t.max_output),
        parts: parts.collect(),
        priority: u32::from(params.priority),
        aim_ms: params.objective_ms,
        spent_ms: params.elapsed_ms,
        left_ms: params.remaining_ms,
        tried: names(&params.tried),
        closed: names(&params.unavailable),
        only_tried: params.only_tried,
        may_wait: params.may_wait,
        share: params.share.as_str().to_string(),
        route: params.route.to_string(),
        expected_output: requirements.expected_output.unwrap_or(0),
        identity: params.identity,
        patience_ms: params.patience_ms,
        software: match &params.software {
            SoftwareRule::Only(software) => software.to_string(),
            _ => String::new(),
        },
        held_software: match &params.software {
            SoftwareRule::Except(held) => held.iter().map(encode_software).collect(),
            _ => Vec::new(),
        },
    }
}

fn encode_software(software: &Software) -> String {
    software.as_deref().unwrap_or("").to_string()
}

fn decode_software_rule(message: &BindRequest) -> SoftwareRule {
    if !message.software.is_empty() {
        return SoftwareRule::Only(message.software.as_str().into());
    }
    let decode = |s: &String| (!s.is_empty()).then(|| s.as_str().into());
    match message.held_software.is_empty() {
        true => SoftwareRule::Any,
        false => SoftwareRule::Except(message.held_software.iter().map(decode).collect()),
    }
}

fn from_wire(message: &BindRequest) -> BindParams {
    let names = |all: &[String]| all.iter().map(|n| Name::from(n.as_str())).collect();
    let parts = message.parts.iter().map(|p| PromptSegment {
        id: p.id,
        tokens: p.tokens,
    });
    let requirements = Requirements {
        adapter: Some(AdapterRef {
            model: message.model.as_str().into(),
            adapter: (!message.adapter.is_empty()).then(|| message.adapter.as_str().into()),
        }),
        tokens: Some(TokenCounts {
            prompt: message.prompt_tokens,
            max_output: message.output_tokens,
        }),
        expected_output: (message.expected_output > 0).then_some(message.expected_output),
        prompt_segments: parts.collect(),
    };
    BindParams {
        run: message.run,
        group: message.group.as_str().into(),
        service: message.service.as_str().into(),
        route: message.route.as_str().into(),
        share: SlotShare::from_wire(&message.share),
        identity: message.identity,
        requirements: Arc::new(requirements),
        min_version: message.version,
        priority: u8::try_from(message.priority).unwrap_or(u8::MAX),
        objective_ms: StatedTime::from_ms(message.aim_ms).ms(),
        elapsed_ms: StatedTime::from_ms(message.spent_ms).ms(),
        remaining_ms: StatedTime::from_ms(message.left_ms).ms(),
        tried: names(&message.tried),
        unavailable: names(&message.closed),
        only_tried: message.only_tried,
        may_wait: message.may_wait,
        patience_ms: StatedTime::from_ms(message.patience_ms).ms(),
        software: decode_software_rule(message),
    }
}

/// Answers a peer that needs an engine of a group held here.
pub(crate) async fn answer(node: &Arc<Node>, message: BindRequest) -> BindReply {
    let params = from_wire(&message);
    let adapter = params
        .requirements
        .adapter
        .clone()
        .filter(|a| a.adapter.is_some());
    let (run, group, share) = (params.run, params.group.clone(), params.share.clone());
    if node.token(&group).is_none() {
        return refusal(BindError::no_engine("this daemon does not hold the lease"));
    }
    match local::bind(node, params).await {
        Ok(binding) => {
            let now = node.now();
            let ahead = node
                .view()
                .board
                .total_work(&binding.target, now)
                .prefill_tokens
                + binding.unread_tokens;
            let counted = Run {
                target: binding.target.clone(),
                group,
                share,
                adapter,
                unread_tokens: binding.unread_tokens,
                queued_tokens: ahead,
                bound_at_ms: now,
                began_at_ms: now,
            };
            node.fleet.add_bound_run(node, &message.from, run, counted);
            BindReply {
                target: binding.target.to_string(),
                version: binding.version,
                unread: binding.unread_tokens,
                wait_ms: binding.wait_ms,
                hot: binding.hot,
                granted: binding.granted,
                ..BindReply::default()
            }
        }
        Err(why) => refusal(why),
    }
}

fn refusal(why: BindError) -> BindReply {
    let error = why.to_string();
    let mut reply = BindReply {
        error,
        ..BindReply::default()
    };
    match why {
        BindError::LoadRequired => reply.must_wait = true,
        BindError::TooLong(ms) => {
            reply.too_long = true;
            reply.wait_ms = ms;
        }
        BindError::NoEngine { gone, .. } => {
            reply.gone = gone.iter().map(|t| t.to_string()).collect();
        }
        BindError::NoSlot { return_ms } => reply.return_ms = return_ms.max(1),
        BindError::NoAnswer => {}
    }
    reply
}

/// Decodes a holder's answer.
pub(super) fn reply(reply: BindReply) -> Result<Binding, BindError> {
    let stated = |ms| StatedTime::from_ms(ms).ms();
    if !reply.target.is_empty() {
        return Ok(Binding {
            target: reply.target.into(),
            version: reply.version,
            unread_tokens: reply.unread,
            wait_ms: stated(reply.wait_ms),
            hot: reply.hot,
            granted: reply.granted,
        });
    }
    if reply.must_wait {
        return Err(BindError::LoadRequired);
    }
    if reply.too_long {
        return Err(BindError::TooLong(stated(reply.wait_ms)));
    }
    if reply.return_ms > 0 {
        return Err(BindError::NoSlot {
            return_ms: stated(reply.return_ms),
        });
    }
    Err(BindError::NoEngine {
        reason: reply.error,
        gone: reply.gone.into_iter().map(Name::from).collect(),
    })
}
