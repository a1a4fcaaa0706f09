//! The weight store stand-in: a few loads a second, one at a time.

use std::{sync::Arc, time::Duration};

use comfreyhall_protocol::{
    FaultOrder, FaultReply, FetchReply, FetchRequest, weights_server::Weights,
};
use tokio::{sync::Mutex, time::Instant};
use tonic::{Request, Response, Status};

use crate::Faults;

/// Bytes a stand-in adapter's weights weigh.
const ADAPTER_BYTES: u64 = 64 << 20;

/// A weight store that serves one fetch at a time at `loads_per_sec`.
#[derive(Clone)]
pub struct WeightsStandin {
    /// Held for the length of one fetch: only one runs at full speed.
    line: Arc<Mutex<()>>,
    per_load: Duration,
    faults: Faults,
}

impl WeightsStandin {
    /// A store allowing `loads_per_sec` loads a second.
    pub fn new(loads_per_sec: f64) -> Self {
        Self {
            line: Arc::default(),
            per_load: Duration::from_secs_f64(1.0 / loads_per_sec.max(0.001)),
            faults: Faults::default(),
        }
    }
}

#[tonic::async_trait]
impl Weights for WeightsStandin {
    async fn fetch(&self, req: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        self.faults.gate().await?;
        let start = Instant::now();
        let _turn = self.line.lock().await;
        let waited = start.elapsed();
        tokio::time::sleep(self.per_load).await;
        if self.faults.load_fails() {
            let r = req.get_ref();
            return Err(Status::internal(format!(
                "fetch of {}@{} failed by fault order",
                r.adapter, r.version
            )));
        }
        Ok(Response::new(FetchReply {
            bytes: ADAPTER_BYTES,
            wait_ms: waited.as_millis() as u64,
        }))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
