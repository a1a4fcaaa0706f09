//! The daemon's life cycle, driven by the chart in `charts/instance.jsonc`.
//!
//! The chart says which event leads from which stage to which; statig runs
//! it. An event that the chart does not list for a stage changes nothing, so
//! a second stop, or a late sync while leaving, is harmless.

use std::sync::Mutex;

use comfreyhall_protocol::Map;
use serde::Deserialize;
use statig::{
    Outcome,
    blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine, Superstate},
};
use tokio::sync::watch;

const CHART: &str = include_str!("../charts/instance.jsonc");

/// Where a daemon is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No configuration is known yet.
    Starting,
    /// Takes requests.
    Serving,
    /// A planned stop was asked for.
    Leaving,
    /// Nothing is in progress.
    Stopped,
}

/// What moves a daemon through its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A configuration was read for the first time.
    Synced,
    /// A planned stop was asked for.
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

fn chart() -> Chart {
    json5::from_str(CHART).expect("the built-in chart parses; a test reads it")
}

/// The machine statig runs: it only consults the chart.
struct Machine {
    chart: Chart,
}

impl IntoStateMachine for Machine {
    type Event<'evt> = Event;
    type Context<'ctx> = ();
    type State = Stage;
    type Superstate<'sub> = NoSuperstate;

    fn initial() -> Stage {
        chart().initial
    }
}

/// The chart is flat.
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

/// The life of this daemon; its stage can be watched.
pub struct Life {
    machine: Mutex<StateMachine<Machine>>,
    stage: watch::Sender<Stage>,
}

impl Default for Life {
    fn default() -> Self {
        Self::new()
    }
}

impl Life {
    /// A life at the chart's first stage.
    pub fn new() -> Self {
        let machine = Machine { chart: chart() }.state_machine();
        Self {
            machine: Mutex::new(machine),
            stage: watch::Sender::new(Machine::initial()),
        }
    }

    /// Feeds one event to the chart.
    pub fn handle(&self, event: Event) {
        let mut machine = self.machine.lock().expect("no holder of this lock panics");
        machine.handle(&event);
        let next = *machine.state();
        self.stage.send_if_modified(|stage| {
            let moved = *stage != next;
            if moved {
                log::info!(target: "daemon", "{stage:?} became {next:?} on {event:?}");
            }
            *stage = next;
            moved
        });
    }

    /// The stage it is at.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the daemon is at `stage`.
    pub async fn reached(&self, stage: Stage) {
        let mut watch = self.stage.subscribe();
        let _ = watch.wait_for(|s| *s == stage).await;
    }
}
