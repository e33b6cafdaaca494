//! The operators' door: HTTP/1.1, one call to a connection, on a listener of its own.
//!
//! It may use `http1` and `net`. No request, server connection or decision ever enters it, and no other door: what a call does
//! is behind `ProxyControl`. What it holds is its own: so many callers, whose connections no request can take and which take none
//! of a request's.

use chalkwalk_http1 as http1;
use chalkwalk_sockets::{MemoryBudget, read_more, wait_until, within, write_all};
use percent_encoding::percent_decode_str;
use smol::channel::{Sender, bounded};
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many callers are heard at once; one more, and whoever has been silent longest makes way. Staff and their tools make
/// a few calls a second, each over within milliseconds.
pub const MAX_CALLERS: usize = 8;
/// What this door may hold: its listener and its callers; one more waits in the listener's queue.
pub const MAX_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// From the accept to the whole call.
const SLOWEST: Duration = Duration::from_secs(1);
/// For the answer, and what the caller still sends: many round trips, and no caller's place is held for long by one that stays.
const LINGER: Duration = Duration::from_millis(300);
/// After an accept that failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    Done,
    /// Not now.
    NotReady,
    /// Nobody has that id.
    UnknownServer,
    /// It could not be kept, so it does not hold either.
    NotPersisted,
}

pub type ControlFuture = Pin<Box<dyn Future<Output = ControlOutcome>>>;

/// What operators may do to a proxy. Each comes to its end once it is in force.
pub trait ProxyControl {
    /// Whether this process is ready to serve.
    fn check_ready(self: Rc<Self>) -> ControlFuture;
    /// Leaves a server out, or puts it back.
    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture;
    /// Empties the proxy, or ends that.
    fn set_out_of_service(self: Rc<Self>, out: bool) -> ControlFuture;
}

/// Callers whose call is not whole yet, the one that came first in front.
type Silent = Rc<RefCell<VecDeque<(u64, Sender<()>)>>>;

/// A task of its own for each caller.
pub type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Takes calls, for ever.
pub async fn serve(
    listener: Async<TcpListener>,
    controls: Rc<dyn ProxyControl>,
    spawn: impl Fn(ConnectionTask),
) {
    let silent = Silent::default();
    let (done, over) = bounded::<()>(MAX_CALLERS);
    let (mut open, mut next) = (0, 0);
    loop {
        while over.try_recv().is_ok() {
            open -= 1;
        }
        if open >= MAX_CALLERS {
            // Guards callers against others that stay and say nothing.
            if let Some((_, close)) = silent.borrow_mut().pop_front() {
                _ = close.try_send(());
            }
            if over.recv().await.is_ok() {
                open -= 1;
            }
            continue;
        }
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                let Ok(stream) = Async::new(stream) else { continue };
                (open, next) = (open + 1, next + 1);
                let (close, closed) = bounded(1);
                silent.borrow_mut().push_back((next, close));
                let (controls, silent, done) = (controls.clone(), silent.clone(), done.clone());
                let caller = async move {
                    let made_way = async {
                        _ = closed.recv().await;
                        None
                    };
                    let said = async { Some(heard(&stream).await) };
                    let said = said.or(made_way).await;
                    silent.borrow_mut().retain(|(other, _)| *other != next);
                    if let Some(said) = said {
                        let (status, words) = match said {
                            Ok(call) => answer(controls, &call).await,
                            Err(status) => (status, ""),
                        };
                        let told = tell(&stream, status, words);
                        within(LINGER, told).await;
                    }
                    drop(stream);
                    _ = done.try_send(());
                };
                spawn(Box::pin(caller));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => _ = listener.readable().await,
            Err(_) => _ = Timer::after(ACCEPT_AGAIN).await,
        }
    }
}

/// The method and path of a call, or the status that says what is wrong with it.
async fn heard(stream: &Async<TcpStream>) -> Result<(String, String), u16> {
    let mut rest = Vec::new();
    let end = Instant::now() + SLOWEST;
    // A call has no body to speak of.
    let (longest, room) = (1024, MemoryBudget::new(0));
    let taking = http1::RequestLimits { head_deadline: end, max_body: longest, memory: &room };
    let message = wait_until(end, http1::read_request(stream, &mut rest, taking))
        .await
        .unwrap_or(Err(http1::HttpError::Timeout))
        .map_err(http1::HttpError::status)?;
    Ok((message.text(&message.method).to_string(), message.text(&message.target).to_string()))
}

async fn answer(controls: Rc<dyn ProxyControl>, (method, target): &(String, String)) -> (u16, &'static str) {
    let path = target.split('?').next().unwrap_or("");
    let parts: Vec<&str> = path.strip_prefix("/control/").unwrap_or("").split('/').collect();
    let (wanted, call): (&str, Box<dyn FnOnce() -> ControlFuture>) = match parts[..] {
        ["ready"] => ("GET", Box::new(move || controls.check_ready())),
        ["out-of-service"] => ("POST", Box::new(move || controls.set_out_of_service(true))),
        ["in-service"] => ("POST", Box::new(move || controls.set_out_of_service(false))),
        ["cache-nodes", part, word @ ("offline" | "online")] => {
            let id =
                percent_decode_str(part).decode_utf8().ok().filter(|id| !id.is_empty()).map(String::from);
            let Some(id) = id else { return (400, "an id that makes no sense\n") };
            ("POST", Box::new(move || controls.set_server_disabled(id, word == "offline")))
        }
        _ => return (404, "no such call\n"),
    };
    if method != wanted {
        return (405, "another method\n");
    }
    match call().await {
        ControlOutcome::Done => (200, "yes\n"),
        ControlOutcome::NotReady => (503, "no\n"),
        ControlOutcome::UnknownServer => (404, "nobody has that id\n"),
        ControlOutcome::NotPersisted => (500, "not done: it could not be kept\n"),
    }
}

/// The answer, and the connection's end: what the caller still sends is read and dropped, or the answer would be lost to a
/// reset.
async fn tell(stream: &Async<TcpStream>, status: u16, words: &str) {
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{words}",
        http1::reason(status),
        words.len()
    );
    if write_all(stream, &[head.as_bytes()]).await.is_err() {
        return;
    }
    _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut dropped = Vec::new();
    while let Ok(1..) = read_more(stream, &mut dropped).await {
        dropped.clear();
    }
}
