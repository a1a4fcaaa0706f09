//! Authentication, key revocation and workspace quotas of one request.

use comfreyhall_domain::{Allowance, Answer, Caller, ClientRequest, Config, Revision, Route};
use comfreyhall_inforce::{AppliedVersion, Freshness, SettingsTracker, Verdict};

use super::{ActiveRequest, Reply, request::NOT_READY_RETRY_MS};
use crate::{
    node::Node,
    quotas::{self, QuotaError, QuotaKind},
};

/// Retry delay for a caller whose workspace may use nothing, in ms: only a new
/// quota in the settings changes that.
const CLOSED_QUOTA_RETRY_MS: u64 = 3_000;

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// No route matches it.
    NoRoute,
    /// Its key belongs to no workspace.
    UnknownKey,
    /// Settings newer than the local ones may contain its route or its key.
    Unconfirmed,
}

/// Finds the route of `request` and identifies its caller by `config`.
pub(super) fn admit(
    node: &Node,
    config: &Config,
    request: &ClientRequest,
) -> Result<(Route, Caller), Rejection> {
    if node.settings_verdict() == Verdict::Reject {
        return Err(Rejection::Unconfirmed);
    }
    let path = request.forwarded.path.split('?').next().unwrap_or("");
    let Some(route) = config.match_route(&request.host, path) else {
        // The route may be in settings that have not reached this daemon yet.
        return Err(match node.settings_may_lag() {
            true => Rejection::Unconfirmed,
            false => Rejection::NoRoute,
        });
    };
    if config.workspaces.is_some() && !route.public && node.keys_expired() {
        return Err(Rejection::Unconfirmed);
    }
    match config.resolve_caller(route, request.key.as_ref()) {
        Some(caller) => Ok((route.clone(), caller)),
        // A caller does not retry after a final answer, but its key may have been
        // issued a moment ago.
        None if request.key.is_some() && node.settings_may_lag() => Err(Rejection::Unconfirmed),
        None => Err(Rejection::UnknownKey),
    }
}

/// The state of the settings that a decision was based on, for the log.
pub(super) struct SettingsBasis {
    /// Version of the newest settings row.
    pub(super) version: Revision,
    /// Where it came from: the store or a daemon's id.
    pub(super) source: String,
    /// Ms since this daemon received it.
    pub(super) known_ms: u64,
    /// Ms since the store last confirmed the settings.
    pub(super) age_ms: u64,
    /// A newer version reported by peers; zero for none.
    pub(super) newer_version: Revision,
    /// Ms since the store stopped answering; 0 if it answers.
    pub(super) outage_ms: u64,
}

impl SettingsBasis {
    pub(super) fn of(known: &SettingsTracker, now: u64) -> Self {
        let elapsed = |at: u64| now.saturating_sub(at);
        let source = |applied: &AppliedVersion| applied.source.to_string();
        Self {
            version: known.newest(),
            source: known.last_applied().map_or_else(String::new, source),
            known_ms: known.last_applied().map_or(0, |t| elapsed(t.applied_at_ms)),
            age_ms: known.age_ms(now),
            newer_version: known.newer_version().map_or(Revision::ZERO, |h| h.version),
            outage_ms: known.store_down_since().map_or(0, elapsed),
        }
    }
}

impl Node {
    /// Whether settings newer than the active ones may have been accepted longer
    /// ago than `apply_ms` allows.
    fn settings_may_lag(&self) -> bool {
        let bound = self.settings().bounds.apply_ms;
        let freshness = self
            .view()
            .records
            .settings_sync
            .freshness(self.now(), bound);
        freshness == Freshness::Stale
    }

    /// Whether all keys have expired, because a revocation may have been missed.
    pub(super) fn keys_expired(&self) -> bool {
        let Some(max_age_ms) = self.settings().bounds.revoke_ms else {
            return false;
        };
        let now = self.now();
        self.view().records.settings_sync.age_ms(now) > max_age_ms
    }

    /// Answers a request that is not admitted and logs it, rate limited.
    pub(super) fn reject(&self, request: &ClientRequest, config: u64, why: Rejection) -> Reply {
        let (reply, refusal) = match why {
            Rejection::NoRoute => (Reply::NoRoute, "no route"),
            Rejection::UnknownKey => (Reply::UnknownKey, "unknown key"),
            Rejection::Unconfirmed => {
                let retry_ms = NOT_READY_RETRY_MS;
                (Reply::NotReady { retry_ms }, "newer settings may allow it")
            }
        };
        self.metrics.refusal(refusal);
        if let Some(left_out) = self.log_limits.rejected.take(self.now()) {
            let basis = SettingsBasis::of(&self.view().records.settings_sync, self.now());
            log::info!(target: "serve", id:% = request.id, config, left_out, why = refusal, row:% = basis.version, from = basis.source, held = basis.known_ms, age = basis.age_ms, newer:% = basis.newer_version, away = basis.outage_ms; "turned away");
        }
        reply
    }
}

impl ActiveRequest {
    /// Reserves credit for the request if its workspace has a quota.
    pub(super) async fn reserve_credit(&mut self, config: &Config) -> Option<Reply> {
        let workspace = self.caller.workspace()?.clone();
        let quota = match workspace.allowance {
            Allowance::Unlimited => return None,
            Allowance::Denied => {
                return Some(self.refuse_credit(
                    0,
                    QuotaError::Exceeded {
                        retry_ms: CLOSED_QUOTA_RETRY_MS,
                    },
                ));
            }
            Allowance::Limited(quota) => quota,
        };
        let tokens = self.client_request.tokens;
        let tokens = tokens.map(|t| u64::from(t.prompt) + u64::from(t.max_output));
        let size = quota.cost(tokens);
        self.node.quotas.sync_config(&self.node, config);
        let kind = QuotaKind::Workspaces;
        let wait_ms = quotas::unknown_wait_ms(&self.node, self.remaining_ms());
        match quotas::reserve(&self.node, kind, &workspace.name, size, wait_ms).await {
            Ok(credit) => {
                self.credit = Some(credit);
                None
            }
            Err(why) => Some(self.refuse_credit(size, why)),
        }
    }

    /// The final answer to a request that got no credit.
    fn refuse_credit(&mut self, size: u64, why: QuotaError) -> Reply {
        self.finished = true;
        let now = self.node.now();
        let workspace = self.caller.workspace().map_or("", |w| &*w.name).to_string();
        let (reason, over, retry_ms) = match why {
            QuotaError::Exceeded { retry_ms } => ("over its cap", true, retry_ms),
            QuotaError::Unknown { retry_ms } => ("its use is not known", false, retry_ms),
        };
        let retry_ms = self.retry_after_ms(retry_ms as f64);
        let answer = match over {
            true => Answer::OverCap { retry_ms },
            false => Answer::NotRun { retry_ms },
        };
        self.node.metrics.refusal(reason);
        self.node.metrics.workspace_refusal(&workspace, reason);
        self.node.metrics.request(self.route.kind, answer.name());
        if let Some(left_out) = self.node.log_limits.over_quota.take(now) {
            let basis = self.node.quotas.basis(&workspace, now);
            let home = basis.coordinator.as_deref().unwrap_or("");
            // Whole units per second, and percent.
            let (cap, lent, demand) = (basis.rate as u64, basis.lent as u64, basis.demand as u64);
            let (held, lends) = (basis.balance as u64, (basis.lendable_share * 100.0) as u64);
            log::info!(target: "caps", id:% = self.client_request.id, route:% = self.route.name, workspace, size, why = reason, cap, lent, lends, home, age = basis.age_ms, held, demand, retry_ms, left_out; "refused");
        }
        Reply::Unanswered(answer)
    }

    /// Returns its credit if it has certainly not run.
    pub(super) fn return_credit(&mut self) {
        if let Some(credit) = self.credit.take()
            && !self.history.may_have_run
        {
            credit.refund();
        }
    }
}
