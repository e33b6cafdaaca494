//! What the stand-ins are models of. Nothing in here has a socket, a clock or randomness of its own: time and luck are passed
//! in, so that what happens can be worked out, and tested, ahead of playing it.

pub mod cluster;
pub mod etcd;
pub mod server;
pub mod server_list;
pub mod speed;
pub mod store;
pub mod timeline;
