//! The route of one request among the servers: which may serve it next, after the redirections so
//! far.

use crate::error_meaning::ErrorMeaning;
use crate::slot_map::SlotMap;
use std::net::SocketAddr;

/// Redirections that one request follows: a slot that moves twice between its attempts takes two,
/// and an `ASK` one more. More is a loop.
const MAX_REDIRECTIONS: u32 = 5;

/// Which servers may serve one request.
#[derive(Clone, Debug)]
pub struct RequestRoute {
    slot: u16,
    /// Whether replicas may serve it, which may lag behind the owner.
    stale_reads: bool,
    redirections: u32,
    /// The target of an `ASK`: the one server for the next attempt, after `ASKING`.
    ask_target: Option<SocketAddr>,
}

impl RequestRoute {
    /// The route of a request for a slot. `stale_reads`: whether replicas may serve it.
    pub fn new(slot: u16, stale_reads: bool) -> RequestRoute {
        RequestRoute { slot, stale_reads, redirections: 0, ask_target: None }
    }

    /// The servers that may serve it now, the preferred one first. Empty if no owner is known or
    /// redirections form a loop.
    pub fn candidates(&self, map: &SlotMap) -> Vec<SocketAddr> {
        if self.redirections > MAX_REDIRECTIONS {
            return Vec::new();
        }
        if let Some(to) = self.ask_target {
            return vec![to];
        }
        let servers = map.servers_for(self.slot);
        if self.stale_reads { servers.collect() } else { servers.take(1).collect() }
    }

    /// Whether an attempt at that server has to begin with `ASKING`.
    pub fn needs_asking(&self, to: SocketAddr) -> bool {
        self.ask_target == Some(to)
    }

    /// Whether an attempt at that server has to begin with `READONLY`: it is not the owner.
    pub fn needs_readonly(&self, to: SocketAddr, map: &SlotMap) -> bool {
        !self.needs_asking(to) && map.owner(self.slot) != Some(to)
    }

    /// Applies a server's error to the route, and a `MOVED` to the map. Returns whether the map
    /// should be refreshed.
    pub fn on_error(&mut self, meaning: &ErrorMeaning, map: &mut SlotMap) -> bool {
        // An `ASK` holds for one attempt.
        self.ask_target = None;
        match meaning {
            ErrorMeaning::Moved { slot, to } => {
                self.redirections += 1;
                // A redirection of another slot than the request's is not trusted.
                if *slot == self.slot {
                    map.apply_moved(*slot, *to);
                }
                true
            }
            ErrorMeaning::Ask { slot, to } => {
                self.redirections += 1;
                let same_slot = *slot == self.slot;
                self.ask_target = same_slot.then_some(*to);
                !same_slot
            }
            ErrorMeaning::MapOutdated => true,
            ErrorMeaning::RetryLater | ErrorMeaning::Final => false,
        }
    }

    /// An attempt ended without an answer. After an `ASK`, the next goes to the owner again.
    pub fn on_no_answer(&mut self) {
        self.ask_target = None;
    }
}
