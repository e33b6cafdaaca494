//! One connection to an endpoint, and calls on it.

use bytes::Bytes;
use chalkwalk_etcd_wire::{
    CONTENT_TYPE, FrameDecoder, FrameError, GRPC_MESSAGE, GRPC_STATUS, Message, code, encode_frame,
};
use chalkwalk_sockets::within;
use h2::client::{SendRequest, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request, StatusCode};
use smol::Async;
use smol::Task;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Until a connection can be used: etcd is near its clients.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Until a whole response is there: a page is small, and two endpoints that hang have to leave time
/// for a third within the time in which a change must be known.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// gRPC's own default bound on a message.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a connection or a call on it fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("no HTTP/2: {0}")]
    Handshake(h2::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no stream for a call in time")]
    StreamTimeout,
    #[error("no answer in time")]
    ResponseTimeout,
    #[error("no answer")]
    NoResponse,
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Http2(#[from] h2::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("answered {0}")]
    HttpStatus(StatusCode),
    #[error("it ended within a message")]
    EndedMidMessage,
    #[error("refused, code {code}: {message}")]
    Grpc { code: String, message: String },
}

/// A connection; it is closed when this is dropped.
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    authority: Rc<str>,
    _driver: Task<()>,
}

impl Connection {
    /// Connects, with HTTP/2.
    pub async fn open(
        executor: &smol::LocalExecutor<'static>,
        addr: SocketAddr,
    ) -> Result<Connection, CallError> {
        let opening = async {
            let stream = Async::<TcpStream>::connect(addr).await.map_err(CallError::Connect)?;
            // Without it small requests may wait; the connection works all the same.
            _ = stream.get_ref().set_nodelay(true);
            handshake(stream.compat()).await.map_err(CallError::Handshake)
        };
        let (sender, connection) =
            within(CONNECT_TIMEOUT, opening).await.ok_or(CallError::ConnectTimeout)??;
        // What ends the connection ends its calls too, and they report it.
        let driver = executor.spawn(async move { _ = connection.await });
        Ok(Connection { sender, authority: addr.to_string().into(), _driver: driver })
    }

    /// A call with several requests and responses.
    pub async fn open_stream(&self, path: &str) -> Result<CallStream, CallError> {
        let head = Request::post(format!("http://{}{path}", self.authority))
            .version(http::Version::HTTP_2)
            .header("content-type", CONTENT_TYPE)
            .header("te", "trailers")
            .body(())?;
        let ready = within(RESPONSE_TIMEOUT, self.sender.clone().ready());
        let mut sender = ready.await.ok_or(CallError::StreamTimeout)??;
        let (response, requests) = sender.send_request(head, false)?;
        let decoder = FrameDecoder::new(MAX_MESSAGE_BYTES);
        Ok(CallStream { requests, response: Response::Head(response), decoder })
    }

    /// A call of one request and one response.
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
        within(RESPONSE_TIMEOUT, calling).await.ok_or(CallError::ResponseTimeout)?
    }
}

enum Response {
    Head(h2::client::ResponseFuture),
    Body(RecvStream),
}

/// An open call.
pub(crate) struct CallStream {
    requests: SendStream<Bytes>,
    response: Response,
    decoder: FrameDecoder,
}

impl CallStream {
    /// Sends a message of the request.
    pub fn send(&mut self, message: &impl Message, last: bool) -> Result<(), CallError> {
        Ok(self.requests.send_data(encode_frame(message), last)?)
    }

    /// The next message; `None` at the end of a call that went well. Dropped while it waits,
    /// nothing is lost.
    pub async fn next<R: Message + Default>(&mut self) -> Result<Option<R>, CallError> {
        loop {
            if let Some(message) = self.decoder.next_message()? {
                return Ok(Some(message));
            }
            match &mut self.response {
                Response::Head(head) => {
                    let body = read_head(head).await?;
                    self.response = Response::Body(body);
                }
                Response::Body(body) => {
                    let Some(bytes) = body.data().await else { break };
                    let bytes = bytes?;
                    // It fails only where more is released than was received.
                    _ = body.flow_control().release_capacity(bytes.len());
                    self.decoder.push(&bytes);
                }
            }
        }
        self.finish().await?;
        Ok(None)
    }

    /// The body is over: whether it is complete, and what the trailers say of the call.
    async fn finish(&mut self) -> Result<(), CallError> {
        if self.decoder.is_mid_frame() {
            return Err(CallError::EndedMidMessage);
        }
        let Response::Body(body) = &mut self.response else { return Ok(()) };
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
    // Where a call fails at once, its head is all there is.
    if head.headers.contains_key(GRPC_STATUS) {
        check_status(&head.headers)?;
    }
    Ok(body)
}

fn check_status(headers: &HeaderMap) -> Result<(), CallError> {
    let field = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_string()
    };
    let code = field(GRPC_STATUS);
    if code == code::OK {
        return Ok(());
    }
    Err(CallError::Grpc { code, message: field(GRPC_MESSAGE) })
}
