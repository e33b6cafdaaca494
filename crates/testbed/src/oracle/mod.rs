//! The judge. It knows what the platform allows and what went over the sockets, and nothing of how a proxy decides: every
//! breach names the request, the moment, and what was seen.

mod attempts;
mod drains;
mod records;
mod requests;
mod spans;

pub use drains::Drain;
pub use records::{AnswerRecord, Attempt, Outcome, RequestRecord};

use crate::clock::{Micros, seconds};
use crate::evidence::{ClientRequest, Event, EventKind, Id, Index};
use crate::experiment::Experiment;
use crate::model::timeline::Timelines;
use spans::AttemptSpans;
use std::collections::HashMap;
use std::fmt;

/// The rules that a proxy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Every request that was written whole gets a final answer.
    FinalAnswer,
    /// ... and only one.
    AnsweredOnce,
    /// ... within its time limit.
    InTimeLimit,
    /// ... that was made for it.
    OwnAnswer,
    /// Nothing runs twice that must not.
    RunsOnce,
    /// No client is sent away to retry what may have run and must not run twice.
    SafeDeferral,
    /// No two attempts at once, where hedging is not allowed.
    OneAttemptAtOnce,
    /// No more attempts than allowed.
    AttemptLimit,
    /// Nothing new to a server that is draining or gone.
    NothingToDrained,
    /// No server in slow start gets more than it bears.
    NoServerCollapsed,
    /// A refusal is sent as soon as it is certain.
    PromptRefusal,
    /// Every attempt belongs to a request.
    KnownRequest,
    /// Nothing is sent for a client that has cancelled.
    NothingAfterCancel,
    /// A proxy ends only by a signal.
    KeepsRunning,
}

impl Rule {
    /// What its breach is called.
    pub fn breach(self) -> &'static str {
        match self {
            Rule::FinalAnswer => "no final answer",
            Rule::AnsweredOnce => "answered twice",
            Rule::InTimeLimit => "answered after its time limit",
            Rule::OwnAnswer => "not the answer made for it",
            Rule::RunsOnce => "may run twice",
            Rule::SafeDeferral => "rejected though it may have run",
            Rule::OneAttemptAtOnce => "two attempts at once",
            Rule::AttemptLimit => "too many attempts",
            Rule::NothingToDrained => "sent to a drained server",
            Rule::NoServerCollapsed => "a server collapsed",
            Rule::PromptRefusal => "a refusal was held back",
            Rule::KnownRequest => "an attempt for no request",
            Rule::NothingAfterCancel => "sent on after its client cancelled",
            Rule::KeepsRunning => "a proxy ended by itself",
        }
    }
}

/// A rule that was broken: where, when, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// On which request; 0 where there is none.
    pub id: Id,
    /// By which proxy.
    pub proxy: Index,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, at) = (self.rule.breach(), seconds(self.at));
        write!(f, "{rule}: {at:.3} s, request {:016x}, proxy {}: {}", self.id, self.proxy, self.seen)
    }
}

/// When a proxy was stopped by SIGSTOP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Which proxy.
    pub proxy: Index,
    /// From SIGSTOP ...
    pub from: Micros,
    /// ... to SIGCONT.
    pub until: Micros,
}

/// What the judge found.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Each time that a proxy was notified that a server is off.
    pub drains: Vec<Drain>,
    /// The first breaches, in order of time.
    pub breaches: Vec<Breach>,
    /// How many more there were: a broken proxy breaks thousands.
    pub further_breaches: usize,
    /// All requests, in the order in which they were due.
    pub records: Vec<RequestRecord>,
    /// How many servers collapsed.
    pub collapsed: usize,
    /// When proxies were stopped.
    pub standstills: Vec<Standstill>,
}

/// Breaches that are listed; the rest is counted.
const MAX_BREACHES: usize = 200;

/// A proxy's process was killed.
struct Kill {
    proxy: Index,
    at: Micros,
}

struct Judge<'a> {
    experiment: &'a Experiment,
    timelines: Timelines,
    verdict: Verdict,
    kills: Vec<Kill>,
}

/// Judges a run by its events, which have to be in order of time.
pub fn judge(experiment: &Experiment, events: &[Event], requests: HashMap<Id, ClientRequest>) -> Verdict {
    let mut judge = Judge {
        experiment,
        timelines: Timelines::new(experiment),
        verdict: Verdict::default(),
        kills: Vec::new(),
    };
    judge.track_processes(events);
    judge.check_drains(events);
    judge.check_events(events);
    let records = records::gather(events, requests);
    let spans = AttemptSpans::new(&records);
    for mut record in records {
        judge.check_request(&mut record, &spans);
        judge.verdict.records.push(record);
    }
    judge.verdict.breaches.sort_by_key(|breach| (breach.at, breach.id));
    judge.verdict
}

impl Judge<'_> {
    fn add(&mut self, breach: Breach) {
        if self.verdict.breaches.len() < MAX_BREACHES {
            self.verdict.breaches.push(breach);
        } else {
            self.verdict.further_breaches += 1;
        }
    }

    /// A breach that one event shows.
    fn report(&mut self, rule: Rule, event: &Event, seen: String) {
        self.add(Breach { rule, at: event.at, id: event.id, proxy: event.proxy, seen });
    }

    /// When proxies were killed and stopped.
    fn track_processes(&mut self, events: &[Event]) {
        let mut stopped: HashMap<Index, Micros> = HashMap::new();
        for event in events {
            let proxy = event.proxy;
            match event.kind {
                EventKind::Signalled { signal: "STOP" } => _ = stopped.insert(proxy, event.at),
                EventKind::Signalled { signal: "CONT" } => {
                    if let Some(from) = stopped.remove(&proxy) {
                        self.verdict.standstills.push(Standstill { proxy, from, until: event.at });
                    }
                }
                EventKind::Signalled { signal: "KILL" } | EventKind::ProcessEnded { killed: true } => {
                    self.kills.push(Kill { proxy, at: event.at });
                }
                _ => {}
            }
        }
    }

    /// Events that are a breach by themselves.
    fn check_events(&mut self, events: &[Event]) {
        for event in events {
            match &event.kind {
                EventKind::ServerCollapsed { server } => {
                    self.verdict.collapsed += 1;
                    let seen = format!("server {server} was sent more than it bears in slow start");
                    self.report(Rule::NoServerCollapsed, event, seen);
                }
                EventKind::UnknownRequest { server } => {
                    let seen = format!("server {server} was sent an id that no client sent");
                    self.report(Rule::KnownRequest, event, seen);
                }
                EventKind::UnexpectedBytes => {
                    self.report(Rule::AnsweredOnce, event, "more came than was requested".into());
                }
                _ => {}
            }
        }
    }

    /// Whether a proxy was stopped for a part of a span.
    fn was_stopped(&self, proxy: Index, from: Micros, to: Micros) -> bool {
        let overlaps = |stop: &Standstill| stop.proxy == proxy && stop.from < to && stop.until > from;
        self.verdict.standstills.iter().any(overlaps)
    }
}
