//! What goes in and out of the balancer. Nothing here decides.

use crate::discovery::Backoff;
use chalkwalk_limits::RetryBudget;
use chalkwalk_time::{Span, Timestamp};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

/// A server or the origin: a small index handed out at the door of one instance.
pub type ServerIndex = usize;

/// A request that this instance has taken. Never reused within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    /// Resolved, and the server says that it held the value, or that it fetched it.
    CompletedFromCache,
    CompletedByFetch,
    CacheMiss,
    /// Turned down as wrong in itself, wherever it is sent.
    InvalidRequest,
    ServerError,
    Overloaded,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// Without what a server says of where the value came from.
    pub(crate) fn plain(self) -> AttemptOutcome {
        if matches!(self, AttemptOutcome::CompletedFromCache | AttemptOutcome::CompletedByFetch) {
            AttemptOutcome::Completed
        } else {
            self
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    pub server: ServerIndex,
    pub id: &'a str,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    /// Stated, in hundredths; to be compared with those of others.
    pub size: u64,
    pub status: EndpointStatus,
    pub born: Timestamp,
}

/// What the platform allows, read once when the balancer starts.
#[derive(Default)]
pub(crate) struct Settings {
    pub zone: usize,
    pub probes: bool,
    pub cancellation: bool,
    pub longest_stay_away: Span, // 0: clients are not told when to return
    pub cold_share: f64,
    pub cold_time: Span,
    pub proxies: u64,
    /// How soon discovery is called again after a call that brought nothing.
    pub discovery_retry: Backoff,
    pub through: bool, // servers fetch for themselves
    pub sizes: bool,   // what the list says of them is their own, and not their load of the moment
    pub origin_kind: Option<usize>,
    pub key_quiet: Span, // a key rests after an attempt that may still run, where its requests run in order

    pub classes: Vec<Rc<RequestClass>>, // and the classes that limits make of them
}

impl Settings {
    /// The shortest target time of all namespaces.
    pub fn shortest(&self) -> Option<Span> {
        self.classes.iter().map(|n| n.target).min()
    }

    pub fn read(values: &BTreeMap<String, String>) -> Settings {
        let word = |name: &str| values.get(name).map_or("", String::as_str);
        let num = |name: &str, or: f64| word(name).parse::<f64>().unwrap_or(or);
        let ticks = |number: f64| Span::from_ticks(number as u64);
        let shared = RetryBudget::default();
        let class = |i: usize| {
            let own = |name: &str| format!("namespace {i} {name}");
            RequestClass {
                target: ticks(num(&own("target time"), 1e4)),
                in_order: num(&own("in order"), 0.0) > 0.0,
                late_counts: num(&own("late utility"), 0.0) > 0.0,
                repeats: word(&own("repeats")).to_string(),
                group: word(&own("group")).to_string(),
                window: ticks(num(&own("window"), 0.0)),
                max_attempts: num(&own("most shots"), num("most shots", 1.0)) as usize,
                hedging: num(&own("second copies"), num("second copies", 0.0)) > 0.0,
                attempt_timeout: ticks(num(&own("shot wait"), 1e12)),
                hedge_after: Some(num(&own("copies after"), 0.0) as u64).filter(|part| *part > 0),
                purse: match values.get(&own("further shots")) {
                    Some(_) => RetryBudget::own(num(&own("further shots"), 0.0) as u64),
                    None => shared.clone(),
                },
                most_open: num(&own("most open"), 1e12) as u64,
                open: Cell::new(0),
            }
        };
        Settings {
            discovery_retry: match num("watched", 0.0) > 0.0 {
                true => Backoff::polled(ticks(num("ask time", 1e5))),
                false => Backoff::pushed(ticks(num("drain grace", 1e4))),
            },
            zone: num("zone", 0.0) as usize,
            probes: num("probes", 0.0) > 0.0,
            cancellation: num("withdrawals", 0.0) > 0.0,
            longest_stay_away: ticks(num("longest stay away", 0.0)),
            cold_share: num("cold share", 1.0),
            cold_time: ticks(num("cold time", 0.0)),
            proxies: num("proxies", 1.0) as u64,
            key_quiet: ticks(num("key quiet", 0.0)),
            through: num("through", 0.0) > 0.0,
            sizes: word("size kind") != "live",
            origin_kind: (!word("origin kind").is_empty()).then(|| num("origin kind", 0.0) as usize),
            classes: (0..num("namespaces", 0.0) as usize).map(class).map(Rc::new).collect(),
        }
    }
}

/// What is done with requests of one namespace, or of one class of it.
#[derive(Default)]
pub(crate) struct RequestClass {
    pub target: Span,
    pub late_counts: bool,
    pub in_order: bool,  // requests with one key run one at a time, as taken
    pub repeats: String, // replayable, tagged or single-use
    pub group: String,   // which servers drop repeats of a tagged one: all, of one zone, of one cell
    pub window: Span,
    pub max_attempts: usize,
    pub hedging: bool,
    pub attempt_timeout: Span,    // a single attempt is given up after that
    pub hedge_after: Option<u64>, // a hedged request goes out after what so many thousandths of answers take
    pub purse: RetryBudget,       // for retries
    pub most_open: u64,
    open: Cell<u64>,
}

impl RequestClass {
    /// More requests are open than may be.
    pub fn crowded(&self) -> bool {
        self.open.get() > self.most_open
    }
}

/// A namespace's rules as a request holds them, which counts among its open ones meanwhile.
#[derive(Default)]
pub(crate) struct ClassHandle(Rc<RequestClass>);

impl ClassHandle {
    pub fn of(rules: &Rc<RequestClass>) -> ClassHandle {
        rules.open.set(rules.open.get() + 1);
        ClassHandle(rules.clone())
    }
}

impl ClassHandle {
    /// Whether these rules are the ones.
    pub fn is(&self, rules: &Rc<RequestClass>) -> bool {
        Rc::ptr_eq(&self.0, rules)
    }
}

impl Deref for ClassHandle {
    type Target = RequestClass;
    fn deref(&self) -> &RequestClass {
        &self.0
    }
}

impl Drop for ClassHandle {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

#[derive(Default)]
pub(crate) struct Attempt {
    pub server: ServerIndex,
    pub sent: Timestamp,
    pub company: u64,
    pub out: bool,
    pub may_have_run: bool,
    pub bad: bool,
    pub begun: bool, // its answer is on its way to the client
    pub opens: bool, // no connection to the server was held
    pub fresh: bool, // the server will likely ask the origin
}

#[derive(Default)]
pub(crate) struct Request {
    pub rules: ClassHandle,
    pub key: u64,
    pub write: bool,
    pub order: Option<Vec<ServerIndex>>, // in place of the ring's, where it is settled elsewhere who may serve it
    pub expires: Timestamp,
    pub useful_until: Timestamp,
    pub luck: u64, // 0 to 99: who gets the last part of a place where there is less than one
    pub attempts: Vec<Attempt>,
    pub cut: bool, // its time limit was shortened while it was open
    pub over: bool,
    pub begun: bool,
    pub waits: bool,
    pub leads: bool,
}

impl Request {
    /// The numbers of its attempts that have no outcome yet.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> {
        self.attempts.iter().enumerate().filter(|(_, s)| s.out).map(|(i, _)| i)
    }

    pub fn out(&self) -> bool {
        self.attempts.iter().any(|s| s.out)
    }
}

/// Requests with one key, where namespaces ask for order.
#[derive(Default)]
pub(crate) struct Line {
    pub first: Option<RequestId>, // until it is over and all its attempts have ended
    pub behind: Vec<RequestId>,   // as taken
    pub rests_until: Timestamp,
}

/// What one process of a proxy has learned of a server that means the same to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedServer {
    pub id: String,
    /// Of another start these figures say nothing.
    pub born: Timestamp,
    /// The largest weight heard, in hundredths, where weights move with load.
    pub size: u64,
    /// Thousandths of its keys that it keeps.
    pub key_share: u64,
    /// How many attempts it takes at once, in hundredths of an attempt.
    pub concurrency_limit: u64,
}

/// What this proxy knows of one server (or of the origin).
#[derive(Default)]
pub(crate) struct Server {
    pub id: String,
    pub zone: usize,
    pub cell: u64,
    pub size: u64,        // as stated; the largest stated, where it is lowered by load
    pub held: (u64, u64), // hundredths of a request a core that it holds, as the list told before and last
    pub part: u64,        // thousandths of its keys that it keeps for what it was told to hold
    pub status: EndpointStatus,
    pub born: Timestamp,
    pub out: u64,              // own attempts in flight
    pub flows: u64,            // of these, whose answers have begun
    pub owes_since: Timestamp, // last answer, or the first attempt since nothing was out
    pub answered: Timestamp,   // last
    pub heard: Timestamp,      // when the attempt was sent that was answered and had been sent last
    pub hushed: bool,          // the present silence was counted
    pub doubt: u64,            // up by 3 for a failure, down by 1 for an answer
    pub left: bool,
    pub linked: bool,  // a connection to it is held, as far as told
    pub calls: u32,    // wakes and probes for it that are still to come back
    pub stay: Span,    // how long it is left alone next
    pub lately: Span,  // what its answers took, the last counting most
    pub refusals: u64, // as full, since an answer
    pub seldom: bool,  // it had answered nothing for a fifth of a second before its last
    pub room: u64,     // hundredths of an attempt that it takes at once without being late
    pub credit: u64,   // while it is cold: thousandths of an attempt that it may still be sent
}

/// The way out: what a balancer wants done, each at the moment of the call.
pub trait Effects {
    /// Given up at `until`; not written at all where that would be later than `by`.
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp);
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize);
    fn reject(&mut self, request_id: RequestId, back_in: Span);
    fn fail(&mut self, request_id: RequestId);
    fn check_health(&mut self, server: ServerIndex);
    fn set_timer(&mut self, token: u64, after: Span);
    fn watch_endpoints(&mut self);
    /// Reports a change of state, for the log.
    fn report(&mut self, change: StateChange);
}

/// A change of state that operators are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange<'a> {
    /// The first call to discovery that failed after one that was answered.
    DiscoveryLost,
    /// The first call to discovery that was answered after one that failed.
    DiscoveryRecovered,
    /// A server failed too often, and gets no attempts until it is readmitted.
    ServerEjected {
        /// The id of the server in the list.
        server: &'a str,
    },
    /// An ejected server passed its health check or its ejection is over; it gets one attempt at a time until it has answered two.
    ServerReadmitted {
        /// The id of the server in the list.
        server: &'a str,
    },
}

impl<'a> StateChange<'a> {
    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            StateChange::DiscoveryLost => "discovery lost",
            StateChange::DiscoveryRecovered => "discovery recovered",
            StateChange::ServerEjected { .. } => "server ejected",
            StateChange::ServerReadmitted { .. } => "server readmitted",
        }
    }

    /// Its name in captures and on the simulator's wire. Stored data: never changes.
    pub fn stored_name(self) -> &'static str {
        match self {
            StateChange::DiscoveryLost => "discovery lost",
            StateChange::DiscoveryRecovered => "discovery reached again",
            StateChange::ServerEjected { .. } => "cache left",
            StateChange::ServerReadmitted { .. } => "cache tried again",
        }
    }

    /// The id of the server that changed, if it is about one.
    pub fn server(self) -> Option<&'a str> {
        match self {
            StateChange::DiscoveryLost | StateChange::DiscoveryRecovered => None,
            StateChange::ServerEjected { server } | StateChange::ServerReadmitted { server } => Some(server),
        }
    }
}

/// Multiply-with-carry, after Marsaglia.
#[derive(Default)]
pub(crate) struct Chance(pub u64);

impl Chance {
    /// An even draw of a span below another.
    pub fn span_below(&mut self, end: Span) -> Span {
        Span::from_ticks(self.below(end.ticks()))
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        ((self.0 & 0xffff_ffff) * n.max(1)) >> 32
    }
}

/// FNV-1a with a closing mix, so that names that differ in one letter land far apart on the ring.
pub(crate) fn point(name: &str, salt: u64) -> u64 {
    let seen = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    mixed(seen ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A share in ten-thousandths of about the last 32, after one more that was so or was not.
pub(crate) fn leaning(share: u64, to: bool) -> u64 {
    (share * 31 + if to { 10_000 } else { 0 }) / 32
}

pub(crate) fn mixed(mut h: u64) -> u64 {
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Where a key stands, by which alone the balancer knows it.
pub fn key_point(key: &str) -> u64 {
    point(key, 0)
}

/// A coarse histogram of times: four bins for each doubling from 0.8 ms up, halved once a second.
#[derive(Clone)]
pub(crate) struct Tally([u32; 4 * DOUBLINGS]);

const DOUBLINGS: usize = 14;

impl Default for Tally {
    fn default() -> Tally {
        Tally([0; 4 * DOUBLINGS])
    }
}

impl Tally {
    pub fn counts(&self) -> [u32; 4 * DOUBLINGS] {
        self.0
    }

    pub fn of(counts: [u32; 4 * DOUBLINGS]) -> Tally {
        Tally(counts)
    }

    pub fn add(&mut self, took: Span) {
        let took = took.ticks();
        let doubling = ((took / 8 + 1).ilog2() as usize).min(DOUBLINGS - 1);
        // The bin begins at 8 * (2^doubling - 1), and is as long as 8 * 2^doubling.
        let quarter = ((took + 8) >> (doubling + 1)).saturating_sub(4).min(3) as usize;
        // In fours, so that a single one outlives two halvings.
        self.0[4 * doubling + quarter] += 4;
    }

    /// Halves what is counted, unless it is too little to tell from then on: a proxy with little traffic knows its servers by
    /// what it heard before.
    pub fn fade(&mut self) {
        if self.0.iter().sum::<u32>() >= 160 {
            self.0.iter_mut().for_each(|n| *n /= 2);
        }
    }

    /// The time that nine in ten stayed under, to a doubling, or `usual` where too few were measured.
    pub fn ninth(&self, usual: Span) -> Span {
        let bin = |i: usize| self.0[4 * i..4 * i + 4].iter().sum::<u32>();
        let count: u32 = self.0.iter().sum();
        let mut left = count / 10;
        for i in (0..DOUBLINGS).rev() {
            if count >= 20 && bin(i) > left {
                return Span::from_ticks(16 << i);
            }
            left -= bin(i).min(left);
        }
        usual
    }

    /// The time that so many thousandths stayed under, to a quarter of a doubling; `None` where too few were measured
    /// to tell.
    pub fn under(&self, part: u64) -> Option<Span> {
        let count: u64 = self.0.iter().map(|n| u64::from(*n)).sum();
        let mut left = count * (1000 - part) / 1000;
        for i in (0..self.0.len()).rev() {
            let n = u64::from(self.0[i]);
            if n > left && count >= 80 {
                let (doubling, quarter) = (i / 4, i as u64 % 4);
                return Some(Span::from_ticks(((5 + quarter) << (doubling + 1)) - 8));
            }
            left -= n.min(left);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tally_tells_what_a_part_stays_under_to_a_quarter_of_a_doubling() {
        let mut tally = Tally::default();
        assert_eq!(tally.under(900), None);
        (0..1000).for_each(|took| tally.add(Span::from_ticks(took)));
        let told = [500, 900, 950, 990].map(|part| tally.under(part).map(Span::ticks));
        assert_eq!(told, [Some(504), Some(1016), Some(1016), Some(1016)]);
        // The next bin's begin, and never below what it is of.
        for took in 0..3000 {
            let mut tally = Tally::default();
            (0..20).for_each(|_| tally.add(Span::from_ticks(took)));
            let under = tally.under(900).unwrap();
            assert!(
                under > Span::from_ticks(took) && under <= Span::from_ticks(took + (took + 8) / 4 + 8),
                "{took}: {under}"
            );
        }
    }
}
