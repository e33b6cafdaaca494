//! The route of one request among the servers: who may serve it next, after what servers have said.

use crate::{ErrorMeaning, SlotMap};
use std::net::SocketAddr;

/// Redirections that one request follows: a slot that moves twice between its attempts takes two, and an ASK one more. More is a
/// loop.
const MAX_REDIRECTIONS: u32 = 5;

#[derive(Clone, Debug)]
pub struct RequestRoute {
    slot: u16,
    /// May replicas serve it, which may be behind.
    stale: bool,
    redirected: u32,
    /// The one server that is to be asked for once, after `ASKING`.
    ask: Option<SocketAddr>,
}

impl RequestRoute {
    pub fn new(slot: u16, stale: bool) -> RequestRoute {
        RequestRoute { slot, stale, redirected: 0, ask: None }
    }

    pub fn slot(&self) -> u16 {
        self.slot
    }

    /// Who may serve it now, the first first. Nobody, where no server is known to hold the slot or redirections go in a circle.
    pub fn candidates(&self, map: &SlotMap) -> Vec<SocketAddr> {
        if self.redirected > MAX_REDIRECTIONS {
            return Vec::new();
        }
        match self.ask {
            Some(to) => vec![to],
            None => map.servers_for(self.slot).take(if self.stale { usize::MAX } else { 1 }).collect(),
        }
    }

    /// Whether an attempt to that server is to begin with `ASKING`.
    pub fn needs_asking(&self, to: SocketAddr) -> bool {
        self.ask == Some(to)
    }

    /// Whether an attempt to that server is to begin with `READONLY`: it is no owner's.
    pub fn needs_readonly(&self, to: SocketAddr, map: &SlotMap) -> bool {
        !self.needs_asking(to) && map.owner(self.slot) != Some(to)
    }

    /// What a server has said, which changes the map too. Whether the map is to be asked for anew.
    pub fn on_error(&mut self, meaning: &ErrorMeaning, map: &mut SlotMap) -> bool {
        // An ASK is good for one attempt.
        self.ask = None;
        match meaning {
            ErrorMeaning::Moved { slot, to } => {
                self.redirected += 1;
                // Of another slot than was asked for: it says nothing.
                if *slot == self.slot {
                    map.apply_moved(*slot, *to);
                }
                true
            }
            ErrorMeaning::Ask { slot, to } => {
                self.redirected += 1;
                self.ask = (*slot == self.slot).then_some(*to);
                *slot != self.slot
            }
            ErrorMeaning::MapOutdated => true,
            ErrorMeaning::RetryLater | ErrorMeaning::Final => false,
        }
    }

    /// An attempt ended without a word. What was asked for once is the owner's again.
    pub fn on_no_answer(&mut self) {
        self.ask = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn addr(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn an_ask_holds_for_one_attempt_a_move_for_all_and_a_circle_ends() {
        let (mut map, mut route) = (SlotMap::default(), RequestRoute::new(7, true));
        assert!(route.candidates(&map).is_empty());
        assert!(route.on_error(&ErrorMeaning::Moved { slot: 7, to: addr(1) }, &mut map));
        assert_eq!((route.candidates(&map), route.needs_asking(addr(1))), (vec![addr(1)], false));
        assert!(!route.on_error(&ErrorMeaning::Ask { slot: 7, to: addr(2) }, &mut map));
        assert_eq!(
            (route.candidates(&map), route.needs_asking(addr(2)), route.needs_readonly(addr(2), &map)),
            (vec![addr(2)], true, false)
        );
        route.on_no_answer();
        assert_eq!(route.candidates(&map), [addr(1)]);
        assert!(route.on_error(&ErrorMeaning::Moved { slot: 8, to: addr(3) }, &mut map));
        assert_eq!((route.candidates(&map), map.owner(8)), (vec![addr(1)], None));
        for port in [2, 1, 2, 1] {
            route.on_error(&ErrorMeaning::Moved { slot: 7, to: addr(port) }, &mut map);
        }
        assert!(route.candidates(&map).is_empty());
    }
}
