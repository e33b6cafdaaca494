//! The correlation ids of requests: those that are open, and those of requests that ended a moment
//! ago and may have run.
//!
//! An id belongs to one request. One that comes again while its request is open, or after a request
//! that must not run twice may have run, is not accepted: its client may have left before the answer.

use crate::shared_ids::{ClaimError, SharedClaim, SharedIds};
use sha2::{Digest, Sha256};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the id of a request that may have run is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of remembered ids. Beyond it the oldest ones are forgotten.
const MAX_REMEMBERED: usize = 16_384;

/// A hash of an id, of a fixed size however long the id is.
type IdHash = u64;

/// The ids of the requests of one process.
#[derive(Clone, Default)]
pub(crate) struct RequestIds {
    table: Rc<RefCell<IdTable>>,
    /// The ids of all processes of the proxy, if they share them.
    shared: Rc<OnceCell<Rc<dyn SharedIds>>>,
}

#[derive(Default)]
struct IdTable {
    open: HashSet<IdHash>,
    used: HashSet<IdHash>,
    /// The ids in `used`, and when they were added, the oldest first.
    used_in_order: VecDeque<(Instant, IdHash)>,
}

/// The id of an open request. On drop it is released, or remembered if the request may have run.
pub(crate) struct OpenId {
    ids: RequestIds,
    id: IdHash,
    /// Whether the request may simply run again.
    is_replayable: bool,
    sent: Cell<bool>,
    refused: Cell<bool>,
    shared_claim: Cell<Option<SharedClaim>>,
}

impl RequestIds {
    /// Shares the ids with the other processes of the proxy.
    pub fn share(&self, shared: Rc<dyn SharedIds>) {
        _ = self.shared.set(shared);
    }

    /// Claims the id of a request, or returns `None` if it belongs to another one.
    pub fn claim(&self, id: &[u8], is_replayable: bool) -> Option<OpenId> {
        let id = hash(id);
        let mut table = self.table.borrow_mut();
        table.forget_old(Instant::now());
        if table.used.contains(&id) || !table.open.insert(id) {
            return None;
        }
        let ids = self.clone();
        Some(OpenId {
            ids,
            id,
            is_replayable,
            sent: Cell::new(false),
            refused: Cell::new(false),
            shared_claim: Cell::default(),
        })
    }
}

impl OpenId {
    /// Claims the id among all processes of the proxy.
    pub async fn claim_shared(&self) -> Result<(), ClaimError> {
        if let Some(shared) = self.ids.shared.get().filter(|_| !self.is_replayable) {
            self.shared_claim.set(Some(shared.claim(self.id).await?));
        }
        Ok(())
    }

    /// Records that the request was written to a server and may run there.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }

    /// Records that the client is told that the request has not run.
    pub fn mark_refused(&self) {
        self.refused.set(true);
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        let mut table = self.ids.table.borrow_mut();
        table.open.remove(&self.id);
        if self.sent.get() && !self.refused.get() && !self.is_replayable {
            table.remember(self.id, Instant::now());
        } else if let (Some(shared), Some(claim)) = (self.ids.shared.get(), self.shared_claim.get()) {
            shared.release(claim);
        }
    }
}

impl IdTable {
    fn remember(&mut self, id: IdHash, now: Instant) {
        if self.used.insert(id) {
            self.used_in_order.push_back((now, id));
        }
        if self.used_in_order.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while self.used_in_order.front().is_some_and(|(added_at, _)| now >= *added_at + RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.used_in_order.pop_front() {
            self.used.remove(&id);
        }
    }
}

fn hash(id: &[u8]) -> IdHash {
    let digest = Sha256::digest(id);
    digest.iter().take(size_of::<IdHash>()).fold(0, |hash, byte| (hash << 8) | IdHash::from(*byte))
}

#[cfg(test)]
mod tests;
