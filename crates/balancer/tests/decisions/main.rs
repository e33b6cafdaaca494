//! Short scenarios for one balancer. The tests compare the balancer's decisions with the expected
//! ones; there is one file for each kind of decision.

mod admission;
mod concurrency_limit;
mod connections;
mod discovery;
mod endpoints;
mod helper;
mod key_order;
mod key_share;
mod limits;
mod liveness;
mod load_shedding;
mod origin;
mod outlier;
mod retry;
mod ring;
mod slow_start;

use helper::Harness;

const FOUR_SERVERS: [&str; 4] = ["amber", "birch", "cedar", "delta"];

fn key_owners(harness: &mut Harness) -> Vec<String> {
    (0..200).map(|i| harness.owner(&format!("book/{i}"))).collect()
}

/// How many of the 200 keys birch owns.
fn birch_key_count(harness: &mut Harness) -> usize {
    key_owners(harness).iter().filter(|id| *id == "birch").count()
}

/// A key that the server with this id owns, found by sending requests.
fn key_owned_by(harness: &mut Harness, id: &str) -> String {
    (0..999).map(|i| format!("page/{i}")).find(|key| harness.owner(key) == id).unwrap()
}

/// Settings of a fleet with an origin to which the proxy itself sends cache misses and writes.
const CACHE_ASIDE: [(&str, &str); 1] = [("origin kind", "9")];
