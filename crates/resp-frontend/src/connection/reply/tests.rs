//! Each outcome of a request has a fixed error text, which client libraries and operators match.

use super::*;

fn encode(status: ResponseStatus, body: &str, resp3: bool) -> String {
    let response = Response { body: body.into(), ..Response::empty(status) };
    String::from_utf8(encode_response(Some(response), resp3)).unwrap()
}

#[test]
fn outcomes_without_a_response_have_the_fixed_error_texts() {
    let rejected = |ticks| ResponseStatus::Rejected(Some(Span::from_ticks(ticks)));
    assert_eq!(encode(rejected(7391), "", false), "-TRYAGAIN deferred, come back in 740 ms\r\n");
    assert_eq!(encode(ResponseStatus::Rejected(None), "", true), "-TRYAGAIN deferred\r\n");
    assert_eq!(encode(ResponseStatus::Failed, "", false), "-ERR abandoned: it may have run\r\n");
    assert_eq!(encode_response(None, false), b"-ERR abandoned\r\n");
}

#[test]
fn a_servers_reply_is_passed_on_except_that_nulls_are_converted_for_resp3() {
    for null in ["$-1\r\n", "*-1\r\n"] {
        assert_eq!(encode(ResponseStatus::Served, null, false), null);
        assert_eq!(encode(ResponseStatus::Served, null, true), "_\r\n");
    }
    assert_eq!(encode(ResponseStatus::Served, "$1\r\na\r\n", true), "$1\r\na\r\n");
}
