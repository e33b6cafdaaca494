//! One connection to an endpoint, and calls on it.

use bytes::Bytes;
use chalkwalk_etcd_wire::{
    CONTENT_TYPE, FrameDecoder, GRPC_MESSAGE, GRPC_STATUS, Message, code, encode_frame,
};
use chalkwalk_sockets::within;
use h2::client::{SendRequest, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request};
use smol::Async;
use smol::Task;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// To a connection that can be asked: etcd is near its clients.
const CONNECT: Duration = Duration::from_secs(1);
/// To a whole answer: a page is small, and two endpoints that hang have to leave time for a third within the term for changes.
const ANSWER: Duration = Duration::from_secs(2);
/// gRPC's own bound on a message.
const LONGEST: usize = 4 << 20;

/// A connection; it is closed once the last of these is gone.
#[derive(Clone)]
pub struct Link {
    send: SendRequest<Bytes>,
    authority: Rc<str>,
    _driver: Rc<Task<()>>,
}

impl Link {
    pub async fn open(ex: &smol::LocalExecutor<'static>, addr: SocketAddr) -> Result<Link, String> {
        let opening = async {
            let stream =
                Async::<TcpStream>::connect(addr).await.map_err(|e| format!("no connection: {e}"))?;
            _ = stream.get_ref().set_nodelay(true);
            handshake(stream.compat()).await.map_err(|e| format!("no HTTP/2: {e}"))
        };
        let (send, connection) = within(CONNECT, opening).await.ok_or("no connection in time")??;
        let driver = ex.spawn(async move { _ = connection.await });
        Ok(Link { send, authority: addr.to_string().into(), _driver: Rc::new(driver) })
    }

    /// A call whose questions and answers may be several.
    pub async fn stream(&self, path: &str) -> Result<Stream, String> {
        let head = Request::post(format!("http://{}{path}", self.authority))
            .version(http::Version::HTTP_2)
            .header("content-type", CONTENT_TYPE)
            .header("te", "trailers")
            .body(())
            .map_err(|e| e.to_string())?;
        let ready = within(ANSWER, self.send.clone().ready()).await.ok_or("no room for a call in time")?;
        let (answer, out) =
            ready.and_then(|mut send| send.send_request(head, false)).map_err(|e| e.to_string())?;
        Ok(Stream { out, answer: Answer::Head(answer), frames: FrameDecoder::new(LONGEST) })
    }

    /// A call of one question and one answer.
    pub async fn ask<A: Message + Default>(&self, path: &str, question: &impl Message) -> Result<A, String> {
        let asking = async {
            let mut stream = self.stream(path).await?;
            stream.say(question, true)?;
            stream.next().await?.ok_or_else(|| "no answer".to_string())
        };
        within(ANSWER, asking).await.ok_or("no answer in time")?
    }
}

enum Answer {
    Head(h2::client::ResponseFuture),
    Body(RecvStream),
}

pub struct Stream {
    out: SendStream<Bytes>,
    answer: Answer,
    frames: FrameDecoder,
}

impl Stream {
    pub fn say(&mut self, message: &impl Message, last: bool) -> Result<(), String> {
        self.out.send_data(encode_frame(message), last).map_err(|e| e.to_string())
    }

    /// The next message; `None` at the end of a call that went well. Dropped while it waits, nothing is lost.
    pub async fn next<A: Message + Default>(&mut self) -> Result<Option<A>, String> {
        loop {
            if let Some(message) = self.frames.next_message().map_err(|e| e.to_string())? {
                return Ok(Some(message));
            }
            let body = match &mut self.answer {
                Answer::Head(head) => {
                    let (head, body) = head.await.map_err(|e| e.to_string())?.into_parts();
                    if head.status != http::StatusCode::OK {
                        return Err(format!("answered {}", head.status));
                    }
                    // Where a call fails at once, its head is all there is.
                    if head.headers.contains_key(GRPC_STATUS) {
                        status(&head.headers)?;
                    }
                    self.answer = Answer::Body(body);
                    continue;
                }
                Answer::Body(body) => body,
            };
            match body.data().await {
                Some(Ok(bytes)) => {
                    _ = body.flow_control().release_capacity(bytes.len());
                    self.frames.push(&bytes);
                }
                Some(Err(e)) => return Err(e.to_string()),
                None => {
                    if self.frames.is_mid_frame() {
                        return Err("it ended within a message".into());
                    }
                    if let Some(trailers) = body.trailers().await.map_err(|e| e.to_string())? {
                        status(&trailers)?;
                    }
                    return Ok(None);
                }
            }
        }
    }
}

fn status(fields: &HeaderMap) -> Result<(), String> {
    let word = |name: &str| fields.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
    match word(GRPC_STATUS) {
        ok if ok == code::OK => Ok(()),
        other => Err(format!("refused, code {other}: {}", word(GRPC_MESSAGE))),
    }
}
