//! chalkwalk's decision module and the plain types it is called with.

pub mod admission;
mod asked;
pub mod discovery;
mod plain;
mod policy;
mod state;

pub use plain::{
    AttemptOutcome, Carrier, Endpoint, EndpointStatus, Learned, RequestId, ServerIndex, Tenths, point_of,
};
pub use policy::Router;
pub use state::State;
