//! Stage "route": a request is handed to the engine, and its one final response waited for.

use crate::reply::Reply;
use crate::request::HttpRequest;
use chalkwalk_balancer::admission::Violation;
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_sockets::read_more;
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Beside a time limit, until a request's response is taken to be forgotten: the rules allow 50 ms.
const OVERDUE: Duration = Duration::from_millis(30);

/// The reply to a request; `None` if its client has gone. A client that sends more before the
/// response breaks the protocol and gets none.
pub(crate) async fn route(
    engine: &Rc<Engine>,
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    request: Rc<HttpRequest>,
) -> Option<Reply> {
    let expires = request.expires;
    let (request_id, response) = api::accept_request(engine, request);
    let overdue = async {
        // The balancer responds by then; a request that it forgot would hold the connection
        // forever.
        Timer::at(engine.clock.instant(expires) + OVERDUE).await;
        warn!(engine.log, "request without a response");
        engine.violations.check(&engine.log, Some(Violation::NoFinalAnswer));
        api::client_left(engine, request_id);
        Some(Reply::empty(500))
    };
    let client_left = async {
        let sent_more = matches!(read_more(stream, unread).await, Ok(1..));
        api::client_left(engine, request_id);
        sent_more.then(|| Reply::empty(400))
    };
    let responded = async {
        match response.recv().await {
            Ok(response) => Some(Reply::from(response)),
            // The client was seen to have left where an attempt was to be written: what was seen
            // there is read here next.
            Err(_) => std::future::pending().await,
        }
    };
    responded.or(client_left).or(overdue).await
}
