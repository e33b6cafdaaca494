//! The judge. It knows what the house allows and what went over the sockets, and nothing of how a proxy decides: every
//! breach names the request, the moment, and what was seen.

use crate::clock::{MILLI, Micros, micros, seconds};
use crate::evidence::{ClientRequest, Event, EventKind, Id, Index};
use crate::experiment::{Experiment, REPEATS_REPLAYABLE, REPEATS_SINGLE_USE, RequestClass};
use crate::model::server::Reply;
use crate::model::timeline::{Reachability, Timelines};
use crate::notified;
use std::collections::{BTreeMap, HashMap};

/// The rules, by the names that breaches bear.
pub const NO_ANSWER: &str = "no final answer";
pub const ANSWERED_TWICE: &str = "answered twice";
pub const TOO_LATE: &str = "answered after its time limit";
pub const WRONG_ANSWER: &str = "not the answer made for it";
pub const MAY_RUN_TWICE: &str = "may run twice";
pub const UNSAFE_DEFERRAL: &str = "deferred though it may have run";
pub const CONCURRENT_ATTEMPTS: &str = "two shots at once";
pub const TOO_MANY_ATTEMPTS: &str = "too many shots";
pub const SENT_TO_DRAINED: &str = "sent to a drained cache";
pub const SERVER_COLLAPSED: &str = "a cache was pushed over";
pub const HELD_BACK: &str = "a refusal was held back";
pub const UNKNOWN_REQUEST: &str = "a shot for no lookup";
pub const SENT_AFTER_CANCEL: &str = "sent on after its client left";

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub at: Micros,
    pub id: Id,
    pub proxy: Index,
    pub seen: String,
}

/// One attempt, from the first byte that reached a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: Index,
    pub proxy: Index,
    pub started: Micros,
    pub received: Option<Micros>,
    pub reply: Option<(Micros, Reply)>,
    pub aborted: Option<Micros>,
}

impl Attempt {
    pub fn end(&self) -> Option<Micros> {
        self.reply.map(|(at, _)| at).or(self.aborted)
    }

    /// Whether its proxy could not know, at that moment, that it had surely not run.
    fn may_have_run(&self, at: Micros) -> bool {
        let surely_not = |(reply, report): (Micros, Reply)| {
            reply <= at && matches!(report, Reply::Unprocessed | Reply::Miss)
        };
        self.received.is_some() && !self.reply.is_some_and(surely_not)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Rejected,
    Failed,
    /// As wrong in itself.
    InvalidRequest,
    Unanswered,
    /// Its proxy was killed outright, and the connection's end told so.
    Killed,
    Cancelled,
    NotAccepted,
}

/// All that is known of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: Id,
    pub request: ClientRequest,
    pub proxy: Index,
    pub sent: Option<Micros>,
    pub answers: Vec<(Micros, u16, Option<Micros>, bool)>,
    pub end: Option<(Micros, Outcome)>,
    pub attempts: Vec<Attempt>,
    pub effects: Vec<(Micros, Index)>,
    pub outcome: Outcome,
}

/// A proxy was told that a server is off, and began its last attempt to it so long after.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub notified: Micros,
    pub last: Micros,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub drains: Vec<Drain>,
    pub breaches: Vec<Breach>,
    /// More breaches than are kept: a broken proxy breaks thousands.
    pub uncounted: usize,
    pub records: Vec<RequestRecord>,
    pub collapsed: usize,
    /// In which spans each proxy was stopped.
    pub stopped: Vec<(Index, Micros, Micros)>,
}

/// Kept and shown in full; the rest is counted.
const MAX_BREACHES: usize = 200;

struct Judge<'a> {
    experiment: &'a Experiment,
    timelines: Timelines,
    verdict: Verdict,
    killed: Vec<(Index, Micros)>,
}

/// Judges a run by its events, which stand in order of time.
pub fn judge(experiment: &Experiment, events: &[Event], requests: HashMap<Id, ClientRequest>) -> Verdict {
    let mut judge = Judge {
        experiment,
        timelines: Timelines::new(experiment),
        verdict: Verdict::default(),
        killed: Vec::new(),
    };
    judge.track_processes(events);
    let records = gather(events, requests);
    judge.check_drains(events);
    for event in events {
        match &event.kind {
            EventKind::ServerCollapsed { server } => {
                judge.verdict.collapsed += 1;
                judge.report(
                    SERVER_COLLAPSED,
                    event,
                    format!("cache {server} was sent more than it bears while cold"),
                );
            }
            EventKind::UnknownRequest { server } => {
                judge.report(
                    UNKNOWN_REQUEST,
                    event,
                    format!("cache {server} was sent an id that no client sent"),
                );
            }
            EventKind::UnexpectedBytes => {
                judge.report(ANSWERED_TWICE, event, "more came than was asked for".into())
            }
            _ => {}
        }
    }
    let spans = AttemptSpans::of(&records);
    for mut record in records {
        judge.check_request(&mut record, &spans);
        judge.verdict.records.push(record);
    }
    judge.verdict.breaches.sort_by_key(|b| (b.at, b.id));
    judge.verdict
}

/// The events of each request, put in order of the requests' ids as asked.
fn gather(events: &[Event], requests: HashMap<Id, ClientRequest>) -> Vec<RequestRecord> {
    let mut records: BTreeMap<(Micros, Id), RequestRecord> = BTreeMap::new();
    let due: HashMap<Id, Micros> = requests.iter().map(|(id, request)| (*id, request.due)).collect();
    for (id, request) in requests {
        let record = RequestRecord {
            id,
            proxy: 0,
            sent: None,
            answers: Vec::new(),
            end: None,
            attempts: Vec::new(),
            effects: Vec::new(),
            outcome: Outcome::NotAccepted,
            request,
        };
        records.insert((record.request.due, id), record);
    }
    for e in events {
        let Some(due) = due.get(&e.id) else { continue };
        let Some(record) = records.get_mut(&(*due, e.id)) else { continue };
        let spans = |attempts: &mut [Attempt], server: Index| {
            attempts.iter().rposition(|s| s.server == server && s.proxy == e.proxy && s.end().is_none())
        };
        match &e.kind {
            // Sent again across a close, it counts from then.
            EventKind::RequestSent => (record.sent, record.proxy) = (Some(e.at), e.proxy),
            EventKind::Answered { status, retry_after, matches } => {
                record.answers.push((e.at, *status, *retry_after, *matches));
            }
            EventKind::Unanswered { .. } => record.end = Some((e.at, Outcome::Unanswered)),
            EventKind::ClientCancelled => record.end = Some((e.at, Outcome::Cancelled)),
            EventKind::NoProxy => record.end = Some((e.at, Outcome::NotAccepted)),
            EventKind::AttemptStarted { server } => record.attempts.push(Attempt {
                server: *server,
                proxy: e.proxy,
                started: e.at,
                received: None,
                reply: None,
                aborted: None,
            }),
            EventKind::AttemptReceived { server, .. } => {
                if let Some(i) = spans(&mut record.attempts, *server) {
                    record.attempts[i].received = Some(e.at);
                }
            }
            EventKind::Replied { server, reply } => {
                if let Some(i) = spans(&mut record.attempts, *server) {
                    record.attempts[i].reply = Some((e.at, *reply));
                }
            }
            EventKind::AttemptAborted { server } => {
                if let Some(i) = spans(&mut record.attempts, *server) {
                    record.attempts[i].aborted = Some(e.at);
                }
            }
            EventKind::EffectApplied { server } => record.effects.push((e.at, *server)),
            _ => {}
        }
    }
    records.into_values().collect()
}

/// When attempts for a key were out at a proxy: who waits for another's fetch is not held back.
struct AttemptSpans(HashMap<(Index, u64), Vec<(Micros, Micros)>>);

impl AttemptSpans {
    fn of(records: &[RequestRecord]) -> AttemptSpans {
        let mut out: HashMap<(Index, u64), Vec<(Micros, Micros)>> = HashMap::new();
        for record in records {
            for attempt in &record.attempts {
                let span = (attempt.started, attempt.end().unwrap_or(Micros::MAX));
                out.entry((attempt.proxy, record.request.key)).or_default().push(span);
            }
        }
        AttemptSpans(out)
    }

    /// The longest stretch within a span in which none was out.
    fn longest_gap(&self, proxy: Index, key: u64, from: Micros, to: Micros) -> Micros {
        let mut spans = self.0.get(&(proxy, key)).cloned().unwrap_or_default();
        spans.sort_unstable();
        let (mut at, mut longest) = (from, 0);
        for (started, end) in spans.into_iter().filter(|(started, end)| *end > from && *started < to) {
            longest = longest.max(started.saturating_sub(at));
            at = at.max(end);
        }
        longest.max(to.saturating_sub(at))
    }
}

impl Judge<'_> {
    fn breach(&mut self, breach: Breach) {
        if self.verdict.breaches.len() < MAX_BREACHES {
            self.verdict.breaches.push(breach);
        } else {
            self.verdict.uncounted += 1;
        }
    }

    fn report(&mut self, rule: &'static str, e: &Event, seen: String) {
        self.breach(Breach { rule, at: e.at, id: e.id, proxy: e.proxy, seen });
    }

    /// When proxies were killed and stopped.
    fn track_processes(&mut self, events: &[Event]) {
        let mut stopped: HashMap<Index, Micros> = HashMap::new();
        for e in events {
            match e.kind {
                EventKind::Signalled { signal: "STOP" } => _ = stopped.insert(e.proxy, e.at),
                EventKind::Signalled { signal: "CONT" } => {
                    if let Some(from) = stopped.remove(&e.proxy) {
                        self.verdict.stopped.push((e.proxy, from, e.at));
                    }
                }
                EventKind::Signalled { signal: "KILL" } | EventKind::ProcessEnded { killed: true } => {
                    self.killed.push((e.proxy, e.at));
                }
                _ => {}
            }
        }
    }

    /// Nothing new to a server after the grace from when its proxy was told that it is draining or gone.
    fn check_drains(&mut self, events: &[Event]) {
        let rules = &self.experiment.rules;
        let grace = micros(self.experiment.fleet.drain_grace_s) + micros(rules.drain_ms / 1e3);
        let mut off: HashMap<(Index, Index), usize> = HashMap::new(); // the drain, by its place
        let mut drains: Vec<Drain> = Vec::new();
        let mut presumed: HashMap<(Index, Index), Micros> = HashMap::new(); // as notified without being told
        let notified = notified::of(self.experiment, &self.timelines, events);
        let mut notified = notified.into_iter().peekable();
        for e in events {
            while let Some(n) = notified.next_if(|n| n.at <= e.at) {
                match n.off {
                    true => _ = presumed.entry((n.proxy, n.server)).or_insert(n.at),
                    false => _ = presumed.remove(&(n.proxy, n.server)),
                }
            }
            match e.kind {
                EventKind::Notified { server, off: true } => {
                    off.entry((e.proxy, server)).or_insert_with(|| {
                        drains.push(Drain { notified: e.at, last: e.at });
                        drains.len() - 1
                    });
                }
                EventKind::Notified { server, off: false } => _ = off.remove(&(e.proxy, server)),
                // What the next process knows is what it is told itself.
                EventKind::ProcessEnded { .. } => {
                    off.retain(|(proxy, _), _| *proxy != e.proxy);
                    presumed.retain(|(proxy, _), _| *proxy != e.proxy);
                }
                EventKind::AttemptStarted { server }
                    if presumed.get(&(e.proxy, server)).is_some_and(|at| e.at > at + grace) =>
                {
                    let at = presumed[&(e.proxy, server)];
                    let seen = format!(
                        "cache {server} was sent a shot {:.3} s after its proxy counts as notified that it is off, told or not",
                        seconds(e.at - at)
                    );
                    self.report(SENT_TO_DRAINED, e, seen);
                }
                EventKind::AttemptStarted { server } => {
                    let Some(drain) = off.get(&(e.proxy, server)).map(|i| &mut drains[*i]) else { continue };
                    drain.last = e.at;
                    let notified = drain.notified;
                    if e.at > notified + grace {
                        let seen = format!(
                            "cache {server} was sent a shot {:.3} s after its proxy was told that it is off",
                            seconds(e.at - notified)
                        );
                        self.report(SENT_TO_DRAINED, e, seen);
                    }
                }
                _ => {}
            }
        }
        self.verdict.drains = drains;
    }

    fn check_request(&mut self, record: &mut RequestRecord, spans: &AttemptSpans) {
        let experiment = self.experiment;
        let class = &experiment.classes[record.request.class];
        record.outcome = self.outcome(record);
        let request = |rule, at, seen| Breach { rule, at, id: record.id, proxy: record.proxy, seen };
        let mut found = Vec::new();
        if let Some((at, ..)) = record.answers.get(1) {
            found.push(request(ANSWERED_TWICE, *at, format!("{} final answers", record.answers.len())));
        }
        if record.outcome == Outcome::Unanswered {
            let at = record.end.map_or(record.sent.unwrap_or(record.request.due), |(at, _)| at);
            let seen = match record.end {
                Some(_) => "the connection ended without one",
                None => "nothing had come when the run ended",
            };
            let attempts = record.attempts.len();
            found.push(request(NO_ANSWER, at, format!("{seen}, {attempts} shots were sent for it")));
        }
        if let (Some(sent), Some((at, status, retry_after, matches))) = (record.sent, record.answers.first())
        {
            let limit = sent + record.request.limit + micros(experiment.rules.late_ms / 1e3);
            if *at > limit && !self.was_stopped(record.proxy, sent, *at) {
                let presumed = seconds(at - sent - record.request.limit);
                found.push(request(TOO_LATE, *at, format!("{presumed:.3} s after it")));
            }
            if !matches {
                found.push(request(WRONG_ANSWER, *at, "its body is not whole, or made for another".into()));
            }
            if matches!(status, 429 | 503)
                && let Some(seen) = unsafe_deferral(class, &record.attempts, *at, retry_after.unwrap_or(0))
            {
                found.push(request(UNSAFE_DEFERRAL, *at, seen));
            }
            if *status >= 429
                && let Some(seen) = self.held_back(record, sent, *at, spans)
            {
                found.push(request(HELD_BACK, *at, seen));
            }
        }
        found.extend(self.sent_after_cancel(record).map(|(at, seen)| request(SENT_AFTER_CANCEL, at, seen)));
        found.extend(
            self.check_attempts(record, class).into_iter().map(|(rule, at, seen)| request(rule, at, seen)),
        );
        found.into_iter().for_each(|b| self.breach(b));
    }

    /// An attempt whose first byte came long after its client had closed the connection. No standstill excuses it: the end lies
    /// there to be read.
    fn sent_after_cancel(&self, record: &RequestRecord) -> Option<(Micros, String)> {
        let (cancelled_at, _) = record.end.filter(|_| record.outcome == Outcome::Cancelled)?;
        let latest = cancelled_at + micros(self.experiment.rules.cancel_delay_ms / 1e3);
        let attempt = record.attempts.iter().find(|attempt| attempt.started > latest)?;
        Some((
            attempt.started,
            format!("{:.3} s after, to cache {}", seconds(attempt.started - cancelled_at), attempt.server),
        ))
    }

    fn was_stopped(&self, proxy: Index, from: Micros, to: Micros) -> bool {
        self.verdict.stopped.iter().any(|(p, started, end)| *p == proxy && *started < to && *end > from)
    }

    fn outcome(&self, record: &RequestRecord) -> Outcome {
        if let Some((_, status, ..)) = record.answers.first() {
            return match status {
                200 => Outcome::Served,
                429 | 503 => Outcome::Rejected,
                400..=499 => Outcome::InvalidRequest,
                _ => Outcome::Failed,
            };
        }
        let Some(sent) = record.sent else { return Outcome::NotAccepted };
        match record.end {
            Some((_, Outcome::Cancelled)) => {
                // A client that stays to the end of its time has not left: it was not answered.
                let stayed = record.end.is_some_and(|(at, _)| at >= sent + record.request.limit);
                let stopped = record.end.is_some_and(|(at, _)| self.was_stopped(record.proxy, sent, at));
                if stayed && !stopped { Outcome::Unanswered } else { Outcome::Cancelled }
            }
            Some((at, _)) => {
                let slack = 100 * MILLI;
                let killed = |(proxy, when): &(Index, Micros)| {
                    *proxy == record.proxy && sent <= when + slack && *when <= at + slack
                };
                if self.killed.iter().any(killed) { Outcome::Killed } else { Outcome::Unanswered }
            }
            None => Outcome::Unanswered,
        }
    }

    /// Whether a refusal came long after the last thing that it could have waited for.
    fn held_back(
        &self,
        record: &RequestRecord,
        sent: Micros,
        at: Micros,
        spans: &AttemptSpans,
    ) -> Option<String> {
        let held = micros(self.experiment.rules.refusal_delay_ms / 1e3);
        let ends = record.attempts.iter().map(|s| s.end().unwrap_or(Micros::MAX));
        let last = ends.max().unwrap_or(sent).max(sent);
        // An attempt that waits for a silent peer's connection is seen nowhere.
        let waited = self.any_peer_silent(usize::from(record.proxy), last, at);
        if last >= at || waited || self.was_stopped(record.proxy, sent, at) {
            return None;
        }
        let without = spans.longest_gap(record.proxy, record.request.key, last, at);
        let what = if record.attempts.is_empty() { "it was asked" } else { "the end of its last shot" };
        (without > held).then(|| format!("{:.3} s after {what}", seconds(at - last)))
    }

    /// Whether some server, or the origin, was silent to a proxy within a span.
    fn any_peer_silent(&self, proxy: usize, from: Micros, to: Micros) -> bool {
        let zones = self.experiment.world.zones.len();
        let of_server =
            |server: usize, at| self.timelines.reachability(server, (server % zones, proxy % zones), at);
        let mut at = from;
        while at < to {
            let mut next = Micros::MAX;
            for peer in 0..=self.experiment.world.servers {
                let first = peer == self.experiment.world.servers;
                let (reachability, until) = if first {
                    self.timelines.origin_reachability(proxy % zones, at)
                } else {
                    of_server(peer, at)
                };
                if reachability == Reachability::Silent {
                    return true;
                }
                next = next.min(until);
            }
            at = next;
        }
        false
    }

    fn check_attempts(
        &self,
        record: &RequestRecord,
        class: &RequestClass,
    ) -> Vec<(&'static str, Micros, String)> {
        let (fleet, rules) = (&self.experiment.fleet, &self.experiment.rules);
        let mut found = Vec::new();
        if record.attempts.len() > fleet.max_attempts {
            let at = record.attempts[fleet.max_attempts].started;
            found.push((
                TOO_MANY_ATTEMPTS,
                at,
                format!("{} shots, {} allowed", record.attempts.len(), fleet.max_attempts),
            ));
        }
        let overlap = micros(rules.overlap_ms / 1e3);
        for (i, next) in record.attempts.iter().enumerate() {
            let before = &record.attempts[..i];
            if !fleet.hedging
                && let Some(other) =
                    before.iter().find(|s| s.end().is_none_or(|end| end > next.started + overlap))
            {
                let seen = format!("cache {} while one was out at cache {}", next.server, other.server);
                found.push((CONCURRENT_ATTEMPTS, next.started, seen));
            }
            for first in before.iter().filter(|s| s.may_have_run(next.started)) {
                if let Some(why) = self.unsafe_retry(class, first, next) {
                    let seen = format!("cache {} after cache {}: {why}", next.server, first.server);
                    found.push((MAY_RUN_TWICE, next.started, seen));
                    break;
                }
            }
        }
        if let [_, (at, server), ..] = record.effects[..] {
            found.push((MAY_RUN_TWICE, at, format!("its effect came about again at cache {server}")));
        }
        found
    }

    /// What is wrong with a further attempt after one that may have run.
    fn unsafe_retry(&self, class: &RequestClass, first: &Attempt, next: &Attempt) -> Option<String> {
        let experiment = self.experiment;
        match class.repeats.get_ref().as_str() {
            REPEATS_REPLAYABLE => return None,
            REPEATS_SINGLE_USE => return Some("single-use, and the first may have run".into()),
            _ => {}
        }
        let origin = experiment.world.servers;
        let zone = |c: Index| {
            if usize::from(c) == origin { 0 } else { usize::from(c) % experiment.world.zones.len() }
        };
        let cell = |c: Index| if usize::from(c) == origin { 0 } else { experiment.cell_of(usize::from(c)) };
        let same = match class.group.get_ref().as_str() {
            "all" => true,
            "zone" => zone(first.server) == zone(next.server),
            _ => zone(first.server) == zone(next.server) && cell(first.server) == cell(next.server),
        };
        if !same {
            return Some("tagged, and of another group".into());
        }
        let window = micros(class.window_ms / 1e3) + 10 * MILLI;
        let (sent, again) = (first.received.unwrap_or(first.started), next.received.unwrap_or(next.started));
        (again > sent + window).then(|| format!("tagged, {:.3} s after the first", seconds(again - sent)))
    }
}

/// What is wrong with a deferral, which tells the client that a further try does no harm.
fn unsafe_deferral(
    class: &RequestClass,
    attempts: &[Attempt],
    at: Micros,
    retry_after: Micros,
) -> Option<String> {
    let window = micros(class.window_ms / 1e3) + 10 * MILLI;
    let effects = attempts.iter().find(|s| s.may_have_run(at))?;
    let sent = effects.received.unwrap_or(effects.started);
    match class.repeats.get_ref().as_str() {
        REPEATS_REPLAYABLE => None,
        REPEATS_SINGLE_USE => Some(format!("single-use, and cache {} may have run it", effects.server)),
        _ if class.group.get_ref() != "all" => {
            Some(format!("tagged, and cache {} may have run it", effects.server))
        }
        _ if at + retry_after > sent + window => Some(format!(
            "tagged, and told to return {:.3} s after the first shot",
            seconds(at + retry_after - sent)
        )),
        _ => None,
    }
}
