//! Caps of workspaces, kept together with the other daemons.
//!
//! A request takes credit before it waits for anything, so that one over the
//! cap is refused at once and costs the others nothing; the credit counts as
//! used when the request is sent ([`Credit`]). The meter decides
//! (`comfreyhall-workspace`); this duty tells it who is there, and carries its
//! calls to the homes of workspaces.

mod settle;
mod wire;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use comfreyhall_domain::{Config, Name, Workspace};
use comfreyhall_settings::CapWay;
use comfreyhall_workspace::{Basis, Home, Lending, Meter, Sharing, Taken, Tolerance};
use tokio::sync::Notify;

pub(crate) use self::{settle::spawn, wire::answer};
use crate::{clock, leases, node::Node};

/// Longest that a request waits for the answer of a home, in ms: it takes some
/// ms, and some tens on a busy core.
const ANSWER_MS: u64 = 250;

/// Pause before a request that nobody could be asked for looks again, in ms.
const LOOK_MS: u64 = 40;

/// The group of workspaces where no group of engines is known.
const ONLY_GROUP: &str = "fleet";

/// The caps as this daemon keeps them.
#[derive(Default)]
pub(crate) struct Caps {
    state: Mutex<State>,
    /// Told when a home has answered.
    settled: Notify,
}

#[derive(Default)]
struct State {
    meter: Option<Box<dyn Meter>>,
    /// The configuration that the meter has, and over which groups it is spread.
    version: u64,
    groups: Vec<Name>,
}

/// Why a request gets no credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// Its workspace is over its cap.
    Over {
        /// Until there is room for it, in ms.
        retry_ms: u64,
    },
    /// Nobody in hearing knows how much the others use.
    Unsure {
        /// Until that may be known, in ms.
        retry_ms: u64,
    },
}

impl Caps {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether any workspace has a cap.
    pub(crate) fn in_use(&self) -> bool {
        self.state().meter.is_some()
    }

    /// What a refusal of `workspace` rests on.
    pub(crate) fn basis(&self, workspace: &str, now: u64) -> Basis {
        let state = self.state();
        let meter = state.meter.as_ref();
        meter.map_or_else(Basis::default, |m| m.basis(workspace, now))
    }
}

/// Gives the meter the configuration in force, if it has another.
fn refresh(node: &Node) {
    let Some(config) = node.config() else {
        return;
    };
    let mut groups = leases::groups(node);
    if groups.is_empty() {
        groups.push(ONLY_GROUP.into());
    }
    let now = node.now();
    let mut state = node.caps.state();
    if state.version == config.version && state.groups == groups {
        return;
    }
    let Some(workspaces) = &config.workspaces else {
        state.meter = None;
        return;
    };
    let meter = state.meter.get_or_insert_with(|| meter(node));
    meter.configure(workspaces, &groups, now);
    state.version = config.version;
    state.groups = groups;
    let met = settle::homes(node, &state.groups);
    if let Some(meter) = &mut state.meter {
        meter.meet(&met.homes, met.fleet, now);
    }
}

fn meter(node: &Node) -> Box<dyn Meter> {
    let settings = node.settings();
    let tolerance = Tolerance {
        window_ms: (settings.caps.window_s * 1_000.0) as u64,
        overshoot: settings.caps.overshoot,
        slack: settings.caps.slack,
    };
    let me = Home {
        peer: node.fleet.peer().into(),
        boot: node.fleet.boot(),
    };
    match settings.caps.way {
        CapWay::Lending => Box::new(Lending::new(me, tolerance, clock::now())),
        CapWay::Sharing => Box::new(Sharing::new(me, tolerance)),
    }
}

/// Takes credit of `size` units for a request of `workspace`, which has a cap
/// in `config`.
pub(crate) async fn reserve(
    node: &Arc<Node>,
    config: &Config,
    workspace: &Workspace,
    size: u64,
) -> Result<Credit, Refused> {
    if node.caps.state().version != config.version {
        refresh(node);
    }
    let began = node.now();
    if let Some(meter) = &mut node.caps.state().meter {
        meter.ask(&workspace.name, size, began);
    }
    loop {
        let settled = node.caps.settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        let now = node.now();
        let left = ANSWER_MS.saturating_sub(now.saturating_sub(began));
        let taken = match &mut node.caps.state().meter {
            Some(meter) => meter.take(&workspace.name, size, now),
            None => Taken::Unsure { retry_ms: left },
        };
        match taken {
            Taken::Granted => return Ok(Credit::new(node, &workspace.name, size)),
            Taken::Over { retry_ms } => return Err(Refused::Over { retry_ms }),
            Taken::Ask if left > 0 => {
                settle::settle_due(node);
                // Late or not, the meter is asked again.
                let _ = tokio::time::timeout(Duration::from_millis(left), settled).await;
            }
            Taken::Unsure { retry_ms } if retry_ms <= left && left > 0 => {
                let pause = Duration::from_millis(LOOK_MS.min(left));
                let _ = tokio::time::timeout(pause, settled).await;
            }
            Taken::Unsure { retry_ms } => return Err(Refused::Unsure { retry_ms }),
            Taken::Ask => return Err(Refused::Unsure { retry_ms: LOOK_MS }),
        }
    }
}

/// Credit of one request; what was not sent goes back when it is dropped.
pub(crate) struct Credit {
    node: Arc<Node>,
    workspace: Name,
    size: u64,
    sent: bool,
}

impl Credit {
    fn new(node: &Arc<Node>, workspace: &Name, size: u64) -> Self {
        Self {
            node: node.clone(),
            workspace: workspace.clone(),
            size,
            sent: false,
        }
    }

    /// The request is about to be sent. Its own repeats cost no more.
    pub(crate) fn sent(&mut self) {
        if !std::mem::replace(&mut self.sent, true) {
            self.with(|meter, name, size| meter.sent(name, size));
        }
    }

    /// The request has surely not run and is not sent any more.
    pub(crate) fn give_back(mut self) {
        if std::mem::replace(&mut self.sent, false) {
            self.with(|meter, name, size| meter.not_run(name, size));
            self.size = 0;
        }
    }

    fn with(&self, act: impl FnOnce(&mut dyn Meter, &str, u64)) {
        if let Some(meter) = &mut self.node.caps.state().meter {
            act(meter.as_mut(), &self.workspace, self.size);
        }
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.sent && self.size > 0 {
            self.with(|meter, name, size| meter.unsent(name, size));
        }
    }
}
