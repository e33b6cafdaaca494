//! chalkwalk's balancer and the plain types it is called with.

pub mod admission;
mod asked;
mod balancer;
pub mod discovery;
mod plain;
mod state;

pub use balancer::Balancer;
pub use plain::{
    AttemptOutcome, Effects, Endpoint, EndpointStatus, Learned, RequestId, ServerIndex, StateChange, point_of,
};
pub use state::Snapshot;
