//! A request as this frontend took it: how it is written to a server, and what the server's answer says.

use crate::command::Words;
use crate::frontend::Frontend;
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_engine::response::{
    BoxFuture, ClientRequest, HealthCheck, Response, ResponseStatus, ServerResponse,
};
use chalkwalk_limits::RequestAttributes;
use chalkwalk_resp::{Frame, FrameKind, ReadLimits, Reader, Writer};
use chalkwalk_slot_map::{ErrorMeaning, RequestRoute, classify_error};
use chalkwalk_sockets::{read_more, write_all};
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Answers up to so many bytes need no room of their own, as on the platform.
const ORDINARY: usize = 64 << 10;

pub struct RespRequest {
    pub frontend: Rc<Frontend>,
    pub words: Words,
    /// The command as servers take it, if it came otherwise.
    pub command: Option<Vec<u8>>,
    pub key: String,
    pub ns: usize,
    pub class: usize,
    pub write: bool,
    pub user: String,
    pub taken: Timestamp,
    pub expires: Timestamp,
    pub way: RefCell<RequestRoute>,
    /// Servers whose attempt began with a command of the connection's own, whose answer comes first.
    pub begun: RefCell<Vec<SocketAddr>>,
}

impl ClientRequest for RespRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<RequestAttributes<'_>> {
        Some(RequestAttributes {
            namespace: self.ns,
            path: &self.key,
            tenant: &self.user,
            frontend: crate::FRONTEND_NAME,
        })
    }

    fn received_at(&self) -> Timestamp {
        self.taken
    }

    fn key(&self) -> &str {
        &self.key
    }

    fn is_write(&self) -> bool {
        self.write
    }

    fn expires(&self) -> Timestamp {
        self.expires
    }

    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        Some(self.way.borrow().candidates(&self.frontend.map.borrow()))
    }

    fn attempt_ended(&self, outcome: AttemptOutcome) {
        if matches!(
            outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut
        ) {
            // What was to be asked once is the owner's again, and another may own the slot by now.
            self.way.borrow_mut().on_no_answer();
            self.frontend.want_map();
        }
    }

    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, _left: Span) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let to = stream.get_ref().peer_addr()?;
            let first: &[u8] = {
                let (way, map) = (self.way.borrow(), self.frontend.map.borrow());
                match (way.needs_asking(to), way.needs_readonly(to, &map)) {
                    (true, _) => b"*1\r\n$6\r\nASKING\r\n",
                    (_, true) => b"*1\r\n$8\r\nREADONLY\r\n",
                    _ => b"",
                }
            };
            self.begins(to, !first.is_empty());
            let command = self.command.as_deref().unwrap_or(&self.words.bytes);
            write_all(stream, &[first, command]).await
        })
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let from = stream.get_ref().peer_addr().ok()?;
            let (mut buf, mut from_at) = (Vec::new(), 0);
            let two = self.begun.borrow().contains(&from);
            let mut got = answer(stream, &mut buf, 0).await;
            if let Some((_, len)) = got.as_ref().filter(|_| two) {
                from_at = *len;
                got = answer(stream, &mut buf, from_at).await;
            }
            let (frames, len) = got?;
            // More than was asked for: what it belongs to is not known.
            let reusable = buf.len() == from_at + len;
            Some(self.read(from, frames, buf, from_at, reusable))
        })
    }
}

/// One whole answer from a place in the buffer on.
async fn answer(stream: &Async<TcpStream>, buf: &mut Vec<u8>, from: usize) -> Option<(Vec<Frame>, usize)> {
    let mut reader = Reader::new(ReadLimits::default());
    loop {
        if let Some(whole) = reader.next_frame(&buf[from..]).ok()? {
            return Some(whole);
        }
        if read_more(stream, buf).await.ok()? == 0 {
            return None;
        }
    }
}

impl RespRequest {
    /// An attempt to that server begins with a command of the connection's own, or not.
    fn begins(&self, to: SocketAddr, with: bool) {
        let mut begun = self.begun.borrow_mut();
        begun.retain(|b| *b != to);
        begun.extend(with.then_some(to));
    }

    fn read(
        &self,
        from: SocketAddr,
        frames: Vec<Frame>,
        mut buf: Vec<u8>,
        at: usize,
        reusable: bool,
    ) -> ServerResponse {
        let none = |outcome| ServerResponse { outcome, response: None, reusable, remaining_body: None };
        if let [Frame { kind: FrameKind::Error, range: text, .. }] = &frames[..] {
            let error = String::from_utf8_lossy(&buf[at + text.start..at + text.end]).to_string();
            let means = classify_error(&error, from);
            if self.way.borrow_mut().on_error(&means, &mut self.frontend.map.borrow_mut()) {
                self.frontend.want_map();
            }
            match means {
                // Surely not run, and no word on the server's health: it goes on elsewhere.
                ErrorMeaning::Moved { .. } | ErrorMeaning::Ask { .. } => {
                    return none(AttemptOutcome::CacheMiss);
                }
                ErrorMeaning::RetryLater | ErrorMeaning::MapOutdated => {
                    return none(AttemptOutcome::Overloaded);
                }
                ErrorMeaning::Final => {}
            }
        }
        let len = buf.len() - at;
        let memory = self.frontend.engine.response_memory.try_reserve(len);
        if len > ORDINARY && memory.is_none() {
            // Read by now, but not to be kept while all others are.
            return ServerResponse {
                outcome: AttemptOutcome::ServerError,
                response: None,
                reusable: false,
                remaining_body: None,
            };
        }
        buf.drain(..at);
        let answer = Response {
            status: ResponseStatus::Served,
            content_type: String::new(),
            body: buf,
            memory,
            stream: None,
        };
        ServerResponse {
            outcome: AttemptOutcome::Completed,
            response: Some(answer),
            reusable,
            remaining_body: None,
        }
    }
}

/// `PING`, which any server answers at once; one that loads answers with an error, and is not to be sent to.
pub struct Ping;

impl HealthCheck for Ping {
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async move {
            let mut out = Writer::default();
            out.command(&[b"PING"]);
            write_all(stream, &[out.as_bytes()]).await.ok()?;
            let mut buf = Vec::new();
            let (frames, len) = answer(stream, &mut buf, 0).await?;
            (frames[0].kind == FrameKind::Simple).then_some(buf.len() == len)
        })
    }
}
