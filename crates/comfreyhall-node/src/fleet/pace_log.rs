//! The paces of engines that this holder reports.

use std::collections::BTreeMap;

use comfreyhall_domain::{Map, Name};
use comfreyhall_protocol::EnginePace;
use comfreyhall_routing::Pace;

/// Engines in one message: 56 entries of 66 bytes, twice a second from each
/// of three holders, are 22 KB/s.
pub(super) const MAX_SENT: usize = 56;

/// Interval between two looks at all engines, in ms.
const UPDATE_MS: u64 = 200;

/// Shortest time between two reports of one engine, in ms.
const MIN_REPEAT_MS: u64 = 1_000;

/// Time after which an engine that differs from the mean is reported again, in ms.
pub(super) const RENEW_MS: u64 = 10_000;

/// Relative difference of a pace that is reported at once.
const MIN_CHANGE: f64 = 0.1;

/// Difference of the share of late events that is reported at once.
const MIN_LATE_CHANGE: f64 = 0.01;

/// What was last reported of an engine.
#[derive(Debug, Clone, Copy)]
struct SentPace {
    serial: u64,
    pace: Pace,
    at_ms: u64,
}

impl SentPace {
    /// Whether `pace` is to be reported.
    fn is_due(&self, pace: Pace, now: u64) -> bool {
        let age_ms = now.saturating_sub(self.at_ms);
        age_ms >= RENEW_MS || (age_ms >= MIN_REPEAT_MS && differ(self.pace, pace))
    }
}

/// Whether two paces differ by more than their errors.
fn differ(a: Pace, b: Pace) -> bool {
    let ratio = |a: f64, b: f64| (a - b).abs() > MIN_CHANGE * b.max(a);
    ratio(a.read, b.read)
        || ratio(a.long_read, b.long_read)
        || ratio(a.gap, b.gap)
        || (a.late_gaps - b.late_gaps).abs() > MIN_LATE_CHANGE
}

/// The paces that this holder reports.
#[derive(Debug, Default)]
pub(super) struct PaceLog {
    sent: Map<Name, SentPace>,
    by_serial: BTreeMap<u64, Name>,
    next_serial: u64,
    updated_ms: u64,
}

impl PaceLog {
    /// Whether the engines are to be looked at again.
    pub(super) fn needs_update(&self, now: u64) -> bool {
        self.updated_ms == 0 || now.saturating_sub(self.updated_ms) >= UPDATE_MS
    }

    /// Updates the log with the current `paces` of all engines of held groups.
    /// Returns those that are to be reported.
    pub(super) fn update(
        &mut self,
        paces: impl Iterator<Item = (Name, Pace)>,
        now: u64,
    ) -> Vec<Pace> {
        self.updated_ms = now;
        let mut before = std::mem::take(&mut self.sent);
        let mut changed = Vec::new();
        for (target, pace) in paces {
            let sent = match before.remove(&target) {
                Some(sent) if !sent.is_due(pace, now) => sent,
                None if !differ(pace, Pace::default()) => continue,
                known => {
                    if let Some(known) = known {
                        self.by_serial.remove(&known.serial);
                    }
                    self.next_serial += 1;
                    self.by_serial.insert(self.next_serial, target.clone());
                    changed.push(pace);
                    SentPace {
                        serial: self.next_serial,
                        pace,
                        at_ms: now,
                    }
                }
            };
            self.sent.insert(target, sent);
        }
        for removed in before.values() {
            self.by_serial.remove(&removed.serial);
        }
        changed
    }

    /// The next entries after the serial `after`, which is advanced.
    pub(super) fn next(&self, after: &mut u64) -> Vec<EnginePace> {
        let unsent = self.by_serial.range(*after + 1..).take(MAX_SENT);
        let mut out = Vec::new();
        for (serial, target) in unsent {
            *after = *serial;
            if let Some(known) = self.sent.get(target) {
                out.push(to_wire(target, known.pace));
            }
        }
        out
    }
}

fn to_wire(target: &Name, pace: Pace) -> EnginePace {
    EnginePace {
        target: target.to_string(),
        read: pace.read,
        gap: pace.gap,
        late_gaps: pace.late_gaps,
        long_read: pace.long_read,
    }
}
