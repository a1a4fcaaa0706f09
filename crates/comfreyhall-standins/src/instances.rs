//! The instance list stand-in: live and draining instances, reported with a delay.

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

/// Time until a mark takes effect in the list.
const LIST_DELAY: Duration = Duration::from_millis(800);

#[derive(Default)]
struct State {
    listed: Vec<Listed>,
    /// Marks that have not taken effect yet, oldest first.
    pending: VecDeque<(Instant, MarkOrder)>,
}

impl State {
    /// Applies the marks that are at least [`LIST_DELAY`] old.
    fn apply_due(&mut self) {
        while self
            .pending
            .front()
            .is_some_and(|m| m.0.elapsed() >= LIST_DELAY)
        {
            let Some((_, mark)) = self.pending.pop_front() else {
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

/// A list of instances that shows each change [`LIST_DELAY`] late.
#[derive(Clone, Default)]
pub struct InstancesStandin {
    state: Arc<Mutex<State>>,
    faults: Faults,
}

impl InstancesStandin {
    /// Creates a list of `ids`, all of them live.
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
        self.faults.delay_or_fail().await?;
        let mut state = self.state.lock().unwrap();
        state.apply_due();
        Ok(Response::new(ListReply {
            instances: state.listed.clone(),
        }))
    }

    async fn mark(&self, req: Request<MarkOrder>) -> Result<Response<MarkReply>, Status> {
        let mark = (Instant::now(), req.into_inner());
        self.state.lock().unwrap().pending.push_back(mark);
        Ok(Response::new(MarkReply {}))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
