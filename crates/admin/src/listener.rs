//! The listener and its callers: so many at once, each in a task of its own.

use crate::ProxyControl;
use crate::call::{Response, read_call, respond, run_call};
use chalkwalk_sockets::within;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// How many callers are connected at once. Once they are, the one that has kept its call back
/// longest is closed, and makes way for the next. Staff and their tools make a few calls a second,
/// each over within milliseconds.
pub const MAX_CALLERS: usize = 8;
/// The descriptors that are held at most: the listener and its callers. One more caller waits in
/// the listener's queue.
pub const MAX_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// For writing the response, and for what the caller still sends: many round trips, and a caller
/// that stays connected does not hold its connection for long.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after an accept that failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// A caller's connection, to its end.
pub type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Callers whose call is not whole yet, the one that came first in front.
#[derive(Clone, Default)]
struct PendingCallers(Rc<RefCell<VecDeque<PendingCaller>>>);

struct PendingCaller {
    id: u64,
    close: Sender<()>,
}

impl PendingCallers {
    /// Adds a caller; the receiver says when to close it.
    fn add(&self, id: u64) -> Receiver<()> {
        let (close, closed) = bounded(1);
        self.0.borrow_mut().push_back(PendingCaller { id, close });
        closed
    }

    fn remove(&self, id: u64) {
        self.0.borrow_mut().retain(|caller| caller.id != id);
    }

    fn close_oldest(&self) {
        if let Some(caller) = self.0.borrow_mut().pop_front() {
            _ = caller.close.try_send(());
        }
    }
}

/// Accepts callers and answers their calls, for ever. Each caller gets a task of its own, which
/// `spawn` has to run.
pub async fn serve(
    listener: Async<TcpListener>,
    control: Rc<dyn ProxyControl>,
    spawn: impl Fn(ConnectionTask),
) {
    let pending = PendingCallers::default();
    let (ended, ends) = bounded::<()>(MAX_CALLERS);
    let mut connected = 0;
    let mut last_id = 0;
    loop {
        while ends.try_recv().is_ok() {
            connected -= 1;
        }
        if connected >= MAX_CALLERS {
            // Guards callers against others that stay connected without a call.
            pending.close_oldest();
            if ends.recv().await.is_ok() {
                connected -= 1;
            }
            continue;
        }
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                let Ok(stream) = Async::new(stream) else { continue };
                connected += 1;
                last_id += 1;
                let caller = serve_caller(stream, last_id, pending.clone(), control.clone());
                let ended = ended.clone();
                spawn(Box::pin(async move {
                    caller.await;
                    _ = ended.try_send(());
                }));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => _ = listener.readable().await,
            Err(_) => _ = Timer::after(ACCEPT_RETRY).await,
        }
    }
}

/// Reads a caller's call and answers it, or closes the connection if another caller needs it first.
/// The caller is pending from this call on, not only once the future is polled.
fn serve_caller(
    stream: Async<TcpStream>,
    id: u64,
    pending: PendingCallers,
    control: Rc<dyn ProxyControl>,
) -> impl Future<Output = ()> {
    let closed = pending.add(id);
    async move {
        let displaced = async {
            _ = closed.recv().await;
            None
        };
        let call = async { Some(read_call(&stream).await) }.or(displaced).await;
        pending.remove(id);
        let response = match call {
            Some(Ok(call)) => run_call(control, &call).await,
            Some(Err(error)) => Response::from(error),
            None => return,
        };
        within(RESPONSE_TIMEOUT, respond(&stream, &response)).await;
    }
}
