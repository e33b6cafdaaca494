//! The oracle: checks a run's events against the rules that every proxy has to keep. It knows what
//! the platform allows and what happened on the sockets, but not how a proxy decides. Every breach
//! names the request, the time, and what was seen.

mod attempts;
mod drains;
mod records;
mod requests;
mod spans;

pub use drains::Drain;
pub use records::{AnswerRecord, Attempt, Outcome, RequestRecord};

use crate::clock::{Micros, seconds_from_micros};
use crate::evidence::{ClientRequest, Event, EventKind, NodeIndex, RequestId};
use crate::experiment::Experiment;
use crate::model::timeline::Timelines;
use spans::AttemptSpans;
use std::collections::HashMap;
use std::fmt;

/// A rule that a proxy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Every request that was written completely gets a final answer.
    FinalAnswer,
    /// A request gets no more than one final answer.
    AnsweredOnce,
    /// The final answer comes within the request's time limit.
    InTimeLimit,
    /// The final answer is the one made for the request.
    OwnAnswer,
    /// A request that must not run twice does not run twice.
    RunsOnce,
    /// No client is told to retry a request that may have run and must not run twice.
    SafeRejection,
    /// No two attempts of a request are in flight at once, if hedging is not allowed.
    OneAttemptAtOnce,
    /// A request has no more attempts than allowed.
    AttemptLimit,
    /// No new attempt goes to a server that is draining or removed.
    NothingToDrained,
    /// No server in slow start gets more load than it can handle.
    NoServerCollapsed,
    /// A refusal is sent as soon as it is certain.
    PromptRefusal,
    /// Every attempt belongs to a request.
    KnownRequest,
    /// No attempt is sent for a client that has cancelled.
    NothingAfterCancel,
    /// A proxy's process ends only after a signal.
    KeepsRunning,
}

impl Rule {
    /// The name of a breach of this rule, as reports show it.
    pub fn breach(self) -> &'static str {
        match self {
            Rule::FinalAnswer => "no final answer",
            Rule::AnsweredOnce => "answered twice",
            Rule::InTimeLimit => "answered after its time limit",
            Rule::OwnAnswer => "not the answer made for it",
            Rule::RunsOnce => "may run twice",
            Rule::SafeRejection => "rejected though it may have run",
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

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken.
    pub at: Micros,
    /// The request's id; 0 if the breach is about none.
    pub request_id: RequestId,
    /// The proxy that broke the rule.
    pub proxy: NodeIndex,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, at) = (self.rule.breach(), seconds_from_micros(self.at));
        write!(
            f,
            "{rule}: {at:.3} s, request {:016x}, proxy {}: {}",
            self.request_id, self.proxy, self.details
        )
    }
}

/// A time during which a proxy was stopped by SIGSTOP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStop {
    /// The proxy that was stopped.
    pub proxy: NodeIndex,
    /// When it got SIGSTOP.
    pub stopped_at: Micros,
    /// When it got SIGCONT.
    pub continued_at: Micros,
}

/// The result of checking a run.
#[derive(Debug, Default)]
pub struct Verdict {
    /// One entry for each time that a proxy was notified that a server is off.
    pub drains: Vec<Drain>,
    /// The first breaches, in order of time.
    pub breaches: Vec<Breach>,
    /// The number of breaches beyond these, which are only counted: a faulty proxy can cause
    /// thousands.
    pub unlisted_breaches: usize,
    /// All requests, in the order of their due times.
    pub records: Vec<RequestRecord>,
    /// The number of times that a server collapsed.
    pub collapsed: usize,
    /// The times during which proxies were stopped.
    pub process_stops: Vec<ProcessStop>,
}

/// The number of breaches that are listed; further ones are only counted.
const MAX_LISTED_BREACHES: usize = 200;

/// The time at which a proxy's process was killed.
struct Kill {
    proxy: NodeIndex,
    at: Micros,
}

/// The state of the oracle while it checks a run.
struct Judge<'a> {
    experiment: &'a Experiment,
    timelines: Timelines,
    verdict: Verdict,
    kills: Vec<Kill>,
}

/// Checks a run by its events, which have to be in order of time.
pub fn check_run(
    experiment: &Experiment,
    events: &[Event],
    requests: HashMap<RequestId, ClientRequest>,
) -> Verdict {
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
    judge.verdict.breaches.sort_by_key(|breach| (breach.at, breach.request_id));
    judge.verdict
}

impl Judge<'_> {
    fn add(&mut self, breach: Breach) {
        if self.verdict.breaches.len() < MAX_LISTED_BREACHES {
            self.verdict.breaches.push(breach);
        } else {
            self.verdict.unlisted_breaches += 1;
        }
    }

    /// Adds a breach that a single event shows.
    fn add_for_event(&mut self, rule: Rule, event: &Event, details: String) {
        self.add(Breach { rule, at: event.at, request_id: event.request_id, proxy: event.proxy, details });
    }

    /// Records when proxies were killed and stopped.
    fn track_processes(&mut self, events: &[Event]) {
        let mut stopped_proxies: HashMap<NodeIndex, Micros> = HashMap::new();
        for event in events {
            let proxy = event.proxy;
            match event.kind {
                EventKind::Signalled { signal: "STOP" } => _ = stopped_proxies.insert(proxy, event.at),
                EventKind::Signalled { signal: "CONT" } => {
                    if let Some(stopped_at) = stopped_proxies.remove(&proxy) {
                        self.verdict.process_stops.push(ProcessStop {
                            proxy,
                            stopped_at,
                            continued_at: event.at,
                        });
                    }
                }
                EventKind::Signalled { signal: "KILL" } | EventKind::ProcessEnded { killed: true } => {
                    self.kills.push(Kill { proxy, at: event.at });
                }
                _ => {}
            }
        }
    }

    /// Reports the events that are a breach by themselves.
    fn check_events(&mut self, events: &[Event]) {
        for event in events {
            match &event.kind {
                EventKind::ServerCollapsed { server } => {
                    self.verdict.collapsed += 1;
                    let details = format!("server {server} was sent more than it can handle in slow start");
                    self.add_for_event(Rule::NoServerCollapsed, event, details);
                }
                EventKind::UnknownRequest { server } => {
                    let details = format!(
                        "server {server} was sent an attempt whose id is missing or was sent by no client"
                    );
                    self.add_for_event(Rule::KnownRequest, event, details);
                }
                EventKind::UnexpectedBytes => {
                    self.add_for_event(
                        Rule::AnsweredOnce,
                        event,
                        "more bytes arrived on the connection than the answers to its requests have".into(),
                    );
                }
                _ => {}
            }
        }
    }

    /// Whether a proxy was stopped at any time between `from` and `to`.
    fn was_stopped(&self, proxy: NodeIndex, from: Micros, to: Micros) -> bool {
        let overlaps =
            |stop: &ProcessStop| stop.proxy == proxy && stop.stopped_at < to && stop.continued_at > from;
        self.verdict.process_stops.iter().any(overlaps)
    }
}
