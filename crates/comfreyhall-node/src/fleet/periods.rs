//! How often daemons exchange gossip, and how many of them at a time.

/// Gossip period in ms. It keeps the wait estimate at most a quarter of a
/// second old, about the duration of one prompt.
pub(super) const GOSSIP_PERIOD_MS: u64 = 250;

/// Peers called in one period. With more daemons than this, gossip goes through
/// the lease holders, which keeps the cost of a daemon constant.
pub(super) const FANOUT: usize = 16;

/// Calls that a holder answers per second: at 0.2 ms each (processor time over
/// calls with 89 daemons, including all other work) this takes 4% of a core,
/// which is below the limit for control traffic.
const REPORTS_PER_S: u64 = 200;

/// Whether a fleet of `peers` reports to holders.
pub(super) fn is_large(peers: usize) -> bool {
    peers > FANOUT
}

/// Interval in ms between two reports to the same holder in a fleet of `peers`.
pub(super) fn report_period_ms(peers: usize) -> u64 {
    (peers as u64 * 1_000 / REPORTS_PER_S).max(GOSSIP_PERIOD_MS)
}
