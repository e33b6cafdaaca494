//! gRPC's frames: one byte that states whether the message is compressed, the message's length in
//! four bytes, and the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// Length of the prefix before a message, in bytes: the compression flag and the message's length.
const PREFIX_LEN: usize = 5;
/// The compression flag of an uncompressed message.
const NOT_COMPRESSED: u8 = 0;

/// Encodes a message with its prefix, ready to send.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let len = message.encoded_len();
    let mut frame = BytesMut::with_capacity(PREFIX_LEN + len);
    frame.put_u8(NOT_COMPRESSED);
    frame.put_u32(len as u32);
    // `encode` fails only if the buffer lacks space, and a BytesMut grows.
    _ = message.encode(&mut frame);
    frame.freeze()
}

/// Why a message can't be read. No further message can be read after the error.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// Compression was not negotiated, so no message may be compressed.
    #[error("the message is compressed, but compression was not negotiated")]
    Compressed,
    /// The message exceeds the decoder's limit.
    #[error("the message has {len} bytes, more than the limit of {max_len} bytes")]
    TooLong {
        /// The message's length, in bytes.
        len: usize,
        /// The limit, in bytes.
        max_len: usize,
    },
    /// The bytes are not a message of the requested type.
    #[error("not a message of the expected type: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Decodes messages from a stream of bytes that arrives in arbitrary pieces. It rejects messages
/// above a maximum length.
pub struct FrameDecoder {
    buf: BytesMut,
    max_len: usize,
}

impl FrameDecoder {
    /// A decoder of messages of at most `max_len` bytes.
    pub fn new(max_len: usize) -> FrameDecoder {
        FrameDecoder { buf: BytesMut::new(), max_len }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next message, `None` until it has been received whole. After an error no further message
    /// can be read.
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
            return Err(FrameError::TooLong { len, max_len: self.max_len });
        }
        if self.buf.len() < PREFIX_LEN + len {
            return Ok(None);
        }
        self.buf.advance(PREFIX_LEN);
        let message = self.buf.split_to(len).freeze();
        Ok(Some(M::decode(message)?))
    }

    /// Whether only part of a message has been received. The stream must not end there.
    pub fn is_mid_frame(&self) -> bool {
        !self.buf.is_empty()
    }
}
