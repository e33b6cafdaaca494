//! Stage "route": a lookup is handed to the router, and its one final answer waited for.

use crate::book::{Answer, Book};
use crate::clients::admit::Ask;
use crate::http;
use crate::proxy::Proxy;
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Beside a time limit, until a lookup's answer is taken to be forgotten: the rules allow 50 ms.
const OVERDUE: Duration = Duration::from_millis(30);

/// `None` if the client has gone away. One that sends more before its answer breaks the protocol and gets none.
pub async fn route(proxy: &Proxy, stream: &Async<TcpStream>, rest: &mut Vec<u8>, ask: Ask) -> Option<Answer> {
    let expires = ask.expires;
    let (lkp, answered) = Book::take(proxy, Rc::new(ask));
    let late = async {
        // The router answers by then; a lookup it forgot would hold the connection for ever.
        Timer::at(proxy.clock.instant(expires) + OVERDUE).await;
        warn!(proxy.log, "a lookup without an answer");
        Book::client_left(proxy, lkp);
        Some(Answer::bare(500))
    };
    let gone = async {
        let more = matches!(http::more(stream, rest).await, Ok(1..));
        Book::client_left(proxy, lkp);
        more.then(|| Answer::bare(400))
    };
    async { answered.recv().await.ok() }.or(gone).or(late).await
}
