//! The weight store stand-in: a few loads per second, one at a time.

use std::{sync::Arc, time::Duration};

use comfreyhall_protocol::{
    FaultOrder, FaultReply, FetchReply, FetchRequest, weights_server::Weights,
};
use tokio::{sync::Mutex, time::Instant};
use tonic::{Request, Response, Status};

use crate::Faults;

/// Reported size of an adapter's weights, in bytes.
const ADAPTER_BYTES: u64 = 64 << 20;

/// A weight store that serves one fetch at a time at `loads_per_sec`.
#[derive(Clone)]
pub struct WeightsStandin {
    /// Held during a fetch, so that only one runs at a time.
    fetch_lock: Arc<Mutex<()>>,
    fetch_duration: Duration,
    faults: Faults,
}

impl WeightsStandin {
    /// Creates a store that allows `loads_per_sec` loads per second.
    pub fn new(loads_per_sec: f64) -> Self {
        Self {
            fetch_lock: Arc::default(),
            fetch_duration: Duration::from_secs_f64(1.0 / loads_per_sec.max(0.001)),
            faults: Faults::default(),
        }
    }
}

#[tonic::async_trait]
impl Weights for WeightsStandin {
    async fn fetch(&self, req: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        self.faults.delay_or_fail().await?;
        let start = Instant::now();
        let _guard = self.fetch_lock.lock().await;
        let waited = start.elapsed();
        tokio::time::sleep(self.fetch_duration).await;
        if self.faults.load_fails() {
            let failed = req.get_ref();
            return Err(Status::internal(format!(
                "fetch of {}@{} failed by fault order",
                failed.adapter, failed.version
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
