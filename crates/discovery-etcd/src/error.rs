//! Why a session with an endpoint ends.

use crate::call::CallError;
use crate::machine::ProtocolError;
use chalkwalk_membership::reconcile::ListError;

/// Each ends the connection. The text is an operator's.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The whole list of this endpoint is rejected: another endpoint may have a newer one.
    #[error(transparent)]
    ListRejected(#[from] ListError),
    #[error("the watch ended")]
    WatchEnded,
    #[error("the watch is silent")]
    WatchSilent,
    /// The machine awaits a response on a watch that was never opened.
    #[error("no watch")]
    NoWatch,
    #[error("no lease: {reason}")]
    NoLease { reason: String },
}
