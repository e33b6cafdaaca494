//! Bytes that are no protocol.

use super::Reader;
use crate::ReadLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Bytes that often look like the protocol's.
fn noise() -> impl Strategy<Value = Vec<u8>> {
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

    /// Any bytes are read, waited for or refused: no panic, and no more frames are kept than are
    /// allowed.
    #[test]
    fn any_bytes_are_read_or_refused_within_the_limits(noise in noise()) {
        let limits = ReadLimits { max_bulk: 50, max_frames: 10, max_depth: 3, max_line: 20, max_total: 100 };
        let mut reader = Reader::new(limits);
        let mut start = 0;
        while let Ok(Some((frames, len))) = reader.next_frame(&noise[start..]) {
            prop_assert!(len > 0 && frames.len() <= 10);
            start += len;
        }
        prop_assert!(reader.frames.len() <= 11);
    }
}
