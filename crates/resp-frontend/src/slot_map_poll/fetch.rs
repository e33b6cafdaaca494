//! Fetches one reply to `CLUSTER NODES`.

use chalkwalk_resp::{FrameKind, ProtocolError, ReadLimits, Reader, Writer};
use chalkwalk_slot_map::{ClusterView, OutdatedView, ViewError};
use chalkwalk_sockets::{read_more, write_all};
use smol::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};
use thiserror::Error;

/// Maximum length of the reply. In a cluster of a thousand nodes, the line of a node takes about
/// 200 bytes, and its slots take as much again.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Why a poll returned no new view.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The node did not reply within the time limit.
    #[error("timed out waiting for the reply to CLUSTER NODES")]
    TimedOut,
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The command could not be written, or the reply could not be read.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The node closed the connection before the reply was complete.
    #[error("the node closed the connection before the reply was complete")]
    Closed,
    /// The reply is not valid RESP.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The reply is not a string, but for example an error.
    #[error("unexpected reply to CLUSTER NODES: {0}")]
    Unexpected(String),
    /// The reply does not describe a cluster.
    #[error(transparent)]
    View(#[from] ViewError),
    /// The view is older than one that was applied before.
    #[error(transparent)]
    Outdated(#[from] OutdatedView),
}

/// Fetches a node's view of the cluster over a new connection.
pub async fn fetch_view(node: SocketAddr) -> Result<ClusterView, FetchError> {
    let stream = Async::<TcpStream>::connect(node).await.map_err(FetchError::Connect)?;
    let mut out = Writer::default();
    out.command(&[b"CLUSTER", b"NODES"]);
    write_all(&stream, &[out.as_bytes()]).await?;
    let mut reader = Reader::new(ReadLimits { max_bulk_bytes: MAX_REPLY_BYTES, ..ReadLimits::default() });
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
