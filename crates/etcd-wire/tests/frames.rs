//! Frames out of any split of the bytes, and out of bytes that are none.

use chalkwalk_etcd_wire::api::{RangeResponse, WatchResponse};
use chalkwalk_etcd_wire::{FrameDecoder, encode_frame};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn what_is_no_message_is_refused_with_its_reason() {
    let refused = |bytes: &[u8]| {
        let mut frames = FrameDecoder::new(50);
        frames.push(bytes);
        frames.next_message::<RangeResponse>().map_err(|error| error.to_string()).unwrap_err()
    };
    expect!["a compressed message, and compression was not negotiated"].assert_eq(&refused(&[1, 0, 0, 0, 0]));
    expect!["a message of 51 bytes is above 50"].assert_eq(&refused(&[0, 0, 0, 0, 51]));
    assert!(refused(&[0, 0, 0, 0, 1, 0xff]).starts_with("no such message: "));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_split_gives_the_same_messages(
        revisions in proptest::collection::vec(any::<i64>(), 0..6),
        cuts in proptest::collection::vec(1usize..20, 0..20),
    ) {
        let message = |r: &i64| WatchResponse { compact_revision: *r, ..WatchResponse::default() };
        let all: Vec<u8> = revisions.iter().flat_map(|r| encode_frame(&message(r)).to_vec()).collect();
        let mut frames = FrameDecoder::new(100);
        let mut seen = Vec::new();
        let mut rest = &all[..];
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            frames.push(now);
            while let Some(message) = frames.next_message::<WatchResponse>().unwrap() {
                seen.push(message.compact_revision);
            }
        }
        prop_assert_eq!(seen, revisions);
        prop_assert!(!frames.is_mid_frame());
    }

    /// Any bytes are read or refused; no more is kept than came, and no panic.
    #[test]
    fn any_bytes_are_read_or_refused(
        noise in proptest::collection::vec(any::<u8>(), 0..400),
        small in any::<bool>(),
    ) {
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
