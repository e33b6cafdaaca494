//! The models behind the stand-ins: no sockets, and time and luck are passed in.

mod cluster;
mod etcd;
mod server;
mod server_list;
mod speed;
mod store;
mod timeline;
