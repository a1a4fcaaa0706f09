//! What the paces of engines mean for a request.
//!
//! The decisions are in `comfreyhall-routing`; this module feeds them what this
//! daemon knows of first events, streams and backlogs.

use comfreyhall_domain::Name;
use comfreyhall_routing::{Interference, selection};

use crate::{criteria::Criteria, fleet::updates::StreamReport, node::Node, view::View};

/// Largest cost of late streams at an engine that would load the adapter, in ms.
/// Requests leave a free slot of such an engine unused for as long as it costs
/// more than the best one, while others wait for a slot.
pub(crate) const MAX_LOAD_LATE_MS: f64 = 120.0;

/// What one engine costs a request, and the streams that run there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EngineCost {
    /// Expected time to the first event, in ms.
    pub(crate) wait_ms: f64,
    /// Time to read its prompt, in ms.
    pub(crate) read_ms: f64,
    /// Cost of streams with late gaps, in ms: those beside it, and its own.
    pub(crate) late_ms: f64,
}

/// Estimates what `target` costs a request with `tokens` of prompt to read there.
pub(crate) fn cost(
    node: &Node,
    view: &View,
    criteria: &Criteria<'_>,
    target: &Name,
    tokens: u64,
) -> EngineCost {
    let now = node.now();
    let board = &view.board;
    let read_ms = board.read_duration_ms(tokens as f64);
    if !criteria.uses_paces {
        return EngineCost {
            wait_ms: board.prefill_ms(target, tokens, now),
            read_ms,
            late_ms: 0.0,
        };
    }
    let pace = view.paces.current(target, now);
    let late_ms = criteria.gap_objective_ms.map_or(0.0, |objective_ms| {
        let beside = Interference {
            queued_ms: pace.read_ms(board.reading_ms(board.backlog(target, now))),
            read_ms: pace.read_ms(board.reading_ms(tokens as f64)),
            event_wait_ms: pace.read * view.paces.event_wait_ms(),
            objective_ms: objective_ms as f64,
        };
        let streams = board.total_work(target, now).requests;
        // A late stream costs what a failed send does.
        let late_cost_ms = criteria.objective_ms as f64;
        let events = expected_events(view, criteria);
        beside.cost_ms(streams, late_cost_ms) + pace.late_probability(events) * late_cost_ms
    });
    EngineCost {
        wait_ms: pace.read_ms(board.mean_prefill_ms(target, tokens, now)),
        read_ms: pace.read_ms(read_ms),
        late_ms,
    }
}

/// Events of the stream that the request is expected to have.
fn expected_events(view: &View, criteria: &Criteria<'_>) -> f64 {
    let event_tokens = criteria.engine.map_or(1, |e| e.event_tokens.max(1));
    let expected = criteria.requirements.expected_output;
    let expected = expected.map(|tokens| tokens.div_ceil(event_tokens));
    view.run_times.output(criteria.route, expected).events
}

/// Expected time from the first event to the last at `target` of a stream on `route` whose
/// caller expects `expected` events, in ms.
pub(crate) fn stream_ms(node: &Node, target: &Name, route: &Name, expected: Option<u32>) -> f64 {
    let view = node.view();
    let event_ms = view.paces.event_ms(target, node.now());
    view.run_times.run_ms(route, expected, 0.0, event_ms)
}

/// Rank of `target` for the adapter `key`, where engines differ in pace if
/// `uses_paces`; the lowest is preferred.
pub(crate) fn adapter_rank(view: &View, uses_paces: bool, key: &str, target: &Name) -> u64 {
    match uses_paces {
        true => selection::weighted_rank(key, target, view.paces.rank_weight(target)),
        false => selection::rendezvous_rank(key, target),
    }
}

/// The prompt of a first event.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prompt {
    /// Its tokens.
    pub(crate) tokens: u64,
    /// Tokens to process before the first event, its own included.
    pub(crate) queued_tokens: u64,
}

/// Records a first event of `target` that came after `waited_ms`.
pub(crate) fn record_first(
    view: &mut View,
    target: &Name,
    prompt: Prompt,
    waited_ms: u64,
    now: u64,
) {
    let queued = prompt.queued_tokens;
    let Some(expected_ms) = view.board.record_first_token(target, queued, waited_ms) else {
        return;
    };
    if queued == prompt.tokens {
        let pace = view.paces.current(target, now).long_read;
        view.board.record_alone(queued, waited_ms as f64 / pace);
    }
    let weight = view
        .paces
        .record_first(target, waited_ms as f64, expected_ms, now);
    if let Some(weight) = weight {
        let pace = view.paces.current(target, now);
        log::info!(target: "pace", id:% = target, weight, read = pace.long_read, gap = pace.gap, late = pace.late_gaps, rate = 1.0 / view.board.reading_ms(1.0); "engine has another pace");
    }
}

/// Records a stream of `target` that has ended.
pub(crate) fn record_stream(view: &mut View, target: &Name, report: &StreamReport, now: u64) {
    view.paces.record_stream(target, report.sample, now);
    let StreamReport {
        sample,
        route,
        expected,
    } = report;
    view.run_times.record(route, sample.events, *expected);
}
