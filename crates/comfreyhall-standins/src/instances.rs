//! The instance list stand-in: live and leaving instances, as of a while ago.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyhall_protocol::{
    FaultOrder, FaultReply, ListQuery, ListReply, Listed, MarkOrder, MarkReply,
    instances_server::Instances,
};
use tokio::time::Instant;
use tonic::{Request, Response, Status};

use crate::Faults;

/// How long a mark takes to show in the list.
const LAG: Duration = Duration::from_millis(800);

#[derive(Default)]
struct State {
    listed: Vec<Listed>,
    /// Marks that do not show yet, oldest first.
    marks: VecDeque<(Instant, MarkOrder)>,
}

impl State {
    fn settle(&mut self) {
        while self.marks.front().is_some_and(|m| m.0.elapsed() >= LAG) {
            let Some((_, mark)) = self.marks.pop_front() else {
                return;
            };
            self.listed.retain(|l| l.id != mark.id);
            if !mark.gone {
                self.listed.push(Listed {
                    id: mark.id,
                    leaving: mark.leaving,
                });
            }
        }
    }
}

/// A list of instances that shows each change [`LAG`] late.
#[derive(Clone, Default)]
pub struct InstancesStandin {
    state: Arc<Mutex<State>>,
    faults: Faults,
}

impl InstancesStandin {
    /// A list that starts with `ids`, all live.
    pub fn new(ids: impl IntoIterator<Item = String>) -> Self {
        let list = Self::default();
        list.state.lock().unwrap().listed = ids
            .into_iter()
            .map(|id| Listed { id, leaving: false })
            .collect();
        list
    }
}

#[tonic::async_trait]
impl Instances for InstancesStandin {
    async fn list(&self, _: Request<ListQuery>) -> Result<Response<ListReply>, Status> {
        self.faults.gate().await?;
        let mut state = self.state.lock().unwrap();
        state.settle();
        Ok(Response::new(ListReply {
            instances: state.listed.clone(),
        }))
    }

    async fn mark(&self, req: Request<MarkOrder>) -> Result<Response<MarkReply>, Status> {
        let mark = (Instant::now(), req.into_inner());
        self.state.lock().unwrap().marks.push_back(mark);
        Ok(Response::new(MarkReply {}))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
