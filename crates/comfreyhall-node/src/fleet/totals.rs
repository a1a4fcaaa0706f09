//! Totals of targets in a holder's answers.
//!
//! Most of a total is its target's name, which a caller has seen in every answer before.
//! So a holder numbers the targets that it reports on, and an answer names only those
//! whose numbers the caller does not know. A call says up to which number it knows them:
//! after a lost answer they are named again.

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::{TargetNumber, TargetTotal, TotalColumns};

/// Names that a caller keeps for one holder. Beyond that it forgets all of them, and is
/// given those that are in use.
const MAX_KNOWN: usize = 8_192;

/// The numbers of a holder's process; the first one is 1.
#[derive(Debug, Default)]
pub(super) struct TargetNumbers {
    numbers: Map<Name, u32>,
    last: u32,
}

impl TargetNumbers {
    /// The number of `target`.
    pub(super) fn number(&mut self, target: &Name) -> u32 {
        if let Some(number) = self.numbers.get(target) {
            return *number;
        }
        self.last += 1;
        self.numbers.insert(target.clone(), self.last);
        self.last
    }

    /// Drops targets that are not `known` any more; their numbers are not used again.
    pub(super) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.numbers.retain(|target, _| known(target));
    }

    /// Numbers above `known`.
    pub(super) fn after(&self, known: u32) -> Vec<TargetNumber> {
        if known >= self.last {
            return Vec::new();
        }
        let newer = self.numbers.iter().filter(|(_, n)| **n > known);
        let newer = newer.map(|(target, number)| TargetNumber {
            number: *number,
            target: target.to_string(),
        });
        newer.collect()
    }
}

/// Encodes totals, in the order of their numbers.
pub(super) fn encode(totals: impl Iterator<Item = (u32, TargetTotal)>) -> TotalColumns {
    let mut out = TotalColumns::default();
    let mut last = 0;
    for (number, total) in totals {
        out.steps.push(number - last);
        out.prefill.push(total.prefill);
        out.waiting.push(total.waiting);
        out.running.push(total.running);
        out.adapters.push(total.adapters);
        last = number;
    }
    out
}

/// The numbers of a holder as a caller knows them.
#[derive(Debug, Default)]
pub(super) struct KnownNumbers {
    /// Process of the holder.
    boot: u64,
    targets: Map<u32, String>,
    /// No number in use up to this one is unknown.
    until: u32,
}

impl KnownNumbers {
    /// Up to which number those of the process `boot` are known.
    pub(super) fn until(&self, boot: u64) -> u32 {
        match boot == self.boot {
            true => self.until,
            false => 0,
        }
    }

    /// Applies numbers in an answer of the process `boot`, and decodes its totals. `None`
    /// if they cannot be decoded; the next answer names all targets then.
    pub(super) fn decode(
        &mut self,
        boot: u64,
        numbers: &[TargetNumber],
        columns: &TotalColumns,
    ) -> Option<Vec<TargetTotal>> {
        if boot != self.boot {
            *self = Self {
                boot,
                ..Self::default()
            };
        }
        for known in numbers {
            self.targets.insert(known.number, known.target.clone());
            self.until = self.until.max(known.number);
        }
        let totals = self.read(columns);
        if totals.is_none() || self.targets.len() > MAX_KNOWN {
            *self = Self::default();
        }
        totals
    }

    fn read(&self, columns: &TotalColumns) -> Option<Vec<TargetTotal>> {
        let mut number = 0_u32;
        let rows = columns.steps.iter().enumerate().map(|(i, step)| {
            number = number.checked_add(*step)?;
            Some(TargetTotal {
                target: self.targets.get(&number)?.clone(),
                prefill: *columns.prefill.get(i)?,
                waiting: *columns.waiting.get(i)?,
                running: *columns.running.get(i)?,
                adapters: *columns.adapters.get(i)?,
            })
        });
        rows.collect()
    }
}

#[cfg(test)]
mod tests;
