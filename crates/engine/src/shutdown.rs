//! The end of a proxy: asked to shut down, it still accepts connections for a moment, serves those
//! that it has, answers all requests that it accepted, and is gone before it would be killed.

#[cfg(test)]
mod tests;

use crate::close_schedule::DrainWindow;
use crate::engine::Engine;
use crate::lifecycle::Phase;
use crate::{api, background};
use chalkwalk_sockets::wait_until;
use chalkwalk_time::{Span, Timestamp};
use slog::info;
use smol::{Task, Timer};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are accepted after the request to shut down: a load balancer in front
/// learns of it within 0.4 s.
const ACCEPT_TIME: Span = Span::from_millis(500);
/// At least so long is left between the last connection and the last response, for the request that
/// came with it.
const LAST_REQUEST_TIME: Span = Span::from_millis(50);
/// For writing the responses that were given at the very last, on a core that has little time for
/// this proxy: SIGKILL comes 0.05 s after that.
const WRITE_TIME: Duration = Duration::from_millis(200);
/// From the request to shut down to the last response, beside the longest time limit: SIGKILL comes
/// 0.7 s beside it.
const BESIDE_TIME_LIMIT: Span = Span::from_millis(450);
/// The longest that SIGKILL waits for time limits.
const MAX_TIME_LIMIT: Span = Span::from_secs(3);
/// How often the open client connections are counted while requests run.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The same while the last responses are written, when less time is left.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Counted from the request to shut down.
struct DrainSchedule {
    /// How long connections are accepted.
    accept_for: Span,
    /// When every response must be sent.
    last_response_after: Span,
}

impl DrainSchedule {
    /// By the longest time limit of a request that may be open.
    fn new(longest_time_limit: Span) -> DrainSchedule {
        let last_response_after = longest_time_limit.min(MAX_TIME_LIMIT) + BESIDE_TIME_LIMIT;
        let accept_for = ACCEPT_TIME.min(last_response_after - LAST_REQUEST_TIME);
        DrainSchedule { accept_for, last_response_after }
    }
}

/// Shuts down, from the request to do so, which came at that moment, to the last phase. `accepting`
/// is the frontends' task, which ends once [`Phase::Finishing`] is reached and the connections that
/// had arrived by then are accepted.
pub async fn run(engine: &Rc<Engine>, accepting: Task<()>, requested_at: Timestamp) {
    let schedule = DrainSchedule::new(engine.classes.longest_time_limit());
    let response_deadline = requested_at + schedule.last_response_after;
    engine.begin_drain(DrainWindow { started: requested_at, response_deadline });
    let superseded = engine.lifecycle.is_superseded();
    info!(engine.log, "draining"; "open" => engine.requests.borrow().open_requests(), "succeeded" => superseded);
    // A process that has taken over accepts whoever connects from now on.
    if !superseded {
        Timer::at(engine.clock.instant(requested_at + schedule.accept_for)).await;
    }
    engine.lifecycle.enter(Phase::Finishing);
    // Where all permits are taken, connections that wait for one do so no longer than to the last
    // response.
    wait_until(engine.clock.instant(response_deadline), accepting).await;
    while engine.open_clients() > 0 && engine.clock.now() < response_deadline {
        Timer::after(CHECK_INTERVAL).await;
    }
    // Whatever is left fails now: later its response would be lost.
    api::fail_all(engine);
    let written_by = engine.clock.instant(response_deadline) + WRITE_TIME;
    while engine.open_clients() > 0 && Instant::now() < written_by {
        Timer::after(WRITE_CHECK_INTERVAL).await;
    }
    engine.lifecycle.enter(Phase::Ended);
    background::log_counters(engine, "stopped");
}
