//! The errors that end a session with an endpoint.

use crate::call::CallError;
use crate::machine::ProtocolError;
use chalkwalk_membership::reconcile::ListError;

/// Why a session ended. Each error closes the connection, and operators see its text.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The whole list of this endpoint was rejected; another endpoint may have a newer one.
    #[error(transparent)]
    ListRejected(#[from] ListError),
    #[error("the endpoint ended the watch")]
    WatchEnded,
    #[error("no response on the watch despite progress requests")]
    WatchSilent,
    /// The machine requested to wait for a response on a watch, but none was opened.
    #[error("a watch response is awaited, but no watch is open")]
    NoWatch,
    #[error("etcd granted no lease: {reason}")]
    NoLease { reason: String },
}
