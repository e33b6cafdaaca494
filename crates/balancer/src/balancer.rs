//! Every decision of chalkwalk stands in this file; `plain.rs` holds the types it is called with.
//!
//! One `Balancer` is one proxy. Set its clock, hand it lists of servers, and each request with `take`: its handle
//! takes `route(..)` once, then what happens. What it wants leaves by the `Effects`. Same calls, same ways.

use crate::discovery;
use crate::plain::{Attempt, EndpointStatus, LearnedServer, Tally, leaning, mixed, point};
use crate::plain::{
    AttemptOutcome, Chance, ClassHandle, Effects, Endpoint, Line, Request, RequestId, Server, ServerIndex,
    Settings, StateChange,
};
use chalkwalk_time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};

const SECOND: Span = Span::from_secs(1);
const SERVER_TOKEN: u64 = 1 << 61; // wakes below this are requests, from here on servers
const WATCH_TOKEN: u64 = 1 << 62;
const LONGEST_LINE: usize = 100; // behind one key: more than ever come to their turn while they are useful

impl Settings {
    /// Thousandths of an attempt that a cold server may have from this proxy in a second: four attempts from all
    /// proxies together, as at their present worst cold servers bear twice that.
    fn cold_floor(&self) -> u64 {
        4000 / self.proxies.max(4)
    }

    /// Finds how much a server takes at once by additive increase and multiplicative decrease. Late is what
    /// took over half its target time, or 3/4 of the shortest: queues stay short enough for the most urgent,
    /// which the patient would crowd out; at the origin, over 3/4 of its own. A sixth of an attempt up and an
    /// eighth of the room down hold eight attempts where one in seven is late, and one where half are.
    fn resize(
        &self,
        c: &mut Server,
        outcome: AttemptOutcome,
        took: Span,
        company: u64,
        own: Span,
        server: bool,
    ) {
        let shortest = self.shortest().unwrap_or(own);
        let late = took > if server { (own / 2).min(shortest * 3 / 4) } else { own * 3 / 4 };
        match outcome {
            AttemptOutcome::Completed if !late && company * 200 > c.room => c.room += 16,
            // What was out is too much at one seldom heard of: one of many proxies has few answers of it.
            AttemptOutcome::Completed | AttemptOutcome::TimedOut if late => {
                c.room = (c.room * 7 / 8).min(if c.seldom { company * 100 } else { c.room });
            }
            // One at a time is no load: guards servers that turn away a part of whatever comes. Where that is
            // half, one run in sixteen is of four, and a server that is truly full answers nothing in between.
            AttemptOutcome::Overloaded if server && c.refusals < 4 => {
                c.room -= (c.room / 4).min(c.room.saturating_sub(100))
            }
            AttemptOutcome::Overloaded => c.room -= c.room / 4,
            _ => {}
        }
        c.refusals = match outcome {
            AttemptOutcome::Overloaded => c.refusals + 1,
            AttemptOutcome::Completed | AttemptOutcome::CacheMiss => 0,
            _ => c.refusals,
        };
        c.room = c.room.clamp(10, 10_000);
    }
}

#[derive(Default)]
pub struct Balancer {
    pub(crate) now: Timestamp,
    pub(crate) settings: Settings,
    pub(crate) chance: Chance,
    pub(crate) servers: Vec<Server>,
    pub(crate) rings: [Vec<(u64, ServerIndex)>; 3], // of the own zone, of the others, of all
    pub(crate) pooled: u64, // hundredths of the keys that are looked up on the ring of all zones
    pub(crate) admitted: [u64; 2], // thousandths of the requests that go to servers, and to the origin
    pub(crate) origin: Option<ServerIndex>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) taken: u64,
    pub(crate) taken_lately: u64, // halved each second
    pub(crate) fetches: HashMap<u64, Vec<RequestId>>,
    pub(crate) times: Tally,
    pub(crate) lines: HashMap<u64, Line>, // by key, where requests run in order
    pub(crate) kept: [HashSet<u64>; 2],   // keys resolved lately, and before that
    pub(crate) faded: Timestamp,
    pub(crate) failed_calls: u32, // to discovery, since its last answer
    pub(crate) salt: u64,         // own, so that proxies pass a loaded server for different keys
    pub(crate) refused: u64,      // ten-thousandths of the attempts at servers that found no connection
    pub(crate) links: [u64; 2],   // hundredths of servers to hold connections to, own zone and others
    pub(crate) carried: BTreeMap<String, LearnedServer>, // by a process before, of servers not yet listed
    pub(crate) barred: BTreeMap<String, Timestamp>, // ids that operators took out, listed or not: since when
}

impl Balancer {
    pub fn new(seed: u64, values: &BTreeMap<String, String>, effects: &mut dyn Effects) -> Balancer {
        let (settings, mut chance) = (Settings::read(values), Chance(mixed(seed) | 1));
        if values.get("watched").is_some_and(|w| w == "1") {
            // As all that were killed together start together. Over 3 s: a service that takes a call of each
            // of a fleet in 2 s to 8 s then holds few that wait too long, which are work for nobody.
            effects.set_timer(WATCH_TOKEN, chance.span_below(3 * SECOND));
        }
        Balancer {
            settings,
            salt: mixed(chance.0),
            chance,
            admitted: [1000; 2],
            links: [1 << 30; 2],
            ..Balancer::default()
        }
    }

    pub fn advance_clock(&mut self, now: Timestamp) {
        self.now = now;
        // One second: long enough for some dozens of answers, short enough to see a trouble begin and end.
        while self.faded + SECOND <= now {
            self.faded = if now - self.faded > 20 * SECOND { now } else { self.faded + SECOND };
            self.times.fade();
            self.taken_lately /= 2;
            self.lines.retain(|_, l| l.first.is_some() || !l.behind.is_empty() || now < l.rests_until);
            self.admitted = self.admitted.map(|part| (part + 50).min(1000)); // within 20 s whatever is heard
            // Keys are remembered for 4 to 8 s: longer, and too many pass whose copy is gone by then.
            if self.faded.whole_periods(SECOND).is_multiple_of(4) {
                self.kept.swap(0, 1);
                self.kept[0].clear();
            }
            self.links = self.links.map(|most| (most + 25).min(1 << 30));
            self.pooled -= self.pooled.div_ceil(16); // let go within half a minute
            for c in &mut self.servers {
                if c.credit < 1000 {
                    c.credit += self.settings.cold_floor(); // or a fleet all cold would stay so
                }
                (c.part, c.held.1) = ((c.part + 5).min(1000), c.held.1 - c.held.1 / 8); // in minutes
                c.lately -= c.lately / 8; // so that a server nobody asks is asked again
                c.stay -= if c.left { Span::ZERO } else { c.stay / 8 };
            }
        }
    }

    pub fn replace_endpoints(&mut self, endpoints: &[Endpoint], effects: &mut dyn Effects) {
        self.servers.iter_mut().for_each(|c| c.status = EndpointStatus::Gone);
        self.update_endpoints(endpoints, effects);
    }

    pub fn update_endpoints(&mut self, endpoints: &[Endpoint], effects: &mut dyn Effects) {
        // The watch goes on: what changes just after an answer counts as told, asked for or not.
        let failed_calls = discovery::failures_after_answer(self.failed_calls);
        if std::mem::replace(&mut self.failed_calls, failed_calls) > 0 {
            effects.report(StateChange::DiscoveryRecovered);
        }
        for e in endpoints {
            let known = self.servers.len().max(e.server + 1);
            self.servers.resize_with(known, Server::default);
            if self.servers[e.server].id != e.id {
                self.servers[e.server] =
                    Server { id: e.id.into(), room: 800, part: 1000, ..Server::default() };
            }
            self.started(e.server, e.born);
            let c = &mut self.servers[e.server];
            (c.zone, c.cell, c.status) = (e.zone, e.cell, e.status);
            // What makes no sense is as if nothing were said, and a size heard once is forgotten in minutes.
            let told = if (1..10_000_000).contains(&e.size) { e.size } else { c.size.max(1) };
            c.size = if self.settings.sizes { e.size.max(1) } else { told.max(c.size - c.size / 128) };
            c.held = (c.held.1, if self.settings.sizes { 0 } else { c.size * 100 / told - 100 });
            if Some(e.kind) == self.settings.origin_kind {
                self.origin = Some(e.server);
            }
            self.recall(e.server);
        }
        self.spread(endpoints);
        self.rings();
    }

    /// A new process under an old id, and never an older one: what was held against the old one is void. Some
    /// of many proxies begin with an attempt, by chance, or all would send theirs together.
    pub(crate) fn started(&mut self, server: ServerIndex, at: Timestamp) {
        if at > self.servers[server].born {
            let credit = self.settings.cold_floor() + self.chance.below(1000);
            let c = &mut self.servers[server];
            (c.born, c.credit, c.doubt, c.left, c.stay, c.part) = (at, credit, 0, false, Span::ZERO, 1000);
        }
    }

    /// A server that the list says holds over three requests a core, and more than the mean, keeps an eighth
    /// less of its keys, or else a sixtieth more: the same keys at every proxy, as all have the same list.
    fn spread(&mut self, endpoints: &[Endpoint]) {
        let ready = || (0..self.servers.len()).filter(|i| self.ready(*i));
        let mean = ready().map(|i| self.servers[i].held.1).sum::<u64>() / ready().count().max(1) as u64;
        for e in endpoints {
            let c = &mut self.servers[e.server];
            let (before, held) = c.held;
            c.part = match held > mean.max(300) {
                true if held * 8 > before * 7 => (c.part * 7 / 8).max(30),
                true => c.part, // it is getting over it
                false => (c.part + 16).min(1000),
            };
        }
    }

    /// 128 points a server, as the design has it, from the id alone: all proxies build one ring. The points of
    /// servers that stay are kept as they are: a place is another's only after it was gone, and had none.
    pub(crate) fn rings(&mut self) {
        let mut all = std::mem::take(&mut self.rings[2]);
        let mut new: Vec<bool> = (0..self.servers.len()).map(|i| self.ready(i)).collect();
        all.retain(|p| new[p.1]);
        all.iter().for_each(|p| new[p.1] = false);
        for (i, c) in self.servers.iter().enumerate().filter(|(i, _)| new[*i]) {
            all.extend((0..128).map(|salt| (point(&c.id, salt + 1), i)));
        }
        all.sort(); // two runs, mostly
        let (own, others) = all.iter().partition(|p| self.servers[p.1].zone == self.settings.zone);
        self.rings = [own, others, all];
    }

    /// A call to discovery that took so long brought nothing: the next one is made after a rest, within the term for changes.
    pub fn discovery_call_failed(&mut self, took: Span, effects: &mut dyn Effects) {
        if self.failed_calls == 0 {
            effects.report(StateChange::DiscoveryLost);
        }
        self.failed_calls = self.failed_calls.saturating_add(1);
        let rest =
            self.settings.discovery_retry.delay(took, self.failed_calls, |end| self.chance.span_below(end));
        effects.set_timer(WATCH_TOKEN, rest);
    }

    fn ready(&self, server: ServerIndex) -> bool {
        Some(server) != self.origin && self.is_available(server)
    }

    /// What an answer seldom takes: three times what nine in ten stay under, as a few heavy requests together
    /// hold up more.
    fn overdue(&self) -> Span {
        // Before there are any, nine in ten are taken to need a quarter of the shortest target time.
        let shortest = self.settings.shortest().unwrap_or(SECOND / 4);
        (3 * self.times.ninth(shortest / 4)).max(SECOND / 20)
    }

    /// How long a server with attempts out may say nothing: as long, and 1.5 s at most.
    fn hush(&self) -> Span {
        self.overdue().min(SECOND * 3 / 2)
    }

    fn silent(&self, server: ServerIndex) -> bool {
        let c = &self.servers[server];
        c.out > c.flows && self.now - c.owes_since > self.hush()
    }

    /// The share of its keys that a server may have by now, in thousandths.
    fn warmth(&self, server: ServerIndex) -> u64 {
        let (c, settings) = (&self.servers[server], &self.settings);
        let age = self.now.saturating_since(c.born);
        if c.born.is_zero() || age >= settings.cold_time {
            return 1000;
        }
        let share = settings.cold_share
            + (1.0 - settings.cold_share) * age.ticks() as f64 / settings.cold_time.ticks() as f64;
        (1000.0 * share) as u64
    }

    /// A cold server stands on the ring with the stated share of its keys only, the same keys at every proxy
    /// and more by and by, and none passed for a part. Guards one that comes back, and the origin.
    fn warm_enough(&self, server: ServerIndex, l: &Request, early: &[ServerIndex]) -> bool {
        let warmth = self.warmth(server);
        let its_share = l.order.is_some() || (early.contains(&server) && mixed(l.key) % 1000 < warmth);
        warmth == 1000 || (its_share && self.servers[server].credit >= 1000)
    }

    /// A cold server may be sent as much as the mean server answers, cut by its warmth, and what it answers
    /// itself, if only that it lacks the key. Guards against pushing it over when far more is asked for than
    /// the fleet can do.
    fn give_credit(&mut self, server: ServerIndex) {
        let (ready, most) = (self.rings[2].len() as u64 / 128, 1000 + 2 * self.settings.cold_floor());
        for i in 0..self.servers.len() {
            let warmth = self.warmth(i);
            if warmth < 1000 && self.ready(i) {
                let due = if i == server { 1000 } else { warmth * 5 / 4 / ready };
                self.servers[i].credit = (self.servers[i].credit + due).min(most);
            }
        }
    }

    /// How many servers of the own zone, or of others, connections are held to.
    fn linked(&self, place: usize) -> u64 {
        let there = |c: &&Server| c.linked && usize::from(c.zone != self.settings.zone) == place;
        self.servers.iter().filter(there).count() as u64
    }

    fn may_attempt(&self, l: &Request, server: ServerIndex) -> bool {
        l.attempts.len() < l.rules.max_attempts
            && (l.rules.hedging || !l.out())
            && self.may_repeat(l, Some(server), self.now, None)
    }

    /// Walks a ring from the key's point, passing servers at the cap, left, silent or too cold. Care 2 keeps
    /// to a room, care 1 to 3/2 of it; care 0 asks a silent one too, or a left one where none is trusted.
    fn walk(&self, ring: usize, l: &Request, care: u32) -> Option<ServerIndex> {
        let ring = if l.order.is_some() { &[][..] } else { &self.rings[ring][..] };
        let mut zone: Vec<ServerIndex> =
            l.order.iter().flatten().copied().filter(|c| self.ready(*c)).collect();
        let (mut seen, start) = (vec![false; self.servers.len()], ring.partition_point(|p| p.0 < l.key));
        for i in 0..ring.len() {
            let server = ring[(start + i) % ring.len()].1;
            if !std::mem::replace(&mut seen[server], true) {
                zone.push(server);
                if zone.len() * 128 == ring.len() {
                    break;
                }
            }
        }
        // A smaller server gives up half of the keys that it is short of the largest by, the same everywhere:
        // half, as keys are work and room to be kept in, which is nowhere stated. Each is passed for what is
        // not in its part, other keys at each proxy, so that a hot one splits.
        let most = zone.iter().map(|c| self.servers[*c].size).max().unwrap_or(1).max(1);
        let by_size = |c: &Server| mixed(l.key) / 100_000_000 % 1000 < (c.size + most) * 500 / most;
        let its_part = |c: &Server| care < 2 || (by_size(c) && mixed(l.key ^ self.salt) % 1000 < c.part);
        // Guards against taking a trouble behind all servers (link, origin) for one of each of them.
        let none_trusted =
            care == 0 && (0..self.servers.len()).all(|c| !self.ready(c) || self.servers[c].left);
        let early: Vec<ServerIndex> =
            zone.iter().copied().take_while(|c| its_part(&self.servers[*c])).collect();
        let may_open = [0, 1].map(|place| self.linked(place) * 100 + 100 <= self.links[place]);
        let may_be_asked = |server: &ServerIndex| {
            let (server, c) = (*server, &self.servers[*server]);
            let trusted = !c.left && (c.doubt < 6 || c.out == 0);
            (trusted || none_trusted)
                && (care == 0 || !self.silent(server))
                && (c.linked || may_open[usize::from(c.zone != self.settings.zone)])
                && !l.attempts.iter().any(|s| s.server == server && (s.bad || s.out))
                && (care == 2 || c.held.1 <= 300 + l.luck * 6)
                && self.warm_enough(server, l, &early)
                && its_part(c)
                && c.out * 100 + l.luck < if care == 2 { c.room } else { c.room * 3 / 2 }
                && self.may_attempt(l, server)
        };
        if care == 0 {
            // Guards against deferring as those that are passed hold nothing: the mean is of the others.
            zone.retain(may_be_asked);
        }
        let claims: u64 = zone.iter().map(|c| self.servers[*c].out).sum::<u64>() + 1;
        let cap = (claims * 5).div_ceil(4 * zone.len().max(1) as u64).max(2);
        zone.into_iter().find(|c| self.servers[*c].out < cap && may_be_asked(c))
    }

    /// The same for a key that is known by its point alone.
    pub fn accept_request_at(
        &mut self,
        class: usize,
        key: u64,
        write: bool,
        expires: Timestamp,
    ) -> RequestId {
        let request_id = RequestId(self.taken);
        self.taken += 1;
        self.taken_lately += 1;
        let rules = &self.settings.classes[class];
        rules.purse.record_first_attempt(self.now);
        let useful = if rules.late_counts { expires } else { expires.min(self.now + rules.target) };
        let luck = self.chance.below(100);
        let rules = ClassHandle::of(rules);
        let request =
            Request { rules, key, write, expires, useful_until: useful, luck, ..Request::default() };
        self.requests.insert(request_id.0, request);
        request_id
    }

    fn fresh(&self, l: &Request) -> bool {
        self.settings.through
            && l.order.is_none()
            && (l.write || !self.kept.iter().any(|k| k.contains(&l.key)))
    }

    /// Where a namespace asks for it, requests with one key run one at a time, as taken: whether this one
    /// waits or is deferred at once, as its turn can't come while it is useful.
    fn waits_its_turn(&mut self, request_id: RequestId, effects: &mut dyn Effects) -> bool {
        let (l, each) = (&self.requests[&request_id.0], self.times.under(500).unwrap_or(Span::ZERO));
        let (key, useful) = (l.key, l.useful_until);
        if !l.rules.in_order || key == point("", 0) {
            return false;
        }
        let line = self.lines.entry(key).or_default();
        if line.first.is_none() && line.behind.is_empty() && self.now >= line.rests_until {
            line.first = Some(request_id);
        }
        if line.first == Some(request_id) {
            return false;
        }
        let turn = line.rests_until.max(self.now + each * (line.behind.len() as u64 + 1));
        if line.behind.len() >= LONGEST_LINE || turn >= useful {
            self.give_up(request_id, effects);
        } else {
            line.behind.push(request_id);
            self.requests.entry(request_id.0).and_modify(|l| l.waits = true);
            effects.set_timer(request_id.0, useful - self.now);
        }
        true
    }

    /// The line of a key goes on, once its first is over and the key has rested.
    fn next_in_line(&mut self, key: u64, effects: &mut dyn Effects) {
        let line = self.lines.get_mut(&key).filter(|line| line.first.is_none() && !line.behind.is_empty());
        let Some(line) = line else { return };
        if self.now < line.rests_until {
            return effects.set_timer(line.behind[0].0, line.rests_until - self.now);
        }
        let next = line.behind.remove(0);
        line.first = Some(next);
        self.requests.entry(next.0).and_modify(|l| l.waits = false);
        self.place(next, effects);
    }

    pub(crate) fn place(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        if self.waits_its_turn(request_id, effects) {
            return;
        }
        let l = &self.requests[&request_id.0];
        // Guards one class of requests against another that fills the platform.
        if l.attempts.is_empty() && l.rules.crowded() {
            return self.give_up(request_id, effects);
        }
        if l.write && self.settings.origin_kind.is_some() && l.order.is_none() {
            return self.ask_origin(request_id, effects);
        }
        // Guards servers late together: one of many proxies hears too little of each to find its room.
        if l.attempts.is_empty() && l.luck * 10 >= self.admitted[0] {
            return self.give_up(request_id, effects);
        }
        // Guards the origin behind the servers: when fetches fail or come late, requests for keys that are not
        // known to be held are deferred.
        if self.fresh(l) && l.luck * 10 >= self.admitted[1] {
            return self.spare_origin(request_id, effects);
        }
        let first = match mixed(l.key) / 1000 {
            part if part % 100 < self.pooled => [(2, 2), (2, 1)],
            _ => [(0, 2), (1, 2)],
        };
        let rounds = first.into_iter().chain([(0, 1), (1, 1), (0, 0), (1, 0)]);
        match rounds.into_iter().find_map(|(ring, care)| self.walk(ring, l, care)) {
            Some(server) => self.start_attempt(request_id, server, effects),
            None => self.give_up(request_id, effects),
        }
    }

    /// The origin is short: fewer copies of a key leave room for more keys, so by and by requests go to the
    /// ring of all zones. Guards an origin that every zone by itself would ask for the same keys.
    fn spare_origin(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        // By the share sent away, whatever this proxy's traffic: one in twenty, and all keys go there.
        self.pooled = (self.pooled + 150u64.div_ceil(self.taken_lately.max(2))).min(100);
        self.give_up(request_id, effects);
    }

    /// Misses and writes go to the origin, one fetch a key at a time; who comes meanwhile waits for it and
    /// then asks the server again. Guards the origin against a stampede on one key.
    fn ask_origin(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        let l = &self.requests[&request_id.0];
        let left = l.useful_until.saturating_since(self.now);
        let up = |o: &ServerIndex| self.is_available(*o) && self.may_attempt(l, *o);
        let Some(origin) = self.origin.filter(up) else {
            return self.give_up(request_id, effects);
        };
        if !l.write && self.fetches.contains_key(&l.key) {
            self.fetches.entry(l.key).or_default().push(request_id);
            self.requests.entry(request_id.0).and_modify(|l| l.waits = true);
            return effects.set_timer(request_id.0, left);
        }
        let o = &self.servers[origin];
        if o.out * 100 + l.luck >= o.room || o.lately > left || l.luck * 10 >= self.admitted[1] {
            return self.spare_origin(request_id, effects);
        }
        if !l.write {
            self.fetches.insert(l.key, Vec::new());
            self.requests.entry(request_id.0).and_modify(|l| l.leads = true);
        }
        self.start_attempt(request_id, origin, effects);
    }

    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, effects: &mut dyn Effects) {
        let (hush, fresh) = (self.hush(), self.requests.get(&request_id.0).is_some_and(|l| self.fresh(l)));
        let (Some(l), c) = (self.requests.get_mut(&request_id.0), &mut self.servers[server]) else { return };
        if c.out == 0 {
            (c.owes_since, c.hushed) = (self.now, false);
        }
        c.out += 1;
        c.credit = c.credit.saturating_sub(1000);
        l.waits = false;
        let (sent, company) = (self.now, c.out);
        // Guards a tagged request whose attempt waits for a connection: past the window it would run twice.
        let class = &l.rules;
        let ran = l.attempts.iter().filter(|s| s.may_have_run && class.repeats == "tagged");
        let by = ran.map(|s| s.sent + class.window).min().unwrap_or(l.expires);
        let opens = !std::mem::replace(&mut c.linked, true);
        let attempt = Attempt {
            server,
            sent,
            company,
            out: true,
            may_have_run: true,
            opens,
            fresh,
            ..Attempt::default()
        };
        l.attempts.push(attempt);
        let copied = class.hedge_after.and_then(|part| self.times.under(part));
        effects.start_attempt(request_id, server, l.expires.min(sent + class.attempt_timeout), by);
        if Some(server) != self.origin {
            effects.set_timer(request_id.0, copied.unwrap_or(hush).min(hush) + Span::TICK);
        }
    }

    /// Tries once more where the rules and the budget allow, else gives up.
    fn move_on(&mut self, request_id: RequestId, free: bool, effects: &mut dyn Effects) {
        let l = &self.requests[&request_id.0];
        if self.now >= l.useful_until || !(free || l.rules.purse.allows_retry(self.now)) {
            return self.give_up(request_id, effects);
        }
        if !free {
            l.rules.purse.record_retry(self.now);
        }
        self.place(request_id, effects);
    }

    /// The final answer, at once. A deferral only where a further try is harmless.
    fn give_up(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        if self.requests[&request_id.0].out() {
            return;
        }
        // Half a second to one and a half, spread so that those sent away do not return together.
        let back_in = (SECOND / 2 + self.chance.span_below(SECOND)).min(self.settings.longest_stay_away);
        if self.may_repeat(&self.requests[&request_id.0], None, self.now + back_in, None) {
            effects.reject(request_id, back_in);
        } else {
            effects.fail(request_id);
        }
        self.close(request_id, effects);
    }

    /// The request has its final answer: nothing more is sent for it.
    pub(crate) fn close(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        let Some(l) = self.requests.get_mut(&request_id.0) else { return };
        if !l.over && self.settings.cancellation {
            l.in_flight().for_each(|i| effects.cancel_attempt(request_id, i));
        }
        let (key, of_line) = (l.leads.then_some(l.key), l.key);
        (l.over, l.leads) = (true, false);
        if !l.out() {
            self.requests.remove(&request_id.0);
            if let Some(line) = self.lines.get_mut(&of_line) {
                line.behind.retain(|other| *other != request_id);
                line.first = line.first.filter(|first| *first != request_id);
                self.next_in_line(of_line, effects);
            }
        }
        self.release(key, false, effects);
    }

    /// Those who waited for a fetch go on: to the server that now holds the key, or one of them to the origin.
    fn release(&mut self, key: Option<u64>, stored: bool, effects: &mut dyn Effects) {
        for request_id in key.and_then(|k| self.fetches.remove(&k)).unwrap_or_default() {
            match self.requests.get(&request_id.0) {
                Some(l) if l.waits && stored => self.place(request_id, effects),
                Some(l) if l.waits => self.ask_origin(request_id, effects),
                _ => {}
            }
        }
    }

    /// Doubt grows where over one in four fails, and is enough after three in a row or if nothing listens: a
    /// fast failer holds little and would keep its keys. One broken connection is no reason to leave a server.
    fn judge(&mut self, server: ServerIndex, outcome: AttemptOutcome, effects: &mut dyn Effects) {
        let hush = self.hush();
        let c = &mut self.servers[server];
        c.doubt = match outcome {
            // Where others were answered just now, one connection was in trouble, and not the server.
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost
                if !c.answered.is_zero() && self.now < c.answered + hush =>
            {
                c.doubt + 2
            }
            AttemptOutcome::Completed
            | AttemptOutcome::CompletedFromCache
            | AttemptOutcome::CompletedByFetch
            | AttemptOutcome::CacheMiss => c.doubt.saturating_sub(1),
            // Guards against a request that no server can use and that would have each of them left.
            AttemptOutcome::Overloaded
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::InvalidRequest => c.doubt,
            AttemptOutcome::Unreachable => c.doubt + 9,
            AttemptOutcome::ServerError | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost => {
                c.doubt + 3
            }
        };
        // Asked as none was trusted, it is taken back for its answers: seven make up for the most doubt.
        c.doubt = c.doubt.min(12);
        c.left &= c.doubt >= 6;
        if c.doubt >= 9 && !c.left && Some(server) != self.origin {
            self.leave(server, effects);
        }
    }

    fn leave(&mut self, server: ServerIndex, effects: &mut dyn Effects) {
        let c = &mut self.servers[server];
        // From half a second, doubled at each leave up to eight: short troubles cost little, long ones too.
        (c.left, c.stay) = (true, (c.stay * 2).clamp(SECOND / 2, 8 * SECOND));
        effects.report(StateChange::ServerEjected { server: &c.id });
        c.calls += 1;
        let wait = c.stay + self.chance.span_below(c.stay / 4);
        effects.set_timer(SERVER_TOKEN + server as u64, wait);
    }

    /// Tries a server again that was left: one attempt at a time until two were answered.
    pub fn health_check_finished(&mut self, server: ServerIndex, answered: bool, effects: &mut dyn Effects) {
        let Some(c) = self.servers.get_mut(server) else { return };
        c.calls = c.calls.saturating_sub(1);
        if c.left && !answered {
            self.leave(server, effects);
        } else if c.left {
            (c.left, c.doubt) = (false, 7);
            effects.report(StateChange::ServerReadmitted { server: &c.id });
        }
    }

    pub fn timer_fired(&mut self, token: u64, effects: &mut dyn Effects) {
        if token >= WATCH_TOKEN {
            return effects.watch_endpoints();
        }
        if token >= SERVER_TOKEN {
            let server = (token - SERVER_TOKEN) as ServerIndex;
            return match self.servers.get(server) {
                Some(_) if self.ready(server) && self.settings.probes => effects.check_health(server),
                _ => self.health_check_finished(server, true, effects),
            };
        }
        let request_id = RequestId(token);
        let Some(l) = self.requests.get(&token).filter(|l| !l.over && !l.begun) else { return };
        if l.waits {
            let key = l.key;
            return if self.now >= l.useful_until {
                self.give_up(request_id, effects)
            } else {
                self.next_in_line(key, effects)
            };
        }
        if l.cut && self.now >= l.expires {
            return l.in_flight().for_each(|i| effects.cancel_attempt(request_id, i));
        }
        let Some(i) = l.attempts.iter().rposition(|s| s.out) else { return };
        let (server, sent, hush) = (l.attempts[i].server, l.attempts[i].sent, self.hush());
        if Some(server) == self.origin || self.now >= l.useful_until {
            return;
        }
        // Guards against attempts that are taken and never answered: one sent later was, and this is overdue.
        let lost = self.servers[server].heard > sent && self.now > sent + self.overdue();
        // Guards the urgent against the slow tail, where the class asks for it: one copy, within its budget.
        let copied = l.rules.hedge_after.and_then(|part| self.times.under(part));
        let slow = i == 0 && copied.is_some_and(|under| self.now > sent + under);
        let slow = slow && l.rules.hedging && l.rules.purse.allows_retry(self.now);
        if !lost && !slow && (self.servers[server].owes_since > sent || !self.silent(server)) {
            return effects.set_timer(token, hush + Span::TICK);
        }
        // Nothing has come from this server since the attempt: guards against servers that hang, vanish or pause.
        // One silence is one failure, however many attempts it holds up: a pause is no hang.
        if !lost && !slow && !std::mem::replace(&mut self.servers[server].hushed, true) {
            self.judge(server, AttemptOutcome::TimedOut, effects);
        }
        let l = &self.requests[&token];
        if l.rules.hedging {
            self.move_on(request_id, false, effects);
        } else if self.settings.cancellation
            && l.rules.purse.allows_retry(self.now)
            && self.may_repeat(&self.requests[&token], None, self.now, None)
        {
            effects.cancel_attempt(request_id, i);
        }
    }
}

impl Balancer {
    /// An attempt's answer has begun: it is the client's now, and no clock of ours runs for it, nor does the
    /// server owe anything for it. What else is out for the request is of no use any more.
    pub fn response_started(&mut self, request_id: RequestId, attempt: usize, effects: &mut dyn Effects) {
        let (now, cancellation) = (self.now, self.settings.cancellation);
        let Some(l) = self.requests.get_mut(&request_id.0) else { return };
        l.begun = true;
        if let Some(s) = l.attempts.get_mut(attempt).filter(|s| s.out && !s.begun) {
            s.begun = true;
            let c = &mut self.servers[s.server];
            (c.owes_since, c.answered, c.hushed, c.flows) = (now, now, false, c.flows + 1);
            c.heard = c.heard.max(s.sent);
        }
        l.in_flight()
            .filter(|i| *i != attempt && cancellation)
            .for_each(|i| effects.cancel_attempt(request_id, i));
    }

    /// An attempt ended; `finished` says that the client has its answer, by this or before.
    pub fn attempt_ended(
        &mut self,
        request_id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        took: Span,
        finished: bool,
        effects: &mut dyn Effects,
    ) {
        let outcome = outcome.plain();
        let overdue = self.overdue();
        let Some(l) = self.requests.get_mut(&request_id.0) else { return };
        let Some(s) = l.attempts.get_mut(attempt).filter(|s| s.out) else { return };
        let not_run = [
            AttemptOutcome::Overloaded,
            AttemptOutcome::Unreachable,
            AttemptOutcome::NotSent,
            AttemptOutcome::CacheMiss,
        ];
        // It may still run: the key rests, and only then another request's turn comes.
        let may_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if let Some(line) = self.lines.get_mut(&l.key).filter(|_| may_run && l.rules.in_order) {
            line.rests_until = self.now + self.settings.key_quiet;
        }
        s.out = false;
        s.may_have_run = !not_run.contains(&outcome);
        // Who alone may serve it may be asked again across a connection that broke.
        s.bad = outcome != AttemptOutcome::CacheMiss
            && !(outcome == AttemptOutcome::ConnectionLost && l.order.is_some());
        let (server, sent, company, fresh, begun, opens) =
            (s.server, s.sent, s.company, s.fresh, s.begun, s.opens);
        let c = &mut self.servers[server];
        let silent = c.owes_since <= sent;
        c.seldom = self.now > c.answered + SECOND / 5;
        (c.out, c.flows) = (c.out - 1, c.flows - u64::from(begun));
        if matches!(
            outcome,
            AttemptOutcome::Completed
                | AttemptOutcome::CacheMiss
                | AttemptOutcome::ServerError
                | AttemptOutcome::Overloaded
                | AttemptOutcome::InvalidRequest
        ) {
            (c.owes_since, c.answered, c.hushed) = (self.now, self.now, false);
            c.heard = c.heard.max(sent);
        }
        // Guards servers against being taken for late over attempts that they lost, while they answer later ones.
        let lost = outcome == AttemptOutcome::TimedOut && !silent && c.heard > sent && took > overdue;
        let outcome = if lost { AttemptOutcome::Cancelled } else { outcome };
        let from_server = Some(server) != self.origin;
        let refused = outcome == AttemptOutcome::Unreachable;
        c.linked &= !refused && outcome != AttemptOutcome::ConnectionLost;
        if from_server {
            self.refused = leaning(self.refused, refused);
        }
        let no_place = refused && opens && self.refused > 600;
        let target = l.rules.target;
        // Guards servers short of places against hundreds that each want one at all: no more are held than
        // were found, one more is tried every four seconds, and two more where that is let in. Two refused
        // of thirty-two are more than one server that died, which is left.
        let place = usize::from(self.servers[server].zone != self.settings.zone);
        if no_place {
            self.links[place] = self.links[place].min(100 * self.linked(place).max(1));
        } else if opens
            && from_server
            && matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::CacheMiss)
        {
            self.links[place] = (self.links[place] + 200).min(1 << 30);
        }
        let c = &mut self.servers[server];
        if matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::TimedOut) {
            c.lately = (c.lately * 7 + took.min(target)) / 8;
        }
        if outcome == AttemptOutcome::Completed && from_server {
            self.times.add(took);
        }
        if from_server
            && matches!(
                outcome,
                AttemptOutcome::Completed | AttemptOutcome::CacheMiss | AttemptOutcome::TimedOut
            )
        {
            // Half for one past its target, as one of many proxies has few to learn by, down to what still
            // tells how it does; eight in time give all back.
            let grown = if took > target / 2 { c.part } else { (c.part + 125).min(1000) };
            c.part = if took < target { grown } else { (c.part / 2).max(30) };
        }
        self.settings.resize(c, outcome, took, company, target, from_server);
        let Some(l) = self.requests.get_mut(&request_id.0) else { return };
        let key = (l.leads && !from_server).then_some(l.key);
        l.leads &= key.is_none();
        let (asked, over, in_ring) = (l.key, l.over, l.order.is_none());
        // An error on a fetch may be the origin's, and says nothing of the server.
        let of_origin = fresh && outcome == AttemptOutcome::ServerError;
        // Guards against copies gone void: after an error the key is not kept after all.
        if self.settings.through && outcome == AttemptOutcome::Completed {
            self.kept[0].insert(asked);
        } else if outcome == AttemptOutcome::ServerError {
            self.kept.iter_mut().for_each(|kept| _ = kept.remove(&asked));
        }
        if !(of_origin || no_place || outcome == AttemptOutcome::TimedOut && !silent) {
            self.judge(server, outcome, effects);
        }
        if of_origin
            || matches!(
                outcome,
                AttemptOutcome::Completed | AttemptOutcome::CacheMiss | AttemptOutcome::TimedOut
            )
        {
            // An eighth down and a seventeenth up hold all requests while up to one in three is late.
            let late = took >= target || of_origin || outcome == AttemptOutcome::TimedOut;
            let part = &mut self.admitted[usize::from(!from_server || fresh)];
            *part = if late { *part * 7 / 8 } else { (*part + 60).min(1000) }.max(50);
        }
        if from_server && matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::CacheMiss) {
            self.give_credit(server);
        }
        if outcome == AttemptOutcome::InvalidRequest && !finished && !over {
            effects.fail(request_id);
        }
        let l = &self.requests[&request_id.0];
        if l.begun && l.out() && !over {
            // Another attempt's answer is the client's by now, whatever became of this one.
        } else if finished || over || outcome == AttemptOutcome::InvalidRequest {
            self.close(request_id, effects);
        } else if outcome == AttemptOutcome::CacheMiss && self.settings.origin_kind.is_some() && in_ring {
            self.ask_origin(request_id, effects);
        } else if !self.requests[&request_id.0].out() {
            match outcome {
                AttemptOutcome::Overloaded | AttemptOutcome::TimedOut | AttemptOutcome::NotSent
                    if !from_server =>
                {
                    self.give_up(request_id, effects)
                }
                AttemptOutcome::Unreachable | AttemptOutcome::CacheMiss if from_server => {
                    self.move_on(request_id, true, effects)
                }
                // One broken or spoilt at the origin says nothing of its load, and may have stored the value.
                _ => self.move_on(request_id, false, effects),
            }
        }
        self.release(key, outcome == AttemptOutcome::Completed, effects);
    }
}
