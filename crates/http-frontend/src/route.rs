//! Stage "route": passes a request to the engine and waits for its final response.

use crate::reply::Reply;
use crate::request::HttpRequest;
use chalkwalk_balancer::admission::Violation;
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::response::ResponseStatus;
use chalkwalk_sockets::read_more;
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time after the expiry of a request until a missing response is treated as lost. The platform's
/// rules allow the response to be sent up to 50 ms after the expiry.
const LOST_RESPONSE_DELAY: Duration = Duration::from_millis(30);

/// Returns the reply to a request, or `None` if its client has disconnected. A client that sends
/// more data before the response violates the protocol: it gets status 400 in place of the
/// response.
pub(crate) async fn route(
    engine: &Rc<Engine>,
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    request: Rc<HttpRequest>,
) -> Option<Reply> {
    let expires_at = request.expires_at;
    let (request_id, response) = api::accept_request(engine, request.clone());
    let overdue = async {
        // The balancer normally responds before this time. The timeout guards against a balancer
        // that lost track of the request, which would hold the connection forever.
        Timer::at(engine.clock.instant(expires_at) + LOST_RESPONSE_DELAY).await;
        warn!(engine.log, "request without a response");
        engine.violations.check(&engine.log, Some(Violation::NoFinalAnswer));
        api::client_disconnected(engine, request_id);
        Some(Reply::empty(500))
    };
    let client_disconnected = async {
        let sent_more = matches!(read_more(stream, read_ahead).await, Ok(1..));
        api::client_disconnected(engine, request_id);
        sent_more.then(|| Reply::empty(400))
    };
    let responded = async {
        match response.recv().await {
            Ok(response) => {
                if matches!(response.status, ResponseStatus::Rejected(_)) {
                    request.open_id.mark_refused();
                }
                Some(Reply::from(response))
            }
            // When the engine was about to write an attempt, it found that the client no longer
            // waits. The `client_disconnected` future then reads the end of the stream or the data
            // that the engine found.
            Err(_) => std::future::pending().await,
        }
    };
    responded.or(client_disconnected).or(overdue).await
}
