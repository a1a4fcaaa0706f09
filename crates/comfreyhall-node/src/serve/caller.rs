//! Who calls, whether that still holds, and whether it may use more.

use comfreyhall_domain::{Allowance, Answer, Caller, ClientRequest, Config, Route, answer_for};
use comfreyhall_inforce::{AppliedVersion, Freshness, SettingsTracker};

use super::{Job, NOT_READY_MS, Reply};
use crate::{
    caps::{self, QuotaError, QuotaKind},
    node::Node,
};

/// When a caller whose workspace may use nothing should come back, in ms: its
/// cap has to be written anew first.
const CLOSED_MS: u64 = 3_000;

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turned {
    /// No route covers it.
    NoRoute,
    /// Its key belongs to nobody.
    NoKey,
    /// Newer settings may be in force that have its route, or its key.
    Unsure,
}

/// The route of `ask` and who calls, by `config`.
pub(super) fn admit(
    node: &Node,
    config: &Config,
    ask: &ClientRequest,
) -> Result<(Route, Caller), Turned> {
    let path = ask.forwarded.path.split('?').next().unwrap_or("");
    let Some(route) = config.match_route(&ask.host, path) else {
        // The route may have been added where this daemon could not hear of it.
        return Err(match node.settings_may_lag() {
            true => Turned::Unsure,
            false => Turned::NoRoute,
        });
    };
    if config.workspaces.is_some() && !route.public && node.keys_lapsed() {
        return Err(Turned::Unsure);
    }
    match config.resolve_caller(route, ask.key.as_ref()) {
        Some(caller) => Ok((route.clone(), caller)),
        // A caller does not come back after the final answer, and the key may
        // have been given out a moment ago.
        None if ask.key.is_some() && node.settings_may_lag() => Err(Turned::Unsure),
        None => Err(Turned::NoKey),
    }
}

/// What a request was judged by, for the log; times in ms.
pub(super) struct Basis {
    /// Version of the newest row of the settings.
    pub(super) row: u64,
    /// Who told of it: the store or a daemon's id.
    pub(super) from: String,
    /// Since when it is known.
    pub(super) held: u64,
    /// Since when the store has said so.
    pub(super) age: u64,
    /// A newer version that was heard of; 0 for none.
    pub(super) newer: u64,
    /// Since when the store has not answered; 0 if it answers.
    pub(super) away: u64,
}

impl Basis {
    pub(super) fn of(known: &SettingsTracker, now: u64) -> Self {
        let since = |at: u64| now.saturating_sub(at);
        let from = |taken: &AppliedVersion| taken.source.to_string();
        Self {
            row: known.newest(),
            from: known.last_applied().map_or_else(String::new, from),
            held: known.last_applied().map_or(0, |t| since(t.applied_at_ms)),
            age: known.age_ms(now),
            newer: known.newer_version().map_or(0, |h| h.version),
            away: known.store_down_since().map_or(0, since),
        }
    }
}

impl Node {
    /// Whether settings newer than those in force here may have been accepted
    /// for longer than their bound.
    fn settings_may_lag(&self) -> bool {
        let bound = self.settings().bounds.apply_ms;
        let verdict = self
            .view()
            .records
            .settings_sync
            .freshness(self.now(), bound);
        verdict == Freshness::Stale
    }

    /// Whether no key counts any more, since it may have been taken back.
    fn keys_lapsed(&self) -> bool {
        let Some(most) = self.settings().bounds.revoke_ms else {
            return false;
        };
        let now = self.now();
        self.view().records.settings_sync.age_ms(now) > most
    }

    /// The answer to a request that is not taken; one line for each, but for a
    /// flood of them.
    pub(super) fn turn_away(&self, ask: &ClientRequest, config: u64, why: Turned) -> Reply {
        let (reply, refusal) = match why {
            Turned::NoRoute => (Reply::NoRoute, "no route"),
            Turned::NoKey => (Reply::UnknownKey, "unknown key"),
            Turned::Unsure => {
                let retry_ms = NOT_READY_MS;
                (Reply::NotReady { retry_ms }, "newer settings may allow it")
            }
        };
        self.metrics.refusal(refusal);
        if let Some(left_out) = self.log_limits.turned.take(self.now()) {
            let basis = Basis::of(&self.view().records.settings_sync, self.now());
            log::info!(target: "serve", id:% = ask.id, config, left_out, why = refusal, row = basis.row, from = basis.from, held = basis.held, age = basis.age, newer = basis.newer, away = basis.away; "turned away");
        }
        reply
    }
}

impl Job {
    /// Takes credit for the request, if its workspace has a cap.
    pub(super) async fn take_credit(&mut self, config: &Config) -> Option<Reply> {
        let workspace = self.caller.workspace()?.clone();
        let cap = match workspace.allowance {
            Allowance::Unlimited => return None,
            Allowance::Denied => {
                return Some(self.refuse_credit(
                    0,
                    QuotaError::Exceeded {
                        retry_ms: CLOSED_MS,
                    },
                ));
            }
            Allowance::Limited(cap) => cap,
        };
        let tokens = self.ask.tokens;
        let tokens = tokens.map(|t| u64::from(t.prompt) + u64::from(t.max_output));
        let size = cap.cost(tokens);
        self.node.quotas.sync_config(&self.node, config);
        match caps::reserve(&self.node, QuotaKind::Workspaces, &workspace.name, size).await {
            Ok(credit) => {
                self.credit = Some(credit);
                None
            }
            Err(why) => Some(self.refuse_credit(size, why)),
        }
    }

    /// The final answer to a request without credit, at once.
    fn refuse_credit(&mut self, size: u64, why: QuotaError) -> Reply {
        self.ended = true;
        let now = self.node.now();
        let workspace = self.caller.workspace().map_or("", |w| &*w.name).to_string();
        let (reason, over, retry_ms) = match why {
            QuotaError::Exceeded { retry_ms } => ("over its cap", true, retry_ms),
            QuotaError::Unknown { retry_ms } => ("its use is not known", false, retry_ms),
        };
        let retry_ms = self.retry_ms(retry_ms as f64);
        let answer = match over {
            true => Answer::OverCap { retry_ms },
            false => Answer::NotRun { retry_ms },
        };
        self.node.metrics.refusal(reason);
        self.node.metrics.workspace_refusal(&workspace, reason);
        self.node.metrics.request(self.route.kind, answer.name());
        if let Some(left_out) = self.node.log_limits.capped.take(now) {
            let basis = self.node.quotas.basis(&workspace, now);
            let home = basis.coordinator.as_deref().unwrap_or("");
            // Whole units a second, and per cent.
            let (cap, lent, demand) = (basis.rate as u64, basis.lent as u64, basis.demand as u64);
            let (held, lends) = (basis.balance as u64, (basis.lendable_share * 100.0) as u64);
            log::info!(target: "caps", id:% = self.ask.id, route:% = self.route.name, workspace, size, why = reason, cap, lent, lends, home, age = basis.age_ms, held, demand, retry_ms, left_out; "refused");
        }
        Reply::Unanswered(answer)
    }

    /// Whether its key still belongs to its workspace.
    ///
    /// What goes wrong without it: a request waits for a place while its key is
    /// taken back, and is sent seconds after everybody has been told.
    pub(super) fn still_welcome(&self) -> bool {
        let Some(config) = self.node.config() else {
            return false;
        };
        let Some(known) = self.caller.workspace() else {
            return true;
        };
        if self.node.keys_lapsed() {
            return false;
        }
        if config.version == self.config {
            return true;
        }
        let found = config.resolve_caller(&self.route, self.ask.key.as_ref());
        let found = found.as_ref().and_then(Caller::workspace);
        found.is_some_and(|w| w.name == known.name)
    }

    /// The final answer to a request whose key was taken back meanwhile.
    pub(super) fn unwelcome(&mut self) -> Reply {
        let why = "its key was taken back";
        self.ended = true;
        self.give_credit_back();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.spare_reply(why) {
            return reply;
        }
        let held = self.node.now() - self.began;
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, why, sends = self.verdict.sends, held; "given up");
        match self.verdict.may_have_run {
            true => Reply::Unanswered(answer_for(&self.verdict, false, 0)),
            false => Reply::UnknownKey,
        }
    }

    /// Its credit goes back if it has surely not run.
    pub(super) fn give_credit_back(&mut self) {
        if let Some(credit) = self.credit.take()
            && !self.verdict.may_have_run
        {
            credit.refund();
        }
    }
}
