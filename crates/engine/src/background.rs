//! Tasks that run for as long as the proxy does: the balancer's timers, and the upkeep of the connection pool.

use crate::api;
use crate::engine::Engine;
use crate::pool::SPARE_IDLE_TIME;
use chalkwalk_sockets::wait_until;
use slog::info;
use smol::Timer;
use std::rc::Rc;

/// Calls the balancer back at the times it has named; never ends.
pub async fn run_timers(engine: Rc<Engine>) {
    loop {
        let due = engine.requests.borrow().next_wake();
        match due {
            Some(due) if due <= engine.clock.now() => api::call(&engine, |requests, now| requests.wake(now)),
            Some(due) => _ = wait_until(engine.clock.instant(due), engine.sooner.recv()).await,
            None => _ = engine.sooner.recv().await,
        }
    }
}

/// Gives back what is spare, twice in the time it may be, and closes what is idle too long with each eighth round, about
/// once a second, as that looks at each connection; counts in the log once a minute what has become more; never ends.
pub async fn run_pool_sweeps(engine: Rc<Engine>) {
    let (mut told, mut rounds) = (0, 0u32);
    loop {
        for _ in 0..8 {
            Timer::after(SPARE_IDLE_TIME / 2).await;
            engine.pool.close_spare();
        }
        engine.pool.close_stale();
        rounds += 1;
        let left = engine.requests.borrow().left_waiting();
        if rounds.is_multiple_of(60) && std::mem::replace(&mut told, left) != left {
            log_counters(&engine, "clients left");
        }
    }
}

/// Says how many requests were left so far while they waited, how many attempts were withheld as their request was over, and how often
/// what must not happen has happened.
pub(crate) fn log_counters(engine: &Engine, event: &'static str) {
    let left = engine.requests.borrow().left_waiting();
    let violations = engine.violations.total();
    info!(engine.log, "{}", event;
        "left_waiting" => left, "withheld" => engine.refused.request_over(), "violations" => violations);
}
