//! Many proxies that share nothing but one discovery service: what is harmless in one, and harmful when all do it.

mod outage;
mod proxies;
mod start;
