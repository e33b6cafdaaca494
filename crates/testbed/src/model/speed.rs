//! Processing speed over time, and the cores that process work.

use crate::clock::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// The speed from a point in time until the next step.
#[derive(Clone, Copy, Debug)]
struct SpeedStep {
    start: Micros,
    speed: f64,
}

/// Speed as a step function of time: 1 is normal speed, 0 is standstill.
#[derive(Clone, Debug)]
pub struct SpeedProfile {
    steps: Vec<SpeedStep>,
}

/// Number of steps in which the speed rises in a slow start; a step is shorter than any window that
/// is evaluated.
const RAMP_STEPS: u64 = 20;

impl Default for SpeedProfile {
    fn default() -> SpeedProfile {
        SpeedProfile { steps: vec![SpeedStep { start: 0, speed: 1.0 }] }
    }
}

impl SpeedProfile {
    /// Makes a step start at a point in time, and returns its index.
    fn split_at(&mut self, at: Micros) -> usize {
        match self.steps.binary_search_by_key(&at, |step| step.start) {
            Ok(i) => i,
            Err(i) => {
                let speed = self.steps[i - 1].speed;
                self.steps.insert(i, SpeedStep { start: at, speed });
                i
            }
        }
    }

    /// Multiplies the speed within a span by a factor.
    pub fn scale(&mut self, span: Range<Micros>, factor: f64) {
        if span.is_empty() {
            return;
        }
        let first = self.split_at(span.start);
        let end = if span.end == Micros::MAX { self.steps.len() } else { self.split_at(span.end) };
        for step in &mut self.steps[first..end] {
            step.speed *= factor;
        }
    }

    /// Adds a slow start: the speed rises evenly from a share of its value to all of it.
    pub fn slow_start(&mut self, started_at: Micros, initial_share: f64, duration: Micros) {
        for i in 0..RAMP_STEPS {
            let progress = (i as f64 + 0.5) / RAMP_STEPS as f64;
            let span = started_at + duration * i / RAMP_STEPS..started_at + duration * (i + 1) / RAMP_STEPS;
            self.scale(span, initial_share + (1.0 - initial_share) * progress);
        }
    }

    fn step_index(&self, at: Micros) -> usize {
        self.steps.partition_point(|step| step.start <= at) - 1
    }

    /// The speed at a point in time.
    pub fn speed(&self, at: Micros) -> f64 {
        self.steps[self.step_index(at)].speed
    }

    /// When work that starts at `start` is done, given its duration at normal speed; `Micros::MAX`
    /// if it is never done.
    pub fn completion(&self, start: Micros, work: Micros) -> Micros {
        let mut at = start;
        let mut remaining = work as f64;
        for i in self.step_index(start)..self.steps.len() {
            let speed = self.steps[i].speed;
            let next = self.steps.get(i + 1).map(|step| step.start);
            if speed > 0.0 {
                let end = at as f64 + remaining / speed;
                match next {
                    Some(next) if end > next as f64 => remaining -= (next - at) as f64 * speed,
                    _ => return end.round() as Micros,
                }
            }
            at = next.unwrap_or(Micros::MAX);
        }
        // The speed remains 0 until the end of the run.
        Micros::MAX
    }
}

/// Cores with a bounded queue. The end of each piece of work is computed when it arrives.
#[derive(Clone, Debug)]
pub struct Cores {
    /// When each core is free.
    core_free_at: BinaryHeap<Reverse<Micros>>,
    /// Ends of all work that is in progress or queued.
    completions: BinaryHeap<Reverse<Micros>>,
    cores: usize,
    queue: usize,
}

impl Cores {
    /// That many cores, with a queue of that many places.
    pub fn new(cores: usize, queue: usize) -> Cores {
        Cores { core_free_at: vec![Reverse(0); cores].into(), completions: BinaryHeap::new(), cores, queue }
    }

    /// The number of requests in progress or queued.
    pub fn pending(&mut self, now: Micros) -> usize {
        while self.completions.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.completions.pop();
        }
        self.completions.len()
    }

    /// Accepts work and returns when it is done, or `None` if the queue is full.
    pub fn schedule(&mut self, now: Micros, work: Micros, speed: &SpeedProfile) -> Option<Micros> {
        if self.pending(now) >= self.cores + self.queue {
            return None;
        }
        let Reverse(core_free_at) = self.core_free_at.pop().unwrap_or(Reverse(0));
        let end = speed.completion(core_free_at.max(now), work);
        self.core_free_at.push(Reverse(end));
        self.completions.push(Reverse(end));
        Some(end)
    }
}

/// The work that arrived in one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct WorkBucket {
    start: Micros,
    work: Micros,
}

/// The work that arrived within a sliding window.
#[derive(Clone, Debug)]
pub struct RecentWork {
    buckets: Vec<WorkBucket>,
    window: Micros,
}

/// Number of buckets in a window; the window advances by one bucket at a time.
const WINDOW_BUCKETS: Micros = 20;
/// A shorter window could have buckets of length 0.
const MIN_WINDOW: Micros = SECOND / 100;

impl RecentWork {
    /// An empty window of that length.
    pub fn new(window: Micros) -> RecentWork {
        RecentWork { buckets: Vec::new(), window: window.max(MIN_WINDOW) }
    }

    /// Adds work, and returns the sum of the work within the window.
    pub fn add(&mut self, now: Micros, work: Micros) -> Micros {
        let bucket_length = self.window / WINDOW_BUCKETS;
        let start = now / bucket_length * bucket_length;
        self.buckets.retain(|bucket| bucket.start + self.window > now);
        match self.buckets.last_mut().filter(|bucket| bucket.start == start) {
            Some(bucket) => bucket.work += work,
            None => self.buckets.push(WorkBucket { start, work }),
        }
        self.buckets.iter().map(|bucket| bucket.work).sum()
    }
}
