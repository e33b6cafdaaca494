//! How fast something works over time, and the cores that do the work.

use crate::clock::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// Speed as steps over time, 1 being the usual; 0 is standing still.
#[derive(Clone, Debug)]
pub struct SpeedProfile {
    steps: Vec<(Micros, f64)>,
}

/// Warming goes up in so many steps: finer than any window that is judged.
const RAMP_STEPS: u64 = 20;

impl Default for SpeedProfile {
    fn default() -> SpeedProfile {
        SpeedProfile { steps: vec![(0, 1.0)] }
    }
}

impl SpeedProfile {
    /// Cuts a step at a moment, and says where it begins.
    fn cut(&mut self, at: Micros) -> usize {
        match self.steps.binary_search_by_key(&at, |s| s.0) {
            Ok(i) => i,
            Err(i) => {
                let speed = self.steps[i - 1].1;
                self.steps.insert(i, (at, speed));
                i
            }
        }
    }

    /// Makes it so many times as fast within a span.
    pub fn scale(&mut self, span: Range<Micros>, factor: f64) {
        if span.is_empty() {
            return;
        }
        let (from, to) = (self.cut(span.start), span.end);
        let end = if to == Micros::MAX { self.steps.len() } else { self.cut(to) };
        self.steps[from..end].iter_mut().for_each(|s| s.1 *= factor);
    }

    /// A start from cold: rises evenly from a share of the speed to all of it.
    pub fn slow_start_from(&mut self, started: Micros, cold_share: f64, duration: Micros) {
        for i in 0..RAMP_STEPS {
            let part = (i as f64 + 0.5) / RAMP_STEPS as f64;
            let span = started + duration * i / RAMP_STEPS..started + duration * (i + 1) / RAMP_STEPS;
            self.scale(span, cold_share + (1.0 - cold_share) * part);
        }
    }

    fn step(&self, at: Micros) -> usize {
        self.steps.partition_point(|s| s.0 <= at) - 1
    }

    pub fn speed(&self, at: Micros) -> f64 {
        self.steps[self.step(at)].1
    }

    /// When work that begins now, and takes so long at the usual speed, is done.
    pub fn completion(&self, begun: Micros, work: Micros) -> Micros {
        let (mut at, mut left, mut i) = (begun, work as f64, self.step(begun));
        loop {
            let (speed, next) = (self.steps[i].1, self.steps.get(i + 1).map(|s| s.0));
            if speed > 0.0 {
                let end = at as f64 + left / speed;
                match next {
                    Some(next) if end > next as f64 => left -= (next - at) as f64 * speed,
                    _ => return end.round() as Micros,
                }
            }
            match next {
                Some(next) => at = next,
                // It stands still for good.
                None => return Micros::MAX,
            }
            i += 1;
        }
    }
}

/// Cores with a bounded queue before them; each request's end is known when it comes.
#[derive(Clone, Debug)]
pub struct Cores {
    free: BinaryHeap<Reverse<Micros>>,
    ends: BinaryHeap<Reverse<Micros>>, // of all that is in work or waits
    cores: usize,
    queue: usize,
}

impl Cores {
    pub fn new(cores: usize, queue: usize) -> Cores {
        Cores { free: vec![Reverse(0); cores].into(), ends: BinaryHeap::new(), cores, queue }
    }

    /// How many requests are in work or wait.
    pub fn busy(&mut self, now: Micros) -> usize {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        self.ends.len()
    }

    /// Takes work on and says when it is done, or `None` where the queue is full.
    pub fn schedule(&mut self, now: Micros, work: Micros, speed: &SpeedProfile) -> Option<Micros> {
        if self.busy(now) >= self.cores + self.queue {
            return None;
        }
        let Reverse(free) = self.free.pop().unwrap_or(Reverse(0));
        let end = speed.completion(free.max(now), work);
        self.free.push(Reverse(end));
        self.ends.push(Reverse(end));
        Some(end)
    }
}

/// Work sent lately, against a budget: a multiple of what can be done in the same time.
#[derive(Clone, Debug)]
pub struct RecentWork {
    parts: Vec<(Micros, Micros)>, // begin of a part of the window, and work sent in it
    window: Micros,
}

/// The window moves on in so many parts.
const WINDOW_PARTS: Micros = 20;

impl RecentWork {
    pub fn new(window: Micros) -> RecentWork {
        RecentWork { parts: Vec::new(), window: window.max(SECOND / 100) }
    }

    /// Notes work, and says how much came within the window.
    pub fn add(&mut self, now: Micros, work: Micros) -> Micros {
        let part = now / (self.window / WINDOW_PARTS) * (self.window / WINDOW_PARTS);
        self.parts.retain(|(at, _)| at + self.window > now);
        match self.parts.last_mut().filter(|(at, _)| *at == part) {
            Some((_, sum)) => *sum += work,
            None => self.parts.push((part, work)),
        }
        self.parts.iter().map(|(_, sum)| sum).sum()
    }
}
