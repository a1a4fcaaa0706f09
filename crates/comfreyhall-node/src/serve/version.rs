//! Keeps a stream at the software version that began it.
//!
//! A request is bound to a version when it resumes a stream, or with the first event
//! that its caller gets. Until then it may be sent to targets of any version, except
//! those that may not begin streams yet.

use comfreyhall_domain::{RouteKind, Stage, Target};
use comfreyhall_streams::{Proof, SoftwareRule, StreamRecord};

use super::{ActiveRequest, Reply, request::StreamVersion};
use crate::streams;

impl ActiveRequest {
    /// Which software versions may receive it now.
    pub(super) fn software_rule(&self) -> SoftwareRule {
        match &self.stream {
            StreamVersion::Bound { software, .. } => SoftwareRule::Only(software.clone()),
            _ if self.is_resumable() => self.node.begin_rule(&self.service),
            _ => SoftwareRule::Any,
        }
    }

    fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Stream && self.route.resumable
    }

    /// Whether the rest of its stream may come from another target.
    pub(super) fn may_change_target(&self) -> bool {
        match &self.stream {
            StreamVersion::Bound { service, .. } => *service == self.service,
            StreamVersion::Unbound => true,
            StreamVersion::Unknown => false,
        }
    }

    /// Finds the version of the stream that its caller resumes, and binds the request
    /// to it; returns the answer if it cannot go on.
    pub(super) async fn bind_version(&mut self) -> Option<Reply> {
        let last = self.client_request.last_event_id;
        let last = last.filter(|_| self.route.kind == RouteKind::Stream)?;
        let first = self.client_request.resumes.clone();
        let began = self.node.now();
        let proof = streams::find_version(&self.node, &self.service, first.as_ref()).await;
        let ms = self.node.now() - began;
        let Some(proof) = proof else {
            self.log_resumption(last, "", "unknown", 0, ms);
            return Some(self.give_up("the version of its stream is not known", 0.0));
        };
        self.log_resumption(
            last,
            &proof.software,
            proof.evidence.name(),
            proof.age_ms,
            ms,
        );
        if !self.follow_stream(proof) {
            return Some(self.give_up("its stream belongs to another service", 0.0));
        }
        self.reject_gone_version()
    }

    /// Binds the request to the service and version of its stream; returns whether its
    /// route allows that.
    fn follow_stream(&mut self, proof: Proof) -> bool {
        let service = proof.service.unwrap_or_else(|| self.service.clone());
        if service != self.service {
            let mut shares = self.route.shares.iter();
            if !shares.any(|s| s.weight > 0 && s.service == service) {
                return false;
            }
            let config = self.node.config();
            let found = config.as_ref().and_then(|c| c.services.get(&service));
            self.engine = found.and_then(|s| s.engine.clone());
            self.service = service.clone();
        }
        self.stream = StreamVersion::Bound {
            service,
            software: proof.software,
        };
        true
    }

    /// The answer to a resumption whose version serves no more.
    pub(super) fn reject_gone_version(&mut self) -> Option<Reply> {
        let StreamVersion::Bound { software, .. } = self.stream.clone() else {
            return None;
        };
        if !self.may_change_target() {
            return Some(self.give_up("its stream belongs to another service", 0.0));
        }
        let serves = {
            let view = self.node.view();
            let mut targets = view.targets.values();
            targets.any(|t| {
                t.service == self.service
                    && t.software.as_ref() == Some(&software)
                    && t.stage == Stage::Ready
            })
        };
        if serves {
            return None;
        }
        self.node.metrics.resumption("version_gone");
        Some(self.give_up("no target of its stream's version serves", 0.0))
    }

    /// Binds the request to the version of `target`, whose first event its caller is
    /// about to get.
    pub(super) fn stream_began(&mut self, target: &Target) {
        if self.stream != StreamVersion::Unbound {
            return;
        }
        let Some(software) = target.software.clone() else {
            self.stream = StreamVersion::Unknown;
            return;
        };
        self.stream = StreamVersion::Bound {
            service: self.service.clone(),
            software: software.clone(),
        };
        if !self.is_resumable() {
            return;
        }
        let now = self.node.now();
        let record = StreamRecord {
            service: self.service.clone(),
            software,
            expires_ms: streams::expiry_ms(self.deadline_ms, now),
        };
        let mixed = {
            let view = self.node.view();
            let history = view.versions.get(&self.service);
            history.is_some_and(|h| h.is_mixed())
        };
        let id = &self.client_request.id;
        self.running = Some(self.node.streams.begin(id, record, mixed, now));
    }

    /// Logs how the version of a resumed stream is known.
    fn log_resumption(&self, last: u64, software: &str, by: &'static str, age: u64, ms: u64) {
        self.node.metrics.resumption(by);
        let first = self.client_request.resumes.as_deref().unwrap_or("");
        let now = self.node.now();
        let (listed, span, versions) = {
            let view = self.node.view();
            let history = view.versions.get(&self.service);
            history.map_or((0, 0, 0), |h| (h.age_ms(now), h.span_ms(now), h.versions()))
        };
        log::info!(target: "serve", id:% = self.client_request.id, route:% = self.route.name, first, last, software, by, age, ms, listed, span, versions; "caller resumes a stream");
    }
}
