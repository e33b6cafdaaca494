//! Encodes replies to clients: errors, and the engine's responses to requests.

#[cfg(test)]
mod tests;

use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_resp::Writer;
use chalkwalk_time::{Span, TICKS_PER_MILLISECOND};

/// The two nulls of RESP2: a null bulk string and a null array.
const RESP2_NULLS: [&[u8]; 2] = [b"$-1\r\n", b"*-1\r\n"];
/// The only null of RESP3.
const RESP3_NULL: &[u8] = b"_\r\n";

/// Encodes an error reply.
pub fn error_reply(text: &str) -> Vec<u8> {
    let mut out = Writer::default();
    out.error(text);
    out.take_bytes()
}

/// Encodes the reply to a client. `response` is `None` if the engine dropped the request.
pub fn encode_response(response: Option<Response>, resp3: bool) -> Vec<u8> {
    let Some(response) = response else { return error_reply("ERR abandoned") };
    match response.status {
        // Servers reply in RESP2, so their nulls are converted.
        ResponseStatus::Served if resp3 && RESP2_NULLS.contains(&response.body.as_slice()) => {
            RESP3_NULL.to_vec()
        }
        ResponseStatus::Served => response.body,
        ResponseStatus::Rejected(retry_after) => error_reply(&rejected_text(retry_after)),
        ResponseStatus::Failed => error_reply("ERR abandoned: it may have run"),
    }
}

/// The error for a rejected request. Client libraries retry a command on the code `TRYAGAIN` by
/// themselves.
fn rejected_text(retry_after: Option<Span>) -> String {
    match retry_after {
        Some(span) => {
            let milliseconds = span.ticks().div_ceil(TICKS_PER_MILLISECOND);
            format!("TRYAGAIN deferred, come back in {milliseconds} ms")
        }
        None => "TRYAGAIN deferred".into(),
    }
}
