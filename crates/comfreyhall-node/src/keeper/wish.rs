//! Wishing for an adapter: here, or through the holder of the lease.

use std::{sync::Arc, time::Duration};

use comfreyhall_domain::{AdapterRef, Name};
use comfreyhall_placement::Waiting;
use comfreyhall_protocol::{self as protocol, EnsureReply, EnsureRequest};
use tokio::sync::oneshot;

use super::{Job, Placed, Ticket, Unplaced, ticket::Gone};
use crate::node::Node;

/// An engine that may take an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Pick {
    pub(crate) target: Name,
    /// Ms more than at the best one until the request would be answered: it
    /// takes the adapter only once that long went by without a place elsewhere.
    pub(crate) extra_ms: u64,
}

/// What is wanted of the engines of one group.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) adapter: AdapterRef,
    /// Engines that may take it, all of one group.
    pub(crate) picks: Vec<Pick>,
    /// Least version that will do; 0 for any.
    pub(crate) version: u64,
    /// Rank of the route; 0 first.
    pub(crate) priority: u32,
    /// Ms within which the load must begin to meet the objective.
    pub(crate) aim_ms: u64,
    /// How long to wait for a load to begin.
    pub(crate) begin: Duration,
    /// How long to wait in all.
    pub(crate) limit: Duration,
}

/// Has one of the engines of `group` hold the adapter, here or through the
/// holder of the lease.
pub(crate) async fn ensure(node: &Arc<Node>, group: &str, wish: Wish) -> Result<Placed, Unplaced> {
    if node.token(group).is_some() {
        return ensure_here(node, wish).await;
    }
    let holder = node.fleet.holder(group, node.now());
    let holder = holder.ok_or("nobody holds the lease")?;
    let mut client = node.fleet.client(&holder).ok_or("the holder is gone")?;
    let limit = wish.limit;
    let answer = tokio::time::timeout(limit, client.ensure(to_wire(wish))).await;
    let reply = answer
        .map_err(|_| Unplaced::from("the holder does not answer"))?
        .map_err(|s| Unplaced::from(&*format!("the holder failed: {}", s.message())))?
        .into_inner();
    from_wire(reply)
}

async fn ensure_here(node: &Arc<Node>, wish: Wish) -> Result<Placed, Unplaced> {
    let (done, mut wait) = oneshot::channel();
    let among = wish.picks.iter().map(|p| p.target.clone()).collect();
    let gone = Gone::default();
    let ticket = Arc::new(Ticket::new(done, among, gone.clone()));
    let now = node.now();
    let mut offered = false;
    for pick in &wish.picks {
        let job = Job {
            adapter: wish.adapter.clone(),
            version: wish.version,
            waiting: Waiting {
                priority: wish.priority,
                since: now,
                aim: now + wish.aim_ms,
            },
            ticket: Some(ticket.clone()),
            extra_ms: pick.extra_ms,
            until: now + wish.begin.as_millis() as u64,
            blocked: "",
        };
        let jobs = node.keepers.jobs().get(&pick.target).cloned();
        offered |= jobs.is_some_and(|j| j.try_send(job).is_ok());
    }
    if !offered {
        return Err("no engine has a keeper with room for more".into());
    }
    // The keepers have the wish now; when all have let go of it, it fails.
    let told = Arc::downgrade(&ticket);
    drop(ticket);
    let begun = tokio::time::timeout(wish.begin, &mut wait).await;
    let untaken = told.upgrade().and_then(|t| t.take());
    let ended = match (begun, untaken) {
        (Ok(ended), _) => ended,
        // No engine began, and none may begin any more.
        (Err(_), Some(_)) => {
            return Err(unplaced("no place fell free in time", &gone));
        }
        // A load is on its way: left now, it would have been for nothing.
        (Err(_), None) => {
            let rest = wish.limit.saturating_sub(wish.begin);
            let ended = tokio::time::timeout(rest, wait).await;
            ended.map_err(|_| Unplaced::from("the load takes longer than the request may wait"))?
        }
    };
    ended.unwrap_or_else(|_| Err(unplaced("no engine could take it", &gone)))
}

fn unplaced(why: &str, gone: &Gone) -> Unplaced {
    Unplaced {
        why: why.to_string(),
        gone: gone.noted(),
    }
}

/// Answers another daemon that wants an adapter on engines kept here.
pub(crate) async fn answer(node: &Arc<Node>, ask: EnsureRequest) -> EnsureReply {
    let picks = ask.picks.iter().map(|p| Pick {
        target: p.target.as_str().into(),
        extra_ms: p.extra_ms,
    });
    let wish = Wish {
        adapter: AdapterRef {
            model: ask.model.as_str().into(),
            adapter: Some(ask.adapter.as_str().into()),
        },
        picks: picks.collect(),
        version: ask.version,
        priority: ask.priority,
        aim_ms: ask.aim_ms,
        begin: Duration::from_millis(ask.begin_ms),
        limit: Duration::from_millis(ask.limit_ms),
    };
    match ensure_here(node, wish).await {
        Ok(placed) => EnsureReply {
            ready: true,
            version: placed.version,
            target: placed.target.to_string(),
            ..EnsureReply::default()
        },
        Err(unplaced) => EnsureReply {
            gone: unplaced.gone.iter().map(|t| t.to_string()).collect(),
            error: unplaced.why,
            ..EnsureReply::default()
        },
    }
}

fn to_wire(wish: Wish) -> EnsureRequest {
    let picks = wish.picks.iter().map(|p| protocol::Pick {
        target: p.target.to_string(),
        extra_ms: p.extra_ms,
    });
    EnsureRequest {
        picks: picks.collect(),
        model: wish.adapter.model.to_string(),
        adapter: wish.adapter.adapter.as_deref().unwrap_or("").to_string(),
        version: wish.version,
        limit_ms: wish.limit.as_millis() as u64,
        begin_ms: wish.begin.as_millis() as u64,
        priority: wish.priority,
        aim_ms: wish.aim_ms,
    }
}

fn from_wire(reply: EnsureReply) -> Result<Placed, Unplaced> {
    if reply.ready {
        return Ok(Placed {
            target: reply.target.as_str().into(),
            version: reply.version,
        });
    }
    Err(Unplaced {
        why: reply.error,
        gone: reply.gone.iter().map(|t| t.as_str().into()).collect(),
    })
}

#[cfg(test)]
mod tests;
