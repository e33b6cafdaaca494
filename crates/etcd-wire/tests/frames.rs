//! Decoding of frames from arbitrarily split bytes, and of bytes that are not valid frames.

use chalkwalk_etcd_wire::api::{RangeResponse, WatchResponse};
use chalkwalk_etcd_wire::{FrameDecoder, encode_frame};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn invalid_bytes_are_rejected_with_the_reason() {
    let decode_error = |bytes: &[u8]| {
        let mut decoder = FrameDecoder::new(50);
        decoder.push(bytes);
        decoder.next_message::<RangeResponse>().map_err(|error| error.to_string()).unwrap_err()
    };
    expect!["the message is compressed, but compression was not negotiated"]
        .assert_eq(&decode_error(&[1, 0, 0, 0, 0]));
    expect!["the message has 51 bytes, more than the limit of 50 bytes"]
        .assert_eq(&decode_error(&[0, 0, 0, 0, 51]));
    assert!(decode_error(&[0, 0, 0, 0, 1, 0xff]).starts_with("not a message of the expected type: "));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_messages_do_not_depend_on_how_the_bytes_are_split(
        revisions in proptest::collection::vec(any::<i64>(), 0..6),
        piece_lens in proptest::collection::vec(1usize..20, 0..20),
    ) {
        let message =
            |revision: &i64| WatchResponse { compact_revision: *revision, ..WatchResponse::default() };
        let encoded: Vec<u8> =
            revisions.iter().flat_map(|revision| encode_frame(&message(revision)).to_vec()).collect();
        let mut decoder = FrameDecoder::new(100);
        let mut decoded = Vec::new();
        let mut remaining = &encoded[..];
        for piece_len in piece_lens.into_iter().chain([usize::MAX]) {
            let (piece, after_piece) = remaining.split_at(piece_len.min(remaining.len()));
            remaining = after_piece;
            decoder.push(piece);
            while let Some(message) = decoder.next_message::<WatchResponse>().unwrap() {
                decoded.push(message.compact_revision);
            }
        }
        prop_assert_eq!(decoded, revisions);
        prop_assert!(!decoder.is_mid_frame());
    }

    /// The decoder decodes or rejects arbitrary bytes. It buffers no more than it received, and
    /// does not panic.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        random_bytes in proptest::collection::vec(any::<u8>(), 0..400),
        small_limit in any::<bool>(),
    ) {
        let mut decoder = FrameDecoder::new(if small_limit { 50 } else { 1 << 20 });
        let mut bytes = random_bytes.clone();
        if small_limit && bytes.len() > 5 {
            bytes[..4].fill(0);
            bytes[4] = (random_bytes.len() - 5).min(50) as u8;
        }
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_message::<RangeResponse>() {}
    }
}
