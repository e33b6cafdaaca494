//! The front before the proxies: deals connections out in turn, and notices late that a proxy is gone.

use crate::clock::{Clock, Micros};
use crate::sync::lock;
use std::ops::Range;
use std::sync::Mutex;

/// The front.
pub struct Front {
    clock: Clock,
    rotation: Mutex<Rotation>,
}

struct Rotation {
    last: usize,
    /// When it deals to each proxy.
    serving: Vec<Option<Range<Micros>>>,
}

impl Front {
    /// Before so many proxies, all of them down.
    pub fn new(proxies: usize, clock: Clock) -> Front {
        Front { clock, rotation: Mutex::new(Rotation { last: 0, serving: vec![None; proxies] }) }
    }

    /// A proxy is up.
    pub fn up(&self, proxy: usize) {
        lock(&self.rotation).serving[proxy] = Some(self.clock.now()..Micros::MAX);
    }

    /// It is gone, or draining, which is noticed so much later.
    pub fn down(&self, proxy: usize, delay: Micros) {
        let until = self.clock.now() + delay;
        if let Some(serving) = &mut lock(&self.rotation).serving[proxy] {
            serving.end = until.min(serving.end);
        }
    }

    /// The next proxy in turn that it believes to be up.
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
