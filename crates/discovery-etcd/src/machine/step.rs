//! The machine's steps, and what becomes known by them.

use super::keys::Key;
use chalkwalk_time::Span;

/// The next connection to open.
#[derive(Debug, PartialEq)]
pub struct ConnectAttempt {
    /// Its place in the list of endpoints.
    pub endpoint: usize,
    /// How long to wait before.
    pub delay: Span,
}

/// What to do next on a connection.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Read a page of the whole list.
    ReadPage {
        /// The first key of the page.
        from: Vec<u8>,
        /// As of which revision; 0 is the present one.
        revision: i64,
    },
    /// Open a watch.
    OpenWatch {
        /// The first revision that it reports.
        from: i64,
    },
    /// Wait for a response on the open watch.
    AwaitResponse,
}

/// A key and its value.
#[derive(Debug, PartialEq)]
pub struct KeyValuePair {
    /// Whose key it is.
    pub key: Key,
    /// As it is written.
    pub value: Vec<u8>,
}

/// A change of a key.
#[derive(Debug, PartialEq)]
pub struct KeyChange {
    /// The revision that it made.
    pub revision: u64,
    /// Whose key it is.
    pub key: Key,
    /// None where the key is gone.
    pub value: Option<Vec<u8>>,
}

/// The whole list.
#[derive(Debug, PartialEq)]
pub struct ListSnapshot {
    /// As of which revision it is.
    pub revision: u64,
    /// It is of another cluster than what came before.
    pub cluster_changed: bool,
    /// All keys, in order.
    pub pairs: Vec<KeyValuePair>,
}

/// What became known by a response.
#[derive(Debug, PartialEq)]
pub enum Update {
    /// Nothing yet.
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
    /// What became known.
    pub update: Update,
    /// What to do next.
    pub next: Step,
}

impl Transition {
    /// Nothing became known.
    pub(super) fn to(next: Step) -> Transition {
        Transition { update: Update::Nothing, next }
    }
}
