//! chalkwalk's balancer and the plain types it is called with.

pub mod admission;
mod asked;
mod balancer;
pub mod discovery;
mod plain;
mod state;

pub use balancer::Balancer;
pub use plain::{
    AttemptOutcome, Effects, Endpoint, EndpointStatus, LearnedServer, RequestId, ServerIndex, StateChange,
    key_point,
};
pub use state::Snapshot;
