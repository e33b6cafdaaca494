//! One balancer is one proxy's decisions: it owns the state of each decision, and wires the modules that make them.
//!
//! Set its clock, hand it the list of servers, accept each request and route it, then report what happens to its attempts. It
//! calls its [`Effects`] for what is to be done. The same calls lead to the same decisions: it reads no clock and draws from
//! its own random numbers.

mod attempts;
mod endpoints;
mod health;
mod learning;
mod origin;
mod queries;
mod repeats;
mod requests;
mod retry;
mod selection;
mod snapshot;

use crate::connections::ConnectionLimits;
use crate::discovery::DiscoveryCalls;
use crate::effects::Effects;
use crate::fetches::Fetches;
use crate::histogram::LatencyHistogram;
use crate::key_order::KeyOrder;
use crate::load_shedding::LoadShedding;
use crate::random::Random;
use crate::request::Request;
use crate::ring::Ring;
use crate::server::Server;
use crate::settings::Settings;
use crate::types::{LearnedServer, RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// The state decays in steps of one second: long enough for some dozens of answers, short enough to see a failure begin and end.
const SECOND: Span = Span::from_secs(1);
/// After a standstill of so long the seconds in between are not made up for.
const MAX_CATCH_UP: Span = Span::from_secs(20);

/// Timers below this are of requests, from here on of servers.
const FIRST_SERVER_TOKEN: u64 = 1 << 61;
/// The timer after which discovery is called.
const DISCOVERY_TOKEN: u64 = 1 << 62;
/// All that were killed together start together. Over 3 s: a service that takes a call of each of a fleet in 2 s to 8 s then
/// holds few that wait too long, which are work for nobody.
const MAX_FIRST_CALL_DELAY: Span = Span::from_secs(3);

/// The decisions of one proxy.
#[derive(Default)]
pub struct Balancer {
    now: Timestamp,
    /// Until when the state has decayed.
    decayed_until: Timestamp,
    settings: Settings,
    random: Random,
    /// Its own, so that proxies pass a loaded server for different keys.
    salt: u64,
    servers: Vec<Server>,
    origin: Option<ServerIndex>,
    ring: Ring,
    requests: HashMap<u64, Request>,
    accepted: u64,
    latencies: LatencyHistogram,
    key_order: KeyOrder,
    fetches: Fetches,
    shedding: LoadShedding,
    connections: ConnectionLimits,
    discovery: DiscoveryCalls,
    /// What a process before this one has learned, of servers not yet listed.
    pending_learned: BTreeMap<String, LearnedServer>,
    /// The ids of servers that operators took out, listed or not, and since when.
    disabled: BTreeMap<String, Timestamp>,
}

impl Balancer {
    /// A balancer that knows no server yet, with the settings of a deployment by name.
    pub fn new(seed: u64, values: &BTreeMap<String, String>, effects: &mut dyn Effects) -> Balancer {
        let settings = Settings::read(values);
        let mut random = Random::seeded(seed);
        if values.get("watched").is_some_and(|watched| watched == "1") {
            effects.set_timer(DISCOVERY_TOKEN, random.span_below(MAX_FIRST_CALL_DELAY));
        }
        Balancer { settings, salt: random.salt(), random, ..Balancer::default() }
    }

    /// Sets the clock, which never goes back. Called before each call that something has happened.
    pub fn advance_clock(&mut self, now: Timestamp) {
        self.now = now;
        while self.decayed_until + SECOND <= now {
            let behind = now - self.decayed_until;
            self.decayed_until = if behind > MAX_CATCH_UP { now } else { self.decayed_until + SECOND };
            self.decay();
        }
    }

    /// One second has passed for the state of each decision.
    fn decay(&mut self) {
        self.latencies.decay();
        self.key_order.drop_idle(self.now);
        self.shedding.recover(self.decayed_until.whole_periods(SECOND));
        self.connections.recover();
        for server in &mut self.servers {
            server.recover(&self.settings);
        }
    }

    /// A timer that was set has come.
    pub fn timer_fired(&mut self, token: u64, effects: &mut dyn Effects) {
        if token >= DISCOVERY_TOKEN {
            effects.watch_endpoints();
        } else if token >= FIRST_SERVER_TOKEN {
            self.ejection_timer_fired((token - FIRST_SERVER_TOKEN) as ServerIndex, effects);
        } else {
            self.request_timer_fired(RequestId(token), effects);
        }
    }

    /// How long a server with attempts in flight may send nothing.
    fn silence_timeout(&self) -> Span {
        crate::liveness::silence_timeout(&self.latencies, self.settings.shortest_target())
    }

    /// After how long an attempt is overdue where later ones were answered.
    fn overdue_after(&self) -> Span {
        crate::liveness::overdue_after(&self.latencies, self.settings.shortest_target())
    }

    fn is_silent(&self, server: ServerIndex) -> bool {
        self.servers[server].liveness.is_silent(self.now, || self.silence_timeout())
    }

    /// Whether a server, which is not the origin, is in service.
    fn is_ready(&self, server: ServerIndex) -> bool {
        Some(server) != self.origin && self.is_available(server)
    }
}
