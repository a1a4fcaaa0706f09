//! The daemon's lifecycle: a state machine read from `charts/instance.jsonc`.
//!
//! The chart lists, for each stage, which event leads to which next stage;
//! statig runs it. An event that the chart does not list for a stage is
//! ignored, so a second stop, or a configuration read while draining, is
//! harmless.

mod grace;

pub use grace::{Grace, SendTiming};

use std::sync::Mutex;

use comfreyhall_protocol::Map;
use serde::Deserialize;
use statig::{
    Outcome,
    blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine, Superstate},
};
use tokio::sync::watch;

const CHART_JSON: &str = include_str!("../charts/instance.jsonc");

/// Stage of a daemon's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No configuration has been read yet.
    Starting,
    /// Accepts requests.
    Serving,
    /// A planned stop was requested.
    Leaving,
    /// Nothing is in progress.
    Stopped,
}

/// Event that can move a daemon to another stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A configuration was read for the first time.
    Synced,
    /// A planned stop was requested.
    Stop,
    /// The last request in progress ended.
    Drained,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Chart {
    initial: Stage,
    states: Map<Stage, Map<Event, Stage>>,
}

fn parse_chart() -> Chart {
    json5::from_str(CHART_JSON).expect("the built-in chart parses; a test reads it")
}

/// State machine context for statig; every transition is looked up in the
/// chart.
struct Machine {
    chart: Chart,
}

impl IntoStateMachine for Machine {
    type Event<'evt> = Event;
    type Context<'ctx> = ();
    type State = Stage;
    type Superstate<'sub> = NoSuperstate;

    fn initial() -> Stage {
        parse_chart().initial
    }
}

/// The chart is flat, so there are no superstates.
struct NoSuperstate;

impl Superstate<Machine> for NoSuperstate {
    fn call_handler(&mut self, _: &mut Machine, _: &Event, _: &mut ()) -> Outcome<Stage> {
        Outcome::Handled
    }
}

impl State<Machine> for Stage {
    fn call_handler(&mut self, machine: &mut Machine, event: &Event, _: &mut ()) -> Outcome<Stage> {
        let next = machine.chart.states.get(self).and_then(|s| s.get(event));
        next.map_or(Outcome::Handled, |s| Outcome::Transition(*s))
    }
}

/// Lifecycle of this daemon; changes of its stage can be awaited.
pub struct Lifecycle {
    machine: Mutex<StateMachine<Machine>>,
    stage: watch::Sender<Stage>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle {
    /// A lifecycle at the chart's initial stage.
    pub fn new() -> Self {
        let machine = Machine {
            chart: parse_chart(),
        }
        .state_machine();
        Self {
            machine: Mutex::new(machine),
            stage: watch::Sender::new(Machine::initial()),
        }
    }

    /// Applies one event to the chart.
    pub fn handle(&self, event: Event) {
        let mut machine = self.machine.lock().expect("no holder of this lock panics");
        machine.handle(&event);
        let next = *machine.state();
        self.stage.send_if_modified(|stage| {
            let changed = *stage != next;
            if changed {
                log::info!(target: "daemon", "{stage:?} became {next:?} on {event:?}");
            }
            *stage = next;
            changed
        });
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the daemon reaches `stage`.
    pub async fn wait_for_stage(&self, stage: Stage) {
        let mut watch = self.stage.subscribe();
        let _ = watch.wait_for(|s| *s == stage).await;
    }
}
