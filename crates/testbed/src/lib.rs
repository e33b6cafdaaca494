//! The testbed: everything that a chalkwalk proxy talks to, played on loopback, with load, faults, and a judge.
//!
//! For: trying the program by hand, rehearsing fleets and failures, and tests of the whole. It may use sockets, processes and
//! files of its own folder. It never uses a crate of the proxy (but for etcd's public wire format): what it knows of a proxy is
//! the platform's protocol, so that a bug in the proxy's own reading of it cannot hide. Arrows point down: `model`,
//! `experiment`, `evidence` and `wire` know nobody above them; `stand_ins`, `load` and `fleet` play them; `oracle` judges what was
//! seen; `run` plays one experiment from its first start to its verdict, and `report` shows it.

pub mod baseline;
pub mod clock;
pub mod evidence;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod model;
pub mod notified;
pub mod oracle;
pub mod report;
pub mod resp;
pub mod run;
pub mod soak;
pub mod stand_ins;
mod sync;
pub mod wire;
