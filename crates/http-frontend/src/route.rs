//! Stage "route": a request is handed to the balancer, and its one final answer waited for.

use crate::admit::HttpRequest;
use crate::relay::Reply;
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

/// Beside a time limit, until a request's answer is taken to be forgotten: the rules allow 50 ms.
const OVERDUE: Duration = Duration::from_millis(30);

/// `None` if the client has gone away. One that sends more before its answer breaks the protocol and gets none.
pub async fn route(
    engine: &Rc<Engine>,
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    request: HttpRequest,
) -> Option<Reply> {
    let expires = request.expires;
    let (request_id, answered) = api::accept_request(engine, Rc::new(request));
    let late = async {
        // The balancer answers by then; a request it forgot would hold the connection for ever.
        Timer::at(engine.clock.instant(expires) + OVERDUE).await;
        warn!(engine.log, "a lookup without an answer");
        engine.violations.check(&engine.log, Some(Violation::NoFinalAnswer));
        api::client_left(engine, request_id);
        Some(Reply::bare(500))
    };
    let gone = async {
        let came = matches!(read_more(stream, rest).await, Ok(1..));
        api::client_left(engine, request_id);
        came.then(|| Reply::bare(400))
    };
    let answer = async {
        match answered.recv().await {
            Ok(answer) => Some(Reply::from(answer)),
            // Called off where an attempt was to be written: what that saw is read here next.
            Err(_) => std::future::pending().await,
        }
    };
    answer.or(gone).or(late).await
}
