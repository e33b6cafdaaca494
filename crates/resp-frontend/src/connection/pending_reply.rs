//! A reply in the queue of a connection: ready, or pending at one or several servers.

use super::open_request::OpenRequest;
use super::reply::encode_response;
use crate::merge::{MergeRule, PartResponse, merge_responses};
use chalkwalk_engine::response::Response;

/// The reply to one command.
pub enum PendingReply {
    /// The reply is ready.
    Ready(Vec<u8>),
    /// The reply is the response to one request.
    Request { request: OpenRequest, resp3: bool },
    /// The reply is merged from the responses to several requests.
    Split(OpenSplit),
    /// The reply is ready, and the connection ends after it.
    Last(Vec<u8>),
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
}

/// One request of a command that was split by slot.
pub struct OpenPart {
    /// The request.
    pub request: OpenRequest,
    /// The indices of the part's keys among all keys of the command.
    pub key_indices: Vec<usize>,
}

/// The bytes of a reply, and whether the connection ends after them.
pub struct ResolvedReply {
    /// The bytes to write.
    pub bytes: Vec<u8>,
    /// Whether the connection ends after these bytes.
    pub is_last: bool,
}

impl PendingReply {
    /// Whether the reply can be written without a wait.
    pub fn is_ready(&self) -> bool {
        match self {
            PendingReply::Ready(_) | PendingReply::Last(_) => true,
            PendingReply::Request { request, .. } => request.is_answered(),
            PendingReply::Split(split) => split.parts.iter().all(|part| part.request.is_answered()),
        }
    }

    /// Waits for the reply and encodes it.
    pub async fn resolve(self) -> ResolvedReply {
        match self {
            PendingReply::Ready(bytes) => ResolvedReply { bytes, is_last: false },
            PendingReply::Last(bytes) => ResolvedReply { bytes, is_last: true },
            PendingReply::Request { request, resp3 } => {
                ResolvedReply { bytes: encode_response(request.response().await, resp3), is_last: false }
            }
            PendingReply::Split(split) => ResolvedReply { bytes: split.resolve().await, is_last: false },
        }
    }
}

impl OpenSplit {
    async fn resolve(self) -> Vec<u8> {
        let mut responses = Vec::with_capacity(self.parts.len());
        for OpenPart { request, key_indices } in self.parts {
            responses.push(PartResponse { response: request.response().await, key_indices });
        }
        match merge_responses(responses, self.merge_rule, self.write, self.resp3) {
            Ok(bytes) => bytes,
            Err(status) => encode_response(Some(Response::empty(status)), self.resp3),
        }
    }
}
