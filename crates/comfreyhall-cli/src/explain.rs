//! `comfreyhall explain`: the log lines about one request or one configuration,
//! merged from the logs of several daemons.
//!
//! For a request, these are in time order:
//!
//! - every line with the request's id, or with that of the attempt that began the
//!   stream which it resumes;
//! - lines about the targets that it was sent to, from shortly before the
//!   request until its end;
//! - lines with the request's fingerprint, from earlier attempts of the same
//!   request that lost their target, however old, because a request may be
//!   quarantined for what its earlier attempts did;
//! - for each daemon that handled it, the configuration that was active, and
//!   recent lines about settings.
//!
//! For a configuration, these are the lines that show when each daemon was
//! notified of it and activated it, and what delayed the activation.

use std::collections::BTreeSet;

use eyre::eyre;
use serde_json::Value;

use crate::{
    args::ExplainCmd,
    lines::{LogLine, read},
    output,
};

/// How long before a request's first line its targets' lines are included, in
/// ms: two publishing intervals of a target.
const TARGET_LOOKBACK_MS: u64 = 2_400;

/// How long before a request's first line its daemons' lines about settings are
/// included, in ms.
const SETTINGS_LOOKBACK_MS: u64 = 10_000;

/// Message of the line that a daemon logs when it activates a configuration.
const CONFIG_ACTIVE: &str = "configuration in force";
/// Messages of the lines about settings.
const SETTINGS_MESSAGES: [&str; 7] = [
    CONFIG_ACTIVE,
    "newer settings heard of",
    "settings not read",
    "settings not fetched",
    "store answers again for settings",
    "row refused; the last good one stays in force",
    "starting",
];

/// Fields of every line, which the text output formats separately.
const COMMON_FIELDS: [&str; 5] = ["t", "level", "part", "msg", "daemon"];

/// The lines about the request `id`, in time order.
fn request_lines(lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    let resumed: BTreeSet<&str> = lines
        .iter()
        .filter(|l| l.str_field("id") == id)
        .map(|l| l.str_field("first"))
        .filter(|first| !first.is_empty())
        .collect();
    let concerns_request = |l: &LogLine| {
        let line_id = l.str_field("id");
        line_id == id || resumed.contains(line_id)
    };
    let own_lines: Vec<&LogLine> = lines.iter().filter(|l| concerns_request(l)).collect();
    let targets: BTreeSet<&str> = own_lines.iter().map(|l| l.str_field("target_id")).collect();
    let fingerprints: BTreeSet<&str> = own_lines
        .iter()
        .map(|l| l.str_field("fingerprint"))
        .collect();
    let first = own_lines.iter().map(|l| l.at_ms).min().unwrap_or(0);
    let last = own_lines.iter().map(|l| l.at_ms).max().unwrap_or(0);
    let target_window = first.saturating_sub(TARGET_LOOKBACK_MS)..=last;
    let concerns_target = |l: &LogLine| {
        let id = l.str_field("id");
        !id.is_empty() && targets.contains(id) && target_window.contains(&l.at_ms)
    };
    let is_attempt = |l: &LogLine| {
        let fingerprint = l.str_field("fingerprint");
        !fingerprint.is_empty() && fingerprints.contains(fingerprint) && l.at_ms <= last
    };
    let daemons: BTreeSet<&str> = own_lines.iter().map(|l| l.str_field("daemon")).collect();
    let active_configs: Vec<&LogLine> = daemons
        .iter()
        .filter_map(|daemon| active_config_at(&lines, daemon, first))
        .collect();
    let settings_window = first.saturating_sub(SETTINGS_LOOKBACK_MS)..=last;
    let concerns_settings = |l: &LogLine| {
        let recent =
            SETTINGS_MESSAGES.contains(&l.str_field("msg")) && settings_window.contains(&l.at_ms);
        daemons.contains(l.str_field("daemon")) && recent || active_configs.contains(&l)
    };
    let mut out: Vec<LogLine> = lines
        .iter()
        .filter(|l| {
            concerns_request(l) || concerns_target(l) || is_attempt(l) || concerns_settings(l)
        })
        .cloned()
        .collect();
    out.sort_by_key(|l| l.at_ms);
    out
}

/// The line with which `daemon` activated the configuration active at `at_ms`.
fn active_config_at<'a>(lines: &'a [LogLine], daemon: &str, at_ms: u64) -> Option<&'a LogLine> {
    let daemon_lines = lines.iter().filter(|l| l.str_field("daemon") == daemon);
    let before = daemon_lines.filter(|l| l.str_field("msg") == CONFIG_ACTIVE && l.at_ms <= at_ms);
    before.max_by_key(|l| l.at_ms)
}

/// The lines about the activation of configuration `version`, in time order,
/// for each daemon from its first notification on.
fn config_lines(lines: Vec<LogLine>, version: &str) -> Vec<LogLine> {
    let is_activation = |l: &LogLine| {
        l.str_field("msg") == CONFIG_ACTIVE && l.u64_field("version").to_string() == version
    };
    let activations: Vec<&LogLine> = lines.iter().filter(|l| is_activation(l)).collect();
    let Some(first) = activations
        .iter()
        .map(|l| l.at_ms.saturating_sub(l.u64_field("waited")))
        .min()
    else {
        return Vec::new();
    };
    let last = activations.iter().map(|l| l.at_ms).max().unwrap_or(first);
    let row = activations[0].revision_field("row");
    let is_relevant = |l: &LogLine| {
        let is_notification =
            row.is_some() && l.revision_field("newer") == row && !l.str_field("peer").is_empty();
        let is_failure =
            SETTINGS_MESSAGES.contains(&l.str_field("msg")) && l.str_field("msg") != CONFIG_ACTIVE;
        is_activation(l)
            || is_notification
            || is_failure
                && l.revision_field("newer").is_none()
                && (first..=last).contains(&l.at_ms)
    };
    let mut out: Vec<LogLine> = lines.iter().filter(|l| is_relevant(l)).cloned().collect();
    out.sort_by_key(|l| l.at_ms);
    out
}

fn format_lines(lines: &[LogLine]) -> String {
    let start = lines.first().map_or(0, |l| l.at_ms);
    let mut out = String::new();
    for line in lines {
        let fields = line.value.as_object().into_iter().flatten();
        let fields = fields.filter(|(k, _)| !COMMON_FIELDS.contains(&k.as_str()));
        let fields = fields.map(|(k, v)| match v {
            Value::String(s) => format!("{k}={s}"),
            other => format!("{k}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        out.push_str(&format!(
            "+{:>6} ms  {}  {}: {}  {}\n",
            line.at_ms - start,
            line.str_field("daemon"),
            line.str_field("part"),
            line.str_field("msg"),
            fields.join(" ")
        ));
    }
    out
}

/// Prints the log lines about one request or configuration.
pub(crate) fn run(cmd: ExplainCmd, json: bool) -> eyre::Result<String> {
    let lines = read(&cmd.logs)?;
    let selected = match cmd.change {
        true => config_lines(lines, &cmd.id),
        false => request_lines(lines, &cmd.id),
    };
    if selected.is_empty() {
        return Err(eyre!(
            "no log line mentions {} {}; check it, and pass the logs of every daemon from that time",
            if cmd.change {
                "configuration"
            } else {
                "request"
            },
            cmd.id
        ));
    }
    let values: Vec<&Value> = selected.iter().map(|l| &l.value).collect();
    Ok(output::render(json, &values, || format_lines(&selected)))
}

#[cfg(test)]
#[path = "explain_tests.rs"]
mod tests;
