//! Where requests come in: from callers, and from other daemons.

use std::sync::Arc;

use comfreyhall_domain::{Answer, ClientRequest, RouteKind};

use super::{
    ActiveRequest, Reply, caller,
    caller::SettingsBasis,
    pass_on::Reach,
    request::{NOT_READY_RETRY_MS, Origin},
};
use crate::{node::Node, stop};

impl Node {
    /// Serves a request of a caller. Dropping the future cancels it where that is
    /// safe: a request that runs at most once continues to its end, since a
    /// partial run can be neither undone nor repeated.
    pub async fn serve(self: &Arc<Self>, client_request: ClientRequest) -> Reply {
        self.serve_from(client_request, Origin::Caller).await
    }

    /// Serves a request that another daemon has passed on.
    pub(crate) async fn serve_passed_on(self: &Arc<Self>, client_request: ClientRequest) -> Reply {
        self.serve_from(client_request, Origin::Daemon).await
    }

    async fn serve_from(self: &Arc<Self>, client_request: ClientRequest, origin: Origin) -> Reply {
        let guard = self.track();
        let Some(config) = self.config().filter(|_| self.has_started()) else {
            let basis = SettingsBasis::of(&self.view().records.settings_sync, self.now());
            log::info!(target: "serve", id:% = client_request.id, row:% = basis.version, newer:% = basis.newer_version, away = basis.outage_ms, up = self.uptime_ms(); "refused: nothing is known yet");
            return Reply::NotReady {
                retry_ms: NOT_READY_RETRY_MS,
            };
        };
        let (route, caller) = match caller::admit(self, &config, &client_request) {
            Ok(found) => found,
            Err(why) => return self.reject(&client_request, config.version, why),
        };
        let Some(mut request) = ActiveRequest::new(self, &config, client_request, route, caller)
        else {
            return Reply::NoRoute;
        };
        request.in_flight = Some(guard);
        request.may_pass_on = origin == Origin::Caller;
        if !request.stop_allows_send() {
            return request.reject_stopping();
        }
        match request.reach() {
            Reach::Here => {}
            Reach::Peer(peer) => return request.pass_on(peer).await,
            Reach::Nowhere(reply) => return reply,
        }
        match stop::before(request.too_late(), request.reserve_credit(&config)).await {
            Some(None) => {}
            Some(Some(reply)) => return reply,
            None => return request.reject_stopping(),
        }
        match request.route.kind {
            RouteKind::NonIdempotent => match tokio::spawn(request.run()).await {
                Ok(reply) => reply,
                Err(_) => Reply::Unanswered(Answer::Unknown),
            },
            RouteKind::Idempotent | RouteKind::Stream => request.run().await,
        }
    }

    fn has_started(&self) -> bool {
        self.life.stage() != comfreyhall_life::Stage::Starting
    }
}
