//! chalkwalk's balancer and the plain types it is called with.

pub mod admission;
mod asked;
pub mod discovery;
mod plain;
mod policy;
mod state;

pub use plain::{
    AttemptOutcome, Effects, Endpoint, EndpointStatus, Learned, RequestId, ServerIndex, Tenths, point_of,
};
pub use policy::Balancer;
pub use state::Snapshot;
