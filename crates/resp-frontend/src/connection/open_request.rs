//! A request that the engine has accepted and whose response the connection waits for.

use super::key_order::KeyHashes;
use crate::frontend::Frontend;
use crate::request::RespRequest;
use chalkwalk_balancer::RequestId;
use chalkwalk_engine::api;
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::response::{Response, ResponseStatus};
use smol::channel::{Receiver, bounded};
use std::cell::Cell;
use std::rc::Rc;

/// A request whose reply has not been written. If it is dropped before the response arrives, which
/// happens when the client disconnects, the engine is told to make no further attempts.
pub struct OpenRequest {
    frontend: Rc<Frontend>,
    request_id: RequestId,
    answer: Receiver<Answer>,
    answered: Rc<Cell<bool>>,
}

/// The response to a request.
pub struct Answer {
    /// The response.
    pub response: Response,
    /// The permit of the request, if its response is still arriving: the request counts as in flight
    /// until the response is written.
    pub permit: Option<Permit>,
}

/// A request that has just been accepted.
pub struct StartedRequest {
    /// The request.
    pub request: OpenRequest,
    /// A channel that closes once the request is answered, whether or not the client has read the
    /// response.
    pub done: Receiver<()>,
}

impl OpenRequest {
    /// Passes a request to the engine. The permit is returned, and the hashes of its keys are
    /// dropped, once the request is answered.
    pub fn start(request: RespRequest, permit: Permit, keys: Rc<KeyHashes>) -> StartedRequest {
        let frontend = request.frontend.clone();
        let (request_id, engine_response) = api::accept_request(&frontend.engine, Rc::new(request));
        let (done_sender, done) = bounded::<()>(1);
        let (sender, answer) = bounded(1);
        let answered = Rc::new(Cell::new(false));
        let answered_flag = answered.clone();
        let forward_response = async move {
            if let Ok(response) = engine_response.recv().await {
                answered_flag.set(true);
                let permit = response.stream.is_some().then_some(permit);
                _ = sender.try_send(Answer { response, permit });
            }
            drop((keys, done_sender));
        };
        frontend.engine.executor.spawn(forward_response).detach();
        StartedRequest { request: OpenRequest { frontend, request_id, answer, answered }, done }
    }

    /// Whether the response has arrived.
    pub fn is_answered(&self) -> bool {
        !self.answer.is_empty()
    }

    /// Waits for the response; `None` if the engine has dropped the request.
    pub async fn answer(&self) -> Option<Answer> {
        let answer = self.answer.recv().await.ok();
        if matches!(
            &answer,
            Some(Answer { response: Response { status: ResponseStatus::Rejected(_), .. }, .. })
        ) {
            // An outdated slot map may be the reason that no server could serve the request.
            self.frontend.request_refresh();
        }
        answer
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if !self.answered.get() {
            api::client_disconnected(&self.frontend.engine, self.request_id);
        }
    }
}
