//! The form of a capture, version 2 (1 had no sizes of servers): a mark, then items, each with its length and checksum.

use chalkwalk_balancer::{AttemptOutcome, Endpoint, EndpointStatus, ServerIndex};
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const FILE_MARK: &[u8] = b"chalkwalk capture 2\n";
const HEAD: usize = 8;
/// Longer items are no capture's: a block is some kilobytes, a list of ten thousand servers a megabyte.
const LONGEST: usize = 16 << 20;

/// One line of the list as the balancer was told it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedEndpoint {
    pub server: ServerIndex,
    pub id: String,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub size: u64,
    pub status: u8,
    pub born: Timestamp,
}

/// What the balancer was told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    Start {
        seed: u64,
        settings: BTreeMap<String, String>,
    },
    /// Taken and routed. The key by its point; its text where the operator keeps it.
    RequestAccepted {
        class: usize,
        point: u64,
        key: String,
        write: bool,
        expires: Timestamp,
        order: Option<Vec<ServerIndex>>,
    },
    AttemptEnded {
        request_id: u64,
        attempt: usize,
        outcome: u8,
        took: Span,
        finished: bool,
        order: Option<Vec<ServerIndex>>,
    },
    TimerFired(u64),
    HealthCheckFinished {
        server: ServerIndex,
        answered: bool,
    },
    EndpointsListed {
        whole: bool,
        endpoints: Vec<RecordedEndpoint>,
    },
    /// A call to discovery failed, in captures of versions that did not tell how long it took.
    DiscoveryLost,
    ClientLeft(u64),
    SettingsChanged(BTreeMap<String, String>),
    LimitsRenewed {
        request_id: u64,
        class: usize,
        expires: Timestamp,
    },
    ProxyCount(u64),
    /// All that the balancer knows, and its house: a replay may begin here.
    Snapshot {
        settings: BTreeMap<String, String>,
        words: Vec<u64>,
        texts: Vec<String>,
    },
    /// Operators took a server out or put it back.
    ServerDisabled {
        id: String,
        out: bool,
        at: Timestamp,
    },
    /// An attempt's answer has begun, and is the client's.
    ResponseStarted {
        request_id: u64,
        attempt: usize,
    },
    /// A call to discovery failed after so long.
    DiscoveryCallFailed {
        took: Span,
    },
}

/// What the balancer wanted done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Decision {
    StartAttempt {
        request_id: u64,
        server: ServerIndex,
        until: Timestamp,
        by: Timestamp,
    },
    CancelAttempt {
        request_id: u64,
        attempt: usize,
    },
    Reject {
        request_id: u64,
        back_in: Span,
    },
    Fail(u64),
    CheckHealth(ServerIndex),
    SetTimer {
        token: u64,
        after: Span,
    },
    WatchEndpoints,
    Log {
        event: String,
        server: String,
    },
    /// In captures of versions before the move: connections are not given back since.
    ReleaseConnection(ServerIndex),
}

impl Event {
    /// The request that it is about.
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Event::AttemptEnded { request_id, .. }
            | Event::ResponseStarted { request_id, .. }
            | Event::ClientLeft(request_id)
            | Event::LimitsRenewed { request_id, .. } => Some(*request_id),
            _ => None,
        }
    }
}

impl Decision {
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Decision::StartAttempt { request_id, .. }
            | Decision::CancelAttempt { request_id, .. }
            | Decision::Reject { request_id, .. }
            | Decision::Fail(request_id) => Some(*request_id),
            _ => None,
        }
    }
}

/// One call, so long after the one before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedCall {
    pub after: Span,
    pub event: Event,
    pub decisions: Vec<Decision>,
}

/// Calls from a moment on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallBlock {
    pub from: Timestamp,
    pub calls: Vec<RecordedCall>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CaptureItem {
    Calls(CallBlock),
    /// So many calls are missing here, as nobody took them: the disk was slow, or full.
    Gap(u64),
}

/// An item with its length and checksum.
pub fn encode_item(item: &CaptureItem) -> Vec<u8> {
    let body = postcard::to_stdvec(item).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// What a capture holds, up to its last whole item.
#[derive(Debug, Default)]
pub struct CaptureContents {
    pub items: Vec<CaptureItem>,
    /// What is wrong with the rest, and where it begins.
    pub damage: Option<(usize, &'static str)>,
}

/// Reads one segment. Only a text that is no capture at all is an error; one that is cut short, or spoilt somewhere, is read up
/// to there.
pub fn read(bytes: &[u8]) -> Result<CaptureContents, &'static str> {
    let mut read = CaptureContents::default();
    let Some(mut rest) = bytes.strip_prefix(FILE_MARK) else {
        let cut = FILE_MARK.starts_with(bytes);
        return if cut {
            Ok(CaptureContents { damage: Some((0, "cut short")), ..read })
        } else {
            Err("no capture of a form that is known")
        };
    };
    while !rest.is_empty() {
        match item(rest) {
            Ok((item, len)) => {
                read.items.push(item);
                rest = &rest[len..];
            }
            Err(damage) => {
                read.damage = Some((bytes.len() - rest.len(), damage));
                break;
            }
        }
    }
    Ok(read)
}

fn item(bytes: &[u8]) -> Result<(CaptureItem, usize), &'static str> {
    let (head, rest) = bytes.split_at_checked(HEAD).ok_or("cut short")?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let len = word(0) as usize;
    if len > LONGEST {
        return Err("an item longer than any");
    }
    let body = rest.get(..len).ok_or("cut short")?;
    if crc32fast::hash(body) != word(4) {
        return Err("a checksum that is another");
    }
    let item = postcard::from_bytes(body).map_err(|_| "an item that makes no sense")?;
    Ok((item, HEAD + len))
}

const OUTCOMES: [AttemptOutcome; 12] = [
    AttemptOutcome::Completed,
    AttemptOutcome::CompletedFromCache,
    AttemptOutcome::CompletedByFetch,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::InvalidRequest,
    AttemptOutcome::ServerError,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// Endings by the numbers that captures have them by, which never change.
pub fn outcome_number(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().position(|e| *e == outcome).unwrap_or(0) as u8
}

pub fn outcome(number: u8) -> Option<AttemptOutcome> {
    OUTCOMES.get(usize::from(number)).copied()
}

const STATUSES: [EndpointStatus; 3] = [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone];

impl RecordedEndpoint {
    pub fn of(e: &Endpoint) -> RecordedEndpoint {
        let status = STATUSES.iter().position(|s| *s == e.status).unwrap_or(0) as u8;
        RecordedEndpoint {
            server: e.server,
            id: e.id.into(),
            zone: e.zone,
            kind: e.kind,
            cell: e.cell,
            size: e.size,
            status,
            born: e.born,
        }
    }

    /// As the balancer takes it; nothing for a standing that is none.
    pub fn entry(&self) -> Option<Endpoint<'_>> {
        let status = *STATUSES.get(usize::from(self.status))?;
        let RecordedEndpoint { server, zone, kind, cell, size, born, .. } = *self;
        Some(Endpoint { server, id: &self.id, zone, kind, cell, size, status, born })
    }
}
