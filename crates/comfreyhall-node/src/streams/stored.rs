//! The software versions that daemons have stored with their member rows.
//!
//! After the whole fleet was killed, nobody remembers which versions have served. So
//! each daemon stores the versions that may have streams, before a new one begins any,
//! and a daemon that starts reads what all have stored.

use std::collections::BTreeMap;

use comfreyhall_streams::{Software, VersionHistory};
use serde::{Deserialize, Serialize};

use crate::view::View;

/// Versions by service; an empty text stands for an unknown version.
type Versions = BTreeMap<String, Vec<String>>;

/// The value of a daemon's member row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberValue {
    /// Id of the daemon.
    id: String,
    #[serde(default)]
    software: Versions,
}

fn decode(software: &str) -> Software {
    (!software.is_empty()).then(|| software.into())
}

impl MemberValue {
    /// The value to store for the daemon `id`.
    pub(crate) fn current(view: &View, id: &str, now: u64) -> Self {
        let versions = |history: &VersionHistory| {
            let reports = history.report(now).map(|r| r.software);
            let mut out: Vec<String> = reports
                .map(|s| s.as_deref().unwrap_or("").to_string())
                .collect();
            out.sort();
            out
        };
        let services = view.versions.iter();
        let software = services.map(|(service, h)| (service.to_string(), versions(h)));
        Self {
            id: id.to_string(),
            software: software.filter(|(_, v)| !v.is_empty()).collect(),
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a map of texts can be encoded")
    }

    /// Records that this value is stored.
    pub(crate) fn mark_stored(&self, view: &mut View) {
        for (service, history) in &mut view.versions {
            let stored = self.software.get(&**service);
            let stored: Vec<Software> = stored.into_iter().flatten().map(|s| decode(s)).collect();
            history.mark_stored(&stored);
        }
    }
}

/// Learns the versions in the values of all member rows, as a daemon that starts. A row
/// without any, as other builds and young daemons write it, leaves open which versions
/// its daemon has used; then nothing is learned.
pub(crate) fn learn(view: &mut View, values: &[Vec<u8>], now: u64) {
    let decoded = values.iter().map(|v| serde_json::from_slice(v));
    let decoded: Result<Vec<MemberValue>, _> = decoded.collect();
    let rows = match decoded {
        Ok(rows) if !rows.is_empty() && rows.iter().all(|r| !r.software.is_empty()) => rows,
        Ok(_) => return,
        Err(e) => {
            log::info!(target: "streams", error:% = e; "software versions of a member not read");
            return;
        }
    };
    let mut stored = Versions::new();
    for (service, versions) in rows.into_iter().flat_map(|r| r.software) {
        stored.entry(service).or_default().extend(versions);
    }
    for (service, versions) in stored {
        let versions: Vec<Software> = versions.iter().map(|s| decode(s)).collect();
        let list = view.list_times.clone();
        let history = view.versions.entry(service.as_str().into());
        let history = history.or_insert_with(|| VersionHistory::new(list));
        history.learn_stored(&versions, now);
    }
}
