//! The listener and its callers: a limited number at once, each served by a separate task.

use crate::ProxyControl;
use crate::call::{Response, read_call, run_call, write_response};
use chalkwalk_sockets::with_timeout;
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

/// The maximum number of callers that are connected at once. At the limit, the caller that has gone
/// longest without sending its whole call is disconnected to admit the next one. Operators and
/// their tools make a few calls a second, and each call takes milliseconds.
pub const MAX_CALLERS: usize = 8;
/// The maximum number of file descriptors in use: the listener and its callers. A further caller
/// waits in the listener's accept queue.
pub const MAX_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// The time limit for writing the response and discarding further bytes from the caller. It is long
/// enough for many round trips, and short enough that a caller that stays connected soon frees its
/// place.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The future that serves a caller's connection until the connection ends.
pub type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Callers that have not sent their whole call yet, in the order of their connections.
#[derive(Clone, Default)]
struct PendingCallers(Rc<RefCell<VecDeque<PendingCaller>>>);

struct PendingCaller {
    id: u64,
    close_sender: Sender<()>,
}

impl PendingCallers {
    /// Adds a caller. The returned receiver signals when to close its connection.
    fn add(&self, id: u64) -> Receiver<()> {
        let (close_sender, close_receiver) = bounded(1);
        self.0.borrow_mut().push_back(PendingCaller { id, close_sender });
        close_receiver
    }

    fn remove(&self, id: u64) {
        self.0.borrow_mut().retain(|caller| caller.id != id);
    }

    fn close_oldest(&self) {
        if let Some(caller) = self.0.borrow_mut().pop_front() {
            _ = caller.close_sender.try_send(());
        }
    }
}

/// Accepts callers and answers their calls; never returns. `spawn` has to run the task that it is
/// given for each caller.
pub async fn serve(
    listener: Async<TcpListener>,
    control: Rc<dyn ProxyControl>,
    spawn: impl Fn(ConnectionTask),
) {
    let pending = PendingCallers::default();
    let (ended_sender, ended_receiver) = bounded::<()>(MAX_CALLERS);
    let mut connection_count = 0;
    let mut last_caller_id = 0;
    loop {
        while ended_receiver.try_recv().is_ok() {
            connection_count -= 1;
        }
        if connection_count >= MAX_CALLERS {
            // Callers that stay connected without sending a call must not keep others out.
            pending.close_oldest();
            if ended_receiver.recv().await.is_ok() {
                connection_count -= 1;
            }
            continue;
        }
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                let Ok(stream) = Async::new(stream) else { continue };
                connection_count += 1;
                last_caller_id += 1;
                let caller = serve_caller(stream, last_caller_id, pending.clone(), control.clone());
                let ended_sender = ended_sender.clone();
                spawn(Box::pin(async move {
                    caller.await;
                    _ = ended_sender.try_send(());
                }));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => _ = listener.readable().await,
            Err(_) => _ = Timer::after(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Reads a caller's call and answers it, or closes the connection without a response if another
/// caller is admitted in its place first. The caller is pending as soon as this function returns,
/// not only once the future is polled.
fn serve_caller(
    stream: Async<TcpStream>,
    id: u64,
    pending: PendingCallers,
    control: Rc<dyn ProxyControl>,
) -> impl Future<Output = ()> {
    let close_receiver = pending.add(id);
    async move {
        let evicted = async {
            _ = close_receiver.recv().await;
            None
        };
        let call = async { Some(read_call(&stream).await) }.or(evicted).await;
        pending.remove(id);
        let response = match call {
            Some(Ok(call)) => run_call(control, &call).await,
            Some(Err(error)) => Response::from(error),
            None => return,
        };
        with_timeout(RESPONSE_TIMEOUT, write_response(&stream, &response)).await;
    }
}
