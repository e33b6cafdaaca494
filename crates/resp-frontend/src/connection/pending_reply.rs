//! A reply in its turn: ready, or still to come from one server or several.

use super::open_request::OpenRequest;
use super::reply::encode_response;
use crate::merge::{MergeRule, PartResponse, merge_responses};
use chalkwalk_engine::response::Response;

/// The reply to one command.
pub enum PendingReply {
    /// It is there.
    Ready(Vec<u8>),
    /// It is the response to one request.
    Request { request: OpenRequest, resp3: bool },
    /// It is merged from the responses to several.
    Split(OpenSplit),
    /// It is there, and the connection ends with it.
    Last(Vec<u8>),
}

/// The requests of a command that was split by slot.
pub struct OpenSplit {
    /// The requests, one a slot.
    pub parts: Vec<OpenPart>,
    /// How their responses are merged.
    pub rule: MergeRule,
    /// Whether the command writes.
    pub write: bool,
    /// Whether the client was answered in RESP3 when it sent the command.
    pub resp3: bool,
}

/// One request of a command that was split by slot.
pub struct OpenPart {
    /// The request.
    pub request: OpenRequest,
    /// The places of its keys among all keys of the command.
    pub key_indices: Vec<usize>,
}

/// The bytes of a reply, and whether the connection ends with them.
pub struct ResolvedReply {
    /// What is written.
    pub bytes: Vec<u8>,
    /// Whether the connection ends then.
    pub last: bool,
}

impl PendingReply {
    /// Whether it can be written without a wait.
    pub fn is_ready(&self) -> bool {
        match self {
            PendingReply::Ready(_) | PendingReply::Last(_) => true,
            PendingReply::Request { request, .. } => request.is_answered(),
            PendingReply::Split(split) => split.parts.iter().all(|part| part.request.is_answered()),
        }
    }

    /// Waits for it.
    pub async fn resolve(self) -> ResolvedReply {
        match self {
            PendingReply::Ready(bytes) => ResolvedReply { bytes, last: false },
            PendingReply::Last(bytes) => ResolvedReply { bytes, last: true },
            PendingReply::Request { request, resp3 } => {
                ResolvedReply { bytes: encode_response(request.response().await, resp3), last: false }
            }
            PendingReply::Split(split) => ResolvedReply { bytes: split.resolve().await, last: false },
        }
    }
}

impl OpenSplit {
    async fn resolve(self) -> Vec<u8> {
        let mut responses = Vec::with_capacity(self.parts.len());
        for OpenPart { request, key_indices } in self.parts {
            responses.push(PartResponse { response: request.response().await, key_indices });
        }
        match merge_responses(responses, self.rule, self.write, self.resp3) {
            Ok(bytes) => bytes,
            Err(status) => encode_response(Some(Response::empty(status)), self.resp3),
        }
    }
}
