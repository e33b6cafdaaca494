//! What caches and the origin do with a connection: shots one at a time, probes, and the end of both.

use super::{Counted, Site, lock};
use crate::clock::{MILLI, Micros, micros};
use crate::evidence::{Ask, Id, What};
use crate::experiment::{Namespace, REPLAYABLE, RESP, TAGGED};
use crate::model::cache::{Asked, CacheModel, Plan, Say};
use crate::wire::{Conn, Fault, answer_head};
use smol::Timer;
use smol::future::or;
use std::time::Duration;

/// Of the caches that missed for a lookup so many store what the origin answered, the first ones.
const STORE_AT: usize = 2;
/// Repeats of a tagged lookup are known by its tag for its window; older ones go once there are so many.
const MOST_TAGS: usize = 1 << 16;

/// A body made for one lookup: who it is for, by whom, filled up to its length, and its own checksum.
pub fn body(id: Id, key: u64, by: usize, bytes: usize) -> Vec<u8> {
    let mut body = format!("{id:016x} {key} {by} ").into_bytes();
    body.resize(bytes.max(body.len() + 8) - 8, b'v');
    let sum = crc32fast::hash(&body);
    body.extend(format!("{sum:08x}").into_bytes());
    body
}

/// Whether a body is whole and made for that lookup.
pub fn is_for(body: &[u8], id: Id) -> bool {
    let Some((said, sum)) = body.split_at_checked(body.len().saturating_sub(8)) else { return false };
    said.starts_with(format!("{id:016x} ").as_bytes())
        && sum == format!("{:08x}", crc32fast::hash(said)).as_bytes()
}

pub async fn shots(site: &Site, peer: usize, proxy: usize, conn: &mut Conn) {
    let world = &site.experiment.world;
    let most = if peer == site.origin() { world.origin_connections } else { world.connections };
    let counted = Counted::new(&site.connections[peer]);
    let crowded = counted.before >= most;
    let idle = Duration::from_secs_f64(world.idle_s);
    let mut first = true;
    loop {
        if conn.ahead.is_empty() {
            let closed = async {
                Timer::after(idle).await;
                Ok(0)
            };
            if !matches!(or(conn.more(), closed).await, Ok(1..)) {
                return;
            }
        }
        let begun = site.clock.now();
        let message = match conn.question().await {
            Ok(message) => message,
            Err(Fault::Nonsense) => {
                _ = say(conn, 400, "", b"").await;
                return;
            }
            Err(_) => return,
        };
        if message.target() == "/alive" {
            let pace =
                if peer < site.origin() { &site.courses.caches[peer].pace } else { &site.courses.origin };
            site.clock.reach(pace.done(site.clock.now(), MILLI / 2)).await;
            if say(conn, 200, "", b"").await.is_err() {
                return;
            }
            continue;
        }
        let id = message.field("X-Correlation-Id").and_then(|id| Id::from_str_radix(id, 16).ok());
        let Some((id, ask)) = id.and_then(|id| Some((id, site.evidence.asked(id)?))) else {
            site.evidence.note(id.unwrap_or(0), proxy, What::MadeUp { cache: peer as u16 });
            _ = say(conn, if id.is_some() { 400 } else { 404 }, "", b"").await;
            return;
        };
        let cache = peer as u16;
        site.evidence.note_at(begun, id, proxy, What::Begun { cache });
        conn.open = Some(id);
        let now = site.clock.now();
        site.evidence.note_at(now, id, proxy, What::Shot { cache, write: message.method() == "PUT" });
        let mut plan = if crowded {
            Plan { say: Say::Full, at: now, interim: false, runs: false, falls: false }
        } else {
            let tag = message.field("Idempotency-Key").map(str::as_bytes);
            decide(site, &Shot { peer, proxy, now, id, ask: &ask, write: message.method() == "PUT", tag })
        };
        if std::mem::take(&mut first) {
            plan.at = plan.at.saturating_add(micros(world.handshake_ms / 1e3));
        }
        if !due(site, conn, &plan).await {
            conn.open = None;
            return site.evidence.note(id, proxy, What::Cut { cache });
        }
        // Noted ahead of the write: the proxy may act on it before the write is told to be done.
        let said = site.clock.now();
        conn.open = None;
        if !answer(site, peer, conn, id, &ask, plan).await {
            return site.evidence.note(id, proxy, What::Cut { cache });
        }
        site.evidence.note_at(said, id, proxy, What::Said { cache, say: plan.say });
        if ends(conn, &plan) || crowded {
            return;
        }
    }
}

/// Waits until what was planned is due; false where the other side ends the connection before.
pub async fn due(site: &Site, conn: &mut Conn, plan: &Plan) -> bool {
    let waited = async {
        match plan.say {
            Say::Nothing => std::future::pending().await,
            _ => site.clock.reach(plan.at).await,
        }
        true
    };
    let cut = async {
        conn.closed().await;
        false
    };
    or(waited, cut).await
}

/// Whether the connection ends with what was said, and how.
pub fn ends(conn: &Conn, plan: &Plan) -> bool {
    if plan.say == Say::Reset {
        _ = socket2::SockRef::from(conn.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
    matches!(plan.say, Say::Reset | Say::Half | Say::Spoilt)
}

/// A shot that has come whole.
pub struct Shot<'a> {
    pub peer: usize,
    pub proxy: usize,
    pub now: Micros,
    pub id: Id,
    pub ask: &'a Ask,
    pub write: bool,
    /// By which caches know a repeat of it.
    pub tag: Option<&'a [u8]>,
}

/// Asks the models what becomes of a shot, and does what they say comes of it here.
pub fn decide(site: &Site, shot: &Shot) -> Plan {
    let Shot { peer, proxy, now, id, ask, write, tag } = *shot;
    let ns = &site.experiment.namespaces[ask.ns];
    let asked = Asked { key: ask.key, write, work: site.work_of(ns.work_ms), luck: site.luck() };
    let fails = site.courses.origin_fails(now, site.luck());
    let fetch = |from: Micros| {
        if fails {
            return None;
        }
        if site.experiment.fleet.door == RESP {
            return Some(from);
        }
        let work = site.work_of(site.experiment.world.origin_ms);
        lock(&site.origin).take(from, work, &site.courses.origin)
    };
    let plan = if peer == site.origin() {
        match fetch(now) {
            // It read the lookup, and whether its effect came about is not known: it did not.
            None if fails => {
                Plan { say: Say::Error, at: now + MILLI, interim: false, runs: false, falls: false }
            }
            Some(at) => Plan { say: Say::Fetched, at, interim: false, runs: true, falls: false },
            None => Plan { say: Say::Full, at: now, interim: false, runs: false, falls: false },
        }
    } else {
        let course = &site.courses.caches[peer];
        let mut held = lock(&site.caches[peer]);
        // A new process has nothing of the one before.
        let life = course.at(now).unwrap_or(held.0);
        if life != held.0 {
            *held = (life, site.reborn(course.lives[life].born));
        }
        let plan = held.1.take(now, asked, course, fetch);
        if plan.say == Say::Miss && !asked.write {
            lock(&site.missed).entry(id).or_default().push((peer, life));
        }
        plan
    };
    if plan.falls {
        site.evidence.note(id, proxy, What::Fell { cache: peer as u16 });
    }
    if plan.runs && ns.repeats.get_ref() != REPLAYABLE && !dropped(site, peer, ns, tag, now) {
        site.evidence.note(id, proxy, What::Ran { cache: peer as u16 });
    }
    plan
}

/// Whether this is a repeat of a tagged lookup that its group drops.
fn dropped(site: &Site, peer: usize, ns: &Namespace, tag: Option<&[u8]>, now: Micros) -> bool {
    let Some(tag) = tag.filter(|_| ns.repeats.get_ref() == TAGGED) else {
        return false;
    };
    let group = match ns.group.get_ref().as_str() {
        "zone" => (peer % site.zones()) as u64,
        "cell" => site.experiment.cell_of(peer),
        _ => 0,
    };
    let window = micros(ns.window_ms / 1e3);
    let mut tags = lock(&site.tags);
    if tags.len() >= MOST_TAGS {
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
    fn reborn(&self, born: Micros) -> CacheModel {
        CacheModel::new(self.make.clone(), born)
    }

    /// The origin has answered a lookup: its value is stored where it was missed, and a write makes copies void.
    fn stored(&self, id: Id, ask: &Ask) {
        let missed = lock(&self.missed).remove(&id).unwrap_or_default();
        if self.experiment.namespaces[ask.ns].write {
            self.caches.iter().for_each(|cache| lock(cache).1.drop_key(ask.key));
            return;
        }
        for (peer, life) in missed.into_iter().take(STORE_AT) {
            let mut held = lock(&self.caches[peer]);
            if held.0 == life {
                held.1.keep(ask.key);
            }
        }
    }
}

async fn say(conn: &Conn, status: u16, extra: &str, body: &[u8]) -> std::io::Result<()> {
    conn.write(&[answer_head(status, body.len(), extra).as_bytes(), body]).await
}

/// Writes what was planned; false if the other side was gone.
async fn answer(site: &Site, peer: usize, conn: &Conn, id: Id, ask: &Ask, plan: Plan) -> bool {
    if plan.interim && conn.write(&[b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"]).await.is_err() {
        return false;
    }
    let bytes = site.experiment.namespaces[ask.ns].bytes;
    let value = || body(id, ask.key, peer, bytes);
    let said = match plan.say {
        Say::Held => say(conn, 200, "X-Lookup: hit\r\n", &value()).await,
        Say::Fetched => {
            if peer == site.origin() {
                site.stored(id, ask);
            }
            let word = if peer == site.origin() { "" } else { "X-Lookup: miss\r\n" };
            say(conn, 200, word, &value()).await
        }
        Say::Miss => say(conn, 404, "X-Lookup: miss\r\n", b"").await,
        Say::Error => say(conn, 500, "", b"").await,
        Say::Full => say(conn, 503, "X-Unprocessed: 1\r\n", b"").await,
        Say::Half => {
            let value = value();
            let head = answer_head(200, value.len(), "X-Lookup: hit\r\n");
            conn.write(&[head.as_bytes(), &value[..value.len() / 2]]).await
        }
        // Another's value, and noise where an answer should be, in turn.
        Say::Spoilt => conn.write(&[b"HTP/7.1 OK 200\x00\x01\r\n\r\n", &value()[..32]]).await,
        Say::Nothing | Say::Reset => Ok(()),
    };
    said.is_ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_body_is_for_one_lookup_and_whole_or_it_is_for_none() {
        let made = body(0xabc, 7, 3, 100);
        assert_eq!(made.len(), 100);
        let mut cut = made.clone();
        cut.truncate(60);
        let mut changed = made.clone();
        changed[50] = b'x';
        let seen = [is_for(&made, 0xabc), is_for(&made, 0xabd), is_for(&cut, 0xabc), is_for(&changed, 0xabc)];
        assert_eq!((seen, is_for(b"", 0)), ([true, false, false, false], false));
    }
}
