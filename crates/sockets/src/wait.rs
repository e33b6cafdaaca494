//! Waits with a time limit.

use smol::Timer;
use smol::future::FutureExt;
use std::time::{Duration, Instant};

/// Waits for `wait` until the deadline. Returns its output, or `None` if it is still pending at the
/// deadline. An output that is ready at the deadline counts: `wait` is polled before the timer.
pub async fn with_deadline<T>(deadline: Instant, wait: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(wait.await) }.or(timed_out).await
}

/// Waits for `wait` for at most `limit`. Returns its output, or `None` if it takes longer. See
/// [`with_deadline`].
pub async fn with_timeout<T>(limit: Duration, wait: impl Future<Output = T>) -> Option<T> {
    with_deadline(Instant::now() + limit, wait).await
}
