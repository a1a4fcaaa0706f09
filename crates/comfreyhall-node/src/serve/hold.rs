//! Which request an attempt is one of, and whether that may be sent.

use comfreyhall_domain::{Caller, ClientRequest, answer_quarantined};
use comfreyhall_quarantine::Fingerprint;

use super::{Job, Reply};
use crate::{
    flight::Flight,
    quarantine::{self, Admission},
};

/// The identity of `ask` of `caller` over all attempts: its workspace and the
/// host it calls, what it calls, and its body. Ids, time limits and hints differ
/// from attempt to attempt, and other headers are the caller's own to change, so
/// all are left out.
fn fingerprint_of(ask: &ClientRequest, caller: &Caller) -> Fingerprint {
    Fingerprint::of([
        ask.host.as_bytes(),
        caller.workspace().map_or("", |w| &*w.name).as_bytes(),
        ask.forwarded.method.as_str().as_bytes(),
        ask.forwarded.path.as_bytes(),
        &ask.forwarded.body,
    ])
}

impl Job {
    /// Its identity over all attempts. Computed when first asked for: most
    /// requests are never compared with another.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| fingerprint_of(&self.ask, &self.caller))
    }

    /// The target closed the connection of the run `flight`.
    pub(crate) fn broke(&self, flight: &Flight) {
        let target = &flight.target;
        quarantine::connection_closed(&self.node, target, self.fingerprint(), flight.early());
    }

    /// A target ran it to its end.
    pub(crate) fn ran_whole(&self) {
        if !self.node.quarantine.is_empty() {
            quarantine::run_completed(&self.node, self.fingerprint());
        }
    }

    /// When its caller may come back, in ms, if it is held back.
    ///
    /// Looked at before each send: a request may wait for seconds in between,
    /// and what the others find meanwhile counts.
    pub(super) async fn held_back(&mut self) -> Option<u64> {
        if self.node.quarantine.is_empty() {
            return None;
        }
        let fingerprint = self.fingerprint();
        if self.node.quarantine.is_suspect(&fingerprint) {
            self.node
                .quarantine
                .await_verdict(&self.node, &fingerprint)
                .await;
        }
        if self.trial.is_some() {
            // A trial is one send.
            let sent = self.verdict.sends > 0;
            return sent.then_some(quarantine::TRIAL_RETRY_MS);
        }
        match quarantine::admit(&self.node, fingerprint) {
            Admission::Allowed => None,
            Admission::Quarantined(retry_ms) => Some(retry_ms),
            Admission::Trial(trial) => {
                log::info!(target: "quarantine", id:% = self.ask.id, fingerprint:%; "request tried again");
                self.trial = Some(trial);
                None
            }
        }
    }

    /// The final answer to a request that is held back, at once.
    pub(super) fn hold_back(&mut self, retry_ms: u64) -> Reply {
        let why = "targets ended under it";
        self.ended = true;
        self.give_credit_back();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.spare_reply(why) {
            return reply;
        }
        let (now, left, fingerprint) = (self.node.now(), self.left(), self.fingerprint());
        let held = now - self.began;
        let answer = answer_quarantined(&self.verdict, retry_ms);
        let evidence = self.node.quarantine.describe_ends(&fingerprint, now);
        self.node.metrics.request(self.route.kind, answer.name());
        log::info!(target: "serve", id:% = self.ask.id, route:% = self.route.name, fingerprint:%, why, answer:?, evidence, sends = self.verdict.sends, held, left; "given up");
        Reply::Unanswered(answer)
    }
}
