//! The reader handles every frame type, every limit, and any split of the bytes.

use chalkwalk_resp::{Frame, ReadLimits, Reader, Writer};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Limits so low that short texts exceed them.
const TEST_LIMITS: ReadLimits = ReadLimits {
    max_bulk_bytes: 20,
    max_frames: 6,
    max_depth: 2,
    max_line_bytes: 30,
    max_message_bytes: 200,
};

/// Describes the result of reading a text, in one line.
fn outcome(text: &[u8]) -> String {
    match Reader::new(TEST_LIMITS).next_message(text) {
        Ok(Some((frames, len))) => {
            let show =
                |frame: &Frame| format!("{:?}({})", frame.kind, text[frame.range.clone()].escape_ascii());
            format!("{} in {len}\n", frames.iter().map(show).collect::<Vec<_>>().join(" "))
        }
        Ok(None) => "more\n".into(),
        Err(error) => format!("{error}\n"),
    }
}

#[test]
fn every_type_is_read_and_messages_over_a_limit_are_rejected() {
    let texts = [
        "+OK\r\n",
        "-ERR no\r\n",
        ":-12\r\n",
        "$3\r\na\r\n\r\n",
        "$-1\r\n",
        "*-1\r\n",
        "_\r\n",
        "#t\r\n",
        ",1.5\r\n",
        "(123\r\n",
        "!3\r\nERR\r\n",
        "=5\r\ntxt:a\r\n",
        "*2\r\n$1\r\na\r\n*1\r\n:1\r\n",
        "%1\r\n+a\r\n:1\r\n",
        "~1\r\n:1\r\n",
        ">1\r\n+x\r\n",
        "*0\r\n+next",
        "*2\r\n:1\r\n",
        // Messages that are invalid or exceed a limit.
        "$21\r\n",
        "*7\r\n",
        "*1\r\n*1\r\n*1\r\n:1\r\n",
        "$2\r\nabc\r\n",
        "$x\r\n",
        ":1.5\r\n",
        "?\r\n",
        "*-2\r\n",
        "%9223372036854775807\r\n",
        "+aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
        "#x\r\n",
    ];
    let outcomes: String = texts.iter().map(|text| outcome(text.as_bytes())).collect();
    expect![[r#"
        SimpleString(OK) in 5
        SimpleError(ERR no) in 9
        Integer(-12) in 6
        BulkString(a\r\n) in 9
        Null() in 5
        Null() in 5
        Null() in 3
        Boolean(t) in 4
        Double(1.5) in 6
        BigNumber(123) in 6
        BulkError(ERR) in 9
        VerbatimString(txt:a) in 11
        Array(2) BulkString(a) Array(1) Integer(1) in 19
        Map(1) SimpleString(a) Integer(1) in 12
        Set(1) Integer(1) in 8
        Push(1) SimpleString(x) in 8
        Array(0) in 4
        more
        too long a bulk string
        too many parts
        too deep
        a bulk string of another length
        no length
        no number
        no such type
        no count
        too many parts
        too long a line
        no such type
    "#]]
    .assert_eq(&outcomes);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The frames are the same for any split of the bytes into chunks.
    #[test]
    fn any_split_into_chunks_gives_the_same_values(
        values in proptest::collection::vec(
            proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..12), 0..5),
            1..6,
        ),
        chunk_lens in proptest::collection::vec(1usize..9, 0..60),
    ) {
        let mut writer = Writer::default();
        for value in &values {
            writer.array_header(value.len());
            value.iter().for_each(|v| writer.bulk_string(v));
        }
        let bytes = writer.take_bytes();
        let mut reader = Reader::new(ReadLimits::default());
        let mut buf = Vec::new();
        let mut rest = &bytes[..];
        let mut read_values: Vec<Vec<Vec<u8>>> = Vec::new();
        for chunk_len in chunk_lens.into_iter().chain([usize::MAX]) {
            let (chunk, remaining) = rest.split_at(chunk_len.min(rest.len()));
            rest = remaining;
            buf.extend_from_slice(chunk);
            while let Some((frames, len)) = reader.next_message(&buf).unwrap() {
                read_values.push(frames[1..].iter().map(|frame| buf[frame.range.clone()].to_vec()).collect());
                buf.drain(..len);
            }
        }
        prop_assert_eq!(read_values, values);
    }
}
