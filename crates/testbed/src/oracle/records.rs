//! All that was seen of each request, gathered from the events.

use crate::clock::Micros;
use crate::evidence::{ClientRequest, Event, EventKind, Id, Index};
use crate::model::server::Reply;
use std::collections::{BTreeMap, HashMap};

/// A server's reply to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ReplyRecord {
    /// When it was written.
    pub at: Micros,
    /// What it was.
    pub reply: Reply,
}

/// One attempt, from the first byte that reached a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// At which server.
    pub server: Index,
    /// By which proxy.
    pub proxy: Index,
    /// When its first byte came.
    pub started: Micros,
    /// When its last byte came.
    pub received: Option<Micros>,
    /// The server's reply.
    pub reply: Option<ReplyRecord>,
    /// When its connection ended without one.
    pub aborted: Option<Micros>,
}

impl Attempt {
    fn new(server: Index, event: &Event) -> Attempt {
        Attempt { server, proxy: event.proxy, started: event.at, received: None, reply: None, aborted: None }
    }

    /// When it was over, if it was.
    pub fn end(&self) -> Option<Micros> {
        self.reply.map(|reply| reply.at).or(self.aborted)
    }

    /// Whether its proxy could not know, at that moment, that it had surely not run.
    pub fn may_have_run(&self, at: Micros) -> bool {
        let surely_not = |answered: ReplyRecord| {
            answered.at <= at && matches!(answered.reply, Reply::Unprocessed | Reply::Miss)
        };
        self.received.is_some() && !self.reply.is_some_and(surely_not)
    }

    /// When it was sent: from its last byte on it may run.
    pub fn sent(&self) -> Micros {
        self.received.unwrap_or(self.started)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With its value.
    Served,
    /// Refused, and to be retried later.
    Rejected,
    /// Given up.
    Failed,
    /// Refused as wrong in itself.
    InvalidRequest,
    /// Without an answer.
    Unanswered,
    /// Its proxy was killed outright, which the connection's end showed.
    Killed,
    /// Its client cancelled.
    Cancelled,
    /// No proxy accepted it.
    NotAccepted,
}

/// A final answer to a client.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRecord {
    /// When it had come whole.
    pub at: Micros,
    /// Its status.
    pub status: u16,
    /// When the client is to come again, where that was sent.
    pub retry_after: Option<Micros>,
    /// Whether it was made for this request.
    pub matches: bool,
}

/// The end of a client's connection, or of its patience, without an answer.
#[derive(Clone, Copy, Debug)]
pub struct EndRecord {
    /// When.
    pub at: Micros,
    /// Which end.
    pub outcome: Outcome,
}

/// The effect of a request came about.
#[derive(Clone, Copy, Debug)]
pub struct EffectRecord {
    /// When.
    pub at: Micros,
    /// At which server.
    pub server: Index,
}

/// All that is known of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: Id,
    /// What the client requested.
    pub request: ClientRequest,
    /// Which proxy got it.
    pub proxy: Index,
    /// When its last byte was written to that proxy.
    pub sent: Option<Micros>,
    /// Final answers: one, unless the proxy breaks a rule.
    pub answers: Vec<AnswerRecord>,
    /// How it ended without one.
    pub end: Option<EndRecord>,
    /// Attempts that were made for it, by their first bytes.
    pub attempts: Vec<Attempt>,
    /// Each time that its effect came about.
    pub effects: Vec<EffectRecord>,
    /// How it ended for its client: the judge's conclusion.
    pub outcome: Outcome,
}

impl RequestRecord {
    fn new(id: Id, request: ClientRequest) -> RequestRecord {
        RequestRecord {
            id,
            request,
            proxy: 0,
            sent: None,
            answers: Vec::new(),
            end: None,
            attempts: Vec::new(),
            effects: Vec::new(),
            outcome: Outcome::NotAccepted,
        }
    }

    /// When it was served, if it was.
    pub fn served_at(&self) -> Option<Micros> {
        let answer = self.answers.first().filter(|_| self.outcome == Outcome::Served)?;
        Some(answer.at)
    }

    /// The last attempt of a proxy at a server that is still open.
    fn open_attempt(&mut self, server: Index, proxy: Index) -> Option<&mut Attempt> {
        let own = |attempt: &&mut Attempt| {
            attempt.server == server && attempt.proxy == proxy && attempt.end().is_none()
        };
        self.attempts.iter_mut().rev().find(own)
    }

    fn add(&mut self, event: &Event) {
        let at = event.at;
        let ended = |outcome: Outcome| Some(EndRecord { at, outcome });
        match event.kind {
            EventKind::RequestSent => {
                // Sent again after its connection was closed, it counts from then.
                self.sent = Some(at);
                self.proxy = event.proxy;
            }
            EventKind::Answered { status, retry_after, matches } => {
                self.answers.push(AnswerRecord { at, status, retry_after, matches });
            }
            EventKind::Unanswered { .. } => self.end = ended(Outcome::Unanswered),
            EventKind::ClientCancelled => self.end = ended(Outcome::Cancelled),
            EventKind::NoProxy => self.end = ended(Outcome::NotAccepted),
            EventKind::AttemptStarted { server } => self.attempts.push(Attempt::new(server, event)),
            EventKind::AttemptReceived { server, .. } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.received = Some(at);
                }
            }
            EventKind::Replied { server, reply } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.reply = Some(ReplyRecord { at, reply });
                }
            }
            EventKind::AttemptAborted { server } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.aborted = Some(at);
                }
            }
            EventKind::EffectApplied { server } => self.effects.push(EffectRecord { at, server }),
            _ => {}
        }
    }
}

/// The events of each request, in the order in which requests were due.
pub(super) fn gather(events: &[Event], requests: HashMap<Id, ClientRequest>) -> Vec<RequestRecord> {
    let due: HashMap<Id, Micros> = requests.iter().map(|(id, request)| (*id, request.due)).collect();
    let records =
        requests.into_iter().map(|(id, request)| ((request.due, id), RequestRecord::new(id, request)));
    let mut records: BTreeMap<(Micros, Id), RequestRecord> = records.collect();
    for event in events {
        let Some(due) = due.get(&event.id) else { continue };
        if let Some(record) = records.get_mut(&(*due, event.id)) {
            record.add(event);
        }
    }
    records.into_values().collect()
}
