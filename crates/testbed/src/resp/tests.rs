//! Round trips of the codec, and hash slots checked against the public specification.

use super::{encode_command, key_slot, parse_command, parse_reply};

#[test]
fn commands_round_trip_and_slots_follow_the_cluster_specification() {
    let command = encode_command(&[b"SET", b"a{k1}", b"x\r\ny"]);
    let (arguments, length) = parse_command(&command).unwrap().unwrap();
    assert_eq!((arguments[2].as_slice(), length), (&b"x\r\ny"[..], command.len()));
    assert!((0..length).all(|n| matches!(parse_command(&command[..n]), Ok(None))));
    assert_eq!((key_slot(b"x{foo}y"), key_slot(b"foo")), (12182, 12182));
    let status_of = |text: &[u8]| parse_reply(text).unwrap().unwrap().0.status();
    assert_eq!(status_of(b"-TRYAGAIN deferred, come back in 70 ms\r\n"), (503, Some(70_000)));
    assert_eq!(
        (status_of(b"$1\r\na\r\n"), status_of(b"$-1\r\n"), status_of(b"-ERR x\r\n")),
        ((200, None), (404, None), (400, None))
    );
}
