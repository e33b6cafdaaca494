//! Decides which server gets the next attempt of a request: the first eligible one after the key's
//! point on the ring. Keys that load shedding has moved to the ring of all zones are searched there
//! first. The proxy's own zone comes before the others, and each is searched up to three times,
//! with fewer conditions each time.
//!
//! Inputs: what the other decisions know about each server. This decision has no state of its own.

use super::Balancer;
use crate::connections::ZoneGroup;
use crate::hash::mix;
use crate::request::Request;
use crate::ring::RingScope;
use crate::server::Server;
use crate::types::ServerIndex;

/// The set of conditions that a server must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// The server is within its concurrency limit and keeps the key.
    Strict,
    /// The server is within 3/2 of its concurrency limit.
    Relaxed,
    /// A silent server is eligible too, and an ejected one if all ready servers are ejected.
    LastResort,
}

/// The smallest cap on the attempts in flight at one server.
const MIN_IN_FLIGHT_CAP: u64 = 2;

/// The parts of a search along the ring that are the same for all servers.
struct RingSearch<'a> {
    request: &'a Request,
    round: Round,
    /// The largest weight among the searched servers.
    max_weight: u64,
    /// The searched servers before the first one that does not keep the key.
    keepers: Vec<ServerIndex>,
    /// All ready servers are ejected, and this is the last round.
    all_ejected: bool,
    /// Whether a connection to one more server may be opened, by `ZoneGroup`.
    may_connect: [bool; 2],
}

impl Balancer {
    /// The server for the next attempt, if any is eligible.
    pub(super) fn select_server(&self, request: &Request) -> Option<ServerIndex> {
        let first_searches = match self.shedding.uses_shared_ring(request.key) {
            true => [(RingScope::AllZones, Round::Strict), (RingScope::AllZones, Round::Relaxed)],
            false => [(RingScope::OwnZone, Round::Strict), (RingScope::OtherZones, Round::Strict)],
        };
        let later_searches = [Round::Relaxed, Round::LastResort]
            .into_iter()
            .flat_map(|round| [RingScope::OwnZone, RingScope::OtherZones].map(|scope| (scope, round)));
        first_searches
            .into_iter()
            .chain(later_searches)
            .find_map(|(scope, round)| self.find_on_ring(scope, request, round))
    }

    /// Searches a ring from the key's point on for an eligible server. Skips servers that are at
    /// the cap, ejected or silent, that do not serve the key yet in their slow start, or that do
    /// not keep the key.
    fn find_on_ring(&self, scope: RingScope, request: &Request, round: Round) -> Option<ServerIndex> {
        let mut servers: Vec<ServerIndex> = match &request.allowed_servers {
            Some(allowed) => allowed.iter().copied().filter(|server| self.is_ready(*server)).collect(),
            None => self.ring.servers_from(scope, request.key, self.servers.len()),
        };
        let max_weight = servers.iter().map(|server| self.servers[*server].key_share.weight()).max();
        let mut search = RingSearch {
            request,
            round,
            max_weight: max_weight.unwrap_or(1).max(1),
            keepers: Vec::new(),
            all_ejected: round == Round::LastResort && self.all_ejected(),
            may_connect: [ZoneGroup::Own, ZoneGroup::Others].map(|group| self.may_connect(group)),
        };
        search.keepers =
            servers.iter().copied().take_while(|server| self.keeps_key(&search, *server)).collect();
        if round == Round::LastResort {
            // The cap is computed from the mean of the eligible servers only: the others have
            // nothing in flight, and would lower the mean so far that requests are rejected.
            servers.retain(|server| self.eligible(&search, *server));
        }
        let in_flight: u64 =
            servers.iter().map(|server| self.servers[*server].liveness.in_flight()).sum::<u64>() + 1;
        // 5/4 of the mean: consistent hashing with bounded loads.
        let cap = (in_flight * 5).div_ceil(4 * servers.len().max(1) as u64).max(MIN_IN_FLIGHT_CAP);
        servers
            .into_iter()
            .find(|index| self.servers[*index].liveness.in_flight() < cap && self.eligible(&search, *index))
    }

    /// Whether all ready servers are ejected. A failure behind all servers (a link, the origin)
    /// must not count as a failure of each of them.
    fn all_ejected(&self) -> bool {
        (0..self.servers.len())
            .all(|server| !self.is_ready(server) || self.servers[server].failures.is_ejected())
    }

    fn keeps_key(&self, search: &RingSearch, server: ServerIndex) -> bool {
        search.round != Round::Strict
            || self.servers[server].key_share.keeps(search.request.key, self.salt, search.max_weight)
    }

    /// Whether a server may get the attempt in this round.
    fn eligible(&self, search: &RingSearch, index: ServerIndex) -> bool {
        let RingSearch { request, round, .. } = *search;
        let server = &self.servers[index];
        let in_flight = server.liveness.in_flight();
        let strict = round == Round::Strict;
        (server.failures.allows_attempt(in_flight) || search.all_ejected)
            && (round == Round::LastResort || !self.is_silent(index))
            && (server.connected || search.may_connect[self.zone_group(server) as usize])
            && !request.attempts.iter().any(|a| a.server == index && (a.failed || a.pending))
            && (strict || server.key_share.accepts_unowned_keys(request.draw))
            && self.slow_start_allows(search, index)
            && self.keeps_key(search, index)
            && match strict {
                true => server.concurrency.admits(in_flight, request.draw),
                false => server.concurrency.admits_relaxed(in_flight, request.draw),
            }
            && self.may_attempt(request, index)
    }

    /// Whether the slow start of a server allows the attempt. A server in slow start serves only a
    /// growing share of its keys, the same keys at every proxy, and none that a server before it on
    /// the ring gave up. Protects a server that has just started, and the origin.
    fn slow_start_allows(&self, search: &RingSearch, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let progress = server.slow_start_progress(&self.settings, self.now);
        if progress.is_done() {
            return true;
        }
        let in_its_share = search.request.allowed_servers.is_some()
            || (search.keepers.contains(&index) && progress.includes(mix(search.request.key)));
        in_its_share && server.slow_start.has_token()
    }

    pub(super) fn zone_group(&self, server: &Server) -> ZoneGroup {
        ZoneGroup::of(server.zone, self.settings.zone)
    }

    /// The number of servers in the proxy's own zone, or in other zones, to which connections are
    /// held.
    pub(super) fn connected_count(&self, group: ZoneGroup) -> u64 {
        let in_group = |server: &&Server| server.connected && self.zone_group(server) == group;
        self.servers.iter().filter(in_group).count() as u64
    }

    fn may_connect(&self, group: ZoneGroup) -> bool {
        self.connections.may_open(group, self.connected_count(group))
    }
}
