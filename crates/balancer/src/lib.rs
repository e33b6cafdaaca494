//! All decisions of chalkwalk about a request: which server gets it, when it is retried, and when
//! it is given up.
//!
//! The crate does no I/O and reads no clock. The caller reports to a [`Balancer`] what happens and
//! when, and the balancer calls its [`Effects`] for every action to take. Start reading with
//! `balancer.rs`. Most other modules each make one decision and own the state of that decision;
//! the comment at the head of a module says so if it makes none.

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
