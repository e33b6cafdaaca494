//! The lock that all shared state of a run is behind.

use std::sync::{Mutex, MutexGuard};

/// The lock, also where a thread panicked while it held it: the run is over then, and what is there is still read.
pub(crate) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}
