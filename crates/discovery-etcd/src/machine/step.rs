//! The steps that the machine requests, and the updates that it reports.

use super::keys::Key;
use chalkwalk_time::Span;

/// The next connection to open.
#[derive(Debug, PartialEq)]
pub struct ConnectAttempt {
    /// The endpoint's index in the list of endpoints.
    pub endpoint_index: usize,
    /// How long to wait before connecting.
    pub delay: Span,
}

/// What to do next on a connection.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Read a page of the whole list.
    ReadPage {
        /// The first key of the page.
        start_key: Vec<u8>,
        /// The revision to read at; 0 reads at the current one.
        revision: i64,
    },
    /// Open a watch.
    OpenWatch {
        /// The first revision that it reports.
        start_revision: i64,
    },
    /// Wait for a response on the open watch.
    AwaitResponse,
}

/// A key and its value.
#[derive(Debug, PartialEq)]
pub struct KeyValuePair {
    /// The owner of the key.
    pub key: Key,
    /// The value as stored in etcd, not parsed yet.
    pub value: Vec<u8>,
}

/// A change of a key.
#[derive(Debug, PartialEq)]
pub struct KeyChange {
    /// The revision that the change created.
    pub revision: u64,
    /// The owner of the key.
    pub key: Key,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// The whole list.
#[derive(Debug, PartialEq)]
pub struct ListSnapshot {
    /// The revision that the list was read at.
    pub revision: u64,
    /// Whether the list comes from another cluster than the previous list.
    pub cluster_changed: bool,
    /// All keys that belong to an endpoint or a proxy, in key order.
    pub pairs: Vec<KeyValuePair>,
}

/// What a response reports.
#[derive(Debug, PartialEq)]
pub enum Update {
    /// Nothing new, or not all of it yet.
    Nothing,
    /// The whole list.
    List(ListSnapshot),
    /// Changes, in order.
    Changes(Vec<KeyChange>),
    /// Nothing changed up to this revision.
    Progress {
        /// The revision.
        revision: u64,
    },
}

/// What a response leads to.
#[derive(Debug, PartialEq)]
pub struct Transition {
    /// What the response reports.
    pub update: Update,
    /// The next step.
    pub next: Step,
}

impl Transition {
    /// A transition to `next` for a response that reports nothing new.
    pub(super) fn without_update(next: Step) -> Transition {
        Transition { update: Update::Nothing, next }
    }
}
