//! Commands are split by key and encoded for the servers.

use crate::test_support::arguments;

#[test]
fn a_part_of_a_command_holds_its_keys_with_their_values_and_is_sent_as_an_array() {
    let part = arguments("MSET a 1 b 2 c 3").with_keys(&[1, 5], 2);
    let texts: Vec<&[u8]> = (0..part.len()).map(|index| part.get(index)).collect();
    assert_eq!(texts, [&b"MSET"[..], b"a", b"1", b"c", b"3"]);
    let resp = b"*5\r\n$4\r\nMSET\r\n$1\r\na\r\n$1\r\n1\r\n$1\r\nc\r\n$1\r\n3\r\n";
    assert_eq!(part.into_resp(), resp);
}

#[test]
fn an_inline_command_is_sent_to_servers_as_an_array() {
    assert_eq!(arguments("GET a").into_resp(), b"*2\r\n$3\r\nGET\r\n$1\r\na\r\n");
}
