//! Graceful shutdown: after the request to shut down, the proxy still accepts connections for a
//! moment, serves the open ones, answers all accepted requests, and exits before it would be
//! killed.

#[cfg(test)]
mod tests;

use crate::close_schedule::DrainWindow;
use crate::engine::Engine;
use crate::lifecycle::Phase;
use crate::{api, background};
use chalkwalk_sockets::with_deadline;
use chalkwalk_time::{Span, Timestamp};
use slog::info;
use smol::{Task, Timer};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are accepted after the request to shut down: a load balancer in front
/// detects the shutdown within 0.4 s.
const ACCEPT_TIME: Span = Span::from_millis(500);
/// Minimum time between the last accepted connection and the last response, for the request that
/// arrives on that connection.
const MIN_LAST_REQUEST_TIME: Span = Span::from_millis(50);
/// Time to write the last responses, on a CPU core that has little time for this proxy. SIGKILL
/// comes 0.05 s after the end of this time.
const WRITE_TIME: Duration = Duration::from_millis(200);
/// The last response is due this long after the longest time limit, counted from the request to
/// shut down. SIGKILL comes 0.7 s after the longest time limit.
const RESPONSE_GRACE: Span = Span::from_millis(450);
/// The longest time limit that the delay before SIGKILL allows for.
const TIME_LIMIT_CAP: Span = Span::from_secs(3);
/// How often the open client connections are counted while requests are in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often the open client connections are counted while the last responses are written, when
/// less time is left.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The steps of a shutdown, as times after the request to shut down.
struct DrainSchedule {
    /// How long connections are accepted.
    accept_for: Span,
    /// When every response must have been sent.
    last_response_after: Span,
}

impl DrainSchedule {
    /// Derives the schedule from the longest time limit of any open request.
    fn new(max_time_limit: Span) -> DrainSchedule {
        let last_response_after = max_time_limit.min(TIME_LIMIT_CAP) + RESPONSE_GRACE;
        let accept_for = ACCEPT_TIME.min(last_response_after - MIN_LAST_REQUEST_TIME);
        DrainSchedule { accept_for, last_response_after }
    }
}

/// Runs the shutdown to the last phase. `requested_at` is when it was requested. `accept_task` is
/// the frontends' task, which ends once [`Phase::Finishing`] is reached and the connections that
/// had arrived by then are accepted.
pub async fn run(engine: &Rc<Engine>, accept_task: Task<()>, requested_at: Timestamp) {
    let schedule = DrainSchedule::new(engine.classes.max_time_limit());
    let response_deadline = requested_at + schedule.last_response_after;
    engine.begin_drain(DrainWindow { started_at: requested_at, response_deadline });
    let superseded = engine.lifecycle.is_superseded();
    info!(engine.log, "draining";
        "open" => engine.requests.borrow().open_request_count(), "succeeded" => superseded);
    // If another process has taken over, it accepts all new connections.
    if !superseded {
        Timer::at(engine.clock.instant(requested_at + schedule.accept_for)).await;
    }
    engine.lifecycle.enter(Phase::Finishing);
    // If all permits are taken, accepted connections wait for one only until the deadline of the
    // last response.
    with_deadline(engine.clock.instant(response_deadline), accept_task).await;
    while engine.open_clients() > 0 && engine.clock.now() < response_deadline {
        Timer::after(CHECK_INTERVAL).await;
    }
    // Fails the remaining requests now, because a later response would be lost when the process
    // exits.
    api::fail_all(engine);
    let write_deadline = engine.clock.instant(response_deadline) + WRITE_TIME;
    while engine.open_clients() > 0 && Instant::now() < write_deadline {
        Timer::after(WRITE_CHECK_INTERVAL).await;
    }
    engine.lifecycle.enter(Phase::Ended);
    background::log_counters(engine, "stopped");
}
