//! Request fingerprints and the quarantine check before each send.

use comfreyhall_domain::{Caller, ClientRequest, answer_quarantined};
use comfreyhall_quarantine::Fingerprint;

use super::{ActiveRequest, Reply};
use crate::{
    active_send::ActiveSend,
    quarantine::{self, Admission},
};

/// The identity of a request over all its attempts: workspace, host, method,
/// path and body. Ids, timeouts and hints differ between attempts, and a caller
/// can change other headers at will, so none of them are included.
fn fingerprint_of(request: &ClientRequest, caller: &Caller) -> Fingerprint {
    Fingerprint::of([
        request.host.as_bytes(),
        caller.workspace().map_or("", |w| &*w.name).as_bytes(),
        request.forwarded.method.as_str().as_bytes(),
        request.forwarded.path.as_bytes(),
        &request.forwarded.body,
    ])
}

impl ActiveRequest {
    /// Its identity over all attempts. Computed on first use: most requests are
    /// never compared with another.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| fingerprint_of(&self.client_request, &self.caller))
    }

    /// Reports that the target closed the connection while it ran `send`.
    pub(crate) fn report_closed(&self, send: &ActiveSend) {
        let target = &send.target;
        quarantine::connection_closed(&self.node, target, self.fingerprint(), send.ran_briefly());
    }

    /// Reports that a target ran it to the end.
    pub(crate) fn report_completed(&self) {
        if !self.node.quarantine.is_empty() {
            quarantine::run_completed(&self.node, self.fingerprint());
        }
    }

    /// When its caller may retry, in ms, if the request is quarantined.
    ///
    /// Checked before each send: a request may wait for seconds in between, and
    /// evidence from other daemons that arrives meanwhile counts.
    pub(super) async fn quarantined_ms(&mut self) -> Option<u64> {
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
            // A trial allows one send.
            let sent = self.history.sends > 0;
            return sent.then_some(quarantine::TRIAL_RETRY_MS);
        }
        match quarantine::admit(&self.node, fingerprint) {
            Admission::Allowed => None,
            Admission::Quarantined(retry_ms) => Some(retry_ms),
            Admission::Trial(trial) => {
                log::info!(target: "quarantine", id:% = self.client_request.id, fingerprint:%; "request tried again");
                self.trial = Some(trial);
                None
            }
        }
    }

    /// The final answer to a quarantined request.
    pub(super) fn reject_quarantined(&mut self, retry_ms: u64) -> Reply {
        let why = "targets ended under it";
        self.finished = true;
        self.return_credit();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.fallback_reply(why) {
            return reply;
        }
        let (now, left, fingerprint) = (self.node.now(), self.remaining_ms(), self.fingerprint());
        let held = now - self.began_ms;
        let answer = answer_quarantined(&self.history, retry_ms);
        let evidence = self.node.quarantine.describe_ends(&fingerprint, now);
        self.node.metrics.request(self.route.kind, answer.name());
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, fingerprint:%, why, answer:?, evidence, sends = self.history.sends, held, left; "given up");
        Reply::Unanswered(answer)
    }
}
