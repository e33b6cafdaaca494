//! What servers and the origin do with a connection: attempts one at a time, probes, and the end of both.

use super::{ConnectionCount, Site, lock};
use crate::clock::{MILLI, Micros, micros};
use crate::evidence::{ClientRequest, EventKind, Id};
use crate::experiment::{PROTOCOL_RESP, REPEATS_REPLAYABLE, REPEATS_TAGGED, RequestClass};
use crate::model::server::{AttemptInput, PlannedReply, Reply, ServerModel};
use crate::wire::{Connection, ReadError, response_head};
use smol::Timer;
use smol::future::or;
use std::time::Duration;

/// Of the servers that missed for a request so many store what the origin answered, the first ones.
const STORE_COPIES: usize = 2;
/// Repeats of a tagged request are known by its tag for its window; older ones go once there are so many.
const MAX_TAGS: usize = 1 << 16;

/// A body made for one request: who it is for, by whom, filled up to its length, and its own checksum.
pub fn body(id: Id, key: u64, by: usize, bytes: usize) -> Vec<u8> {
    let mut body = format!("{id:016x} {key} {by} ").into_bytes();
    body.resize(bytes.max(body.len() + 8) - 8, b'v');
    let sum = crc32fast::hash(&body);
    body.extend(format!("{sum:08x}").into_bytes());
    body
}

/// Whether a body is whole and made for that request.
pub fn is_for(body: &[u8], id: Id) -> bool {
    let Some((checked, sum)) = body.split_at_checked(body.len().saturating_sub(8)) else { return false };
    checked.starts_with(format!("{id:016x} ").as_bytes())
        && sum == format!("{:08x}", crc32fast::hash(checked)).as_bytes()
}

pub async fn serve_attempts(site: &Site, peer: usize, proxy: usize, conn: &mut Connection) {
    let world = &site.experiment.world;
    let most = if peer == site.origin() { world.origin_connections } else { world.connections };
    let counted = ConnectionCount::new(&site.connections[peer]);
    let over_limit = counted.before >= most;
    let idle = Duration::from_secs_f64(world.idle_s);
    let mut first = true;
    loop {
        if conn.buffered.is_empty() {
            let closed = async {
                Timer::after(idle).await;
                Ok(0)
            };
            if !matches!(or(conn.fill(), closed).await, Ok(1..)) {
                return;
            }
        }
        let started = site.clock.now();
        let message = match conn.read_request().await {
            Ok(message) => message,
            Err(ReadError::Malformed) => {
                _ = respond(conn, 400, "", b"").await;
                return;
            }
            Err(_) => return,
        };
        if message.target() == "/alive" {
            let speed = if peer < site.origin() {
                &site.timelines.servers[peer].speed
            } else {
                &site.timelines.origin
            };
            site.clock.sleep_until(speed.completion(site.clock.now(), MILLI / 2)).await;
            if respond(conn, 200, "", b"").await.is_err() {
                return;
            }
            continue;
        }
        let id = message.field("X-Correlation-Id").and_then(|id| Id::from_str_radix(id, 16).ok());
        let Some((id, request)) = id.and_then(|id| Some((id, site.evidence.request(id)?))) else {
            site.evidence.record(id.unwrap_or(0), proxy, EventKind::UnknownRequest { server: peer as u16 });
            _ = respond(conn, if id.is_some() { 400 } else { 404 }, "", b"").await;
            return;
        };
        let server = peer as u16;
        site.evidence.record_at(started, id, proxy, EventKind::AttemptStarted { server });
        conn.open_attempt = Some(id);
        let now = site.clock.now();
        site.evidence.record_at(
            now,
            id,
            proxy,
            EventKind::AttemptReceived { server, write: message.method() == "PUT" },
        );
        let mut plan = if over_limit {
            PlannedReply {
                reply: Reply::Unprocessed,
                at: now,
                interim: false,
                takes_effect: false,
                collapses: false,
            }
        } else {
            let tag = message.field("Idempotency-Key").map(str::as_bytes);
            decide(
                site,
                &Attempt { peer, proxy, now, id, request: &request, write: message.method() == "PUT", tag },
            )
        };
        if std::mem::take(&mut first) {
            plan.at = plan.at.saturating_add(micros(world.handshake_ms / 1e3));
        }
        if !wait_until_due(site, conn, &plan).await {
            conn.open_attempt = None;
            return site.evidence.record(id, proxy, EventKind::AttemptAborted { server });
        }
        // Noted ahead of the write: the proxy may act on it before the write is told to be done.
        let checked = site.clock.now();
        conn.open_attempt = None;
        if !write_reply(site, peer, conn, id, &request, plan).await {
            return site.evidence.record(id, proxy, EventKind::AttemptAborted { server });
        }
        site.evidence.record_at(checked, id, proxy, EventKind::Replied { server, reply: plan.reply });
        if closes_connection(conn, &plan) || over_limit {
            return;
        }
    }
}

/// Waits until what was planned is due; false where the other side ends the connection before.
pub async fn wait_until_due(site: &Site, conn: &mut Connection, plan: &PlannedReply) -> bool {
    let waited = async {
        match plan.reply {
            Reply::Silence => std::future::pending().await,
            _ => site.clock.sleep_until(plan.at).await,
        }
        true
    };
    let cut = async {
        conn.wait_closed().await;
        false
    };
    or(waited, cut).await
}

/// Whether the connection ends with what was said, and how.
pub fn closes_connection(conn: &Connection, plan: &PlannedReply) -> bool {
    if plan.reply == Reply::Reset {
        _ = socket2::SockRef::from(conn.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
    matches!(plan.reply, Reply::Reset | Reply::Truncated | Reply::Garbage)
}

/// An attempt that has come whole.
pub struct Attempt<'a> {
    pub peer: usize,
    pub proxy: usize,
    pub now: Micros,
    pub id: Id,
    pub request: &'a ClientRequest,
    pub write: bool,
    /// By which servers know a repeat of it.
    pub tag: Option<&'a [u8]>,
}

/// Asks the models what becomes of an attempt, and does what they say comes of it here.
pub fn decide(site: &Site, attempt: &Attempt) -> PlannedReply {
    let Attempt { peer, proxy, now, id, request, write, tag } = *attempt;
    let class = &site.experiment.classes[request.class];
    let asked =
        AttemptInput { key: request.key, write, work: site.draw_work(class.work_ms), luck: site.draw_luck() };
    let fails = site.timelines.origin_fails(now, site.draw_luck());
    let fetch = |from: Micros| {
        if fails {
            return None;
        }
        if site.experiment.fleet.protocol == PROTOCOL_RESP {
            return Some(from);
        }
        let work = site.draw_work(site.experiment.world.origin_ms);
        lock(&site.origin).handle(from, work, &site.timelines.origin)
    };
    let plan = if peer == site.origin() {
        match fetch(now) {
            // It read the request, and whether its effect came about is not known: it did not.
            None if fails => PlannedReply {
                reply: Reply::Error,
                at: now + MILLI,
                interim: false,
                takes_effect: false,
                collapses: false,
            },
            Some(at) => PlannedReply {
                reply: Reply::Fetched,
                at,
                interim: false,
                takes_effect: true,
                collapses: false,
            },
            None => PlannedReply {
                reply: Reply::Unprocessed,
                at: now,
                interim: false,
                takes_effect: false,
                collapses: false,
            },
        }
    } else {
        let timeline = &site.timelines.servers[peer];
        let mut held = lock(&site.servers[peer]);
        // A new process has nothing of the one before.
        let incarnation = timeline.at(now).unwrap_or(held.0);
        if incarnation != held.0 {
            *held = (incarnation, site.new_process(timeline.incarnations[incarnation].started));
        }
        let plan = held.1.handle(now, asked, timeline, fetch);
        if plan.reply == Reply::Miss && !asked.write {
            lock(&site.missed).entry(id).or_default().push((peer, incarnation));
        }
        plan
    };
    if plan.collapses {
        site.evidence.record(id, proxy, EventKind::ServerCollapsed { server: peer as u16 });
    }
    if plan.takes_effect
        && class.repeats.get_ref() != REPEATS_REPLAYABLE
        && !is_dropped_repeat(site, peer, class, tag, now)
    {
        site.evidence.record(id, proxy, EventKind::EffectApplied { server: peer as u16 });
    }
    plan
}

/// Whether this is a repeat of a tagged request that its group drops.
fn is_dropped_repeat(
    site: &Site,
    peer: usize,
    class: &RequestClass,
    tag: Option<&[u8]>,
    now: Micros,
) -> bool {
    let Some(tag) = tag.filter(|_| class.repeats.get_ref() == REPEATS_TAGGED) else {
        return false;
    };
    let group = match class.group.get_ref().as_str() {
        "zone" => (peer % site.zones()) as u64,
        "cell" => site.experiment.cell_of(peer),
        _ => 0,
    };
    let window = micros(class.window_ms / 1e3);
    let mut tags = lock(&site.tags);
    if tags.len() >= MAX_TAGS {
        tags.retain(|_, ran| now < *ran + window);
    }
    let tag = (tag.to_vec(), group);
    if tags.get(&tag).is_some_and(|ran| now < *ran + window) {
        return true;
    }
    tags.insert(tag, now);
    false
}

impl Site {
    fn new_process(&self, started: Micros) -> ServerModel {
        ServerModel::new(self.spec.clone(), started)
    }

    /// The origin has answered a request: its value is stored where it was missed, and a write makes copies void.
    fn store_fetched(&self, id: Id, request: &ClientRequest) {
        let missed = lock(&self.missed).remove(&id).unwrap_or_default();
        if self.experiment.classes[request.class].write {
            self.servers.iter().for_each(|server| lock(server).1.remove(request.key));
            return;
        }
        for (peer, incarnation) in missed.into_iter().take(STORE_COPIES) {
            let mut held = lock(&self.servers[peer]);
            if held.0 == incarnation {
                held.1.store(request.key);
            }
        }
    }
}

async fn respond(conn: &Connection, status: u16, extra: &str, body: &[u8]) -> std::io::Result<()> {
    conn.write(&[response_head(status, body.len(), extra).as_bytes(), body]).await
}

/// Writes what was planned; false if the other side was gone.
async fn write_reply(
    site: &Site,
    peer: usize,
    conn: &Connection,
    id: Id,
    request: &ClientRequest,
    plan: PlannedReply,
) -> bool {
    if plan.interim && conn.write(&[b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"]).await.is_err() {
        return false;
    }
    let bytes = site.experiment.classes[request.class].bytes;
    let value = || body(id, request.key, peer, bytes);
    let checked = match plan.reply {
        Reply::Hit => respond(conn, 200, "X-Lookup: hit\r\n", &value()).await,
        Reply::Fetched => {
            if peer == site.origin() {
                site.store_fetched(id, request);
            }
            let word = if peer == site.origin() { "" } else { "X-Lookup: miss\r\n" };
            respond(conn, 200, word, &value()).await
        }
        Reply::Miss => respond(conn, 404, "X-Lookup: miss\r\n", b"").await,
        Reply::Error => respond(conn, 500, "", b"").await,
        Reply::Unprocessed => respond(conn, 503, "X-Unprocessed: 1\r\n", b"").await,
        Reply::Truncated => {
            let value = value();
            let head = response_head(200, value.len(), "X-Lookup: hit\r\n");
            conn.write(&[head.as_bytes(), &value[..value.len() / 2]]).await
        }
        // Another's value, and noise where an answer should be, in turn.
        Reply::Garbage => conn.write(&[b"HTP/7.1 OK 200\x00\x01\r\n\r\n", &value()[..32]]).await,
        Reply::Silence | Reply::Reset => Ok(()),
    };
    checked.is_ok()
}
