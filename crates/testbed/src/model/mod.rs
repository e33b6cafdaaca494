//! Models of the systems that the simulated services imitate. The models have no sockets, no clock
//! and no source of randomness: times and random numbers are passed in, so that a run's course can
//! be computed, and tested, in advance.

pub mod cluster;
pub mod etcd;
pub mod server;
pub mod server_list;
pub mod speed;
pub mod store;
pub mod timeline;
