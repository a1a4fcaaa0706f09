//! Credit at the daemon that asked for it, and its calls to the coordinator.

use crate::PeerProcess;

/// How long granted credit stays available for its request, in ms.
const CREDIT_TTL_MS: u64 = 400;

/// Timeout of a call, in ms.
const CALL_TIMEOUT_MS: u64 = 400;

/// Credit for one quota at the daemon that asked for it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CreditBalance {
    pub(super) balance: f64,
    pub(super) expires_at_ms: u64,
    pub(super) need: f64,
    pub(super) min_need: f64,
    pub(super) refused_until_ms: u64,
}

impl CreditBalance {
    pub(super) fn try_take(&mut self, size: f64, now: u64) -> bool {
        let enough = self.balance >= size && now < self.expires_at_ms;
        if enough {
            self.balance -= size;
        }
        enough
    }

    pub(super) fn add_need(&mut self, size: f64) {
        self.min_need = match self.need > 0.0 {
            true => self.min_need.min(size),
            false => size,
        };
        self.need += size;
    }

    pub(super) fn deposit(&mut self, credit: f64, now: u64) {
        if now >= self.expires_at_ms {
            self.balance = 0.0;
        }
        self.balance += credit;
        self.expires_at_ms = now + CREDIT_TTL_MS;
    }
}

/// State of the communication with the coordinator of one group.
#[derive(Debug, Default)]
pub(super) struct CoordinatorLink {
    pub(super) coordinator: Option<PeerProcess>,
    pub(super) serial: u64,
    /// The last call that was answered or has failed.
    pub(super) last_answered: u64,
    pub(super) called_at_ms: u64,
    pub(super) in_flight: bool,
    /// Whether requests wait for an answer.
    pub(super) urgent: bool,
    pub(super) backoff_until_ms: u64,
}

impl CoordinatorLink {
    pub(super) fn is_busy(&self, now: u64) -> bool {
        self.in_flight && now.saturating_sub(self.called_at_ms) < CALL_TIMEOUT_MS
    }
}
