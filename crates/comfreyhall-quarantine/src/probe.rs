//! Probes of segments that are suspect, but not quarantined.
//!
//! What ends targets ends those to which it was sent before the first end was known,
//! and evidence takes a moment to reach all daemons. A daemon that went on sending
//! meanwhile would end more targets than the attribution needs. Once several targets
//! have ended under a segment, its requests therefore wait until what is on its way
//! has arrived, and then go one by one: one that goes on clears the segment for all
//! others, one that ends its target is the evidence that was missing.

use comfreyhall_domain::Map;

use crate::Fingerprint;

/// How long requests with a segment wait after an end under it, in ms: another end, or
/// a run that clears it, may just have been observed by another daemon.
pub(crate) const EVIDENCE_DELAY_MS: u64 = 200;

/// Time between two probes of a segment by one daemon: longer than most runs take to
/// end their target or to clear the segment.
const INTERVAL_MS: u64 = 500;

/// How long a request waits for its turn: two probes, after which it is sent like one.
pub const MAX_PROBE_WAIT_MS: u64 = 2 * INTERVAL_MS;

/// When a request with each suspect segment was last sent from here.
#[derive(Debug, Default)]
pub(crate) struct Probes(Map<Fingerprint, u64>);

impl Probes {
    /// Records that a request with `fingerprint` is sent.
    pub(crate) fn start(&mut self, fingerprint: Fingerprint, now: u64) {
        self.0.retain(|_, at| now.saturating_sub(*at) < INTERVAL_MS);
        self.0.insert(fingerprint, now);
    }

    /// How long until a request with `fingerprint`, whose last end was at
    /// `last_end_ms`, may be sent.
    pub(crate) fn wait_ms(&self, fingerprint: &Fingerprint, last_end_ms: u64, now: u64) -> u64 {
        let probe = self.0.get(fingerprint);
        let turn_ms = probe.map_or(0, |at| at + INTERVAL_MS);
        let until_ms = turn_ms.max(last_end_ms + EVIDENCE_DELAY_MS);
        until_ms.saturating_sub(now)
    }
}
