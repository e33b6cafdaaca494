//! The messages of a call in both directions, and the end of a call.

use crate::model::store::StoreError;
use bytes::Bytes;
use chalkwalk_etcd_wire::{FrameDecoder, GRPC_MESSAGE, GRPC_STATUS, Message, code, encode_frame};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue};

/// Maximum length in bytes of a message that is read.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// The error with which a call fails.
#[derive(Debug)]
pub(super) struct GrpcError {
    /// The gRPC status code.
    pub code: &'static str,
    pub reason: String,
}

impl GrpcError {
    /// An error after which the call may be retried.
    pub fn unavailable(reason: &str) -> GrpcError {
        GrpcError { code: code::UNAVAILABLE, reason: reason.into() }
    }

    /// The simulated etcd does not implement the call.
    pub fn unimplemented(reason: &str) -> GrpcError {
        GrpcError { code: code::UNIMPLEMENTED, reason: reason.into() }
    }
}

impl From<StoreError> for GrpcError {
    fn from(error: StoreError) -> GrpcError {
        let code = match error {
            StoreError::Compacted(_) | StoreError::FutureRevision => code::OUT_OF_RANGE,
            StoreError::LeaseNotFound => code::NOT_FOUND,
        };
        GrpcError { code, reason: error.to_string() }
    }
}

/// The responses of one call.
pub(super) struct ResponseStream(pub SendStream<Bytes>);

impl ResponseStream {
    /// Writes a message, and waits until the peer accepts it; `None` if the peer is gone.
    pub async fn send(&mut self, message: &impl Message) -> Option<()> {
        let mut bytes = encode_frame(message);
        while !bytes.is_empty() {
            self.0.reserve_capacity(bytes.len());
            let capacity = std::future::poll_fn(|cx| self.0.poll_capacity(cx)).await?.ok()?;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.0.send_data(part, false).ok()?;
        }
        Some(())
    }

    /// Ends the call with its status.
    pub fn end(mut self, result: Result<(), GrpcError>) {
        let (code, reason) = match &result {
            Ok(()) => (code::OK, ""),
            Err(error) => (error.code, error.reason.as_str()),
        };
        let mut trailers = HeaderMap::new();
        let value = |text: &str| HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""));
        trailers.insert(GRPC_STATUS, value(code));
        if !reason.is_empty() {
            trailers.insert(GRPC_MESSAGE, value(reason));
        }
        _ = self.0.send_trailers(trailers);
    }
}

/// The requests of one call, read as they arrive.
pub(super) struct RequestStream {
    body: RecvStream,
    frames: FrameDecoder,
}

impl RequestStream {
    /// A stream of which nothing has been read.
    pub fn new(body: RecvStream) -> RequestStream {
        RequestStream { body, frames: FrameDecoder::new(MAX_MESSAGE_BYTES) }
    }

    /// Reads the next request; `None` if the peer is gone.
    pub async fn next<M: Message + Default>(&mut self) -> Option<M> {
        loop {
            if let Some(message) = self.frames.next_message().ok()? {
                return Some(message);
            }
            let bytes = self.body.data().await?.ok()?;
            _ = self.body.flow_control().release_capacity(bytes.len());
            self.frames.push(&bytes);
        }
    }

    /// Reads the request of a call that has exactly one.
    pub async fn single<M: Message + Default>(&mut self) -> Result<M, GrpcError> {
        self.next().await.ok_or_else(|| GrpcError::unavailable("no question"))
    }
}
