//! Stage "send": one shot, from the connection to its ending.

use crate::book::{Answer, Book};
use crate::caches::{Conn, Line, pool};
use crate::clients::admit::Ask;
use crate::http::{self, Message};
use crate::proxy::{Proxy, seconds, wait_until};
use chalkwalk_policy::{Cache, Ending, Lkp, Tenths};
use smol::future::FutureExt;
use std::rc::Rc;

pub async fn send(
    proxy: Rc<Proxy>,
    lkp: Lkp,
    shot: usize,
    cache: Cache,
    (until, by): (Tenths, Tenths),
    ask: Rc<Ask>,
    line: Rc<Line>,
) {
    let begun = proxy.clock.now();
    // Not one byte short of whole has run.
    let cut = |ending| (if line.written.get() { ending } else { Ending::Unsent }, None);
    let stopped = async {
        _ = line.stopped.recv().await;
        cut(Ending::Withdrawn)
    };
    let shot_through = stopped.or(shoot(&proxy, cache, (until, by), &ask, &line));
    let end = proxy.clock.instant(until);
    let (ending, answer) = wait_until(end, shot_through).await.unwrap_or_else(|| cut(Ending::TimedOut));
    // The connection is closed, unless it is back in the pool, before the router hears of the ending.
    line.hold(None);
    if ending == Ending::Unreachable {
        proxy.pool.forget(cache);
    }
    let took = proxy.clock.now() - begun;
    Book::ended(&proxy, lkp, shot, ending, took, answer);
}

async fn shoot(
    proxy: &Proxy,
    cache: Cache,
    (until, by): (Tenths, Tenths),
    ask: &Ask,
    line: &Line,
) -> (Ending, Option<Answer>) {
    if proxy.clock.now() >= until {
        return (Ending::Unsent, None);
    }
    let end = proxy.clock.instant(by.min(until));
    let conn = match wait_until(end, write(proxy, cache, until, ask, line)).await {
        Some(Ok(conn)) => conn,
        Some(Err(ending)) => return (ending, None),
        None => return (Ending::Unsent, None),
    };
    let Ok(message) = http::answer(&conn.stream, http::LONGEST_BODY, Some(&proxy.room)).await else {
        return (Ending::Broken, None);
    };
    line.hold(None);
    if !message.close
        && let Ok(conn) = Rc::try_unwrap(conn)
    {
        proxy.pool.put(cache, conn);
    }
    read(message)
}

/// Writes the lookup to a connection; not one is written of which a part may come too late.
async fn write(
    proxy: &Proxy,
    cache: Cache,
    until: Tenths,
    ask: &Ask,
    line: &Line,
) -> Result<Rc<Conn>, Ending> {
    let conn = Rc::new(pool::connection(proxy, cache, false).await?);
    if !pool::open_to(proxy, cache) {
        return Err(Ending::Unsent);
    }
    line.hold(Some(conn.clone()));
    let left = seconds(until.saturating_sub(proxy.clock.now()));
    ask.write_to(&conn.stream, &left).await.map_err(|_| Ending::Unreachable)?;
    line.written.set(true);
    Ok(conn)
}

/// What a cache's answer says of the shot.
fn read(message: Message) -> (Ending, Option<Answer>) {
    let turned_away = message.field("X-Unprocessed").is_some_and(|v| v == "1");
    let ending = match message.status {
        200 => match message.field("X-Lookup") {
            Some("hit") => Ending::Held,
            Some("miss") => Ending::Fetched,
            _ => Ending::Resolved,
        },
        404 => Ending::Miss,
        503 | 504 if turned_away => Ending::Full,
        // No word on the cache: a client asked for what can't be had.
        400..=499 => Ending::Wrong,
        _ => Ending::Error,
    };
    if message.status != 200 {
        return (ending, None);
    }
    let kind = message.field("Content-Type").unwrap_or("").to_string();
    let Message { mut buf, body, held, .. } = message;
    buf.truncate(body.end);
    buf.drain(..body.start);
    (ending, Some(Answer { kind, body: buf, _held: held, ..Answer::bare(200) }))
}
