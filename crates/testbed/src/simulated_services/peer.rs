//! The peers that a proxy connects to: their addresses, and whether they can be reached.

use super::SimulatedServices;
use crate::clock::Micros;
use crate::experiment::{ListSource, Outage};
use crate::model::etcd::ENDPOINT_COUNT;
use crate::model::timeline::{ListOutage, Reachability};
use std::net::SocketAddr;

/// A simulated service that proxies connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    /// A server by its index; the origin's index is the one after the last server's.
    Server(usize),
    /// The list, at its first address or the one that it moves to.
    List { moved: bool },
    /// An endpoint of etcd, by its index.
    Etcd(usize),
}

/// The link between a proxy and a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub peer: Peer,
    pub proxy: usize,
}

impl SimulatedServices {
    /// All peers that a proxy may connect to.
    pub(super) fn peers(&self) -> Vec<Peer> {
        let mut peers: Vec<Peer> = (0..=self.origin_index()).map(Peer::Server).collect();
        peers.push(Peer::List { moved: false });
        peers.push(Peer::List { moved: true });
        if self.experiment.fleet.list_source() == ListSource::Etcd {
            peers.extend((0..ENDPOINT_COUNT).map(Peer::Etcd));
        }
        peers
    }

    pub(super) fn address(&self, link: Link) -> SocketAddr {
        match link.peer {
            Peer::Server(server) => self.addresses.server_address(link.proxy, server, self.origin_index()),
            Peer::List { moved } => self.addresses.list_address(link.proxy, moved),
            Peer::Etcd(endpoint) => self.addresses.etcd_address(link.proxy, endpoint),
        }
    }

    /// Whether a proxy can reach a peer, and until when this holds.
    pub(super) fn reachability(&self, link: Link) -> (Reachability, Micros) {
        let zones = self.zones();
        let zone = link.proxy % zones;
        let now = self.clock.now();
        match link.peer {
            Peer::Server(server) if server < self.origin_index() => {
                self.timelines.reachability(server, (server % zones, zone), now)
            }
            Peer::Server(_) => self.timelines.origin_reachability(zone, now),
            Peer::List { .. } => self.list_reachability(zone, now),
            Peer::Etcd(endpoint) => self.etcd_reachability(endpoint, zone, now),
        }
    }

    /// Whether the list can be reached. It has outages of its own, in some of which nothing
    /// listens.
    fn list_reachability(&self, zone: usize, now: Micros) -> (Reachability, Micros) {
        let (reachability, until) = self.timelines.origin_reachability(zone, now);
        let refuses = |list_outage: &&ListOutage| list_outage.outage == Outage::Refuses;
        let spans = self.timelines.list_outages.iter().filter(refuses).map(|list_outage| &list_outage.span);
        let transitions = spans.clone().flat_map(|span| [span.start, span.end]);
        let next = transitions.filter(|at| *at > now).min().unwrap_or(Micros::MAX);
        let is_down = spans.clone().any(|span| span.contains(&now));
        (if is_down { Reachability::Refused } else { reachability }, until.min(next))
    }

    fn etcd_reachability(&self, endpoint: usize, zone: usize, now: Micros) -> (Reachability, Micros) {
        let next = self.etcd.timeline.next_transition(now);
        if self.etcd.timeline.is_down(now) {
            return (Reachability::Refused, next);
        }
        let (reachability, until) = self.timelines.zone_reachability(endpoint % self.zones(), zone, now);
        (reachability, until.min(next))
    }
}
