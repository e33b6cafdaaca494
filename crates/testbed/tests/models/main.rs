//! Tests of the models behind the simulated services. They use no sockets, and pass in times and
//! random numbers.

mod cluster;
mod etcd;
mod server;
mod server_list;
mod speed;
mod store;
mod timeline;
