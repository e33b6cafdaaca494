//! Ids that several processes of one proxy share while they accept on one listener.

use chalkwalk_engine::response::BoxFuture;

/// A claimed id among those that the processes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedClaim(pub usize);

/// Why an id is not claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// A request of another process has it.
    InUse,
    /// The other processes' ids could not be read in time.
    Unavailable,
}

/// The ids of the requests of all processes of a proxy.
pub trait SharedIds {
    /// Claims an id for a request of this process.
    fn claim(&self, id: u64) -> BoxFuture<'_, Result<SharedClaim, ClaimError>>;

    /// Releases the id of a request that has not run.
    fn release(&self, claim: SharedClaim);
}
