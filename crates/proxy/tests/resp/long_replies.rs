//! Long replies of servers are forwarded while they arrive.

use super::*;

/// Guards against an error in place of a long value that its server writes slowly, for longer than
/// the time limit of the request, 0.6 s. The next reply follows it.
#[test]
fn a_long_value_that_its_server_writes_slowly_is_not_cut_off() {
    let setup = ProxySetup::new("");
    let reply = setup.request("GET drip\r\nGET a\r\n");
    let begin = format!("${LONG_VALUE_BYTES}\r\nv");
    assert!(reply.starts_with(&begin), "{:?}", &reply[..reply.len().min(60)]);
    assert_eq!(reply.len(), begin.len() - 1 + LONG_VALUE_BYTES + "\r\n$1\r\na\r\n".len());
    assert!(reply.ends_with("v\r\n$1\r\na\r\n"));
}

/// Guards against a reply that looks whole, or is taken for the rest of the one before, where a server
/// breaks a long value off.
#[test]
fn a_long_value_that_its_server_breaks_off_ends_the_connection() {
    let setup = ProxySetup::new("");
    let reply = setup.request("GET drip:broken\r\nGET a\r\n");
    assert!(reply.starts_with(&format!("${LONG_VALUE_BYTES}\r\nv")), "{:?}", &reply[..reply.len().min(60)]);
    assert!(reply.ends_with('v') && reply.len() < LONG_VALUE_BYTES + 10, "{} bytes", reply.len());
}
