//! A state machine that decides what to request from etcd next and what the responses mean. It does
//! no I/O, and one instance serves all connections of a source.
//!
//! The caller must notify it of each connection that opens or fails, of each response, and of each
//! list that was accepted or rejected. It guarantees two things. The known revision never decreases
//! unless the whole list is read again. Proxies that lose etcd at the same time reconnect at
//! different times, yet each early enough to learn of a change within the time limit that all
//! sources of the endpoint list have (see `chalkwalk_balancer::discovery`).

mod keys;
mod reconnect;
mod state;
mod step;

pub use keys::{Key, KeyRange};
pub use state::{Machine, PAGE_KEYS, ProtocolError};
pub use step::{ConnectAttempt, KeyChange, KeyValuePair, ListSnapshot, Step, Transition, Update};
