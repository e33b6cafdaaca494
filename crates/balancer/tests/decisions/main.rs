//! Short days of one balancer, each written down as the decisions it made; a file for each decision.

mod admission;
mod concurrency_limit;
mod connections;
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

const FOUR: [&str; 4] = ["amber", "birch", "cedar", "delta"];

fn owners(harness: &mut Harness) -> Vec<String> {
    (0..200).map(|i| harness.owner(&format!("book/{i}"))).collect()
}

/// How many of the 200 keys go to birch.
fn of_birch(harness: &mut Harness) -> usize {
    owners(harness).iter().filter(|id| *id == "birch").count()
}

/// A key for each server of `FOUR`, found by sending requests.
fn key_of(harness: &mut Harness, id: &str) -> String {
    (0..999).map(|i| format!("page/{i}")).find(|key| harness.owner(key) == id).unwrap()
}

const ASIDE: [(&str, &str); 1] = [("origin kind", "9")];
