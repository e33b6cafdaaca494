//! A balancer makes the decisions of one proxy: it owns the state of each decision and connects the
//! modules that make them.
//!
//! The caller sets the clock, passes the endpoint list, accepts and routes each request, and then
//! reports what happens to its attempts. The balancer calls its [`Effects`] for every action to
//! take. It is deterministic: it reads no clock and has its own random number generator, so
//! the same calls lead to the same decisions.

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

/// The interval at which the state decays: long enough for some dozens of answers, short enough to
/// notice when a failure begins and ends.
const SECOND: Span = Span::from_secs(1);
/// If the clock advances by more than this at once, the decay steps in between are skipped.
const MAX_CATCH_UP: Span = Span::from_secs(20);

/// Timer tokens below this one belong to requests, tokens from here on to servers.
const FIRST_SERVER_TOKEN: u64 = 1 << 61;
/// The token of the timer for the next call to discovery.
const DISCOVERY_TOKEN: u64 = 1 << 62;
/// The upper bound of the random delay before the first call to discovery. Proxies that were killed
/// together also start together. With their first calls spread over 3 s, few calls time out in the
/// queue of a service that takes 2 s to 8 s to answer one call from each proxy of the fleet. Its
/// work for calls that have timed out is wasted.
const MAX_FIRST_CALL_DELAY: Span = Span::from_secs(3);

/// The decisions of one proxy.
#[derive(Default)]
pub struct Balancer {
    now: Timestamp,
    /// The time up to which the state has decayed.
    decayed_until: Timestamp,
    settings: Settings,
    random: Random,
    /// Differs between proxies, so that they skip a loaded server for different keys.
    salt: u64,
    servers: Vec<Server>,
    origin: Option<ServerIndex>,
    ring: Ring,
    requests: HashMap<u64, Request>,
    accepted_count: u64,
    latencies: LatencyHistogram,
    key_order: KeyOrder,
    fetches: Fetches,
    shedding: LoadShedding,
    connections: ConnectionLimits,
    discovery: DiscoveryCalls,
    /// What an earlier process of this proxy learned about servers that are not listed yet.
    pending_learned: BTreeMap<String, LearnedServer>,
    /// The ids of servers that operators disabled, whether listed or not, and since when.
    disabled: BTreeMap<String, Timestamp>,
}

impl Balancer {
    /// Creates a balancer without servers. `values` holds the settings of a deployment by name.
    pub fn new(seed: u64, values: &BTreeMap<String, String>, effects: &mut dyn Effects) -> Balancer {
        let settings = Settings::read(values);
        let mut random = Random::seeded(seed);
        if values.get("watched").is_some_and(|value| value == "1") {
            effects.set_timer(DISCOVERY_TOKEN, random.span_below(MAX_FIRST_CALL_DELAY));
        }
        Balancer { settings, salt: random.salt(), random, ..Balancer::default() }
    }

    /// Sets the clock, which never goes back. Must be called before each call that reports an
    /// event.
    pub fn advance_clock(&mut self, now: Timestamp) {
        self.now = now;
        while self.decayed_until + SECOND <= now {
            let elapsed = now - self.decayed_until;
            self.decayed_until = if elapsed > MAX_CATCH_UP { now } else { self.decayed_until + SECOND };
            self.decay();
        }
    }

    /// Decays the state of each decision by one second.
    fn decay(&mut self) {
        self.latencies.decay();
        self.key_order.drop_idle(self.now);
        self.shedding.recover(self.decayed_until.whole_periods(SECOND));
        self.connections.recover();
        for server in &mut self.servers {
            server.recover(&self.settings);
        }
    }

    /// Handles the expiry of a timer that the balancer has set.
    pub fn timer_fired(&mut self, token: u64, effects: &mut dyn Effects) {
        if token >= DISCOVERY_TOKEN {
            effects.watch_endpoints();
        } else if token >= FIRST_SERVER_TOKEN {
            self.ejection_timer_fired((token - FIRST_SERVER_TOKEN) as ServerIndex, effects);
        } else {
            self.request_timer_fired(RequestId(token), effects);
        }
    }

    /// How long a server with attempts in flight may send nothing before it counts as silent.
    fn silence_timeout(&self) -> Span {
        crate::liveness::silence_timeout(&self.latencies, self.settings.shortest_target())
    }

    /// The time after which an attempt is overdue if attempts sent later were answered.
    fn overdue_after(&self) -> Span {
        crate::liveness::overdue_after(&self.latencies, self.settings.shortest_target())
    }

    fn is_silent(&self, server: ServerIndex) -> bool {
        self.servers[server].liveness.is_silent(self.now, || self.silence_timeout())
    }

    /// Whether this is a server in service, and not the origin.
    fn is_ready(&self, server: ServerIndex) -> bool {
        Some(server) != self.origin && self.is_available(server)
    }
}
