//! Rendering of command results as text or JSON.

use serde::Serialize;

/// Renders `value` as indented JSON, or the human-readable `text`.
pub(crate) fn render(json: bool, value: &impl Serialize, text: impl FnOnce() -> String) -> String {
    if json {
        let mut out = serde_json::to_string_pretty(value).expect("results serialise");
        out.push('\n');
        out
    } else {
        text()
    }
}

/// Formats `rows` as a table of aligned columns with a header.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|h| h.len()).collect();
    for row in rows {
        for (w, cell) in widths.iter_mut().zip(row) {
            *w = (*w).max(cell.len());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(c, w)| format!("{c:<w$}"))
            .collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut out = line(header.to_vec());
    for row in rows {
        out.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    out
}
