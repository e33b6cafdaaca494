//! Tests of formatting and parsing seconds. They are unit tests because the functions are private.

use super::*;

#[test]
fn only_plain_decimal_seconds_are_parsed() {
    let ticks = |text: &str| parse_seconds(text).map(Span::ticks);
    assert_eq!(ticks("1"), Some(10_000));
    assert_eq!(ticks("0.25"), Some(2_500));
    assert_eq!(ticks("0.00019"), Some(1));
    assert_eq!(ticks("999999999.9"), Some(9_999_999_999_000));
    for text in ["", "0", "0.0", "0.00001", ".5", "1.", "-1", "+1", "1e3", "1.5.0", " 1", "inf", "1000000000"]
    {
        assert_eq!(ticks(text), None, "{text}");
    }
}

#[test]
fn seconds_are_formatted_with_four_decimal_places() {
    let formatted = [0, 1, 2_500, 10_000, 123_456].map(|ticks| format_seconds(Span::from_ticks(ticks)));
    assert_eq!(formatted, ["0.0000", "0.0001", "0.2500", "1.0000", "12.3456"]);
}
