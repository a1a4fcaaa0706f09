//! Where the requests of a while went, from the logs of all daemons.
//!
//! Every request that a daemon took ends in one line; the account counts each
//! once, by route and by what became of it, and names one main cause for each
//! that was not answered within its objective. A request is one attempt of a
//! caller: one that was refused and came back counts twice.

use std::collections::BTreeMap;

use eyre::eyre;
use serde::Serialize;

use crate::{
    args::AccountCmd,
    lines::{Line, read},
    output,
};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Fate {
    /// Answered within the objective of its route.
    InTime,
    /// Answered later.
    Late,
    /// Told that it has not run.
    Refused,
    /// Ended without a whole answer, or with a failure.
    Failed,
    /// Its caller left.
    Left,
    /// Its log ends before it does: its daemon died, or lines are missing.
    Unfinished,
}

/// The end of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct End {
    /// When its last line was written, in Unix ms.
    at: u64,
    route: String,
    fate: Fate,
    /// Empty if it was answered in time.
    cause: String,
    /// Ms to the first event or the answer; 0 if there was none.
    first: u64,
    /// Ms of waiting for adapters.
    stall: u64,
}

/// The middle, the tenth and the hundredth slowest, in ms.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct Spread {
    p50: u64,
    p90: u64,
    p99: u64,
}

/// All requests of one route.
#[derive(Debug, Serialize)]
struct RouteAccount {
    route: String,
    requests: usize,
    fates: BTreeMap<Fate, usize>,
    /// Why requests were not answered in time, the most frequent first.
    causes: Vec<(String, usize)>,
    first_ms: Spread,
    stall_ms: Spread,
}

/// The whole account.
#[derive(Debug, Serialize)]
pub(crate) struct Account {
    /// Requests in the logs; every one is in a route.
    requests: usize,
    routes: Vec<RouteAccount>,
    /// Requests that ended in each second, by fate; the first second is 0.
    seconds: Vec<BTreeMap<Fate, usize>>,
    /// Lines that the daemons left out to bound their logs.
    left_out: u64,
}

fn spread(mut all: Vec<u64>) -> Spread {
    all.sort_unstable();
    let Some(last) = all.len().checked_sub(1) else {
        return Spread::default();
    };
    let at = |percent: usize| all[last * percent / 100];
    Spread {
        p50: at(50),
        p90: at(90),
        p99: at(99),
    }
}

/// The main cause of a late answer.
fn late_cause(line: &Line, waited: u64) -> &'static str {
    if line.number("sends") > 1 {
        "an earlier send failed"
    } else if line.number("stall") * 2 >= waited {
        "wait for a place or a load of its adapter"
    } else {
        "queue at the target and its own work"
    }
}

/// What an answer that took `waited` ms to begin was.
fn answered(line: &Line, waited: u64) -> (Fate, String) {
    if waited <= line.number("aim") {
        return (Fate::InTime, String::new());
    }
    (Fate::Late, late_cause(line, waited).to_string())
}

/// The end of a request, from its lines in time order.
fn end(lines: &[&Line]) -> End {
    let mut route = String::new();
    let mut sent = String::new();
    let mut known = (Fate::Unfinished, "the log ends before it does".to_string());
    let (mut first, mut stall) = (0, 0);
    for line in lines {
        if !line.text("route").is_empty() {
            route = line.text("route").to_string();
        }
        stall = stall.max(line.number("stall"));
        known = match line.text("msg") {
            "streamed" => {
                first = line.number("first");
                answered(line, first)
            }
            "answered" if line.number("status") >= 500 => {
                (Fate::Failed, "the target's own failure".to_string())
            }
            "answered" => {
                first = line.number("ms");
                answered(line, first)
            }
            "given up" => match line.text("answer").starts_with("NotRun") {
                true => (Fate::Refused, line.text("why").to_string()),
                false => (Fate::Failed, format!("{}: {sent}", line.text("why"))),
            },
            "passed on a target's failure" => {
                (Fate::Failed, "the target's own failure".to_string())
            }
            "stream given up" => (Fate::Failed, "its stream broke off".to_string()),
            "caller left" if line.number("first") > 0 => {
                (Fate::Left, "within its stream".to_string())
            }
            "caller left" => (Fate::Left, "before an answer".to_string()),
            "no route" => (Fate::Refused, "no route".to_string()),
            refused if refused.starts_with("refused: ") => {
                (Fate::Refused, refused["refused: ".len()..].to_string())
            }
            "send" => {
                sent = line.text("why").to_string();
                known
            }
            _ => known,
        };
    }
    End {
        at: lines.last().map_or(0, |l| l.at),
        route,
        fate: known.0,
        cause: known.1,
        first,
        stall,
    }
}

fn route_account(route: &str, ends: &[&End]) -> RouteAccount {
    let mut fates = BTreeMap::new();
    let mut causes: BTreeMap<&str, usize> = BTreeMap::new();
    for end in ends {
        *fates.entry(end.fate).or_default() += 1;
        if !end.cause.is_empty() {
            *causes.entry(&end.cause).or_default() += 1;
        }
    }
    let mut causes: Vec<(String, usize)> = causes
        .into_iter()
        .map(|(cause, n)| (cause.to_string(), n))
        .collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    let firsts = ends.iter().map(|e| e.first).filter(|ms| *ms > 0);
    RouteAccount {
        route: route.to_string(),
        requests: ends.len(),
        fates,
        causes,
        first_ms: spread(firsts.collect()),
        stall_ms: spread(ends.iter().map(|e| e.stall).collect()),
    }
}

/// Accounts for every request in `lines`.
pub(crate) fn account(lines: &[Line]) -> Account {
    let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.text("part") == "serve") {
        requests.entry(line.text("id")).or_default().push(line);
    }
    let ends = requests.into_values().map(|mut lines| {
        lines.sort_by_key(|l| l.at);
        end(&lines)
    });
    let ends: Vec<End> = ends.collect();
    let start = ends.iter().map(|e| e.at).min().unwrap_or(0);
    let mut routes: BTreeMap<&str, Vec<&End>> = BTreeMap::new();
    let mut seconds: Vec<BTreeMap<Fate, usize>> = Vec::new();
    for end in &ends {
        routes.entry(&end.route).or_default().push(end);
        let second = ((end.at - start) / 1_000) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, BTreeMap::new());
        }
        *seconds[second].entry(end.fate).or_default() += 1;
    }
    Account {
        requests: ends.len(),
        routes: routes
            .into_iter()
            .map(|(route, ends)| route_account(route, &ends))
            .collect(),
        seconds,
        left_out: lines
            .iter()
            .filter(|l| l.text("msg") == "lines dropped")
            .map(|l| l.number("count"))
            .sum(),
    }
}

const FATES: [(Fate, &str); 6] = [
    (Fate::InTime, "in time"),
    (Fate::Late, "late"),
    (Fate::Refused, "refused"),
    (Fate::Failed, "failed"),
    (Fate::Left, "left"),
    (Fate::Unfinished, "unfinished"),
];

fn counts(fates: &BTreeMap<Fate, usize>) -> String {
    let count = |(fate, name): &(Fate, &str)| {
        let n = fates.get(fate).copied().unwrap_or(0);
        format!("{name} {n:>5}")
    };
    FATES.iter().map(count).collect::<Vec<_>>().join("  ")
}

fn show(account: &Account) -> String {
    let mut out = format!("{} requests\n", account.requests);
    if account.left_out > 0 {
        out.push_str(&format!("{} lines were left out\n", account.left_out));
    }
    for route in &account.routes {
        let name = if route.route.is_empty() {
            "(none)"
        } else {
            &route.route
        };
        out.push_str(&format!("\n{name}: {} requests\n", route.requests));
        out.push_str(&format!("  {}\n", counts(&route.fates)));
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
    for (second, fates) in account.seconds.iter().enumerate() {
        out.push_str(&format!("{second:>6}  {}\n", counts(fates)));
    }
    out
}

/// Prints the account of all requests in the logs.
pub(crate) fn run(cmd: AccountCmd, json: bool) -> eyre::Result<String> {
    let account = account(&read(&cmd.logs)?);
    if account.requests == 0 {
        return Err(eyre!(
            "no line is about a request; give the logs of every daemon"
        ));
    }
    Ok(output::render(json, &account, || show(&account)))
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
