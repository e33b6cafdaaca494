//! The front before the proxies: deals connections out in turn, and notices late that a proxy is gone.

use crate::clock::{Clock, Micros};
use std::sync::Mutex;

pub struct Front {
    clock: Clock,
    rotation: Mutex<Rotation>,
}

struct Rotation {
    last: usize,
    /// Since when, and until when, it deals to each proxy.
    serves: Vec<Option<(Micros, Micros)>>,
}

impl Front {
    pub fn new(proxies: usize, clock: Clock) -> Front {
        Front { clock, rotation: Mutex::new(Rotation { last: 0, serves: vec![None; proxies] }) }
    }

    fn rotation(&self) -> std::sync::MutexGuard<'_, Rotation> {
        self.rotation.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn up(&self, proxy: usize) {
        self.rotation().serves[proxy] = Some((self.clock.now(), Micros::MAX));
    }

    /// It is gone, or going, which is noticed so much later.
    pub fn down(&self, proxy: usize, delay: Micros) {
        let until = self.clock.now() + delay;
        if let Some((_, end)) = &mut self.rotation().serves[proxy] {
            *end = until.min(*end);
        }
    }

    /// The next proxy in turn that it believes to be up.
    pub fn next_proxy(&self) -> Option<usize> {
        let now = self.clock.now();
        let mut rotation = self.rotation();
        let count = rotation.serves.len();
        for _ in 0..count {
            rotation.last = (rotation.last + 1) % count;
            if rotation.serves[rotation.last].is_some_and(|(from, until)| from <= now && now < until) {
                return Some(rotation.last);
            }
        }
        None
    }
}
