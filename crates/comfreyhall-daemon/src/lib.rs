//! The comfreyhall daemon, one per entry instance.
//!
//! It serves callers over HTTP (addresses to use, and completion requests),
//! routes each request to an engine that has loaded or will load the requested
//! adapter version, and runs the control tasks, among them membership
//! heartbeats in the table service and the engine status polls that placement
//! is based on. Each is its own task; they share the [`app::App`] state.
//!
//! The daemon stores nothing on disk. Durable state (catalog, membership) is
//! kept in the platform's table service.

mod answer_link;
mod app;
mod claims;
mod demand;
mod ends;
mod engine_view;
mod engines;
mod error;
mod http;
mod member;
mod metrics;
mod orders;
mod outbound;
mod peer;
mod quarantine;
mod relay;
mod resolve;
mod route;
mod stats;
mod stopping;
mod stuck;

use comfreyhall_settings::{PolicyKind, Settings};
use eyre::{WrapErr, eyre};

/// Runs the daemon of instance `id` until it is stopped or drained.
///
/// `policy` overrides the settings' placement policy when given.
pub async fn run(settings: Settings, id: &str, policy: Option<PolicyKind>) -> eyre::Result<()> {
    let instance = settings
        .instance(id)
        .ok_or_else(|| {
            eyre!("instance {id} is not in the settings; use one of the ids under \"instances\"")
        })?
        .clone();
    let app = app::App::new(settings, instance, policy)?;
    engines::spawn_polls(&app);
    member::spawn(&app);
    peer::spawn(&app);
    quarantine::spawn(&app);
    orders::spawn(&app);
    orders::spawn_reports(&app);
    tokio::spawn(stopping::stop_task(app.clone()));
    let listener = tokio::net::TcpListener::bind(&app.instance.listen)
        .await
        .wrap_err_with(|| {
            format!(
                "cannot listen on {}; is another process using it?",
                app.instance.listen
            )
        })?;
    log::info!(target: "daemon", "instance {} serving on {} in domain {}", app.instance.id, app.instance.listen, app.instance.domain);
    http::serve(app, listener).await
}
