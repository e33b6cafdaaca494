//! gRPC's frames: a byte that says whether what follows is packed, four of length, and the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

const HEAD: usize = 5;

/// A message with its head.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let len = message.encoded_len();
    let mut out = BytesMut::with_capacity(HEAD + len);
    out.put_u8(0);
    out.put_u32(len as u32);
    // There is room for it: that is the one error.
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
    /// The bytes are no message of the wanted type.
    #[error("no such message: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Takes bytes as they come and gives messages, none longer than stated.
pub struct FrameDecoder {
    buf: BytesMut,
    longest: usize,
}

impl FrameDecoder {
    pub fn new(longest: usize) -> FrameDecoder {
        FrameDecoder { buf: BytesMut::new(), longest }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message, `None` until it is here. After an error nothing more can be read.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        if self.buf.len() < HEAD {
            return Ok(None);
        }
        if self.buf[0] != 0 {
            return Err(FrameError::Compressed);
        }
        let len = u32::from_be_bytes([self.buf[1], self.buf[2], self.buf[3], self.buf[4]]) as usize;
        if len > self.longest {
            return Err(FrameError::TooLong { len, max: self.longest });
        }
        if self.buf.len() < HEAD + len {
            return Ok(None);
        }
        self.buf.advance(HEAD);
        let message = self.buf.split_to(len).freeze();
        Ok(Some(M::decode(message)?))
    }

    /// Whether the bytes ended within a message.
    pub fn is_mid_frame(&self) -> bool {
        !self.buf.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{RangeResponse, WatchResponse};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_split_gives_the_same_messages(
            revisions in proptest::collection::vec(any::<i64>(), 0..6),
            cuts in proptest::collection::vec(1usize..20, 0..20),
        ) {
            let message = |r: &i64| WatchResponse { compact_revision: *r, ..WatchResponse::default() };
            let all: Vec<u8> = revisions.iter().flat_map(|r| encode_frame(&message(r)).to_vec()).collect();
            let (mut frames, mut seen, mut rest) = (FrameDecoder::new(100), Vec::new(), &all[..]);
            for cut in cuts.into_iter().chain([usize::MAX]) {
                let (now, later) = rest.split_at(cut.min(rest.len()));
                rest = later;
                frames.push(now);
                while let Some(m) = frames.next_message::<WatchResponse>().unwrap() {
                    seen.push(m.compact_revision);
                }
            }
            prop_assert_eq!(seen, revisions);
            prop_assert!(!frames.is_mid_frame());
        }

        /// Any bytes are read or refused; no more is held than came, and no panic.
        #[test]
        fn noise_is_answered(noise in proptest::collection::vec(any::<u8>(), 0..400), small in any::<bool>()) {
            let mut frames = FrameDecoder::new(if small { 50 } else { 1 << 20 });
            let mut bytes = noise.clone();
            if small && bytes.len() > 5 {
                bytes[..4].fill(0);
                bytes[4] = (noise.len() - 5).min(50) as u8;
            }
            frames.push(&bytes);
            while let Ok(Some(_)) = frames.next_message::<RangeResponse>() {}
        }
    }
}
