//! What operators may do to a proxy.

use std::pin::Pin;
use std::rc::Rc;

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// It is in force, or the process is ready.
    Done,
    /// The process is not ready now.
    NotReady,
    /// No server has that id.
    UnknownServer,
    /// It could not be persisted, so it is not in force either.
    NotPersisted,
}

/// A call on its way.
pub type ControlFuture = Pin<Box<dyn Future<Output = ControlOutcome>>>;

/// What operators may do to a proxy. Each call ends once it is in force.
pub trait ProxyControl {
    /// Whether this process is ready to serve.
    fn check_ready(self: Rc<Self>) -> ControlFuture;
    /// Disables a server, or ends that.
    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture;
    /// Empties the proxy, or ends that.
    fn set_out_of_service(self: Rc<Self>, out: bool) -> ControlFuture;
}
