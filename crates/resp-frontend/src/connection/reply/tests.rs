//! Each outcome of a request has its text, which drivers and operators know.

use super::*;

fn encoded(status: ResponseStatus, body: &str, resp3: bool) -> String {
    let response = Response { body: body.into(), ..Response::empty(status) };
    String::from_utf8(encode_response(Some(response), resp3)).unwrap()
}

#[test]
fn responses_have_the_texts_that_drivers_know() {
    let after = |ticks| ResponseStatus::Rejected(Some(Span::from_ticks(ticks)));
    assert_eq!(encoded(after(7391), "", false), "-TRYAGAIN deferred, come back in 740 ms\r\n");
    assert_eq!(encoded(ResponseStatus::Rejected(None), "", true), "-TRYAGAIN deferred\r\n");
    assert_eq!(encoded(ResponseStatus::Failed, "", false), "-ERR abandoned: it may have run\r\n");
    assert_eq!(encode_response(None, false), b"-ERR abandoned\r\n");
}

#[test]
fn a_servers_reply_is_passed_on_but_for_nulls_to_a_client_that_speaks_resp3() {
    for null in ["$-1\r\n", "*-1\r\n"] {
        assert_eq!(encoded(ResponseStatus::Served, null, false), null);
        assert_eq!(encoded(ResponseStatus::Served, null, true), "_\r\n");
    }
    assert_eq!(encoded(ResponseStatus::Served, "$1\r\na\r\n", true), "$1\r\na\r\n");
}
