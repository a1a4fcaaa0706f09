//! The object store stand-in: whole objects by key, with unconditional writes.

use std::sync::{Arc, Mutex};

use comfreyhall_protocol::{
    FaultOrder, FaultReply, GetObjectReply, GetObjectRequest, Map, PutObjectReply,
    PutObjectRequest, objects_server::Objects,
};
use tonic::{Request, Response, Status};

use crate::Faults;

/// An in-memory object store.
#[derive(Clone, Default)]
pub struct ObjectsStandin {
    objects: Arc<Mutex<Map<String, Vec<u8>>>>,
    faults: Faults,
}

#[tonic::async_trait]
impl Objects for ObjectsStandin {
    async fn put_object(
        &self,
        req: Request<PutObjectRequest>,
    ) -> Result<Response<PutObjectReply>, Status> {
        self.faults.delay_or_fail().await?;
        let req = req.into_inner();
        self.objects.lock().unwrap().insert(req.key, req.value);
        if self.faults.loses_reply() {
            return Err(Status::unavailable("answer lost by fault order"));
        }
        Ok(Response::new(PutObjectReply {}))
    }

    async fn get_object(
        &self,
        req: Request<GetObjectRequest>,
    ) -> Result<Response<GetObjectReply>, Status> {
        self.faults.delay_or_fail().await?;
        let found = self
            .objects
            .lock()
            .unwrap()
            .get(&req.get_ref().key)
            .cloned();
        Ok(Response::new(GetObjectReply {
            found: found.is_some(),
            value: found.unwrap_or_default(),
        }))
    }

    async fn fault(&self, req: Request<FaultOrder>) -> Result<Response<FaultReply>, Status> {
        self.faults.set(req.get_ref());
        Ok(Response::new(FaultReply {}))
    }
}
