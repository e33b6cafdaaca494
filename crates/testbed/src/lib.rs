//! The testbed: simulates on loopback everything that a chalkwalk proxy talks to, generates load,
//! injects faults, and checks the behavior of the proxies against a set of rules.
//!
//! It serves for trying the proxy by hand, for rehearsing fleet operations and failures, and for
//! end-to-end tests. The platform is the environment that runs the proxies in production: it
//! configures them and provides their endpoint list. The testbed may use sockets, processes and
//! files of its own directory. It depends on no crate of the proxy, except for etcd's public wire
//! format: it knows a proxy only by the platform's protocol, so that a bug in the proxy's own
//! implementation of that protocol cannot hide.
//!
//! The modules form layers: `model`, `experiment`, `evidence` and `wire` use none of the modules
//! named below; `simulated_services`, `load` and `fleet` build on these; `oracle` checks the
//! recorded events against the rules, and `measure` computes the figures of a run; `run` runs one
//! experiment from start-up to the verdict, and `report` renders the result. The one exception is
//! that `load` uses the histogram of `measure`.

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
pub mod simulated_services;
pub mod soak;
mod sync;
pub mod wire;
