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

use crate::{Allowance, Cap, KeyHash, KeyHasher, Name, Unit, Workspace, Workspaces};

/// Least urgent rank.
const LEAST_URGENT: u8 = 9;

/// A number as it was written.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Given {
    /// Left out.
    #[default]
    Absent,
    /// This number.
    Number(f64),
    /// Something that is no number.
    Odd,
}

/// A unit as it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GivenUnit {
    /// Requests, also if it was left out.
    #[default]
    Requests,
    /// Tokens.
    Tokens,
    /// Something else.
    Odd,
}

/// One workspace as it was written.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<KeyHash>,
    /// Keys that are no text.
    pub odd_keys: usize,
    /// Its rank.
    pub rank: Given,
    /// What its cap counts.
    pub unit: GivenUnit,
    /// What a request without a size counts as.
    pub plain: Given,
    /// Units a second.
    pub rate: Given,
    /// Units more at once.
    pub burst: Given,
}

/// What is odd about an entry.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// It has no name.
    #[error("a workspace has no name, so its keys are refused; give it one")]
    Nameless,
    /// Two entries have one name.
    #[error(
        "workspace {0} is listed twice: the lower cap counts for the keys of both; \
         write one entry"
    )]
    Twice(String),
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
    OddKey(String),
    /// The rank is none.
    #[error(
        "the rank of workspace {0} is no whole number from 0 to 9, so it comes last; \
         give one, or leave it out for its routes' own"
    )]
    OddRank(String),
    /// The rate or the burst is no number of units.
    #[error(
        "the {field} of workspace {name} is no number of 0 or more, so it may use nothing; \
         give one, or leave the rate out for no cap"
    )]
    OddCap {
        /// The workspace.
        name: String,
        /// Which of the two.
        field: &'static str,
    },
    /// The unit is unknown.
    #[error("the unit of workspace {0} is unknown, so it may use nothing; use requests or tokens")]
    OddUnit(String),
    /// What a request without a size counts as is no number.
    #[error(
        "workspace {0} does not say in whole tokens what a request without a size counts as, \
         so each counts as a second of its rate; give a number above 0"
    )]
    OddPlain(String),
}

/// Reads `entries`, whose keys `hasher` has hashed; also what is odd in them.
pub fn read(hasher: KeyHasher, entries: Vec<Entry>) -> (Workspaces, Vec<Problem>) {
    let mut reading = Reading::default();
    for entry in entries {
        reading.take(entry);
    }
    reading.finish(hasher)
}

/// Entries read so far.
#[derive(Default)]
struct Reading {
    all: Vec<Workspace>,
    /// Place in `all` by name.
    places: Map<Name, usize>,
    /// Whose each key is; `None` for a key of two.
    keys: Map<KeyHash, Option<usize>>,
    problems: Vec<Problem>,
}

impl Reading {
    fn take(&mut self, entry: Entry) {
        if entry.name.is_empty() {
            self.problems.push(Problem::Nameless);
            return;
        }
        if entry.odd_keys > 0 {
            self.problems.push(Problem::OddKey(entry.name.clone()));
        }
        let workspace = Workspace {
            name: entry.name.as_str().into(),
            rank: self.rank(&entry),
            allowance: self.allowance(&entry),
        };
        let place = self.place(workspace);
        for key in entry.keys {
            self.give(key, place);
        }
    }

    /// Where `workspace` stands in `all`.
    fn place(&mut self, workspace: Workspace) -> usize {
        if let Some(place) = self.places.get(&workspace.name).copied() {
            self.problems
                .push(Problem::Twice(workspace.name.to_string()));
            let known = &mut self.all[place];
            known.allowance = stricter(known.allowance, workspace.allowance);
            known.rank = known.rank.max(workspace.rank);
            return place;
        }
        let place = self.all.len();
        self.places.insert(workspace.name.clone(), place);
        self.all.push(workspace);
        place
    }

    /// Gives `key` to the workspace at `place`, unless another has it.
    fn give(&mut self, key: KeyHash, place: usize) {
        match self.keys.get(&key).copied() {
            None => {
                self.keys.insert(key, Some(place));
            }
            Some(Some(other)) if other != place => {
                self.keys.insert(key, None);
                self.problems.push(Problem::SharedKey {
                    first: self.all[other].name.to_string(),
                    second: self.all[place].name.to_string(),
                });
            }
            Some(_) => {}
        }
    }

    fn rank(&mut self, entry: &Entry) -> Option<u8> {
        match entry.rank {
            Given::Absent => None,
            Given::Number(n)
                if n.fract() == 0.0 && (0.0..=f64::from(LEAST_URGENT)).contains(&n) =>
            {
                Some(n as u8)
            }
            Given::Number(_) | Given::Odd => {
                self.problems.push(Problem::OddRank(entry.name.clone()));
                Some(LEAST_URGENT)
            }
        }
    }

    fn allowance(&mut self, entry: &Entry) -> Allowance {
        let rate = self.units(entry, "rate", entry.rate);
        let burst = self.units(entry, "burst", entry.burst);
        let (Some(rate), Some(burst)) = (rate, burst) else {
            return Allowance::Closed;
        };
        if rate == 0.0 {
            return Allowance::Unlimited;
        }
        let unit = match entry.unit {
            GivenUnit::Requests => Unit::Requests,
            GivenUnit::Tokens => Unit::Tokens {
                plain: self.plain(entry, rate),
            },
            GivenUnit::Odd => {
                self.problems.push(Problem::OddUnit(entry.name.clone()));
                return Allowance::Closed;
            }
        };
        Allowance::Capped(Cap { unit, rate, burst })
    }

    /// A number of units; `None` if it is none.
    fn units(&mut self, entry: &Entry, field: &'static str, given: Given) -> Option<f64> {
        match given {
            Given::Absent => Some(0.0),
            Given::Number(n) if n.is_finite() && n >= 0.0 => Some(n),
            Given::Number(_) | Given::Odd => {
                self.problems.push(Problem::OddCap {
                    name: entry.name.clone(),
                    field,
                });
                None
            }
        }
    }

    fn plain(&mut self, entry: &Entry, rate: f64) -> u64 {
        match entry.plain {
            Given::Number(n) if n.is_finite() && n >= 1.0 => n as u64,
            Given::Absent | Given::Number(_) | Given::Odd => {
                self.problems.push(Problem::OddPlain(entry.name.clone()));
                (rate as u64).max(1)
            }
        }
    }

    fn finish(self, hasher: KeyHasher) -> (Workspaces, Vec<Problem>) {
        let all: Vec<Arc<Workspace>> = self.all.into_iter().map(Arc::new).collect();
        let owned = self.keys.into_iter();
        let owned = owned.filter_map(|(key, place)| Some((key, all[place?].clone())));
        let by_key = owned.collect();
        (Workspaces::new(hasher, by_key, all), self.problems)
    }
}

/// The allowance that permits less.
fn stricter(a: Allowance, b: Allowance) -> Allowance {
    match (a, b) {
        (Allowance::Unlimited, other) | (other, Allowance::Unlimited) => other,
        (Allowance::Capped(a), Allowance::Capped(b)) if a.unit == b.unit => {
            Allowance::Capped(Cap {
                rate: a.rate.min(b.rate),
                burst: a.burst.min(b.burst),
                unit: a.unit,
            })
        }
        // Caps in two units cannot be compared.
        _ => Allowance::Closed,
    }
}
