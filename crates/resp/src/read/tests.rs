//! The reader handles arbitrary bytes.

use super::Reader;
use crate::ReadLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Random bytes, in which the bytes that RESP uses most are frequent.
fn random_bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte =
        prop_oneof![Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'-'), any::<u8>()];
    proptest::collection::vec(byte, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random bytes are parsed, found incomplete or rejected. The reader does not panic, and keeps
    /// no more frames than its limits allow.
    #[test]
    fn random_bytes_are_parsed_or_rejected_within_the_limits(random_bytes in random_bytes()) {
        let limits = ReadLimits { max_bulk_bytes: 50, max_frames: 10, max_depth: 3, max_line_bytes: 20, max_message_bytes: 100 };
        let mut reader = Reader::new(limits);
        let mut start = 0;
        while let Ok(Some((frames, len))) = reader.next_message(&random_bytes[start..]) {
            prop_assert!(len > 0 && frames.len() <= 10);
            start += len;
        }
        prop_assert!(reader.frames.len() <= 11);
    }
}
