//! Reads workspaces as an operator wrote them.
//!
//! An active configuration may contain invalid values. Rejecting all of it
//! would leave revoked keys active; guessing what was meant could let a
//! workspace use more than it may. So each entry is read field by field, an
//! invalid field gets its most restrictive meaning, and every problem is
//! reported. When a change is made through our own interface, any problem
//! rejects it.

use std::sync::Arc;

use comfreyhall_protocol::Map;
use thiserror::Error;

use crate::{Allowance, KeyHash, KeyHasher, Name, Quota, QuotaUnit, Workspace, Workspaces};

/// Lowest priority.
const LEAST_URGENT: u8 = 9;

/// A number as written in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RawNumber {
    /// Not given.
    #[default]
    Absent,
    /// A number.
    Number(f64),
    /// Not a number.
    Invalid,
}

/// A quota unit as written in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RawUnit {
    /// Requests; also the default if no unit is given.
    #[default]
    Requests,
    /// Tokens.
    Tokens,
    /// Neither of these.
    Invalid,
}

/// One workspace as written in the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: String,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Number of keys that are not strings.
    pub invalid_keys: usize,
    /// Rank among workspaces; 0 is first.
    pub rank: RawNumber,
    /// What its quota counts.
    pub unit: RawUnit,
    /// Number of tokens that a request of unknown size counts as.
    pub default_tokens: RawNumber,
    /// Units per second.
    pub rate: RawNumber,
    /// Units beyond the rate that may be used at once.
    pub burst: RawNumber,
}

/// A problem found in an entry.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EntryProblem {
    /// The workspace has no name.
    #[error("a workspace has no name, so its keys are rejected; give it a name")]
    MissingName,
    /// Two entries have the same name.
    #[error(
        "workspace {0} is listed twice: the lower quota applies to the keys of both; \
         merge the entries"
    )]
    DuplicateName(String),
    /// A key belongs to two workspaces.
    #[error(
        "workspaces {first} and {second} share a key, so it is rejected; \
         give each workspace its own key"
    )]
    SharedKey {
        /// The workspace listed first.
        first: String,
        /// The other workspace.
        second: String,
    },
    /// A key is not a string.
    #[error(
        "workspace {0} has a key that is not a string, so it is rejected; write it as a string"
    )]
    InvalidKey(String),
    /// The rank is out of range or not a whole number.
    #[error(
        "the rank of workspace {0} is not a whole number from 0 to 9, so it gets the lowest priority; \
         set a rank, or leave it out to use the priorities of the routes"
    )]
    InvalidRank(String),
    /// The rate or the burst is not a valid number of units.
    #[error(
        "the {field} of workspace {name} is not a number of 0 or more, so all its requests are refused; \
         correct it, or leave the rate out for no quota"
    )]
    InvalidQuota {
        /// Name of the workspace.
        name: String,
        /// Name of the invalid field.
        field: &'static str,
    },
    /// The unit is unknown.
    #[error(
        "the unit of workspace {0} is unknown, so all its requests are refused; use requests or tokens"
    )]
    InvalidUnit(String),
    /// The default number of tokens is missing or not a valid number.
    #[error(
        "workspace {0} does not set how many whole tokens a request of unknown size counts as, \
         so each counts as one second of its rate; set a number above 0"
    )]
    InvalidDefault(String),
}

/// Converts `entries` into workspaces and returns the problems found in them.
/// The keys in `entries` were hashed by `hasher`.
pub fn read_entries(
    hasher: KeyHasher,
    entries: Vec<WorkspaceEntry>,
) -> (Workspaces, Vec<EntryProblem>) {
    let mut reader = EntryReader::default();
    for entry in entries {
        reader.read_entry(entry);
    }
    reader.finish(hasher)
}

/// Accumulates the entries read so far.
#[derive(Default)]
struct EntryReader {
    all: Vec<Workspace>,
    /// Index in `all`, by name.
    indices: Map<Name, usize>,
    /// Index of the workspace that owns each key; `None` if two workspaces list
    /// it.
    keys: Map<KeyHash, Option<usize>>,
    problems: Vec<EntryProblem>,
}

impl EntryReader {
    fn read_entry(&mut self, entry: WorkspaceEntry) {
        if entry.name.is_empty() {
            self.problems.push(EntryProblem::MissingName);
            return;
        }
        if entry.invalid_keys > 0 {
            self.problems
                .push(EntryProblem::InvalidKey(entry.name.clone()));
        }
        let workspace = Workspace {
            name: entry.name.as_str().into(),
            rank: self.rank(&entry),
            allowance: self.allowance(&entry),
        };
        let index = self.insert_or_merge(workspace);
        for key in entry.keys {
            self.assign_key(key, index);
        }
    }

    /// Adds `workspace`, or merges it into an earlier entry of the same name,
    /// and returns its index in `all`.
    fn insert_or_merge(&mut self, workspace: Workspace) -> usize {
        if let Some(index) = self.indices.get(&workspace.name).copied() {
            self.problems
                .push(EntryProblem::DuplicateName(workspace.name.to_string()));
            let known = &mut self.all[index];
            known.allowance = stricter(known.allowance, workspace.allowance);
            known.rank = known.rank.max(workspace.rank);
            return index;
        }
        let index = self.all.len();
        self.indices.insert(workspace.name.clone(), index);
        self.all.push(workspace);
        index
    }

    /// Assigns `key` to the workspace at `index`, or to none if another
    /// workspace has it.
    fn assign_key(&mut self, key: KeyHash, index: usize) {
        match self.keys.get(&key).copied() {
            None => {
                self.keys.insert(key, Some(index));
            }
            Some(Some(other)) if other != index => {
                self.keys.insert(key, None);
                self.problems.push(EntryProblem::SharedKey {
                    first: self.all[other].name.to_string(),
                    second: self.all[index].name.to_string(),
                });
            }
            Some(_) => {}
        }
    }

    fn rank(&mut self, entry: &WorkspaceEntry) -> Option<u8> {
        match entry.rank {
            RawNumber::Absent => None,
            RawNumber::Number(n)
                if n.fract() == 0.0 && (0.0..=f64::from(LEAST_URGENT)).contains(&n) =>
            {
                Some(n as u8)
            }
            RawNumber::Number(_) | RawNumber::Invalid => {
                self.problems
                    .push(EntryProblem::InvalidRank(entry.name.clone()));
                Some(LEAST_URGENT)
            }
        }
    }

    fn allowance(&mut self, entry: &WorkspaceEntry) -> Allowance {
        let rate = self.units(entry, "rate", entry.rate);
        let burst = self.units(entry, "burst", entry.burst);
        let (Some(rate), Some(burst)) = (rate, burst) else {
            return Allowance::Denied;
        };
        if rate == 0.0 {
            return Allowance::Unlimited;
        }
        let unit = match entry.unit {
            RawUnit::Requests => QuotaUnit::Requests,
            RawUnit::Tokens => QuotaUnit::Tokens {
                default_tokens: self.default_tokens(entry, rate),
            },
            RawUnit::Invalid => {
                self.problems
                    .push(EntryProblem::InvalidUnit(entry.name.clone()));
                return Allowance::Denied;
            }
        };
        Allowance::Limited(Quota { unit, rate, burst })
    }

    /// The number of units; `None` if it is invalid.
    fn units(
        &mut self,
        entry: &WorkspaceEntry,
        field: &'static str,
        raw: RawNumber,
    ) -> Option<f64> {
        match raw {
            RawNumber::Absent => Some(0.0),
            RawNumber::Number(n) if n.is_finite() && n >= 0.0 => Some(n),
            RawNumber::Number(_) | RawNumber::Invalid => {
                self.problems.push(EntryProblem::InvalidQuota {
                    name: entry.name.clone(),
                    field,
                });
                None
            }
        }
    }

    fn default_tokens(&mut self, entry: &WorkspaceEntry, rate: f64) -> u64 {
        match entry.default_tokens {
            RawNumber::Number(n) if n.is_finite() && n >= 1.0 => n as u64,
            RawNumber::Absent | RawNumber::Number(_) | RawNumber::Invalid => {
                self.problems
                    .push(EntryProblem::InvalidDefault(entry.name.clone()));
                (rate as u64).max(1)
            }
        }
    }

    fn finish(self, hasher: KeyHasher) -> (Workspaces, Vec<EntryProblem>) {
        let all: Vec<Arc<Workspace>> = self.all.into_iter().map(Arc::new).collect();
        let assigned = self.keys.into_iter();
        let assigned = assigned.filter_map(|(key, index)| Some((key, all[index?].clone())));
        let by_key = assigned.collect();
        (Workspaces::new(hasher, by_key, all), self.problems)
    }
}

/// Combines two allowances into one that permits no more than either.
fn stricter(a: Allowance, b: Allowance) -> Allowance {
    match (a, b) {
        (Allowance::Unlimited, other) | (other, Allowance::Unlimited) => other,
        (Allowance::Limited(a), Allowance::Limited(b)) if a.unit == b.unit => {
            Allowance::Limited(Quota {
                rate: a.rate.min(b.rate),
                burst: a.burst.min(b.burst),
                unit: a.unit,
            })
        }
        // Quotas in different units cannot be compared.
        _ => Allowance::Denied,
    }
}
