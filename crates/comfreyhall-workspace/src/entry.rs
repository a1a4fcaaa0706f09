//! Reading workspaces as an operator wrote them.
//!
//! A configuration that is in force may say odd things. Refusing all of it
//! would leave keys in force that were taken back; reading it as meant well
//! would let a workspace use what it may not. So each entry is read part by
//! part on the safe side, and every oddity is named: where a change is made
//! through our own interface, one of them refuses it.

use std::sync::Arc;

use comfreyhall_protocol::Map;
use thiserror::Error;

use crate::{Allowance, KeyHash, KeyHasher, Name, Quota, QuotaUnit, Workspace, Workspaces};

/// Least urgent rank.
const LEAST_URGENT: u8 = 9;

/// A number as it was written.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RawNumber {
    /// Left out.
    #[default]
    Absent,
    /// This number.
    Number(f64),
    /// Something that is no number.
    Invalid,
}

/// A unit as it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RawUnit {
    /// Requests, also if it was left out.
    #[default]
    Requests,
    /// Tokens.
    Tokens,
    /// Something else.
    Invalid,
}

/// One workspace as it was written.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorkspaceEntry {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<KeyHash>,
    /// Keys that are no text.
    pub invalid_keys: usize,
    /// Its rank.
    pub rank: RawNumber,
    /// What its cap counts.
    pub unit: RawUnit,
    /// What a request without a size counts as.
    pub default_tokens: RawNumber,
    /// Units a second.
    pub rate: RawNumber,
    /// Units more at once.
    pub burst: RawNumber,
}

/// What is odd about an entry.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EntryProblem {
    /// It has no name.
    #[error("a workspace has no name, so its keys are refused; give it one")]
    MissingName,
    /// Two entries have one name.
    #[error(
        "workspace {0} is listed twice: the lower quota counts for the keys of both; \
         write one entry"
    )]
    DuplicateName(String),
    /// A key belongs to two workspaces.
    #[error(
        "workspaces {first} and {second} have a key in common, so it is refused; \
         give each a key of its own"
    )]
    SharedKey {
        /// The one.
        first: String,
        /// The other.
        second: String,
    },
    /// A key is no text.
    #[error("workspace {0} has a key that is no text, so it is refused; write it as text")]
    InvalidKey(String),
    /// The rank is none.
    #[error(
        "the rank of workspace {0} is no whole number from 0 to 9, so it comes last; \
         give one, or leave it out for its routes' own"
    )]
    InvalidRank(String),
    /// The rate or the burst is no number of units.
    #[error(
        "the {field} of workspace {name} is no number of 0 or more, so it may use nothing; \
         give one, or leave the rate out for no quota"
    )]
    InvalidQuota {
        /// The workspace.
        name: String,
        /// Which of the two.
        field: &'static str,
    },
    /// The unit is unknown.
    #[error("the unit of workspace {0} is unknown, so it may use nothing; use requests or tokens")]
    InvalidUnit(String),
    /// What a request without a size counts as is no number.
    #[error(
        "workspace {0} does not say in whole tokens what a request without a size counts as, \
         so each counts as a second of its rate; give a number above 0"
    )]
    InvalidDefault(String),
}

/// Reads `entries`, whose keys `hasher` has hashed; also what is odd in them.
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

/// Entries read so far.
#[derive(Default)]
struct EntryReader {
    all: Vec<Workspace>,
    /// Place in `all` by name.
    indices: Map<Name, usize>,
    /// Whose each key is; `None` for a key of two.
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

    /// Where `workspace` stands in `all`.
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

    /// Gives `key` to the workspace at `place`, unless another has it.
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

    /// A number of units; `None` if it is none.
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

/// The allowance that permits less.
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
        // Caps in two units cannot be compared.
        _ => Allowance::Denied,
    }
}
