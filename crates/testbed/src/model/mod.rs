//! What the stand-ins are models of. Nothing in here has a socket, a clock or chance of its own: time and luck are
//! passed in, so that a course of events can be worked out, and tested, ahead of playing it.

pub mod cache;
pub mod cluster;
pub mod course;
pub mod etcd;
pub mod listing;
pub mod pace;
pub mod store;
