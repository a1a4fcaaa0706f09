//! Reading the logs of daemons.
//!
//! Every line of a daemon is one JSON object; whatever stands before it (a
//! collector's prefix) is passed over.

use eyre::WrapErr;
use serde_json::Value;

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Line {
    pub(crate) at: u64,
    pub(crate) value: Value,
}

impl Line {
    /// A text field; empty if there is none.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.value.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A number; 0 if there is none.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.value.get(field).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// The lines of `text`, which came from `origin`.
pub(crate) fn parse(text: &str, origin: &str) -> Vec<Line> {
    let line = |raw: &str| {
        let start = raw.find('{')?;
        let mut value: Value = serde_json::from_str(&raw[start..]).ok()?;
        let at = value.get("t")?.as_u64()?;
        let prefix = raw[..start].split_whitespace().last();
        let daemon = prefix.unwrap_or(origin).to_string();
        value
            .as_object_mut()?
            .insert("daemon".into(), daemon.into());
        Some(Line { at, value })
    };
    text.lines().filter_map(line).collect()
}

/// The lines of all files.
pub(crate) fn read(paths: &[String]) -> eyre::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {path}; give paths of log files"))?;
        lines.extend(parse(&text, path));
    }
    Ok(lines)
}
