//! Many proxies that share nothing but one discovery service. The tests guard against calls that
//! are harmless from one proxy and harmful when all proxies make them.

mod outage;
mod proxies;
mod start;
