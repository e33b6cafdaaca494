//! Tests that a body decodes to the same bytes however it is split into reads.

use super::{BodyDecoder, Framing};
use crate::HttpError;
use proptest::prelude::*;

/// Decodes a message body that arrives split at the given positions. Returns the decoded bytes and
/// whether the body is complete.
fn decode_in_pieces(
    framing: Framing,
    encoded: &[u8],
    splits: &[usize],
) -> Result<(Vec<u8>, bool), HttpError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = Vec::new();
    let mut body = Vec::new();
    let mut start = 0;
    for end in splits.iter().copied().chain([encoded.len()]) {
        buf.extend(&encoded[start..end]);
        start = end;
        loop {
            let part = decoder.decode(&mut buf)?;
            body.extend(&part);
            if part.is_empty() {
                break;
            }
        }
    }
    Ok((body, decoder.is_finished()))
}

#[test]
fn a_body_decodes_the_same_wherever_it_is_split() {
    let chunked = b"5;a=\"b\"\r\nhello\r\n1\r\n \r\n6\r\nreader\r\n0\r\nT: t\r\nU: u\r\n\r\n";
    let cases: [(Framing, &[u8], &[u8]); 2] = [
        (Framing::Chunked, chunked, b"hello reader"),
        (Framing::Length(12), b"hello reader", b"hello reader"),
    ];
    for (framing, encoded, body) in cases {
        for first_split in 0..encoded.len() {
            for second_split in first_split..encoded.len() {
                assert_eq!(
                    decode_in_pieces(framing, encoded, &[first_split, second_split]),
                    Ok((body.to_vec(), true)),
                    "split at {first_split} and {second_split}"
                );
            }
            assert!(
                !decode_in_pieces(framing, &encoded[..first_split], &[]).unwrap().1,
                "a body truncated at byte {first_split} looks complete"
            );
        }
    }
    for malformed in [&b"x\r\n"[..], b"2\r\nabc\r\n", b"-1\r\n", b"fffffffffffffffff\r\n"] {
        assert!(decode_in_pieces(Framing::Chunked, malformed, &[]).is_err(), "{malformed:?}");
    }
}

proptest! {
    #[test]
    fn random_chunks_split_at_random_decode_to_the_whole_body(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        splits in prop::collection::vec(0..1000usize, 0..8),
    ) {
        let mut encoded = Vec::new();
        for chunk in &chunks {
            encoded.extend(format!("{:x}\r\n", chunk.len()).bytes());
            encoded.extend(chunk);
            encoded.extend(b"\r\n");
        }
        encoded.extend(b"0\r\n\r\n");
        let mut splits: Vec<usize> = splits.iter().map(|split| split % encoded.len()).collect();
        splits.sort_unstable();
        prop_assert_eq!(decode_in_pieces(Framing::Chunked, &encoded, &splits), Ok((chunks.concat(), true)));
    }

    #[test]
    fn random_input_does_not_panic(input in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_in_pieces(Framing::Chunked, &input, &[]);
    }
}
