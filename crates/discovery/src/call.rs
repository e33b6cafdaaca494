//! One call to the discovery service, from its connection to the whole answer.

use crate::address::DiscoveryAddress;
use crate::timing;
use chalkwalk_balancer::discovery::CONNECT_TIMEOUT;
use chalkwalk_http1::{self as http1, ResponseReader};
use chalkwalk_sockets::{is_idle, within};
use chalkwalk_time::Span;
use smol::Async;
use std::cell::Cell;
use std::net::TcpStream;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// The longest answer, in bytes: 400 bytes a server hold ten thousand servers.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A connection that is reused from one call to the next.
pub(crate) type ReusableConnection = Cell<Option<Async<TcpStream>>>;

/// Why a call brought no answer that could be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The service has too much to do.
    #[error("answered 503")]
    Busy,
    /// It answered, and broke off: which changes it had notified by then is not known.
    #[error("an answer cut short")]
    CutShort,
    #[error("no answer in time")]
    TimedOut,
    #[error("no connection: {0}")]
    NotConnected(std::io::Error),
    #[error("not written: {0}")]
    NotWritten(std::io::Error),
    #[error("no answer")]
    NoAnswer,
    #[error("answered {0}")]
    Status(u16),
    #[error("a list of over {MAX_ANSWER_BYTES} bytes")]
    TooLong,
}

/// An answer's body, or why there is none.
pub(crate) type CallResult = Result<Vec<u8>, CallError>;

/// What a call requests, and how long it may wait at the service for a change.
pub(crate) struct ListRequest {
    pub target: String,
    pub wait: Duration,
}

/// A call under way, until the answer's body is there.
type PendingAnswer<'a> = Pin<Box<dyn Future<Output = CallResult> + 'a>>;

/// A call under way.
pub(crate) struct Call<'a> {
    /// Its number in the log.
    pub number: u64,
    pub begun: Instant,
    /// How long it may wait at the service for a change.
    pub wait: Duration,
    pub answer: PendingAnswer<'a>,
}

impl<'a> Call<'a> {
    pub fn begin(
        address: &'a DiscoveryAddress,
        connection: &'a ReusableConnection,
        number: u64,
        request: ListRequest,
    ) -> Call<'a> {
        let ListRequest { target, wait } = request;
        let answer = async move {
            let answer = within(timing::give_up_after(wait), get(address, connection, &target)).await;
            answer.unwrap_or(Err(CallError::TimedOut))
        };
        Call { number, begun: Instant::now(), wait, answer: Box::pin(answer) }
    }

    /// From when on it counts as silent.
    pub fn silent_at(&self) -> Instant {
        self.begun + timing::silent_after(self.wait)
    }

    /// How long it has taken by now.
    pub fn took(&self) -> Span {
        Span::from(self.begun.elapsed())
    }
}

/// One call on the reusable connection, or on a new one where the service has closed that
/// meanwhile.
async fn get(address: &DiscoveryAddress, connection: &ReusableConnection, target: &str) -> CallResult {
    if let Some(open) = connection.take().filter(is_idle) {
        match get_on(address, open, connection, target).await {
            Err(CallError::NotWritten(_) | CallError::NoAnswer) => {}
            result => return result,
        }
    }
    // A machine that is cut off never answers; one that is there does so sooner than it lets a call
    // wait.
    let connecting = Async::<TcpStream>::connect(address.address());
    let stream = within(Duration::from(CONNECT_TIMEOUT), connecting).await;
    let stream = stream.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = stream.map_err(CallError::NotConnected)?;
    get_on(address, stream, connection, target).await
}

/// One call on this connection, which is reusable after an answer that was read whole.
async fn get_on(
    address: &DiscoveryAddress,
    open: Async<TcpStream>,
    connection: &ReusableConnection,
    target: &str,
) -> CallResult {
    let written = http1::send_get(&open, address.address(), target).await;
    written.map_err(CallError::NotWritten)?;
    let mut answer = ResponseReader::start(&open).await.map_err(|_| CallError::NoAnswer)?;
    match answer.message.status {
        200 => {}
        503 => return Err(CallError::Busy),
        other => return Err(CallError::Status(other)),
    }
    let body = read_body(&mut answer, &open).await?;
    if answer.is_reusable() {
        connection.set(Some(open));
    }
    Ok(body)
}

async fn read_body(answer: &mut ResponseReader, open: &Async<TcpStream>) -> CallResult {
    let mut body = Vec::new();
    loop {
        match answer.next_part(open).await {
            Ok(Some(part)) if body.len() + part.len() <= MAX_ANSWER_BYTES => body.extend(part),
            Ok(Some(_)) => return Err(CallError::TooLong),
            Ok(None) => return Ok(body),
            Err(_) => return Err(CallError::CutShort),
        }
    }
}
