//! Binds a request anew to the active settings before each send.
//!
//! A request may wait seconds for a target, an adapter slot or a permit, and a
//! newer configuration may become active meanwhile, or the known one outdated.

use std::time::Duration;

use comfreyhall_domain::{Caller, Config, EngineConfig, Name, Route, answer_for};
use comfreyhall_inforce::Verdict;

use super::{
    ActiveRequest, Reply,
    caller::{self, Rejection},
    request::{NOT_READY_RETRY_MS, RECHECK_MS},
};

/// What the active settings mean for a request that waited.
pub(super) enum Renewal {
    /// It may go on as it is.
    Unchanged,
    /// Its route leads to another service now; whatever was chosen for it is void.
    Moved,
    /// It has to wait until it is known whether the settings are current.
    Hold,
}

/// How a request goes on after its settings were checked.
pub(super) enum Step {
    /// It may be sent.
    Proceed,
    /// Its target has to be chosen again.
    ChooseAgain,
    /// It ends with this reply.
    End(Reply),
}

/// The settings that a request is bound to, and the state in which it was sent by them.
#[derive(Clone)]
pub(crate) struct Binding {
    route: Route,
    caller: Caller,
    rank: u8,
    config_version: u64,
    bound_after_ms: u64,
    deadline_ms: u64,
    service: Name,
    engine: Option<EngineConfig>,
    software: Option<Name>,
    settings_age_ms: u64,
    targets_age_ms: u64,
}

impl ActiveRequest {
    /// What it is bound to now.
    pub(crate) fn binding(&self) -> Binding {
        Binding {
            route: self.route.clone(),
            caller: self.caller.clone(),
            rank: self.rank,
            config_version: self.config_version,
            bound_after_ms: self.bound_after_ms,
            deadline_ms: self.deadline_ms,
            service: self.service.clone(),
            engine: self.engine.clone(),
            software: self.software.clone(),
            settings_age_ms: self.settings_age_ms,
            targets_age_ms: self.targets_age_ms,
        }
    }

    /// Binds it to `binding` again, by which the answer that goes on was asked for.
    pub(crate) fn restore(&mut self, binding: &Binding) {
        let bound = binding.clone();
        self.route = bound.route;
        self.caller = bound.caller;
        self.rank = bound.rank;
        self.config_version = bound.config_version;
        self.bound_after_ms = bound.bound_after_ms;
        self.deadline_ms = bound.deadline_ms;
        self.service = bound.service;
        self.engine = bound.engine;
        self.software = bound.software;
        self.settings_age_ms = bound.settings_age_ms;
        self.targets_age_ms = bound.targets_age_ms;
    }

    /// Binds the request to the active settings.
    pub(super) fn renew(&mut self) -> Result<Renewal, Rejection> {
        match self.node.settings_verdict() {
            Verdict::Serve => {}
            Verdict::Hold => return Ok(Renewal::Hold),
            Verdict::Reject => return Err(Rejection::Unconfirmed),
        }
        let Some(config) = self.node.config() else {
            return Err(Rejection::Unconfirmed);
        };
        if config.version == self.config_version {
            return match self.caller.workspace().is_some() && self.node.keys_expired() {
                true => Err(Rejection::Unconfirmed),
                false => Ok(Renewal::Unchanged),
            };
        }
        let (route, caller) = caller::admit(&self.node, &config, &self.client_request)?;
        let name = |caller: &Caller| caller.workspace().map(|w| w.name.clone());
        if name(&caller) != name(&self.caller) {
            return Err(Rejection::UnknownKey);
        }
        self.rank = self.node.view().ranks.position(&caller, &route);
        self.caller = caller;
        self.bind_to(&config, route)
    }

    /// Binds the request to `route` of `config`.
    fn bind_to(&mut self, config: &Config, route: Route) -> Result<Renewal, Rejection> {
        self.config_version = config.version;
        self.bound_after_ms = self.node.now() - self.began_ms;
        self.deadline_ms = self.deadline_ms.min(self.began_ms + route.timeout_ms);
        let mut shares = route.shares.iter();
        let keeps_service = shares.any(|s| s.weight > 0 && s.service == self.service);
        if !keeps_service {
            let picked = route.pick_service(self.seed).ok_or(Rejection::NoRoute)?;
            self.service = picked.clone();
            self.unavailable.clear();
            self.slot_offers.clear();
            self.slot_group = None;
        }
        let service = config.services.get(&self.service);
        self.engine = service.and_then(|s| s.engine.clone());
        self.route = route;
        Ok(match keeps_service {
            true => Renewal::Unchanged,
            false => Renewal::Moved,
        })
    }

    /// Checks the settings before a target is chosen, and waits a moment if it is
    /// not known whether they are current.
    pub(super) async fn check_settings(&mut self) -> Step {
        match self.renew() {
            Ok(Renewal::Unchanged | Renewal::Moved) => Step::Proceed,
            Ok(Renewal::Hold) if self.hold_expired() => {
                Step::End(self.give_up("the settings are not confirmed", NOT_READY_RETRY_MS as f64))
            }
            Ok(Renewal::Hold) => {
                tokio::time::sleep(Duration::from_millis(RECHECK_MS)).await;
                Step::ChooseAgain
            }
            Err(why) => Step::End(self.reject_waiting(why)),
        }
    }

    /// Checks the settings right before a send.
    pub(super) fn recheck_settings(&mut self) -> Step {
        match self.renew() {
            Ok(Renewal::Unchanged) => Step::Proceed,
            Ok(Renewal::Moved | Renewal::Hold) => Step::ChooseAgain,
            Err(why) => Step::End(self.reject_waiting(why)),
        }
    }

    /// The final answer to a request that was admitted and may not be sent any
    /// more.
    fn reject_waiting(&mut self, rejection: Rejection) -> Reply {
        let why = match rejection {
            Rejection::NoRoute => "its route was dropped",
            Rejection::UnknownKey => "its key was taken back",
            Rejection::Unconfirmed => "newer settings may forbid it",
        };
        self.finished = true;
        self.return_credit();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.fallback_reply(why) {
            return reply;
        }
        let held = self.node.now() - self.began_ms;
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, why, sends = self.history.sends, held, config = self.config_version; "given up");
        match (self.history.may_have_run, rejection) {
            (true, _) => Reply::Unanswered(answer_for(&self.history, false, 0)),
            (false, Rejection::NoRoute) => Reply::NoRoute,
            (false, Rejection::UnknownKey) => Reply::UnknownKey,
            (false, Rejection::Unconfirmed) => Reply::NotReady {
                retry_ms: NOT_READY_RETRY_MS,
            },
        }
    }
}
