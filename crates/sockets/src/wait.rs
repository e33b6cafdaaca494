//! Waits with a time limit.

use smol::Timer;
use smol::future::FutureExt;
use std::time::{Duration, Instant};

/// The outcome of `wait`, or `None` if it is still pending at the deadline. An outcome that is
/// ready at the deadline counts: the wait is polled before the timer.
pub async fn wait_until<T>(deadline: Instant, wait: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(wait.await) }.or(timed_out).await
}

/// The outcome of `wait`, or `None` if it takes longer than the limit. See [`wait_until`].
pub async fn within<T>(limit: Duration, wait: impl Future<Output = T>) -> Option<T> {
    wait_until(Instant::now() + limit, wait).await
}
