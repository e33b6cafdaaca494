//! Gathers the events of a run into one record for each request.

use crate::clock::Micros;
use crate::evidence::{ClientRequest, Event, EventKind, NodeIndex, RequestId};
use crate::model::server::Reply;
use std::collections::{BTreeMap, HashMap};

/// A server's reply to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ReplyRecord {
    /// When the server had written it.
    pub at: Micros,
    /// The kind of reply.
    pub reply: Reply,
}

/// One attempt at a server. It starts when its first byte reaches the server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server, or the origin.
    pub server: NodeIndex,
    /// The proxy that made the attempt.
    pub proxy: NodeIndex,
    /// When its first byte reached the server.
    pub started_at: Micros,
    /// When its last byte reached the server.
    pub received_at: Option<Micros>,
    /// The server's reply.
    pub reply: Option<ReplyRecord>,
    /// When its connection ended without a reply.
    pub aborted_at: Option<Micros>,
}

impl Attempt {
    fn new(server: NodeIndex, event: &Event) -> Attempt {
        Attempt {
            server,
            proxy: event.proxy,
            started_at: event.at,
            received_at: None,
            reply: None,
            aborted_at: None,
        }
    }

    /// When the attempt ended, with or without a reply; `None` if it was still open at the end of
    /// the run.
    pub fn end(&self) -> Option<Micros> {
        self.reply.map(|reply| reply.at).or(self.aborted_at)
    }

    /// Whether the attempt may have run, as far as its proxy could know at `at`. A proxy can
    /// exclude this only if the server never received the last byte, or replied with a miss or that
    /// the request was not processed.
    pub fn may_have_run(&self, at: Micros) -> bool {
        let has_not_run = |reply_record: ReplyRecord| {
            reply_record.at <= at && matches!(reply_record.reply, Reply::Unprocessed | Reply::Miss)
        };
        self.received_at.is_some() && !self.reply.is_some_and(has_not_run)
    }

    /// When the attempt's last byte reached the server, which may run the attempt from then on;
    /// when the attempt started, if the last byte never arrived.
    pub fn sent_at(&self) -> Micros {
        self.received_at.unwrap_or(self.started_at)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with its value.
    Served,
    /// It was refused, and the client may retry later.
    Rejected,
    /// It was answered with a server error.
    Failed,
    /// It was refused as invalid.
    InvalidRequest,
    /// It got no answer.
    Unanswered,
    /// It got no answer because its proxy was killed, which the client saw from the end of the
    /// connection.
    Killed,
    /// Its client cancelled it.
    Cancelled,
    /// No proxy accepted it.
    NotAccepted,
}

/// A final answer to a client.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRecord {
    /// When it had arrived completely.
    pub at: Micros,
    /// Its status code.
    pub status: u16,
    /// How long the client has to wait before it retries, if the answer says so.
    pub retry_after: Option<Micros>,
    /// Whether its value, if it has one, is whole and was made for this request.
    pub is_own_value: bool,
}

/// How a request ended without an answer: its connection ended, or the client stopped waiting.
#[derive(Clone, Copy, Debug)]
pub struct EndRecord {
    /// When it ended.
    pub at: Micros,
    /// The outcome that follows from it.
    pub outcome: Outcome,
}

/// The effect of a request was applied at a server.
#[derive(Clone, Copy, Debug)]
pub struct EffectRecord {
    /// When it was applied.
    pub at: Micros,
    /// The server that applied it.
    pub server: NodeIndex,
}

/// Everything that was recorded about one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: RequestId,
    /// What the client requested.
    pub request: ClientRequest,
    /// The proxy to which the client sent it.
    pub proxy: NodeIndex,
    /// When its last byte was written to that proxy; `None` if it never was.
    pub sent_at: Option<Micros>,
    /// Final answers: one, unless the proxy breaks a rule.
    pub answers: Vec<AnswerRecord>,
    /// How it ended without an answer.
    pub end: Option<EndRecord>,
    /// The attempts made for it, in the order of their first bytes.
    pub attempts: Vec<Attempt>,
    /// Each time that its effect was applied.
    pub effects: Vec<EffectRecord>,
    /// How it ended for its client, as the oracle concludes.
    pub outcome: Outcome,
}

impl RequestRecord {
    fn new(id: RequestId, request: ClientRequest) -> RequestRecord {
        RequestRecord {
            id,
            request,
            proxy: 0,
            sent_at: None,
            answers: Vec::new(),
            end: None,
            attempts: Vec::new(),
            effects: Vec::new(),
            outcome: Outcome::NotAccepted,
        }
    }

    /// When it was answered with its value, or `None` if it was not.
    pub fn served_at(&self) -> Option<Micros> {
        let answer = self.answers.first().filter(|_| self.outcome == Outcome::Served)?;
        Some(answer.at)
    }

    /// The latest attempt of a proxy at a server that has not ended yet.
    fn open_attempt(&mut self, server: NodeIndex, proxy: NodeIndex) -> Option<&mut Attempt> {
        let is_open = |attempt: &&mut Attempt| {
            attempt.server == server && attempt.proxy == proxy && attempt.end().is_none()
        };
        self.attempts.iter_mut().rev().find(is_open)
    }

    fn add(&mut self, event: &Event) {
        let at = event.at;
        let ended = |outcome: Outcome| Some(EndRecord { at, outcome });
        match event.kind {
            EventKind::RequestSent => {
                // If a request is sent again after its connection was closed, only the last sending
                // counts.
                self.sent_at = Some(at);
                self.proxy = event.proxy;
            }
            EventKind::Answered { status, retry_after, is_own_value } => {
                self.answers.push(AnswerRecord { at, status, retry_after, is_own_value });
            }
            EventKind::Unanswered { .. } => self.end = ended(Outcome::Unanswered),
            EventKind::ClientCancelled => self.end = ended(Outcome::Cancelled),
            EventKind::NoProxy => self.end = ended(Outcome::NotAccepted),
            EventKind::AttemptStarted { server } => self.attempts.push(Attempt::new(server, event)),
            EventKind::AttemptReceived { server, .. } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.received_at = Some(at);
                }
            }
            EventKind::Replied { server, reply } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.reply = Some(ReplyRecord { at, reply });
                }
            }
            EventKind::AttemptAborted { server } => {
                if let Some(attempt) = self.open_attempt(server, event.proxy) {
                    attempt.aborted_at = Some(at);
                }
            }
            EventKind::EffectApplied { server } => self.effects.push(EffectRecord { at, server }),
            _ => {}
        }
    }
}

/// Gathers the events of each request into a record; the records are in the order of due times.
pub(super) fn gather(events: &[Event], requests: HashMap<RequestId, ClientRequest>) -> Vec<RequestRecord> {
    let due_at: HashMap<RequestId, Micros> =
        requests.iter().map(|(id, request)| (*id, request.due_at)).collect();
    let records =
        requests.into_iter().map(|(id, request)| ((request.due_at, id), RequestRecord::new(id, request)));
    let mut records: BTreeMap<(Micros, RequestId), RequestRecord> = records.collect();
    for event in events {
        let Some(due_at) = due_at.get(&event.request_id) else { continue };
        if let Some(record) = records.get_mut(&(*due_at, event.request_id)) {
            record.add(event);
        }
    }
    records.into_values().collect()
}
