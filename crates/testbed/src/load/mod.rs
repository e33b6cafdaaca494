//! Open-loop load: a random plan of request arrivals, and the clients that send the requests on
//! time, regardless of the state of earlier requests.

pub mod clients;
mod connection;
pub mod load_balancer;
pub mod plan;
mod tries;
