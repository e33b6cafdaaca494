//! The way of one request among the servers: who may serve it next, after what servers have said.

use crate::{Map, Meaning};
use std::net::SocketAddr;

/// Redirections that one request follows: a slot that moves twice between its attempts takes two, and an ASK one more. More is a
/// loop.
const MOST: u32 = 5;

#[derive(Clone, Debug)]
pub struct Way {
    slot: u16,
    /// May replicas serve it, which may be behind.
    stale: bool,
    redirected: u32,
    /// The one server that is to be asked for once, after `ASKING`.
    ask: Option<SocketAddr>,
}

impl Way {
    pub fn new(slot: u16, stale: bool) -> Way {
        Way { slot, stale, redirected: 0, ask: None }
    }

    pub fn slot(&self) -> u16 {
        self.slot
    }

    /// Who may serve it now, the first first. Nobody, where no server is known to hold the slot or redirections go in a circle.
    pub fn who(&self, map: &Map) -> Vec<SocketAddr> {
        if self.redirected > MOST {
            return Vec::new();
        }
        match self.ask {
            Some(to) => vec![to],
            None => map.who(self.slot).take(if self.stale { usize::MAX } else { 1 }).collect(),
        }
    }

    /// Whether an attempt to that server is to begin with `ASKING`.
    pub fn asking(&self, to: SocketAddr) -> bool {
        self.ask == Some(to)
    }

    /// Whether an attempt to that server is to begin with `READONLY`: it is no owner's.
    pub fn of_replica(&self, to: SocketAddr, map: &Map) -> bool {
        !self.asking(to) && map.owner(self.slot) != Some(to)
    }

    /// What a server has said, which changes the map too. Whether the map is to be asked for anew.
    pub fn said(&mut self, meaning: &Meaning, map: &mut Map) -> bool {
        // An ASK is good for one attempt.
        self.ask = None;
        match meaning {
            Meaning::Moved { slot, to } => {
                self.redirected += 1;
                // Of another slot than was asked for: it says nothing.
                if *slot == self.slot {
                    map.moved(*slot, *to);
                }
                true
            }
            Meaning::Ask { slot, to } => {
                self.redirected += 1;
                self.ask = (*slot == self.slot).then_some(*to);
                *slot != self.slot
            }
            Meaning::NotHere => true,
            Meaning::NotNow | Meaning::Answer => false,
        }
    }

    /// An attempt ended without a word. What was asked for once is the owner's again.
    pub fn silent(&mut self) {
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
        let (mut map, mut way) = (Map::default(), Way::new(7, true));
        assert!(way.who(&map).is_empty());
        assert!(way.said(&Meaning::Moved { slot: 7, to: addr(1) }, &mut map));
        assert_eq!((way.who(&map), way.asking(addr(1))), (vec![addr(1)], false));
        assert!(!way.said(&Meaning::Ask { slot: 7, to: addr(2) }, &mut map));
        assert_eq!(
            (way.who(&map), way.asking(addr(2)), way.of_replica(addr(2), &map)),
            (vec![addr(2)], true, false)
        );
        way.silent();
        assert_eq!(way.who(&map), [addr(1)]);
        assert!(way.said(&Meaning::Moved { slot: 8, to: addr(3) }, &mut map));
        assert_eq!((way.who(&map), map.owner(8)), (vec![addr(1)], None));
        for port in [2, 1, 2, 1] {
            way.said(&Meaning::Moved { slot: 7, to: addr(port) }, &mut map);
        }
        assert!(way.who(&map).is_empty());
    }
}
