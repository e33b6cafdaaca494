//! One call of `CLUSTER NODES`.

use chalkwalk_resp::{FrameKind, ProtocolError, ReadLimits, Reader, Writer};
use chalkwalk_slot_map::{ClusterView, OutdatedView, ViewError};
use chalkwalk_sockets::{read_more, write_all};
use smol::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};
use thiserror::Error;

/// The longest reply: a thousand nodes take some 200 bytes each, and their slots as many again.
const MAX_REPLY: usize = 1 << 20;

/// Why a poll brought no new view.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The node took too long.
    #[error("no answer in time")]
    TimedOut,
    /// The node could not be reached.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The node closed the connection before it replied.
    #[error("it closed")]
    Closed,
    /// The reply is no RESP.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The reply is of another type, such as an error.
    #[error("it answered {0}")]
    Unexpected(String),
    /// The reply is no report of a cluster.
    #[error(transparent)]
    View(#[from] ViewError),
    /// The view is older than the one before.
    #[error(transparent)]
    Outdated(#[from] OutdatedView),
}

/// Fetches a node's view of the cluster, on a connection of its own.
pub async fn fetch_view(node: SocketAddr) -> Result<ClusterView, FetchError> {
    let stream = Async::<TcpStream>::connect(node).await.map_err(FetchError::Connect)?;
    let mut out = Writer::default();
    out.command(&[b"CLUSTER", b"NODES"]);
    write_all(&stream, &[out.as_bytes()]).await?;
    let mut reader = Reader::new(ReadLimits { max_bulk_bytes: MAX_REPLY, ..ReadLimits::default() });
    let mut buf = Vec::new();
    let frames = loop {
        if let Some((frames, _)) = reader.next_message(&buf)? {
            break frames;
        }
        if read_more(&stream, &mut buf).await? == 0 {
            return Err(FetchError::Closed);
        }
    };
    let text = String::from_utf8_lossy(&buf[frames[0].range.clone()]);
    match frames[0].kind {
        FrameKind::BulkString | FrameKind::VerbatimString => Ok(ClusterView::parse(&text, node)?),
        _ => Err(FetchError::Unexpected(text.to_string())),
    }
}
