//! The end of a connection whose peer may still be sending.

use crate::stream::read_more;
use crate::wait::with_timeout;
use smol::Async;
use smol::future::yield_now;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long and how much a connection discards after its last reply.
#[derive(Clone, Copy, Debug)]
pub struct LingerLimits {
    /// The maximum time.
    pub timeout: Duration,
    /// The maximum number of bytes, which bounds the cost. The peer may read what it was sent until
    /// the timeout nevertheless.
    pub max_bytes: usize,
}

/// Ends the sending side, and discards what the peer still sends until it closes the connection. If
/// the socket were closed at once, unread data would cause a reset, and the peer could lose replies
/// that it has not read yet.
pub async fn close_after_peer(stream: &Async<TcpStream>, limits: LingerLimits) {
    _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard_input = async {
        let mut discarded_bytes = 0;
        let mut buffer = Vec::new();
        while let Ok(read_bytes @ 1..) = read_more(stream, &mut buffer).await {
            discarded_bytes += read_bytes;
            buffer.clear();
            if discarded_bytes > limits.max_bytes {
                std::future::pending::<()>().await;
            }
            yield_now().await;
        }
    };
    with_timeout(limits.timeout, discard_input).await;
}
