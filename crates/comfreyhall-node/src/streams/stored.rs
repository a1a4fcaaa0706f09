//! The software versions that daemons have stored with their member rows.
//!
//! After the whole fleet was killed, nobody remembers which versions have served. So
//! each daemon stores the versions that may have streams, before a new one begins any,
//! and a daemon that starts reads what all have stored.

use std::collections::BTreeMap;

use comfreyhall_streams::{Software, Stored, Timing, VersionHistory};
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
    /// Those of them that every daemon with a complete history knows.
    #[serde(default)]
    established: Versions,
    /// Era of the store in which it was written: a row from before the store came back from a
    /// copy may lack what was written since.
    #[serde(default)]
    era: u32,
    /// Whether `software` names all versions that may have had streams.
    #[serde(default = "is_complete_by_default")]
    is_complete: bool,
}

/// Earlier builds wrote rows without saying so.
fn is_complete_by_default() -> bool {
    true
}

fn decode(software: &str) -> Software {
    (!software.is_empty()).then(|| software.into())
}

impl MemberValue {
    /// The value to store for the daemon `id` in this era of the store.
    pub(crate) fn current(view: &View, id: &str, era: u32, timing: &Timing, now: u64) -> Self {
        let mut histories = view.versions.values();
        let mut value = Self {
            id: id.to_string(),
            era,
            is_complete: histories.all(|h| h.is_complete(timing, now)),
            ..Self::default()
        };
        for (service, history) in &view.versions {
            for reported in history.report(now) {
                let version = reported.software.as_deref().unwrap_or("").to_string();
                let (service, all) = (service.to_string(), &mut value.software);
                all.entry(service.clone())
                    .or_default()
                    .push(version.clone());
                if reported.established {
                    value.established.entry(service).or_default().push(version);
                }
            }
        }
        let all = value
            .software
            .values_mut()
            .chain(value.established.values_mut());
        all.for_each(|versions| versions.sort());
        value
    }

    /// Whether it names all versions that its daemon may have used.
    fn is_proof(&self, era: u32) -> bool {
        self.is_complete && self.era >= era && !self.software.is_empty()
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

/// Learns the versions in the values of all member rows, as a daemon that starts in this era
/// of the store. A row without any, as other builds and recently started daemons write it,
/// leaves open which versions its daemon has used; so does one that does not name all of them,
/// and one of an earlier era. Then nothing is learned.
pub(crate) fn learn(view: &mut View, values: &[Vec<u8>], era: u32, now: u64) {
    let decoded = values.iter().map(|v| serde_json::from_slice(v));
    let decoded: Result<Vec<MemberValue>, _> = decoded.collect();
    let rows = match decoded {
        Ok(rows) if !rows.is_empty() && rows.iter().all(|r| r.is_proof(era)) => rows,
        Ok(_) => return,
        Err(e) => {
            log::info!(target: "streams", error:% = e; "software versions of a member not read");
            return;
        }
    };
    let mut stored: BTreeMap<String, Vec<Stored>> = BTreeMap::new();
    for row in &rows {
        for (service, versions) in &row.software {
            let known = row.established.get(service);
            let of_row = versions.iter().map(|version| Stored {
                software: decode(version),
                established: known.is_some_and(|k| k.contains(version)),
            });
            stored.entry(service.clone()).or_default().extend(of_row);
        }
    }
    for (service, versions) in stored {
        let list = view.list_times.clone();
        let history = view.versions.entry(service.as_str().into());
        let history = history.or_insert_with(|| VersionHistory::new(list));
        history.learn_stored(&versions, now);
    }
}
