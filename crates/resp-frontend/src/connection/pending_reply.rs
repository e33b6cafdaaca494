//! A reply in the queue of a connection: ready, or pending at one or several servers.

use super::encoded_reply::{EncodedReply, ReplyRest};
use super::open_request::{Answer, OpenRequest};
use super::reply::encode_response;
use crate::merge::{MergeRule, PartResponse, merge_responses};
use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_sockets::{MessageMemory, MessageReservation};

/// The reply to one command.
pub enum PendingReply {
    /// The reply is ready.
    Ready(EncodedReply),
    /// The reply is the response to one request.
    Request { request: OpenRequest, resp3: bool },
    /// The reply is merged from the responses to several requests.
    Split(OpenSplit),
}

/// The requests of a command that was split by slot.
pub struct OpenSplit {
    /// The requests, one per slot.
    pub parts: Vec<OpenPart>,
    /// How the responses are merged.
    pub merge_rule: MergeRule,
    /// Whether the command writes.
    pub write: bool,
    /// Whether the connection used RESP3 when the client sent the command.
    pub resp3: bool,
    /// The memory in which the merged reply reserves its place.
    pub memory: MessageMemory,
}

/// One request of a command that was split by slot.
pub struct OpenPart {
    /// The request.
    pub request: OpenRequest,
    /// The indices of the part's keys among all keys of the command.
    pub key_indices: Vec<usize>,
}

impl PendingReply {
    /// Whether the reply can be written without a wait.
    pub fn is_ready(&self) -> bool {
        match self {
            PendingReply::Ready(_) => true,
            PendingReply::Request { request, .. } => request.is_answered(),
            PendingReply::Split(split) => split.parts.iter().all(|part| part.request.is_answered()),
        }
    }

    /// Whether the connection ends after this reply.
    pub fn is_last(&self) -> bool {
        matches!(self, PendingReply::Ready(EncodedReply { is_last: true, .. }))
    }

    /// The bytes of the reply that are held now.
    pub fn held_bytes(&self) -> usize {
        if let PendingReply::Ready(reply) = self { reply.bytes.len() } else { 0 }
    }

    /// Waits for the reply and encodes it.
    pub async fn resolve(self) -> EncodedReply {
        match self {
            PendingReply::Ready(reply) => reply,
            PendingReply::Request { request, resp3 } => {
                let Some(Answer { mut response, permit }) = request.answer().await else {
                    return EncodedReply::new(encode_response(None, resp3));
                };
                let reservation = response.memory_reservation.take();
                let stream = response.stream.take();
                let mut reply =
                    EncodedReply::with_reservation(encode_response(Some(response), resp3), reservation);
                reply.rest = stream.map(|stream| ReplyRest { stream, _permit: permit });
                reply
            }
            PendingReply::Split(split) => split.resolve().await,
        }
    }
}

impl OpenSplit {
    async fn resolve(self) -> EncodedReply {
        let mut responses = Vec::with_capacity(self.parts.len());
        let mut part_reservations = Vec::new();
        for OpenPart { request, key_indices } in self.parts {
            let mut response = request.answer().await.map(|answer| answer.response);
            part_reservations
                .extend(response.as_mut().and_then(|response| response.memory_reservation.take()));
            responses.push(PartResponse { response, key_indices });
        }
        // The merged reply is a copy, for which the parts' reservations are too small while both are
        // held.
        let merged_bytes = part_reservations.iter().map(MessageReservation::bytes).sum();
        let Some(reservation) = self.memory.try_reserve(merged_bytes) else {
            let status = if self.write { ResponseStatus::Failed } else { ResponseStatus::Rejected(None) };
            return EncodedReply::new(encode_response(Some(Response::empty(status)), self.resp3));
        };
        let bytes = match merge_responses(responses, self.merge_rule, self.write, self.resp3) {
            Ok(bytes) => bytes,
            Err(status) => encode_response(Some(Response::empty(status)), self.resp3),
        };
        EncodedReply::with_reservation(bytes, Some(reservation))
    }
}
