//! The servers that may serve a request next, given the redirections that it has received.

use crate::error_meaning::ErrorMeaning;
use crate::slot_map::SlotMap;
use std::net::SocketAddr;

/// Maximum number of redirections that one request follows. A slot that moves twice between the
/// attempts of a request causes two redirections, and an `ASK` one more; a request that exceeds the
/// limit is in a redirection loop.
const MAX_REDIRECTIONS: u32 = 5;

/// The servers that may serve one request.
#[derive(Clone, Debug)]
pub struct RequestRoute {
    slot: u16,
    /// Whether replicas, which may lag behind the owner, may serve the request.
    allow_stale_reads: bool,
    redirection_count: u32,
    /// The target of an `ASK`: the only server for the next attempt, which begins with `ASKING`.
    ask_target: Option<SocketAddr>,
}

impl RequestRoute {
    /// Creates the route of a request for a slot. With `allow_stale_reads`, replicas may serve the
    /// request.
    pub fn new(slot: u16, allow_stale_reads: bool) -> RequestRoute {
        RequestRoute { slot, allow_stale_reads, redirection_count: 0, ask_target: None }
    }

    /// The servers that may serve the request now, the preferred one first. The list is empty if no
    /// owner is known or the redirections form a loop.
    pub fn candidates(&self, map: &SlotMap) -> Vec<SocketAddr> {
        if self.redirection_count > MAX_REDIRECTIONS {
            return Vec::new();
        }
        if let Some(target) = self.ask_target {
            return vec![target];
        }
        let servers = map.servers_for(self.slot);
        if self.allow_stale_reads { servers.collect() } else { servers.take(1).collect() }
    }

    /// Whether an attempt at `server` has to begin with `ASKING`.
    pub fn needs_asking(&self, server: SocketAddr) -> bool {
        self.ask_target == Some(server)
    }

    /// Whether an attempt at `server` has to begin with `READONLY`, because the server is not the
    /// owner.
    pub fn needs_readonly(&self, server: SocketAddr, map: &SlotMap) -> bool {
        !self.needs_asking(server) && map.owner(self.slot) != Some(server)
    }

    /// Applies a server's error to the route, and a `MOVED` also to the map. Returns whether the
    /// map has to be refreshed.
    pub fn on_error(&mut self, meaning: &ErrorMeaning, map: &mut SlotMap) -> bool {
        // An `ASK` holds only for one attempt.
        self.ask_target = None;
        match meaning {
            ErrorMeaning::Moved { slot, target } => {
                self.redirection_count += 1;
                // A redirection for another slot than the request's is not trusted.
                if *slot == self.slot {
                    map.apply_moved(*slot, *target);
                }
                true
            }
            ErrorMeaning::Ask { slot, target } => {
                self.redirection_count += 1;
                let same_slot = *slot == self.slot;
                self.ask_target = same_slot.then_some(*target);
                !same_slot
            }
            ErrorMeaning::MapOutdated => true,
            ErrorMeaning::RetryLater | ErrorMeaning::Final => false,
        }
    }

    /// Records that an attempt ended without a reply. If it followed an `ASK`, the next attempt
    /// goes to the owner again.
    pub fn on_no_answer(&mut self) {
        self.ask_target = None;
    }
}
