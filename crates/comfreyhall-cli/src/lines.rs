//! Reads the log files of daemons.
//!
//! Each log line is one JSON object, optionally after a prefix from a log
//! collector. The last word of the prefix names the daemon; without a prefix
//! the file name stands for it. Lines that do not parse are skipped.

use eyre::WrapErr;
use serde_json::Value;

/// One log line, with its timestamp in Unix ms.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine {
    pub(crate) at_ms: u64,
    pub(crate) value: Value,
}

impl LogLine {
    /// The string field `field`, or an empty string if it is absent.
    pub(crate) fn str_field(&self, field: &str) -> &str {
        self.value.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// The row version in `field`, as era/number; `None` if there is none. Older builds
    /// log the number alone.
    pub(crate) fn revision_field(&self, field: &str) -> Option<String> {
        let revision = match self.value.get(field)? {
            Value::String(revision) => revision.clone(),
            number => format!("0/{number}"),
        };
        (revision != "0/0").then_some(revision)
    }

    /// The integer field `field`, or 0 if it is absent.
    pub(crate) fn u64_field(&self, field: &str) -> u64 {
        self.value.get(field).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Parses the log `content`, which was read from `origin`.
pub(crate) fn parse(content: &str, origin: &str) -> Vec<LogLine> {
    let line = |raw: &str| {
        let start = raw.find('{')?;
        let mut value: Value = serde_json::from_str(&raw[start..]).ok()?;
        let at_ms = value.get("t")?.as_u64()?;
        let prefix = raw[..start].split_whitespace().last();
        let daemon = prefix.unwrap_or(origin).to_string();
        value
            .as_object_mut()?
            .insert("daemon".into(), daemon.into());
        Some(LogLine { at_ms, value })
    };
    content.lines().filter_map(line).collect()
}

/// Reads and parses all log files in `paths`.
pub(crate) fn read(paths: &[String]) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for path in paths {
        let content = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {path}; give paths of log files"))?;
        lines.extend(parse(&content, path));
    }
    Ok(lines)
}
