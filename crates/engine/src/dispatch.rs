//! Calls the request table, and spawns tasks for the attempts and health checks that the balancer
//! requests during a call. The tasks report their results to the table in the same way.

use crate::attempt::{Attempt, Progress};
use crate::effect_sink::{Command, PendingAttempt};
use crate::engine::Engine;
use crate::health_check;
use crate::request_table::{AttemptResult, RequestTable};
use chalkwalk_balancer::{AttemptOutcome, ServerIndex};
use chalkwalk_time::Timestamp;
use std::rc::Rc;

/// Makes one call to the request table at the present time, and spawns the tasks that the balancer
/// requested during it.
pub(crate) fn call<T>(engine: &Rc<Engine>, call: impl FnOnce(&mut RequestTable, Timestamp) -> T) -> T {
    let mut requests = engine.requests.borrow_mut();
    let result = call(&mut requests, engine.clock.now());
    let commands = requests.take_commands();
    drop(requests);
    for command in commands {
        match command {
            Command::StartAttempt(pending) => {
                engine.executor.spawn(run_attempt(engine.clone(), pending)).detach();
            }
            Command::CheckHealth(server) => {
                engine.executor.spawn(run_health_check(engine.clone(), server)).detach();
            }
        }
    }
    result
}

async fn run_attempt(engine: Rc<Engine>, pending: PendingAttempt) {
    let started_at = engine.clock.now();
    let PendingAttempt { id, server, handle, .. } = &pending;
    let on_client_disconnected =
        || call(&engine, |requests, now| requests.client_disconnected(now, id.request_id));
    let attempt =
        Attempt { engine: &engine, pending: &pending, on_client_disconnected: &on_client_disconnected };
    let progress = attempt.run().await;
    let took = engine.clock.now() - started_at;
    let (outcome, response) = match progress {
        Progress::Ended { outcome, response } => (outcome, response),
        Progress::Streaming(streaming) => {
            let (response, transfer) = streaming.start();
            call(&engine, |requests, now| requests.response_started(now, *id, response));
            (transfer.run(&engine, *server, handle).await, None)
        }
    };
    // The connection is either in the pool again or closed here, before the balancer is notified of
    // the attempt's end.
    handle.release_connection();
    if outcome == AttemptOutcome::Unreachable {
        engine.pool.close_all(*server);
    }
    let result = AttemptResult { outcome, took, response };
    call(&engine, |requests, now| requests.attempt_ended(now, *id, result));
}

async fn run_health_check(engine: Rc<Engine>, server: ServerIndex) {
    let passed = health_check::check(&engine, server).await;
    call(&engine, |requests, now| requests.health_check_finished(now, server, passed));
}
