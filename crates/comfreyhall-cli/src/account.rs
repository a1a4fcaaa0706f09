//! `comfreyhall account`: counts the requests in the logs of all daemons by
//! outcome.
//!
//! Each request that a daemon accepted is counted once, by route and outcome,
//! with one main cause if it was not answered within its latency objective. A
//! request is one attempt of a caller: one that was refused and then sent again
//! counts twice.

use std::collections::BTreeMap;

use eyre::eyre;
use serde::Serialize;

use crate::{
    args::AccountCmd,
    lines::{LogLine, read},
    output,
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestOutcome {
    /// Answered within the latency objective of its route.
    InTime,
    /// Answered after the latency objective.
    Late,
    /// Refused with the statement that it did not run.
    Refused,
    /// Ended with an error or an incomplete answer.
    Failed,
    /// The caller disconnected.
    #[serde(rename = "left")]
    Disconnected,
    /// No line shows its end: its daemon crashed, or lines are missing.
    Unfinished,
}

/// The outcome and timings of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestEnd {
    /// Time of its last line, in Unix ms.
    at_ms: u64,
    route: String,
    outcome: RequestOutcome,
    /// Main cause; empty if it was answered in time.
    cause: String,
    /// Time to the first event or the answer; 0 if there was none.
    first_ms: u64,
    /// Time spent waiting for adapters.
    stall_ms: u64,
}

/// Latency percentiles, in ms.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct Percentiles {
    p50: u64,
    p90: u64,
    p99: u64,
}

/// The requests of one route.
#[derive(Debug, Serialize)]
struct RouteSummary {
    route: String,
    requests: usize,
    #[serde(rename = "fates")]
    outcomes: BTreeMap<RequestOutcome, usize>,
    /// Causes of requests that were not answered in time, most frequent first.
    causes: Vec<(String, usize)>,
    first_ms: Percentiles,
    stall_ms: Percentiles,
}

/// The result of the command.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    /// All requests in the logs; each belongs to exactly one route.
    requests: usize,
    routes: Vec<RouteSummary>,
    /// Requests that ended in each second, by outcome; index 0 is the first second.
    seconds: Vec<BTreeMap<RequestOutcome, usize>>,
    /// Lines that the daemons dropped to bound the size of their logs.
    #[serde(rename = "left_out")]
    dropped_lines: u64,
}

fn percentiles(mut all: Vec<u64>) -> Percentiles {
    all.sort_unstable();
    let Some(last) = all.len().checked_sub(1) else {
        return Percentiles::default();
    };
    let value_at = |percent: usize| all[last * percent / 100];
    Percentiles {
        p50: value_at(50),
        p90: value_at(90),
        p99: value_at(99),
    }
}

/// The main cause of a late answer.
fn late_cause(line: &LogLine, latency_ms: u64) -> &'static str {
    if line.u64_field("sends") > 1 {
        "an earlier send failed"
    } else if line.u64_field("stall") * 2 >= latency_ms {
        "wait for a place or a load of its adapter"
    } else {
        "queue at the target and its own work"
    }
}

/// Classifies an answer by the `latency_ms` until it began.
fn classify_answer(line: &LogLine, latency_ms: u64) -> (RequestOutcome, String) {
    if latency_ms <= line.u64_field("aim") {
        return (RequestOutcome::InTime, String::new());
    }
    (
        RequestOutcome::Late,
        late_cause(line, latency_ms).to_string(),
    )
}

/// Determines the end of a request from its lines, which are in time order.
fn request_end(lines: &[&LogLine]) -> RequestEnd {
    let mut route = String::new();
    let mut send_error = String::new();
    let mut verdict = (
        RequestOutcome::Unfinished,
        "the log ends before it does".to_string(),
    );
    let (mut first_ms, mut stall_ms) = (0, 0);
    for line in lines {
        if !line.str_field("route").is_empty() {
            route = line.str_field("route").to_string();
        }
        stall_ms = stall_ms.max(line.u64_field("stall"));
        verdict = match line.str_field("msg") {
            "streamed" => {
                first_ms = line.u64_field("first");
                classify_answer(line, first_ms)
            }
            "answered" if line.u64_field("status") >= 500 => (
                RequestOutcome::Failed,
                "the target's own failure".to_string(),
            ),
            "answered" => {
                first_ms = line.u64_field("ms");
                classify_answer(line, first_ms)
            }
            "given up" => match line.str_field("answer").starts_with("NotRun") {
                true => (RequestOutcome::Refused, line.str_field("why").to_string()),
                false => (
                    RequestOutcome::Failed,
                    format!("{}: {send_error}", line.str_field("why")),
                ),
            },
            "passed on a target's failure" => (
                RequestOutcome::Failed,
                "the target's own failure".to_string(),
            ),
            "stream given up" => (RequestOutcome::Failed, "its stream broke off".to_string()),
            "caller left" if line.u64_field("first") > 0 => (
                RequestOutcome::Disconnected,
                "within its stream".to_string(),
            ),
            "caller left" => (RequestOutcome::Disconnected, "before an answer".to_string()),
            "cut off by the stop" => (
                RequestOutcome::Failed,
                "cut off by a planned stop".to_string(),
            ),
            "no route" => (RequestOutcome::Refused, "no route".to_string()),
            refused if refused.starts_with("refused: ") => (
                RequestOutcome::Refused,
                refused["refused: ".len()..].to_string(),
            ),
            "send" => {
                send_error = line.str_field("why").to_string();
                verdict
            }
            _ => verdict,
        };
    }
    RequestEnd {
        at_ms: lines.last().map_or(0, |l| l.at_ms),
        route,
        outcome: verdict.0,
        cause: verdict.1,
        first_ms,
        stall_ms,
    }
}

fn summarize_route(route: &str, ends: &[&RequestEnd]) -> RouteSummary {
    let mut outcomes = BTreeMap::new();
    let mut causes: BTreeMap<&str, usize> = BTreeMap::new();
    for end in ends {
        *outcomes.entry(end.outcome).or_default() += 1;
        if !end.cause.is_empty() {
            *causes.entry(&end.cause).or_default() += 1;
        }
    }
    let mut causes: Vec<(String, usize)> = causes
        .into_iter()
        .map(|(cause, n)| (cause.to_string(), n))
        .collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    let firsts = ends.iter().map(|e| e.first_ms).filter(|ms| *ms > 0);
    RouteSummary {
        route: route.to_string(),
        requests: ends.len(),
        outcomes,
        causes,
        first_ms: percentiles(firsts.collect()),
        stall_ms: percentiles(ends.iter().map(|e| e.stall_ms).collect()),
    }
}

/// Summarizes all requests in `lines`.
pub(crate) fn summarize(lines: &[LogLine]) -> Summary {
    let mut requests: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.str_field("part") == "serve") {
        requests.entry(line.str_field("id")).or_default().push(line);
    }
    let ends = requests.into_values().map(|mut lines| {
        lines.sort_by_key(|l| l.at_ms);
        request_end(&lines)
    });
    let ends: Vec<RequestEnd> = ends.collect();
    let start = ends.iter().map(|e| e.at_ms).min().unwrap_or(0);
    let mut routes: BTreeMap<&str, Vec<&RequestEnd>> = BTreeMap::new();
    let mut seconds: Vec<BTreeMap<RequestOutcome, usize>> = Vec::new();
    for end in &ends {
        routes.entry(&end.route).or_default().push(end);
        let second = ((end.at_ms - start) / 1_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, BTreeMap::new());
        }
        *seconds[second].entry(end.outcome).or_default() += 1;
    }
    Summary {
        requests: ends.len(),
        routes: routes
            .into_iter()
            .map(|(route, ends)| summarize_route(route, &ends))
            .collect(),
        seconds,
        dropped_lines: lines
            .iter()
            .filter(|l| l.str_field("msg") == "lines dropped")
            .map(|l| l.u64_field("count"))
            .sum(),
    }
}

const OUTCOMES: [(RequestOutcome, &str); 6] = [
    (RequestOutcome::InTime, "in time"),
    (RequestOutcome::Late, "late"),
    (RequestOutcome::Refused, "refused"),
    (RequestOutcome::Failed, "failed"),
    (RequestOutcome::Disconnected, "left"),
    (RequestOutcome::Unfinished, "unfinished"),
];

fn format_counts(outcomes: &BTreeMap<RequestOutcome, usize>) -> String {
    let count = |(outcome, name): &(RequestOutcome, &str)| {
        let n = outcomes.get(outcome).copied().unwrap_or(0);
        format!("{name} {n:>5}")
    };
    OUTCOMES.iter().map(count).collect::<Vec<_>>().join("  ")
}

fn format_summary(report: &Summary) -> String {
    let mut out = format!("{} requests\n", report.requests);
    if report.dropped_lines > 0 {
        out.push_str(&format!(
            "{} log lines were dropped\n",
            report.dropped_lines
        ));
    }
    for route in &report.routes {
        let name = if route.route.is_empty() {
            "(none)"
        } else {
            &route.route
        };
        out.push_str(&format!("\n{name}: {} requests\n", route.requests));
        out.push_str(&format!("  {}\n", format_counts(&route.outcomes)));
        for (what, s) in [
            ("first event", &route.first_ms),
            ("wait for adapter", &route.stall_ms),
        ] {
            out.push_str(&format!(
                "  {what}, ms: p50 {} p90 {} p99 {}\n",
                s.p50, s.p90, s.p99
            ));
        }
        for (cause, n) in &route.causes {
            out.push_str(&format!("  {n:>6}  {cause}\n"));
        }
    }
    out.push_str("\nsecond\n");
    for (second, outcomes) in report.seconds.iter().enumerate() {
        out.push_str(&format!("{second:>6}  {}\n", format_counts(outcomes)));
    }
    out
}

/// Prints the summary of all requests in the logs.
pub(crate) fn run(cmd: AccountCmd, json: bool) -> eyre::Result<String> {
    let report = summarize(&read(&cmd.logs)?);
    if report.requests == 0 {
        return Err(eyre!(
            "no log line mentions a request; pass the logs of every daemon"
        ));
    }
    Ok(output::render(json, &report, || format_summary(&report)))
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
