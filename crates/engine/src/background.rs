//! Tasks that run for the lifetime of the proxy: the balancer's timers and the maintenance of the
//! connection pool.

use crate::dispatch::call;
use crate::engine::Engine;
use crate::pool::SPARE_IDLE_TIME;
use chalkwalk_sockets::with_deadline;
use slog::info;
use smol::Timer;
use std::rc::Rc;

/// Number of sweeps for spare connections within [`SPARE_IDLE_TIME`].
const SPARE_SWEEPS_PER_IDLE_TIME: u32 = 2;
/// Stale connections are closed in every eighth sweep for spare ones, about once a second, because
/// that sweep examines each connection.
const SPARE_SWEEPS_PER_STALE_SWEEP: u32 = 8;
/// The counters are logged at most once per this many sweeps for stale connections, that is, once a
/// minute.
const STALE_SWEEPS_PER_REPORT: u32 = 60;

/// Fires the balancer's timers when they are due. Never returns.
pub async fn run_timers(engine: Rc<Engine>) {
    loop {
        let due = engine.requests.borrow().next_timer();
        match due {
            Some(due) if due <= engine.clock.now() => {
                call(&engine, |requests, now| requests.fire_timer(now));
            }
            Some(due) => _ = with_deadline(engine.clock.instant(due), engine.earlier_timer.recv()).await,
            None => _ = engine.earlier_timer.recv().await,
        }
    }
}

/// Closes spare and stale connections of the pool, and logs the counters if more clients have
/// disconnected while waiting. Never returns.
pub async fn run_pool_sweeps(engine: Rc<Engine>) {
    let mut last_logged = 0;
    let mut stale_sweeps = 0u32;
    loop {
        for _ in 0..SPARE_SWEEPS_PER_STALE_SWEEP {
            Timer::after(SPARE_IDLE_TIME / SPARE_SWEEPS_PER_IDLE_TIME).await;
            engine.pool.close_spare();
        }
        engine.pool.close_stale();
        stale_sweeps += 1;
        let abandoned_requests = engine.requests.borrow().abandoned_requests();
        if stale_sweeps.is_multiple_of(STALE_SWEEPS_PER_REPORT) && abandoned_requests != last_logged {
            last_logged = abandoned_requests;
            log_counters(&engine, "clients left");
        }
    }
}

/// Logs the totals since the start: requests whose client disconnected while they waited, attempts
/// withheld because their request was already over, and violations.
pub(crate) fn log_counters(engine: &Engine, event: &'static str) {
    let abandoned_requests = engine.requests.borrow().abandoned_requests();
    let violations = engine.violations.total();
    info!(engine.log, "{}", event;
        "left_waiting" => abandoned_requests, "withheld" => engine.refused_attempts.for_finished_requests(),
        "violations" => violations);
}
