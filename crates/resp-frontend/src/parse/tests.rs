//! Commands are parsed from the start of a buffer, and only once they are complete.

use super::*;

/// Describes the result of parsing: the arguments separated by `|` and the length in bytes, or the
/// reason that there is no command.
fn parsed_text(bytes: &[u8]) -> String {
    let command = match parse_command(&mut Reader::new(ReadLimits::default()), bytes) {
        Ok(Some(command)) => command,
        Ok(None) => return "incomplete".into(),
        Err(error) => return format!("error: {error}"),
    };
    if command.arguments.is_empty() {
        return format!("blank, {} bytes", command.len);
    }
    let text = |range: &Range<usize>| String::from_utf8_lossy(&bytes[range.clone()]);
    let texts: Vec<_> = command.arguments.iter().map(text).collect();
    format!("{}, {} bytes", texts.join("|"), command.len)
}

#[test]
fn arrays_are_parsed_once_complete_and_hold_only_bulk_strings() {
    assert_eq!(parsed_text(b"*2\r\n$3\r\nGET\r\n$1\r\na\r\n*1\r\n"), "GET|a, 20 bytes");
    assert_eq!(parsed_text(b"*2\r\n$3\r\nGET\r\n$1\r\na\r"), "incomplete");
    assert_eq!(parsed_text(b"*0\r\n"), "blank, 4 bytes");
    assert_eq!(parsed_text(b""), "incomplete");
    assert!(parsed_text(b"*1\r\n:1\r\n").starts_with("error: "));
}

#[test]
fn inline_commands_are_split_at_white_space_and_end_with_a_line_break() {
    assert_eq!(parsed_text(b"get  a\tb\r\nping"), "get|a|b, 10 bytes");
    assert_eq!(parsed_text(b" ping \n"), "ping, 7 bytes");
    assert_eq!(parsed_text(b"\r\n"), "blank, 2 bytes");
    assert_eq!(parsed_text(b"ping"), "incomplete");
    assert_eq!(parsed_text(&[b'a'; 8 << 10]), "error: too big inline request");
}
