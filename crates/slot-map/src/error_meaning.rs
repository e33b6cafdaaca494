//! What a server's error reply means for the request that got it.

use crate::slot_range::SLOT_COUNT;
use std::net::SocketAddr;

/// What an error reply means for the request.
#[derive(Clone, Debug, PartialEq)]
pub enum ErrorMeaning {
    /// `MOVED`: another server owns the slot now. The command has not run.
    Moved {
        /// The slot that moved.
        slot: u16,
        /// The address of its new owner.
        target: SocketAddr,
    },
    /// `ASK`: the slot is in migration, and this key has already been moved to the slot's new
    /// server. The redirection holds for one attempt, which begins with `ASKING`. The command has
    /// not run.
    Ask {
        /// The slot in migration.
        slot: u16,
        /// The address of the server that imports the slot.
        target: SocketAddr,
    },
    /// The command has not run, and may succeed later: a migration has split its keys between two
    /// servers, or the server is loading its data set or is busy.
    RetryLater,
    /// The command has not run, and the slot map is probably outdated: the cluster has lost slots,
    /// or the command was sent to a replica instead of the owner.
    MapOutdated,
    /// The error is the reply to the client: the command itself is invalid, and would fail at any
    /// server.
    Final,
}

/// Classifies an error reply from the server `sender` by the error code that it begins with. A
/// redirection that can't be parsed names no target, so it counts as a sign of an outdated map.
pub fn classify_error(error: &str, sender: SocketAddr) -> ErrorMeaning {
    let (code, rest) = error.split_once(' ').unwrap_or((error, ""));
    match code {
        "MOVED" => match parse_redirection(rest, sender) {
            Some((slot, target)) => ErrorMeaning::Moved { slot, target },
            None => ErrorMeaning::MapOutdated,
        },
        "ASK" => match parse_redirection(rest, sender) {
            Some((slot, target)) => ErrorMeaning::Ask { slot, target },
            None => ErrorMeaning::MapOutdated,
        },
        "TRYAGAIN" | "LOADING" | "BUSY" => ErrorMeaning::RetryLater,
        "CLUSTERDOWN" | "MASTERDOWN" | "READONLY" => ErrorMeaning::MapOutdated,
        _ => ErrorMeaning::Final,
    }
}

/// Parses `slot host:port`. An empty host stands for the server that sent the redirection.
fn parse_redirection(text: &str, sender: SocketAddr) -> Option<(u16, SocketAddr)> {
    let mut fields = text.split(' ');
    let slot = fields.next()?.parse().ok().filter(|slot| *slot < SLOT_COUNT)?;
    let address = fields.next()?;
    let target = match address.strip_prefix(':') {
        Some(port) => SocketAddr::new(sender.ip(), port.parse().ok()?),
        None => address.parse().ok()?,
    };
    Some((slot, target))
}
