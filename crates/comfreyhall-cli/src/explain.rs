//! Tells the story of one request from the logs of several daemons.
//!
//! The story is every line about the request, and what the daemons came to
//! believe about the targets it was sent to shortly before and while it lasted,
//! in time order. Attempts that were the same request (they share a
//! fingerprint) and lost their target are part of it, however long ago: a
//! request may be held back for what its earlier attempts did.

use std::collections::BTreeSet;

use eyre::eyre;
use serde_json::Value;

use crate::{
    args::ExplainCmd,
    lines::{Line, read},
    output,
};

/// How long before its first line news of a request's targets still counts,
/// in ms: two publishing intervals of a target.
const BEFORE_MS: u64 = 2_400;

/// Fields that every line has and the text form shows in its own way.
const COMMON: [&str; 5] = ["t", "level", "part", "msg", "daemon"];

/// The lines that tell the story of `id`, in time order.
fn story(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|l| l.text("id") == id).collect();
    let targets: BTreeSet<&str> = own.iter().map(|l| l.text("target_id")).collect();
    let fingerprints: BTreeSet<&str> = own.iter().map(|l| l.text("fingerprint")).collect();
    let first = own.iter().map(|l| l.at).min().unwrap_or(0);
    let last = own.iter().map(|l| l.at).max().unwrap_or(0);
    let around = first.saturating_sub(BEFORE_MS)..=last;
    let about_target = |l: &Line| {
        let id = l.text("id");
        !id.is_empty() && targets.contains(id) && around.contains(&l.at)
    };
    let same_request = |l: &Line| {
        let fingerprint = l.text("fingerprint");
        !fingerprint.is_empty() && fingerprints.contains(fingerprint) && l.at <= last
    };
    let mut out: Vec<Line> = lines
        .iter()
        .filter(|l| l.text("id") == id || about_target(l) || same_request(l))
        .cloned()
        .collect();
    out.sort_by_key(|l| l.at);
    out
}

fn show(lines: &[Line]) -> String {
    let start = lines.first().map_or(0, |l| l.at);
    let mut out = String::new();
    for line in lines {
        let fields = line.value.as_object().into_iter().flatten();
        let fields = fields.filter(|(k, _)| !COMMON.contains(&k.as_str()));
        let fields = fields.map(|(k, v)| match v {
            Value::String(s) => format!("{k}={s}"),
            other => format!("{k}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        out.push_str(&format!(
            "+{:>6} ms  {}  {}: {}  {}\n",
            line.at - start,
            line.text("daemon"),
            line.text("part"),
            line.text("msg"),
            fields.join(" ")
        ));
    }
    out
}

/// Prints the story of one request.
pub(crate) fn run(cmd: ExplainCmd, json: bool) -> eyre::Result<String> {
    let lines = read(&cmd.logs)?;
    let story = story(lines, &cmd.id);
    if story.is_empty() {
        return Err(eyre!(
            "no line is about request {}; check its id, and give the logs of every daemon of that time",
            cmd.id
        ));
    }
    let values: Vec<&Value> = story.iter().map(|l| &l.value).collect();
    Ok(output::render(json, &values, || show(&story)))
}

#[cfg(test)]
#[path = "explain_tests.rs"]
mod tests;
