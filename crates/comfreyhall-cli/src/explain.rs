//! Tells the story of one request, or of one configuration, from the logs of several
//! daemons.
//!
//! The story of a configuration is when each daemon heard of it and took it in, and
//! what kept it from that. That of a request has the same lines of its daemons.
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

/// How long before a request what its daemons learned of settings is part of its
/// story, in ms.
const SETTINGS_BEFORE_MS: u64 = 10_000;

/// Lines about settings.
const IN_FORCE: &str = "configuration in force";
const SETTINGS_LINES: [&str; 7] = [
    IN_FORCE,
    "newer settings heard of",
    "settings not read",
    "settings not fetched",
    "store answers again for settings",
    "row refused; the last good one stays in force",
    "starting",
];

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
    let daemons: BTreeSet<&str> = own.iter().map(|l| l.text("daemon")).collect();
    let held: Vec<&Line> = daemons
        .iter()
        .filter_map(|daemon| in_force_at(&lines, daemon, first))
        .collect();
    let lately = first.saturating_sub(SETTINGS_BEFORE_MS)..=last;
    let about_settings = |l: &Line| {
        let learned = SETTINGS_LINES.contains(&l.text("msg")) && lately.contains(&l.at);
        daemons.contains(l.text("daemon")) && learned || held.contains(&l)
    };
    let mut out: Vec<Line> = lines
        .iter()
        .filter(|l| l.text("id") == id || about_target(l) || same_request(l) || about_settings(l))
        .cloned()
        .collect();
    out.sort_by_key(|l| l.at);
    out
}

/// The line of `daemon` about the configuration that was in force at `at`.
fn in_force_at<'a>(lines: &'a [Line], daemon: &str, at: u64) -> Option<&'a Line> {
    let theirs = lines.iter().filter(|l| l.text("daemon") == daemon);
    let before = theirs.filter(|l| l.text("msg") == IN_FORCE && l.at <= at);
    before.max_by_key(|l| l.at)
}

/// The lines that tell how the configuration of `version` came into force, in time
/// order: of each daemon from the word of it on.
fn change(lines: Vec<Line>, version: &str) -> Vec<Line> {
    let is = |l: &Line| l.text("msg") == IN_FORCE && l.number("version").to_string() == version;
    let taken: Vec<&Line> = lines.iter().filter(|l| is(l)).collect();
    let Some(first) = taken
        .iter()
        .map(|l| l.at.saturating_sub(l.number("waited")))
        .min()
    else {
        return Vec::new();
    };
    let last = taken.iter().map(|l| l.at).max().unwrap_or(first);
    let row = taken[0].number("row");
    let about = |l: &Line| {
        let heard = l.number("newer") == row && !l.text("peer").is_empty();
        let hindered = SETTINGS_LINES.contains(&l.text("msg")) && l.text("msg") != IN_FORCE;
        is(l) || heard || hindered && l.number("newer") == 0 && (first..=last).contains(&l.at)
    };
    let mut out: Vec<Line> = lines.iter().filter(|l| about(l)).cloned().collect();
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

/// Prints the story of one request or configuration.
pub(crate) fn run(cmd: ExplainCmd, json: bool) -> eyre::Result<String> {
    let lines = read(&cmd.logs)?;
    let story = match cmd.change {
        true => change(lines, &cmd.id),
        false => story(lines, &cmd.id),
    };
    if story.is_empty() {
        return Err(eyre!(
            "no line is about {} {}; check it, and give the logs of every daemon of that time",
            if cmd.change {
                "configuration"
            } else {
                "request"
            },
            cmd.id
        ));
    }
    let values: Vec<&Value> = story.iter().map(|l| &l.value).collect();
    Ok(output::render(json, &values, || show(&story)))
}

#[cfg(test)]
#[path = "explain_tests.rs"]
mod tests;
