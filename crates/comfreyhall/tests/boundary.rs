//! Names of the platform's wire stay in `platform/`.

use std::path::{Path, PathBuf};

/// Words that only the platform's wire has.
const WIRE: [&str; 26] = [
    "x-response-seal",
    "x-expect-instance",
    "x-not-executed",
    "x-deadline-milliseconds",
    "x-prompt-prefix",
    "x-token-counts",
    "x-request-urgency",
    "x-expect-version",
    "x-weight-versions",
    "x-key-value-backup",
    "x-pin-milliseconds",
    "last-event-id",
    "server-limit",
    "server-leaving",
    "kv-from",
    "kv-move",
    "kv-fetch",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "record-version",
    "fencing-token",
    "target-latency-ms",
    "adapter-slots",
    "configuration-apply",
    "/-/",
];

fn sources(dir: &Path, out: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("the source tree can be read") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() {
            sources(&path, out);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "proto") {
            out.push(path);
        }
    }
}

#[test]
fn wire_words_only_in_platform() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    sources(&root.join("crates"), &mut files);
    sources(&root.join("proto"), &mut files);
    let this = Path::new(file!()).file_name();
    let mut found = Vec::new();
    for path in files.iter().filter(|p| p.file_name() != this) {
        let text = std::fs::read_to_string(path).expect("a source can be read");
        let text = text.to_lowercase();
        let words = WIRE.iter().filter(|w| text.contains(*w));
        found.extend(words.map(|w| format!("{}: {w}", path.display())));
    }
    assert!(found.is_empty(), "translate these in platform/: {found:#?}");
}

/// Guards against sends to targets that pass by what the targets have said.
#[test]
fn backend_called_in_outbound_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../comfreyhall-node/src");
    let mut files = Vec::new();
    sources(&root, &mut files);
    let calls = ["send(", "command(", "report(", "probe("];
    let mut found = Vec::new();
    for path in files.iter().filter(|p| !p.ends_with("outbound/mod.rs")) {
        let text = std::fs::read_to_string(path).expect("a source can be read");
        let text: String = text.split_whitespace().collect();
        let called = calls
            .iter()
            .filter(|c| text.contains(&format!("backend.{c}")));
        found.extend(called.map(|c| format!("{}: {c}", path.display())));
    }
    assert!(found.is_empty(), "go through outbound: {found:#?}");
}
