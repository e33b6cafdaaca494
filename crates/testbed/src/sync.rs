//! Locking of the state that the parts of a run share.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if it is poisoned: once a thread has panicked, the run is over, and its
/// recorded state is still read.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
