//! The load balancer in front of the proxies: assigns connections in rotation (round robin), and
//! detects with a delay that a proxy is down.

use crate::clock::{Clock, Micros};
use crate::sync::lock;
use std::ops::Range;
use std::sync::Mutex;

/// The load balancer in front of the proxies.
pub struct LoadBalancer {
    clock: Clock,
    rotation: Mutex<Rotation>,
}

struct Rotation {
    last: usize,
    /// For each proxy, the time range in which it gets connections.
    serving: Vec<Option<Range<Micros>>>,
}

impl LoadBalancer {
    /// Creates the load balancer for a number of proxies, all of them down.
    pub fn new(proxies: usize, clock: Clock) -> LoadBalancer {
        LoadBalancer { clock, rotation: Mutex::new(Rotation { last: 0, serving: vec![None; proxies] }) }
    }

    /// Marks a proxy as up.
    pub fn mark_up(&self, proxy: usize) {
        lock(&self.rotation).serving[proxy] = Some(self.clock.now()..Micros::MAX);
    }

    /// Marks a proxy as dead or draining; it still gets connections until the detection delay has
    /// passed.
    pub fn mark_down(&self, proxy: usize, delay: Micros) {
        let detected_at = self.clock.now() + delay;
        if let Some(serving) = &mut lock(&self.rotation).serving[proxy] {
            serving.end = detected_at.min(serving.end);
        }
    }

    /// The next proxy in rotation that is not detected to be down.
    pub fn next_proxy(&self) -> Option<usize> {
        let now = self.clock.now();
        let mut rotation = lock(&self.rotation);
        let count = rotation.serving.len();
        for _ in 0..count {
            rotation.last = (rotation.last + 1) % count;
            if rotation.serving[rotation.last].as_ref().is_some_and(|serving| serving.contains(&now)) {
                return Some(rotation.last);
            }
        }
        None
    }
}
