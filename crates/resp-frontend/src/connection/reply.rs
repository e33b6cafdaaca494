//! Replies in the dialect: errors, and the engine's response to a request.

#[cfg(test)]
mod tests;

use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_resp::Writer;
use chalkwalk_time::{Span, TICKS_PER_MILLISECOND};

/// RESP2's nulls, as a bulk string and as an array.
const RESP2_NULLS: [&[u8]; 2] = [b"$-1\r\n", b"*-1\r\n"];
/// RESP3's one null.
const RESP3_NULL: &[u8] = b"_\r\n";

/// The bytes of an error reply.
pub fn error_reply(text: &str) -> Vec<u8> {
    let mut out = Writer::default();
    out.error(text);
    out.take_bytes()
}

/// The reply to a client for a response; none: the request was dropped.
pub fn encode_response(response: Option<Response>, resp3: bool) -> Vec<u8> {
    let Some(response) = response else { return error_reply("ERR abandoned") };
    match response.status {
        // Servers are spoken to in RESP2.
        ResponseStatus::Served if resp3 && RESP2_NULLS.contains(&response.body.as_slice()) => {
            RESP3_NULL.to_vec()
        }
        ResponseStatus::Served => response.body,
        ResponseStatus::Rejected(retry_after) => error_reply(&rejected_text(retry_after)),
        ResponseStatus::Failed => error_reply("ERR abandoned: it may have run"),
    }
}

/// The error of a request that was rejected. Drivers retry by themselves for its code.
fn rejected_text(retry_after: Option<Span>) -> String {
    match retry_after {
        Some(span) => {
            let milliseconds = span.ticks().div_ceil(TICKS_PER_MILLISECOND);
            format!("TRYAGAIN deferred, come back in {milliseconds} ms")
        }
        None => "TRYAGAIN deferred".into(),
    }
}
