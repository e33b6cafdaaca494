//! chalkwalk's decision module and the plain types it is called with.

pub mod admission;
mod asked;
pub mod discovery;
mod plain;
mod policy;
mod state;

pub use plain::{AttemptOutcome, Cache, Carrier, Entry, Learned, RequestId, Standing, Tenths, point_of};
pub use policy::Router;
pub use state::State;
