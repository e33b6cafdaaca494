//! Response bodies, each made for one request, so that a body of another request or a damaged one
//! is detected.

use crate::evidence::RequestId;

/// Length of the checksum at the end, in hexadecimal digits.
const CHECKSUM_LENGTH: usize = 8;
const FILLER: u8 = b'v';

/// Makes a body of `length` bytes for one request: the request's id, its key, the server that sends
/// it, filler and a checksum.
pub fn body(id: RequestId, key: u64, server: usize, length: usize) -> Vec<u8> {
    let mut body = format!("{id:016x} {key} {server} ").into_bytes();
    body.resize(length.max(body.len() + CHECKSUM_LENGTH) - CHECKSUM_LENGTH, FILLER);
    let checksum = crc32fast::hash(&body);
    body.extend(format!("{checksum:08x}").into_bytes());
    body
}

/// Whether a body is complete and was made for that request.
pub fn body_matches(body: &[u8], id: RequestId) -> bool {
    let length = body.len().saturating_sub(CHECKSUM_LENGTH);
    let Some((content, checksum)) = body.split_at_checked(length) else { return false };
    content.starts_with(format!("{id:016x} ").as_bytes())
        && checksum == format!("{:08x}", crc32fast::hash(content)).as_bytes()
}
