//! Features of requests and the quarantine check before each send.

use comfreyhall_domain::{Caller, ClientRequest, answer_quarantined};
use comfreyhall_quarantine::{Feature, Fingerprint};

use super::{ActiveRequest, Reply};
use crate::{
    active_send::ActiveSend,
    quarantine::{self, Admission, Rejection},
};

/// Most segments of a prompt that are features: a caller could name thousands, each of
/// which becomes evidence when a target ends.
const MAX_SEGMENTS: u8 = 16;

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

/// What may be the cause if targets end under a request: itself and the segments of its
/// prompt that other requests may share.
fn features_of(request: &ClientRequest, caller: &Caller) -> Vec<Feature> {
    let whole = Feature::request(fingerprint_of(request, caller));
    let segments = (1..=MAX_SEGMENTS).zip(request.shared_segments());
    let segments = segments.map(|(position, s)| Feature::segment(s.id, position));
    std::iter::once(whole).chain(segments).collect()
}

impl ActiveRequest {
    /// What may be the cause if targets end under it; itself first. Computed on first
    /// use: most requests are never compared with another.
    pub(crate) fn features(&self) -> &[Feature] {
        self.features
            .get_or_init(|| features_of(&self.client_request, &self.caller))
    }

    /// Its identity over all attempts.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.features()[0].fingerprint
    }

    /// Reports that the target closed the connection while it ran `send`.
    pub(crate) fn report_closed(&self, send: &ActiveSend) {
        let target = &send.target;
        quarantine::connection_closed(&self.node, target, self.features(), send.ran_briefly());
    }

    /// Reports that a target ran it to the end.
    pub(crate) fn report_completed(&self) {
        if !self.node.quarantine.is_empty() {
            quarantine::run_cleared(&self.node, &self.client_request.id, self.features());
        }
    }

    /// Reports that a target goes on with `send` well after its first event.
    pub(crate) fn report_going_on(&self, send: &ActiveSend) {
        if !self.node.quarantine.is_empty() && !send.ran_briefly() {
            let segments = &self.features()[1..];
            quarantine::run_cleared(&self.node, &self.client_request.id, segments);
        }
    }

    /// Why it may not be sent, if it or one of its segments is quarantined.
    ///
    /// Checked before each send: a request may wait for seconds in between, and
    /// evidence from other daemons that arrives meanwhile counts.
    pub(super) async fn quarantined(&mut self) -> Option<Rejection> {
        self.node.quarantine.await_loaded().await;
        if self.node.quarantine.is_empty() {
            return None;
        }
        let node = self.node.clone();
        node.quarantine.await_verdict(&node, self.features()).await;
        if let Some(trial) = &self.trial {
            // A trial allows one send.
            return (self.deliveries > 0).then_some(Rejection {
                feature: trial.feature,
                retry_ms: quarantine::TRIAL_RETRY_MS,
            });
        }
        let admission = node
            .quarantine
            .await_admission(&node, self.features(), &self.probes);
        match admission.await {
            Admission::Allowed(probes) => {
                self.probes.extend(probes);
                None
            }
            Admission::Quarantined(rejection) => Some(rejection),
            Admission::Trial(trial) => {
                log::info!(target: "quarantine", id:% = self.client_request.id, fingerprint:% = trial.feature.fingerprint; "tried again");
                self.trial = Some(trial);
                None
            }
        }
    }

    /// Whether it has to wait until others with one of its segments have run; not for
    /// what holds a permit.
    pub(super) fn must_wait(&self) -> bool {
        let is_empty = self.node.quarantine.is_empty();
        !is_empty && quarantine::must_wait(&self.node, self.features(), &self.probes)
    }

    /// The final answer to a quarantined request.
    pub(super) fn reject_quarantined(&mut self, rejection: Rejection) -> Reply {
        let Rejection { feature, retry_ms } = rejection;
        let why = match feature.kind.is_request() {
            true => "targets ended under it",
            false => "targets ended under a segment of its prompt",
        };
        self.finished = true;
        self.return_credit();
        self.node.metrics.refusal(why);
        if let Some(reply) = self.fallback_reply(why) {
            return reply;
        }
        let (now, left, fingerprint) = (self.node.now(), self.remaining_ms(), feature.fingerprint);
        let held = now - self.began_ms;
        let answer = answer_quarantined(&self.history, retry_ms);
        let evidence = self.node.quarantine.describe_ends(&self.node, &fingerprint);
        self.node.metrics.request(self.route.kind, answer.name());
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, fingerprint:%, segments = self.client_request.segment_ids(), why, answer:?, evidence, sends = self.history.sends, held, left; "given up");
        Reply::Unanswered(answer)
    }
}
