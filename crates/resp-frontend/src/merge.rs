//! Merges the replies to a command that was split by slot into one reply. No I/O.

#[cfg(test)]
mod tests;

use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_resp::{Frame, FrameKind, ReadLimits, Reader, Writer, parse_integer};
use chalkwalk_time::Span;

/// How the replies to the parts of a command are merged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MergeRule {
    /// The parts reply with values; the values are put into the order of the keys.
    Values,
    /// The parts reply with integers, which are added up.
    Sum,
    /// The parts reply with `OK`, and so the merged reply is `OK`.
    AllOk,
}

/// The response to one part of a split command.
pub struct PartResponse {
    /// The response; `None` if the engine dropped the request.
    pub response: Option<Response>,
    /// The indices of the part's keys among all keys of the command.
    pub key_indices: Vec<usize>,
}

impl PartResponse {
    fn status(&self) -> ResponseStatus {
        self.response.as_ref().map_or(ResponseStatus::Failed, |response| response.status)
    }
}

/// Merges the replies. If a part was not served, returns the status of the whole command instead.
pub fn merge_responses(
    parts: Vec<PartResponse>,
    rule: MergeRule,
    write: bool,
    resp3: bool,
) -> Result<Vec<u8>, ResponseStatus> {
    merged_status(&parts, write)?;
    let mut replies = Vec::with_capacity(parts.len());
    for part in parts {
        let reply = PartReply::parse(part).ok_or(ResponseStatus::Failed)?;
        if reply.is_error() {
            // The first error is the reply to the whole command.
            return Ok(reply.body);
        }
        replies.push(reply);
    }
    let mut out = Writer::new(resp3);
    match rule {
        MergeRule::Values => write_values(&replies, &mut out),
        MergeRule::Sum => out.integer(replies.iter().map(PartReply::integer).sum()),
        MergeRule::AllOk => out.simple_string("OK"),
    }
    Ok(out.take_bytes())
}

/// Returns the status of the whole command as an error if a part was not served. A write of which a
/// part has run, or may have run, fails instead of being rejected: a client retries a rejected
/// command, which would run that part again.
fn merged_status(parts: &[PartResponse], write: bool) -> Result<(), ResponseStatus> {
    let any_served = parts.iter().any(|part| part.status() == ResponseStatus::Served);
    let mut retry_after: Option<Span> = None;
    let mut rejected = false;
    for part in parts {
        match part.status() {
            ResponseStatus::Served => {}
            ResponseStatus::Rejected(after) => {
                rejected = true;
                retry_after = retry_after.max(after);
            }
            ResponseStatus::Failed => return Err(ResponseStatus::Failed),
        }
    }
    match (rejected, write && any_served) {
        (false, _) => Ok(()),
        (true, true) => Err(ResponseStatus::Failed),
        (true, false) => Err(ResponseStatus::Rejected(retry_after)),
    }
}

/// A server's reply to one part.
struct PartReply {
    body: Vec<u8>,
    frames: Vec<Frame>,
    key_indices: Vec<usize>,
}

impl PartReply {
    fn parse(part: PartResponse) -> Option<PartReply> {
        let body = part.response.map_or(Vec::new(), |response| response.body);
        let (frames, _) = Reader::new(ReadLimits::default()).next_message(&body).ok()??;
        Some(PartReply { body, frames, key_indices: part.key_indices })
    }

    fn is_error(&self) -> bool {
        matches!(self.frames[0].kind, FrameKind::SimpleError | FrameKind::BulkError)
    }

    fn integer(&self) -> i64 {
        parse_integer(&self.body[self.frames[0].range.clone()]).unwrap_or(0)
    }
}

fn write_values(replies: &[PartReply], out: &mut Writer) {
    let total: usize = replies.iter().map(|reply| reply.key_indices.len()).sum();
    let mut values: Vec<Option<&[u8]>> = vec![None; total];
    for reply in replies {
        for (frame, index) in reply.frames[1..].iter().zip(&reply.key_indices) {
            if frame.kind != FrameKind::Null {
                values[*index] = Some(&reply.body[frame.range.clone()]);
            }
        }
    }
    out.array_header(total);
    for value in values {
        match value {
            Some(value) => out.bulk_string(value),
            None => out.null(),
        }
    }
}
