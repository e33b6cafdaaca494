//! The operations that operators can call on a proxy.

use std::pin::Pin;
use std::rc::Rc;

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The change is in force, or the process is ready.
    Done,
    /// The process is not ready now.
    NotReady,
    /// No server has that id.
    UnknownServer,
    /// The change could not be persisted, and therefore is not in force.
    NotPersisted,
}

/// The pending outcome of a call.
pub type ControlFuture = Pin<Box<dyn Future<Output = ControlOutcome>>>;

/// The operations that operators can call on a proxy. The future of a call resolves once the change
/// is in force.
pub trait ProxyControl {
    /// Whether this process is ready to serve.
    fn check_ready(self: Rc<Self>) -> ControlFuture;
    /// Disables the server, or enables it again.
    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture;
    /// Takes the proxy out of service, so that it drains, or puts it back in service.
    fn set_out_of_service(self: Rc<Self>, out_of_service: bool) -> ControlFuture;
}
