//! Bodies, whatever pieces they come in.

use super::{BodyDecoder, Framing};
use crate::HttpError;
use proptest::prelude::*;

/// The body of a text that comes cut at those places, and whether it ended.
fn decoded(framing: Framing, text: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool), HttpError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = Vec::new();
    let mut body = Vec::new();
    let mut from = 0;
    for to in cuts.iter().copied().chain([text.len()]) {
        buf.extend(&text[from..to]);
        from = to;
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
fn a_body_is_the_same_whatever_byte_it_is_cut_at() {
    let chunked = b"5;a=\"b\"\r\nhello\r\n1\r\n \r\n6\r\nreader\r\n0\r\nT: t\r\nU: u\r\n\r\n";
    let cases: [(Framing, &[u8], &[u8]); 2] = [
        (Framing::Chunked, chunked, b"hello reader"),
        (Framing::Length(12), b"hello reader", b"hello reader"),
    ];
    for (framing, text, body) in cases {
        for one in 0..text.len() {
            for two in one..text.len() {
                assert_eq!(decoded(framing, text, &[one, two]), Ok((body.to_vec(), true)), "{one} {two}");
            }
            assert!(!decoded(framing, &text[..one], &[]).unwrap().1, "cut short at {one} it looks whole");
        }
    }
    for wrong in [&b"x\r\n"[..], b"2\r\nabc\r\n", b"-1\r\n", b"fffffffffffffffff\r\n"] {
        assert!(decoded(Framing::Chunked, wrong, &[]).is_err(), "{wrong:?}");
    }
}

proptest! {
    #[test]
    fn any_chunks_in_any_pieces_are_one_body(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        cuts in prop::collection::vec(0..1000usize, 0..8),
    ) {
        let mut text = Vec::new();
        for chunk in &chunks {
            text.extend(format!("{:x}\r\n", chunk.len()).bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % text.len()).collect();
        cuts.sort_unstable();
        prop_assert_eq!(decoded(Framing::Chunked, &text, &cuts), Ok((chunks.concat(), true)));
    }

    #[test]
    fn nonsense_is_an_error_or_waits(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decoded(Framing::Chunked, &noise, &[]);
    }
}
