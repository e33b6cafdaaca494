//! Load: a plan of lookups drawn ahead, and the clients that play it, whatever comes of the lookups before.

pub mod clients;
pub mod front;
pub mod plan;
