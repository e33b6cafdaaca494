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
        /// Its owner.
        to: SocketAddr,
    },
    /// `ASK`: the slot is in migration, and this key is at its new server already. To be followed
    /// once, after `ASKING`. The command has not run.
    Ask {
        /// The slot in migration.
        slot: u16,
        /// The server that imports it.
        to: SocketAddr,
    },
    /// The command has not run, and may succeed later: its keys are split between two servers by a
    /// migration, or the server is loading or busy.
    RetryLater,
    /// The command has not run, and the slot map is probably outdated: the cluster has lost slots,
    /// or a replica was taken for the owner.
    MapOutdated,
    /// The reply to the client: the command itself is wrong, whichever server gets it.
    Final,
}

/// Classifies an error reply by the code that it begins with. `from` is the server that sent it. A
/// redirection that can't be parsed does not say where to go: the map is probably outdated.
pub fn classify_error(error: &str, from: SocketAddr) -> ErrorMeaning {
    let (code, rest) = error.split_once(' ').unwrap_or((error, ""));
    match code {
        "MOVED" => match parse_redirection(rest, from) {
            Some((slot, to)) => ErrorMeaning::Moved { slot, to },
            None => ErrorMeaning::MapOutdated,
        },
        "ASK" => match parse_redirection(rest, from) {
            Some((slot, to)) => ErrorMeaning::Ask { slot, to },
            None => ErrorMeaning::MapOutdated,
        },
        "TRYAGAIN" | "LOADING" | "BUSY" => ErrorMeaning::RetryLater,
        "CLUSTERDOWN" | "MASTERDOWN" | "READONLY" => ErrorMeaning::MapOutdated,
        _ => ErrorMeaning::Final,
    }
}

/// Parses `slot host:port`. Without a host it is the server that sent the redirection.
fn parse_redirection(text: &str, from: SocketAddr) -> Option<(u16, SocketAddr)> {
    let mut fields = text.split(' ');
    let slot = fields.next()?.parse().ok().filter(|slot| *slot < SLOT_COUNT)?;
    let target = fields.next()?;
    let to = match target.strip_prefix(':') {
        Some(port) => SocketAddr::new(from.ip(), port.parse().ok()?),
        None => target.parse().ok()?,
    };
    Some((slot, to))
}
