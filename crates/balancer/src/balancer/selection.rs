//! Decides which server gets the next attempt of a request: the first that follows the key's point on the ring and may get it.
//! The own zone comes before the others, and each is sought three times, with fewer conditions each time.
//!
//! Inputs: what the other decisions know of each server; it has no state of its own.

use super::Balancer;
use crate::connections::ZoneGroup;
use crate::hash::mix;
use crate::request::Request;
use crate::ring::RingScope;
use crate::server::Server;
use crate::types::ServerIndex;

/// The conditions that a server must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// Within its concurrency limit, and the key among those that it keeps.
    Strict,
    /// Within 3/2 of its limit.
    Relaxed,
    /// A silent one too, or an ejected one where none is trusted.
    LastResort,
}

/// The least cap on the attempts of one server.
const MIN_IN_FLIGHT_CAP: u64 = 2;

/// What a walk along the ring has found out before it looks at single servers.
struct Walk<'a> {
    request: &'a Request,
    round: Round,
    /// The largest size of the servers on the way.
    max_size: u64,
    /// The first servers on the way, up to one that does not keep the key.
    keepers: Vec<ServerIndex>,
    /// No ready server is trusted.
    all_ejected: bool,
    /// A connection to one more server may be opened, by `ZoneGroup`.
    may_connect: [bool; 2],
}

impl Balancer {
    /// The server for the next attempt, if any may get it.
    pub(super) fn select_server(&self, request: &Request) -> Option<ServerIndex> {
        let first = match self.shedding.uses_shared_ring(request.key) {
            true => [(RingScope::AllZones, Round::Strict), (RingScope::AllZones, Round::Relaxed)],
            false => [(RingScope::OwnZone, Round::Strict), (RingScope::OtherZones, Round::Strict)],
        };
        let rest = [Round::Relaxed, Round::LastResort]
            .into_iter()
            .flat_map(|round| [RingScope::OwnZone, RingScope::OtherZones].map(|scope| (scope, round)));
        first.into_iter().chain(rest).find_map(|(scope, round)| self.find_on_ring(scope, request, round))
    }

    /// Follows a ring from the key's point, passing servers at the cap, ejected, silent, in slow start or not keeping the key.
    fn find_on_ring(&self, scope: RingScope, request: &Request, round: Round) -> Option<ServerIndex> {
        let mut servers: Vec<ServerIndex> = match &request.allowed_servers {
            Some(allowed) => allowed.iter().copied().filter(|server| self.is_ready(*server)).collect(),
            None => self.ring.servers_from(scope, request.key, self.servers.len()),
        };
        let max_size = servers.iter().map(|server| self.servers[*server].keys.size()).max();
        let mut walk = Walk {
            request,
            round,
            max_size: max_size.unwrap_or(1).max(1),
            keepers: Vec::new(),
            all_ejected: round == Round::LastResort && self.all_ejected(),
            may_connect: [ZoneGroup::Own, ZoneGroup::Others].map(|group| self.may_connect(group)),
        };
        walk.keepers = servers.iter().copied().take_while(|server| self.keeps_key(&walk, *server)).collect();
        if round == Round::LastResort {
            // Guards against rejecting as those that are passed hold nothing: the mean is of the others.
            servers.retain(|server| self.may_receive(&walk, *server));
        }
        let in_flight: u64 =
            servers.iter().map(|server| self.servers[*server].liveness.in_flight()).sum::<u64>() + 1;
        // 5/4 of the mean: consistent hashing with bounded loads.
        let cap = (in_flight * 5).div_ceil(4 * servers.len().max(1) as u64).max(MIN_IN_FLIGHT_CAP);
        servers.into_iter().find(|server| {
            self.servers[*server].liveness.in_flight() < cap && self.may_receive(&walk, *server)
        })
    }

    /// Guards against taking a failure behind all servers (link, origin) for one of each of them.
    fn all_ejected(&self) -> bool {
        (0..self.servers.len())
            .all(|server| !self.is_ready(server) || self.servers[server].failures.is_ejected())
    }

    fn keeps_key(&self, walk: &Walk, server: ServerIndex) -> bool {
        walk.round != Round::Strict
            || self.servers[server].keys.keeps(walk.request.key, self.salt, walk.max_size)
    }

    /// Whether a server may get the attempt.
    fn may_receive(&self, walk: &Walk, index: ServerIndex) -> bool {
        let Walk { request, round, .. } = *walk;
        let server = &self.servers[index];
        let in_flight = server.liveness.in_flight();
        let strict = round == Round::Strict;
        (server.failures.allows_attempt(in_flight) || walk.all_ejected)
            && (round == Round::LastResort || !self.is_silent(index))
            && (server.connected || walk.may_connect[self.zone_group(server) as usize])
            && !request.attempts.iter().any(|a| a.server == index && (a.failed || a.pending))
            && (strict || server.keys.takes_other_keys(request.draw))
            && self.slow_start_allows(walk, index)
            && self.keeps_key(walk, index)
            && match strict {
                true => server.concurrency.admits(in_flight, request.draw),
                false => server.concurrency.admits_relaxed(in_flight, request.draw),
            }
            && self.may_attempt(request, index)
    }

    /// A server in slow start stands on the ring with its share of its keys only, the same keys at every proxy and more by and
    /// by, and for none that a server before it does not keep. Guards one that comes back, and the origin.
    fn slow_start_allows(&self, walk: &Walk, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let progress = server.slow_start_progress(&self.settings, self.now);
        if progress.is_done() {
            return true;
        }
        let in_its_share = walk.request.allowed_servers.is_some()
            || (walk.keepers.contains(&index) && progress.includes(mix(walk.request.key)));
        in_its_share && server.slow_start.has_token()
    }

    pub(super) fn zone_group(&self, server: &Server) -> ZoneGroup {
        ZoneGroup::of(server.zone, self.settings.zone)
    }

    /// To how many servers of the own zone, or of others, connections are held.
    pub(super) fn connected_count(&self, group: ZoneGroup) -> u64 {
        let counts = |server: &&Server| server.connected && self.zone_group(server) == group;
        self.servers.iter().filter(counts).count() as u64
    }

    fn may_connect(&self, group: ZoneGroup) -> bool {
        self.connections.may_open(group, self.connected_count(group))
    }
}
