//! Many proxies that share nothing but one discovery service. The tests guard against call
//! patterns that are harmless for one proxy, but congest the service when all proxies follow them.

mod outage;
mod proxies;
mod start;
