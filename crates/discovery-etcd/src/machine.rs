//! What to request from etcd next and what its responses mean, without I/O: one state machine from
//! the first connection on.
//!
//! It must be notified of each connection that opens or fails, each response, and each list that
//! was accepted or rejected. The rule it guards: what is known never goes back without a whole
//! list, and proxies that lose etcd together come back spread out, each within the time in which a
//! change must be known.

mod keys;
mod reconnect;
mod state;
mod step;

pub use keys::{Key, KeyRange};
pub use state::{Machine, PAGE_KEYS, ProtocolError};
pub use step::{ConnectAttempt, KeyChange, KeyValuePair, ListSnapshot, Step, Transition, Update};
