//! gRPC's frames: a byte that says whether the message is compressed, four bytes of its length, and
//! the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// The length of what stands before a message: the flag and the length.
const PREFIX_LEN: usize = 5;
/// The flag of a message that is not compressed.
const NOT_COMPRESSED: u8 = 0;

/// A message with its prefix, ready to send.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let len = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_LEN + len);
    out.put_u8(NOT_COMPRESSED);
    out.put_u32(len as u32);
    // The one error is too little space, and a BytesMut grows.
    _ = message.encode(&mut out);
    out.freeze()
}

/// Why no message can be read. Nothing more can be read after it.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// Compression was not negotiated, so no message may be compressed.
    #[error("a compressed message, and compression was not negotiated")]
    Compressed,
    /// The message exceeds the decoder's limit.
    #[error("a message of {len} bytes is above {max}")]
    TooLong {
        /// The message's length, in bytes.
        len: usize,
        /// The limit, in bytes.
        max: usize,
    },
    /// The bytes are no message of the requested type.
    #[error("no such message: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Splits bytes as they come into messages, none longer than its limit.
pub struct FrameDecoder {
    buf: BytesMut,
    max_len: usize,
}

impl FrameDecoder {
    /// A decoder of messages of at most so many bytes.
    pub fn new(max_len: usize) -> FrameDecoder {
        FrameDecoder { buf: BytesMut::new(), max_len }
    }

    /// Appends bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message, `None` until it is here. After an error nothing more can be read.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let [flag, len @ ..] = match self.buf.first_chunk::<PREFIX_LEN>() {
            Some(prefix) => *prefix,
            None => return Ok(None),
        };
        if flag != NOT_COMPRESSED {
            return Err(FrameError::Compressed);
        }
        let len = u32::from_be_bytes(len) as usize;
        if len > self.max_len {
            return Err(FrameError::TooLong { len, max: self.max_len });
        }
        if self.buf.len() < PREFIX_LEN + len {
            return Ok(None);
        }
        self.buf.advance(PREFIX_LEN);
        let message = self.buf.split_to(len).freeze();
        Ok(Some(M::decode(message)?))
    }

    /// Whether bytes of a message that is not whole are here: the stream must not end now.
    pub fn is_mid_frame(&self) -> bool {
        !self.buf.is_empty()
    }
}
