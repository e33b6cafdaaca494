//! A request that the engine has accepted, as the connection waits for it.

use crate::frontend::Frontend;
use crate::request::RespRequest;
use chalkwalk_balancer::RequestId;
use chalkwalk_engine::api;
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::response::{Response, ResponseStatus};
use smol::channel::{Receiver, bounded};
use std::cell::Cell;
use std::rc::Rc;

/// A request without a reply yet. Dropped when the client disconnects, it cancels attempts that are
/// still to be made.
pub struct OpenRequest {
    frontend: Rc<Frontend>,
    request_id: RequestId,
    response: Receiver<Response>,
    answered: Rc<Cell<bool>>,
}

/// A request that has just been accepted.
pub struct StartedRequest {
    /// The request.
    pub request: OpenRequest,
    /// Closes once the request is answered, whether or not the client has read the response.
    pub done: Receiver<()>,
}

impl OpenRequest {
    /// Passes a request to the engine. The permit is returned once it is answered.
    pub fn start(request: RespRequest, permit: Permit) -> StartedRequest {
        let frontend = request.frontend.clone();
        let (request_id, from_engine) = api::accept_request(&frontend.engine, Rc::new(request));
        let (not_done, done) = bounded::<()>(1);
        let (sender, response) = bounded(1);
        let answered = Rc::new(Cell::new(false));
        let answered_here = answered.clone();
        let forwarding = async move {
            if let Ok(response) = from_engine.recv().await {
                answered_here.set(true);
                _ = sender.try_send(response);
            }
            drop((permit, not_done));
        };
        frontend.engine.executor.spawn(forwarding).detach();
        StartedRequest { request: OpenRequest { frontend, request_id, response, answered }, done }
    }

    /// Whether its response is there.
    pub fn is_answered(&self) -> bool {
        !self.response.is_empty()
    }

    /// Waits for the response; none if the engine has dropped the request.
    pub async fn response(&self) -> Option<Response> {
        let response = self.response.recv().await.ok();
        if matches!(response, Some(Response { status: ResponseStatus::Rejected(_), .. })) {
            // Perhaps no server may serve it because the map is outdated.
            self.frontend.request_refresh();
        }
        response
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if !self.answered.get() {
            api::client_left(&self.frontend.engine, self.request_id);
        }
    }
}
