//! Load: a plan of requests drawn ahead, and the clients that play it, whatever comes of the requests before.

pub mod clients;
mod connection;
pub mod front;
pub mod plan;
mod tries;
