//! A single call to the discovery service, from connecting to the complete response.

use crate::address::DiscoveryAddress;
use crate::timing;
use chalkwalk_balancer::discovery::CONNECT_TIMEOUT;
use chalkwalk_http1::{self as http1, ResponseReader};
use chalkwalk_sockets::{is_idle, with_timeout};
use chalkwalk_time::Span;
use smol::Async;
use std::cell::Cell;
use std::net::TcpStream;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// The maximum length of a response in bytes, enough for ten thousand servers of 400 bytes each.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A connection that is kept for reuse by the next call.
pub(crate) type ReusableConnection = Cell<Option<Async<TcpStream>>>;

/// Why a call did not return a readable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The service is overloaded, which it reports with status 503.
    #[error("the service responded with status 503")]
    Busy,
    /// The response ended early, so it is unknown which changes the service had notified by then.
    #[error("the response was truncated")]
    Truncated,
    #[error("the call timed out")]
    TimedOut,
    #[error("cannot connect: {0}")]
    NotConnected(std::io::Error),
    #[error("cannot send the request: {0}")]
    NotWritten(std::io::Error),
    #[error("no response could be read")]
    NoResponse,
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// The body of a response, or why there is none.
pub(crate) type CallResult = Result<Vec<u8>, CallError>;

/// The target of a call, and how long the service may hold the call to wait for a change.
pub(crate) struct ListRequest {
    pub target: String,
    pub wait: Duration,
}

/// The future of a call in progress, which resolves to the body of the response.
type PendingResponse<'a> = Pin<Box<dyn Future<Output = CallResult> + 'a>>;

/// A call in progress.
pub(crate) struct Call<'a> {
    /// The number of the call in log lines.
    pub number: u64,
    pub started_at: Instant,
    /// How long the service may hold the call to wait for a change.
    pub wait: Duration,
    pub response: PendingResponse<'a>,
}

impl<'a> Call<'a> {
    /// Creates a call with this number. It makes progress only while `response` is polled.
    pub fn start(
        address: &'a DiscoveryAddress,
        connection: &'a ReusableConnection,
        number: u64,
        request: ListRequest,
    ) -> Call<'a> {
        let ListRequest { target, wait } = request;
        let response = async move {
            let response = with_timeout(timing::call_timeout(wait), get(address, connection, &target)).await;
            response.unwrap_or(Err(CallError::TimedOut))
        };
        Call { number, started_at: Instant::now(), wait, response: Box::pin(response) }
    }

    /// The time at which the call counts as silent if it has no response by then.
    pub fn silent_at(&self) -> Instant {
        self.started_at + timing::silent_after(self.wait)
    }

    /// The time since the call was started.
    pub fn elapsed(&self) -> Span {
        Span::from(self.started_at.elapsed())
    }
}

/// Makes one call on the reusable connection, or on a new one if there is none or the service has
/// closed it.
async fn get(address: &DiscoveryAddress, connection: &ReusableConnection, target: &str) -> CallResult {
    if let Some(stream) = connection.take().filter(is_idle) {
        match get_on_stream(address, stream, connection, target).await {
            Err(CallError::NotWritten(_) | CallError::NoResponse) => {}
            result => return result,
        }
    }
    // Connecting has a timeout of its own: an unreachable machine never accepts the connection, and
    // a reachable one accepts it in less time than a call may wait in the service's queue.
    let connecting = Async::<TcpStream>::connect(address.address());
    let stream = with_timeout(Duration::from(CONNECT_TIMEOUT), connecting).await;
    let stream = stream.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = stream.map_err(CallError::NotConnected)?;
    get_on_stream(address, stream, connection, target).await
}

/// Makes one call on this connection, and keeps the connection for reuse if the response was read
/// completely.
async fn get_on_stream(
    address: &DiscoveryAddress,
    stream: Async<TcpStream>,
    connection: &ReusableConnection,
    target: &str,
) -> CallResult {
    let write_result = http1::send_get(&stream, address.address(), target).await;
    write_result.map_err(CallError::NotWritten)?;
    let mut response = ResponseReader::start(&stream).await.map_err(|_| CallError::NoResponse)?;
    match response.message.status {
        200 => {}
        503 => return Err(CallError::Busy),
        other => return Err(CallError::Status(other)),
    }
    let body = read_body(&mut response, &stream).await?;
    if response.is_reusable() {
        connection.set(Some(stream));
    }
    Ok(body)
}

async fn read_body(response: &mut ResponseReader, stream: &Async<TcpStream>) -> CallResult {
    let mut body = Vec::new();
    loop {
        match response.next_part(stream).await {
            Ok(Some(part)) if body.len() + part.len() <= MAX_RESPONSE_BYTES => body.extend(part),
            Ok(Some(_)) => return Err(CallError::TooLong),
            Ok(None) => return Ok(body),
            Err(_) => return Err(CallError::Truncated),
        }
    }
}
