//! One connection to an endpoint of etcd, and the gRPC calls on it.

use bytes::Bytes;
use chalkwalk_etcd_wire::{
    CONTENT_TYPE, FrameDecoder, FrameError, GRPC_MESSAGE, GRPC_STATUS, Message, code, encode_frame,
};
use chalkwalk_sockets::with_timeout;
use h2::client::{SendRequest, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request, StatusCode};
use smol::Async;
use smol::Task;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Time limit for opening a connection. It is short, because network latency to etcd is low.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the whole response of a call. A page is small, and if two endpoints hang, enough
/// time must be left to reach a third within the time limit for learning of a change.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// gRPC's default limit on the size of a received message.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a connection or a call on it failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("can't connect: {0}")]
    Connect(std::io::Error),
    #[error("HTTP/2 handshake failed: {0}")]
    Handshake(h2::Error),
    #[error("connecting timed out")]
    ConnectTimeout,
    #[error("timed out waiting for a free HTTP/2 stream")]
    StreamTimeout,
    #[error("the call timed out without a whole response")]
    ResponseTimeout,
    #[error("the call succeeded without a response message")]
    NoResponse,
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Http2(#[from] h2::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("HTTP status {0} instead of 200")]
    HttpStatus(StatusCode),
    #[error("the response ended in the middle of a message")]
    EndedMidMessage,
    #[error("the call failed with gRPC status {code}: {message}")]
    Grpc { code: String, message: String },
}

/// A connection, which is closed when this value is dropped.
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    authority: Rc<str>,
    _driver: Task<()>,
}

impl Connection {
    /// Connects to an endpoint and performs the HTTP/2 handshake.
    pub async fn open(
        executor: &smol::LocalExecutor<'static>,
        addr: SocketAddr,
    ) -> Result<Connection, CallError> {
        let opening = async {
            let stream = Async::<TcpStream>::connect(addr).await.map_err(CallError::Connect)?;
            // An error is ignored: with Nagle's algorithm small requests may be delayed, but the
            // connection works.
            _ = stream.get_ref().set_nodelay(true);
            handshake(stream.compat()).await.map_err(CallError::Handshake)
        };
        let (sender, connection) =
            with_timeout(CONNECT_TIMEOUT, opening).await.ok_or(CallError::ConnectTimeout)??;
        // An error that ends the connection also ends its calls, and they report it.
        let driver = executor.spawn(async move { _ = connection.await });
        Ok(Connection { sender, authority: addr.to_string().into(), _driver: driver })
    }

    /// Starts a call with a stream of requests and a stream of responses.
    pub async fn open_stream(&self, path: &str) -> Result<CallStream, CallError> {
        let head = Request::post(format!("http://{}{path}", self.authority))
            .version(http::Version::HTTP_2)
            .header("content-type", CONTENT_TYPE)
            .header("te", "trailers")
            .body(())?;
        let ready = with_timeout(RESPONSE_TIMEOUT, self.sender.clone().ready());
        let mut sender = ready.await.ok_or(CallError::StreamTimeout)??;
        let (response, requests) = sender.send_request(head, false)?;
        let decoder = FrameDecoder::new(MAX_MESSAGE_BYTES);
        Ok(CallStream { requests, response: ResponseState::Head(response), decoder })
    }

    /// Makes a call with one request and one response.
    pub async fn call<R: Message + Default>(
        &self,
        path: &str,
        request: &impl Message,
    ) -> Result<R, CallError> {
        let calling = async {
            let mut stream = self.open_stream(path).await?;
            stream.send(request, true)?;
            stream.next().await?.ok_or(CallError::NoResponse)
        };
        with_timeout(RESPONSE_TIMEOUT, calling).await.ok_or(CallError::ResponseTimeout)?
    }
}

/// How much of the response was received.
enum ResponseState {
    Head(h2::client::ResponseFuture),
    Body(RecvStream),
}

/// A call in progress, with a stream of requests and a stream of responses.
pub(crate) struct CallStream {
    requests: SendStream<Bytes>,
    response: ResponseState,
    decoder: FrameDecoder,
}

impl CallStream {
    /// Sends one request message; `end_of_stream` closes the request stream after it.
    pub fn send(&mut self, message: &impl Message, end_of_stream: bool) -> Result<(), CallError> {
        Ok(self.requests.send_data(encode_frame(message), end_of_stream)?)
    }

    /// The next response message; `None` at the end of a successful call. The future can be dropped
    /// while it waits without losing a message.
    pub async fn next<R: Message + Default>(&mut self) -> Result<Option<R>, CallError> {
        loop {
            if let Some(message) = self.decoder.next_message()? {
                return Ok(Some(message));
            }
            match &mut self.response {
                ResponseState::Head(head) => {
                    let body = read_head(head).await?;
                    self.response = ResponseState::Body(body);
                }
                ResponseState::Body(body) => {
                    let Some(bytes) = body.data().await else { break };
                    let bytes = bytes?;
                    // Fails only if more capacity is released than bytes were received.
                    _ = body.flow_control().release_capacity(bytes.len());
                    self.decoder.push(&bytes);
                }
            }
        }
        self.finish().await?;
        Ok(None)
    }

    /// Checks, after the end of the body, that the last message is complete and that the trailers
    /// report success.
    async fn finish(&mut self) -> Result<(), CallError> {
        if self.decoder.is_mid_frame() {
            return Err(CallError::EndedMidMessage);
        }
        let ResponseState::Body(body) = &mut self.response else { return Ok(()) };
        match body.trailers().await? {
            Some(trailers) => check_status(&trailers),
            None => Ok(()),
        }
    }
}

async fn read_head(head: &mut h2::client::ResponseFuture) -> Result<RecvStream, CallError> {
    let (head, body) = head.await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(CallError::HttpStatus(head.status));
    }
    // A call that fails immediately has its status in the headers, without a body or trailers.
    if head.headers.contains_key(GRPC_STATUS) {
        check_status(&head.headers)?;
    }
    Ok(body)
}

fn check_status(headers: &HeaderMap) -> Result<(), CallError> {
    let header_value = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_string()
    };
    let code = header_value(GRPC_STATUS);
    if code == code::OK {
        return Ok(());
    }
    Err(CallError::Grpc { code, message: header_value(GRPC_MESSAGE) })
}
