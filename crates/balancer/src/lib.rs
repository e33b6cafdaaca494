//! Every decision of chalkwalk about a request: which server gets it, when it is tried again, and when it is given up.
//!
//! Pure: no I/O and no clock. A [`Balancer`] is called with what happens and when, and calls its [`Effects`] for what is to be
//! done. Start reading with `balancer.rs`; each module beside it makes one decision, and owns what that decision knows.

pub mod admission;
mod balancer;
mod concurrency_limit;
mod connections;
pub mod discovery;
mod effects;
mod fetches;
mod hash;
mod histogram;
mod key_order;
mod key_share;
mod liveness;
mod load_shedding;
mod outlier;
mod random;
mod recent_latency;
mod request;
mod request_class;
mod ring;
mod server;
mod settings;
mod slow_start;
mod snapshot;
mod types;
mod values;

pub use balancer::Balancer;
pub use effects::{Effects, StateChange};
pub use hash::key_point;
pub use snapshot::Snapshot;
pub use types::{AttemptOutcome, Endpoint, EndpointStatus, LearnedServer, RequestId, ServerIndex};
