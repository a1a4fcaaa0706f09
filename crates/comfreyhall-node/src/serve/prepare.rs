//! Everything that a request waits for before it is sent.
//!
//! Each await here may last for seconds, and a planned stop ends all of them: nothing of a
//! request has reached a target yet, so it is dropped without a trace.

use std::time::Duration;

use comfreyhall_domain::Name;

use super::{
    ActiveRequest, Reply, pass_on::Reach, place::BindOutcome, renew::Step, request::RECHECK_MS,
};
use crate::{choose::Plan, outbound::Permit};

/// Pause before a full target is asked again, in ms: in that time its queue
/// advances by one prompt, and an adapter that is being replaced is available
/// again. Without a pause some targets were asked every 7 ms, which used up the
/// shared retry budget.
const FULL_RETRY_MS: u64 = 100;

/// Refusals by full targets after which the request fails.
const MAX_FULL_REFUSALS: u32 = 3;

/// How a request goes on that is to be sent.
pub(super) enum Prepared {
    /// It is sent now.
    Send(Box<Plan>, Permit),
    /// The daemon at this address serves it.
    PassOn(Name),
    /// Its target has to be chosen again.
    Again(Again),
    /// It ends with this reply.
    End(Reply),
}

/// Why a target has to be chosen again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Again {
    /// The wait in the chosen group would be too long.
    WaitTooLong,
    /// The chosen target cannot take it now.
    NotNow,
}

const AGAIN: Prepared = Prepared::Again(Again::NotNow);

impl ActiveRequest {
    /// Finds a target for it and waits until it may be sent there; `check_wait`: it is
    /// rejected if it would be answered too late.
    pub(super) async fn prepare(&mut self, check_wait: bool) -> Prepared {
        if self.remaining_ms() == 0 {
            return Prepared::End(self.give_up("time is up", 0.0));
        }
        if let Some(rejection) = self.quarantined().await {
            return Prepared::End(self.reject_quarantined(rejection));
        }
        match self.check_settings().await {
            Step::Proceed => {}
            Step::ChooseAgain => return AGAIN,
            Step::End(reply) => return Prepared::End(reply),
        }
        match self.reach() {
            Reach::Here => {}
            Reach::Peer(peer) => return Prepared::PassOn(peer),
            Reach::Nowhere(reply) => return Prepared::End(reply),
        }
        if let Some(reply) = self.reject_gone_version() {
            return Prepared::End(reply);
        }
        let Some(mut plan) = self.choose() else {
            return self.await_target().await;
        };
        if check_wait && self.node.policies().admission && self.wait_too_long(plan.wait_ms) {
            return Prepared::End(self.give_up("the wait is too long", plan.wait_ms / 2.0));
        }
        if !self.stop_allows(&plan) {
            return Prepared::End(self.reject_stopping());
        }
        let bound = self.bind(&mut plan).await;
        if let Some(prepared) = self.after_bind(bound, &plan) {
            return prepared;
        }
        let Some(permit) = self.permit(&plan).await else {
            return AGAIN;
        };
        if !self.target_still_accepts(&plan) {
            self.skip_target(&plan.target.id);
            return AGAIN;
        }
        if self.must_wait() {
            return AGAIN;
        }
        if let Some(rejection) = self.quarantined().await {
            return Prepared::End(self.reject_quarantined(rejection));
        }
        match self.recheck_settings() {
            Step::Proceed => {}
            Step::ChooseAgain => return AGAIN,
            Step::End(reply) => return Prepared::End(reply),
        }
        if !self.history.may_send(self.route.repeatable(), u32::MAX) {
            // Newer settings may say that it runs once.
            return Prepared::End(self.give_up("it may have run", 0.0));
        }
        if !self.stop_allows(&plan) {
            return Prepared::End(self.reject_stopping());
        }
        if self.deliveries > 0 && !self.take_retry() {
            return Prepared::End(self.give_up("the retry budget is spent", plan.wait_ms));
        }
        Prepared::Send(Box::new(plan), permit)
    }

    /// Waits a moment, as no target can take it now.
    async fn await_target(&mut self) -> Prepared {
        if let Some(ms) = self
            .all_unavailable_ms()
            .filter(|ms| *ms > self.hold_left_ms())
        {
            self.log_unavailable();
            return Prepared::End(self.give_up("its targets take no more now", ms as f64));
        }
        if self.hold_expired() || self.full_refusals >= MAX_FULL_REFUSALS {
            return Prepared::End(self.give_up("no target can take it", FULL_RETRY_MS as f64));
        }
        let pause_ms = if self.full_refusals > 0 {
            FULL_RETRY_MS
        } else {
            RECHECK_MS
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        self.unavailable.clear();
        AGAIN
    }

    /// How it goes on without an engine of the group of `plan`; `None` if it has one.
    fn after_bind(&mut self, bound: BindOutcome, plan: &Plan) -> Option<Prepared> {
        Some(match bound {
            BindOutcome::Engine => return None,
            BindOutcome::None if self.hold_expired() => {
                Prepared::End(self.give_up("its adapter has no place", plan.wait_ms))
            }
            BindOutcome::None => AGAIN,
            BindOutcome::NoSlot { return_ms } => match self.no_slot_anywhere(plan, return_ms) {
                true => {
                    let retry_ms = return_ms.min(self.remaining_ms() / 3);
                    Prepared::End(self.give_up_until("no slot in time", retry_ms))
                }
                false => AGAIN,
            },
            BindOutcome::TooLong(ms) => match self.choose() {
                None => Prepared::End(self.give_up("the wait is too long", ms as f64 / 2.0)),
                Some(_) => Prepared::Again(Again::WaitTooLong),
            },
        })
    }
}
