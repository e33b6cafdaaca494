//! A server's reply to one command.

use chalkwalk_resp::{Frame, FrameKind, ReadLimits, Reader};
use chalkwalk_sockets::read_more;
use smol::Async;
use std::net::TcpStream;

/// A whole reply.
pub struct ServerReply {
    frames: Vec<Frame>,
    /// The reply as it came.
    pub bytes: Vec<u8>,
    /// Whether the connection may carry another command: nothing follows the reply, of which it
    /// would not be known what it belongs to.
    pub reusable: bool,
}

/// A reply in a buffer.
struct WholeMessage {
    frames: Vec<Frame>,
    len: usize,
}

impl ServerReply {
    /// Reads a reply; none if the connection breaks, or its bytes are no RESP. `skip_first`: the
    /// command followed another, the reply to which comes first and is not looked at.
    pub async fn read(stream: &Async<TcpStream>, skip_first: bool) -> Option<ServerReply> {
        let mut bytes = Vec::new();
        if skip_first {
            let first = read_message(stream, &mut bytes).await?;
            bytes.drain(..first.len);
        }
        let message = read_message(stream, &mut bytes).await?;
        let reusable = bytes.len() == message.len;
        Some(ServerReply { frames: message.frames, bytes, reusable })
    }

    /// The type of the reply, or of the aggregate that it is.
    pub fn kind(&self) -> FrameKind {
        self.frames[0].kind
    }

    /// The text of the reply if it is an error.
    pub fn error_text(&self) -> Option<String> {
        match &self.frames[..] {
            [Frame { kind: FrameKind::SimpleError, range, .. }] => {
                Some(String::from_utf8_lossy(&self.bytes[range.clone()]).to_string())
            }
            _ => None,
        }
    }
}

/// Reads until the message at the start of the buffer is whole.
async fn read_message(stream: &Async<TcpStream>, buf: &mut Vec<u8>) -> Option<WholeMessage> {
    let mut reader = Reader::new(ReadLimits::default());
    loop {
        if let Some((frames, len)) = reader.next_message(buf).ok()? {
            return Some(WholeMessage { frames, len });
        }
        if read_more(stream, buf).await.ok()? == 0 {
            return None;
        }
    }
}
