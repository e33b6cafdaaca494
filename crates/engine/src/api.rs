//! The way of a request through the engine: taken, sent in attempts, ended; and the calls that sources of the list make.

use crate::config::EngineConfig;
use crate::engine::Engine;
use crate::pool::ServerConnection;
use crate::requests::{AttemptHandle, Command, PendingAttempt, RequestTable};
use crate::response::{BodyStream, ClientRequest, Response, ResponseBody, ServerResponse};
use crate::servers::{ListChanges, ListUpdate, ListedEndpoint};
use chalkwalk_balancer::admission::{SendRefusal, WrittenAttempt};
use chalkwalk_balancer::{AttemptOutcome, RequestId, ServerIndex};
use chalkwalk_limits::LimitTable;
use chalkwalk_sockets::{wait_until, within};
use chalkwalk_time::{Span, Timestamp};
use slog::{debug, info};
use smol::Async;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// One call to the request table at the present time; what the balancer wants then is taken up.
pub(crate) fn call<T>(engine: &Rc<Engine>, call: impl FnOnce(&mut RequestTable, Timestamp) -> T) -> T {
    let mut requests = engine.requests.borrow_mut();
    let result = call(&mut requests, engine.clock.now());
    let take_commands = requests.take_commands();
    drop(requests);
    for note in take_commands {
        match note {
            Command::StartAttempt(pending) => engine.executor.spawn(send(engine.clone(), pending)).detach(),
            Command::HealthCheck(server) => engine.executor.spawn(probe(engine.clone(), server)).detach(),
        }
    }
    result
}

/// Takes a request; its one final answer comes by the channel.
pub fn accept_request(engine: &Rc<Engine>, ask: Rc<dyn ClientRequest>) -> (RequestId, Receiver<Response>) {
    call(engine, |requests, now| requests.take(now, ask))
}

/// Whoever asked has gone, or given it up: nothing more is sent for it.
pub fn client_left(engine: &Rc<Engine>, request_id: RequestId) {
    call(engine, |requests, now| requests.client_left(now, request_id));
}

/// Whatever is open is given up now.
pub fn give_up_all(engine: &Rc<Engine>) {
    call(engine, |requests, now| requests.give_up_all(now));
}

/// A source tells what the list says: the whole of it, or what changed. A doubted one brings no server back that was told
/// to be off.
pub fn apply_endpoint_list(engine: &Rc<Engine>, lines: &[ListedEndpoint], whole_list: bool, doubted: bool) {
    let update = ListUpdate { endpoints: lines, whole: whole_list, doubted };
    let (off, changed) = call(engine, |requests, now| requests.listed(now, &update));
    off.into_iter().for_each(|server| engine.pool.close_all(server));
    if changed != ListChanges::default() {
        info!(engine.log, "servers changed"; "off" => named(&changed.off), "back" => named(&changed.back));
    }
}

/// So many ids are named in a line of the log; of a first list of a large fleet all are new.
const MOST_NAMED: usize = 8;

fn named(ids: &[String]) -> String {
    let more = ids.len().saturating_sub(MOST_NAMED);
    let some = ids[..ids.len() - more].join(" ");
    if more > 0 { format!("{some} and {more} more") } else { some }
}

/// Operators take a server out at that moment, or put it back. What is idle to it is closed: it restarts meanwhile.
pub fn set_server_disabled(engine: &Rc<Engine>, id: &str, out: bool, at: Timestamp) {
    let server = call(engine, |requests, now| requests.barred(now, id, (out, at)));
    server.into_iter().for_each(|server| engine.pool.close_all(server));
}

/// A call to discovery failed after so long; the balancer will want another.
pub fn discovery_call_failed(engine: &Rc<Engine>, took: Span) {
    call(engine, |requests, now| requests.discovery_call_failed(now, took));
}

/// So many proxies share the servers, this one included, as a source counts them.
pub fn set_proxy_count(engine: &Rc<Engine>, proxies: u64) {
    engine.requests.borrow_mut().shared_by(proxies);
}

/// Other limits hold from now on, also for what is open: see `RequestId::renewed`.
pub fn set_limits(engine: &Rc<Engine>, limits: Option<LimitTable>) {
    engine.classes.set_limits(limits);
    let settings = engine.classes.balancer_settings();
    let of = |ask: &dyn ClientRequest| {
        let taking = engine.classes.find(ask.attributes()?);
        Some((taking.class, taking.time_limit))
    };
    call(engine, |requests, now| requests.renewed(now, &settings, of));
}

/// Other settings of the platform hold from now on, and an operator's limits on them. What is open keeps the rules that it was
/// taken with.
pub fn apply_settings(engine: &Rc<Engine>, mut rules: EngineConfig) {
    let limits = rules.limits.take();
    engine.config.connect_timeout.set(rules.connect_timeout.get());
    engine.config.drain_grace.set(rules.drain_grace.get());
    engine.classes.apply_settings(rules.settings, rules.platform_limits, limits);
    let settings = engine.classes.balancer_settings();
    call(engine, |requests, now| requests.renewed(now, &settings, |_| None));
}

// ---- one attempt, from the connection to its ending ----

/// How an attempt came out, or how far it has come.
enum Came {
    Ended(AttemptOutcome, Option<Response>),
    /// The answer has begun, and goes on.
    Begun(AttemptOutcome, Response, Rc<ServerConnection>, Box<dyn ResponseBody>),
}

/// A flow that nothing more comes of for so long, or that nobody takes more of, is broken off. The time limit is over by
/// then, and a server that is slow on purpose writes something each second.
const SILENCE: Duration = Duration::from_secs(10);

async fn send(engine: Rc<Engine>, pending: PendingAttempt) {
    let begun = engine.clock.now();
    let PendingAttempt { request_id, attempt, server, until, handle, .. } = &pending;
    // Not one byte short of whole has run.
    let cut =
        |outcome| Came::Ended(if handle.written.get() { outcome } else { AttemptOutcome::NotSent }, None);
    let stopped = async {
        _ = handle.stopped.recv().await;
        cut(AttemptOutcome::Cancelled)
    };
    let attempt_through = stopped.or(start_attempt(&engine, &pending));
    let end = engine.clock.instant(*until);
    let came = wait_until(end, attempt_through).await.unwrap_or_else(|| cut(AttemptOutcome::TimedOut));
    let took = engine.clock.now() - begun;
    let (outcome, answer) = match came {
        Came::Ended(outcome, answer) => (outcome, answer),
        Came::Begun(outcome, mut answer, conn, rest) => {
            let (tell_parts, parts) = bounded(1);
            let whole = Rc::new(Cell::new(false));
            answer.stream =
                Some(BodyStream { content_length: rest.content_length(), parts, complete: whole.clone() });
            call(&engine, |requests, now| requests.begun(now, (*request_id, *attempt), answer));
            let stopped = async {
                _ = handle.stopped.recv().await;
                AttemptOutcome::Cancelled
            };
            let outcome =
                stopped.or(pump(&engine, (*server, conn), rest, tell_parts, (handle, outcome, whole))).await;
            (outcome, None)
        }
    };
    // The connection is closed, unless it is back in the pool, before the balancer hears of the ending.
    handle.hold(None);
    if outcome == AttemptOutcome::Unreachable {
        engine.pool.close_all(*server);
    }
    call(&engine, |requests, now| requests.ended(now, (*request_id, *attempt), outcome, took, answer));
}

/// Passes on what comes of an answer, until it ends, breaks off, or is taken no more.
async fn pump(
    engine: &Engine,
    (server, conn): (ServerIndex, Rc<ServerConnection>),
    mut rest: Box<dyn ResponseBody>,
    parts: Sender<Vec<u8>>,
    (handle, outcome, whole): (&AttemptHandle, AttemptOutcome, Rc<Cell<bool>>),
) -> AttemptOutcome {
    loop {
        match within(SILENCE, rest.next_part(&conn.stream)).await {
            Some(Ok(Some(part))) => match within(SILENCE, parts.send(part)).await {
                Some(Ok(())) => {}
                _ => return AttemptOutcome::Cancelled,
            },
            Some(Ok(None)) => {
                whole.set(true);
                handle.hold(None);
                if rest.is_reusable()
                    && let Ok(conn) = Rc::try_unwrap(conn)
                {
                    engine.pool.put(server, conn);
                }
                return outcome;
            }
            _ => return AttemptOutcome::ConnectionLost,
        }
    }
}

async fn start_attempt(engine: &Rc<Engine>, pending: &PendingAttempt) -> Came {
    let PendingAttempt { server, until, by, ask, handle, .. } = pending;
    if engine.clock.now() >= *until {
        return Came::Ended(AttemptOutcome::NotSent, None);
    }
    let end = engine.clock.instant(*by.min(until));
    let conn = match wait_until(end, write(engine, pending)).await {
        Some(Ok(conn)) => conn,
        Some(Err(outcome)) => return Came::Ended(outcome, None),
        None => return Came::Ended(AttemptOutcome::NotSent, None),
    };
    let Some(ServerResponse { outcome, response: answer, reusable: keep, remaining_body: rest }) =
        ask.read_response(&conn.stream).await
    else {
        return Came::Ended(AttemptOutcome::ConnectionLost, None);
    };
    let answer = match (rest, answer) {
        (Some(rest), Some(answer)) => return Came::Begun(outcome, answer, conn, rest),
        (_, answer) => answer,
    };
    handle.hold(None);
    if keep && let Ok(conn) = Rc::try_unwrap(conn) {
        engine.pool.put(*server, conn);
    }
    Came::Ended(outcome, answer)
}

/// Writes the request to a connection; not one is written of which a part may come too late.
async fn write(
    engine: &Rc<Engine>,
    pending: &PendingAttempt,
) -> Result<Rc<ServerConnection>, AttemptOutcome> {
    let PendingAttempt { request_id, server, until, by, ask, handle, .. } = pending;
    let conn = Rc::new(connection(engine, *server, false).await?);
    // After a standstill what came in it is read first: a drain, an operator's word, a client's end.
    engine.clock.catch_up().await;
    // On a process that is busy the connection and the end of the time are seen in one turn, and the client's going lies unread
    // while a connection, a place, a key's turn or a rest is over. An attempt so stopped surely has not run, and goes elsewhere.
    let now = engine.clock.now();
    let may_send = engine.requests.borrow().may_send(now, pending, ask.client_is_waiting());
    if let Err(refusal) = may_send {
        engine.refused.count(refusal);
        debug!(engine.log, "attempt withheld"; "cache" => server, "why" => ?refusal);
        if refusal == SendRefusal::ClientLeft {
            client_left(engine, *request_id);
        }
        return Err(AttemptOutcome::NotSent);
    }
    handle.hold(Some(conn.clone()));
    ask.write_to(&conn.stream, *until - now).await.map_err(|_| AttemptOutcome::Unreachable)?;
    handle.written.set(true);
    let written = WrittenAttempt {
        at: engine.clock.now(),
        allowed_at: now,
        until: *until.min(by),
        unavailable_since: engine.requests.borrow().servers.off_since(*server),
        grace: engine.config.drain_grace.get(),
        client_connected: ask.client_is_waiting(),
    };
    engine.violations.check(&engine.log, written.violation());
    Ok(conn)
}

/// A connection to the server, from the pool or new; else how the attempt ends that wanted it.
async fn connection(
    engine: &Engine,
    server: ServerIndex,
    fresh: bool,
) -> Result<ServerConnection, AttemptOutcome> {
    let Some(addr) = engine.requests.borrow().servers.addr(server) else {
        return Err(AttemptOutcome::Unreachable);
    };
    if !fresh && let Some(conn) = engine.pool.acquire(server, addr).await {
        return Ok(conn);
    }
    let permit = engine.budget.acquire_for_server(|| engine.pool.close_longest_idle()).await;
    let connected = within(engine.config.connect_timeout.get(), Async::<TcpStream>::connect(addr)).await;
    let stream = connected.ok_or(AttemptOutcome::Unreachable)?.map_err(|e| {
        // Out of descriptors (EMFILE, ENFILE), buffers or ports, as Linux numbers it: that is no word on the server.
        match e.raw_os_error() {
            Some(24 | 23 | 105 | 12 | 99) => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Unreachable,
        }
    })?;
    _ = stream.get_ref().set_nodelay(true);
    Ok(ServerConnection::new(stream, addr, permit))
}

// ---- probes ----

async fn probe(engine: Rc<Engine>, server: ServerIndex) {
    let ask = async {
        let conn = connection(&engine, server, true).await.ok()?;
        if !engine.requests.borrow().is_available(server) {
            return None;
        }
        let keep = engine.health_check.check(&conn.stream).await?;
        if keep {
            engine.pool.put(server, conn);
        }
        Some(())
    };
    // As long as a connection may take, and as long again for the answer.
    let answered = within(engine.config.connect_timeout.get() * 2, ask).await.flatten().is_some();
    if !answered {
        // What was idle to a machine that vanished is reset only when it is back, and by the first request on it.
        engine.pool.close_all(server);
    }
    call(&engine, |requests, now| requests.probed(now, server, answered));
}
