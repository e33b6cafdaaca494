//! The platform's list on sockets: the whole list, and a watch that waits for what is newer.

use super::{Site, lock};
use crate::clock::{MILLI, Micros, SECOND, micros};
use crate::evidence::What;
use crate::experiment::Outage;
use crate::model::course::{DELETED, SERVING};
use crate::model::listing::Line;
use crate::wire::{Conn, answer_head};
use serde_json::json;
use smol::future::or;
use std::sync::atomic::Ordering;

/// A call that would wait longer for its turn is turned away.
const PATIENCE: Micros = 2 * SECOND;
/// How far behind an old answer is.
const OLD: Micros = 5 * SECOND;
/// The longest that a watch waits, as the platform has it.
const LONGEST_WATCH: Micros = 60 * SECOND;
/// A watch goes on for so long after an answer, whether or not the next call comes, and what changes counts as told.
const GOES_ON: Micros = 200 * MILLI;
/// What a silent call has to tell counts as told so long after it fell silent, or after its wait, if that is later.
const SILENT: (Micros, Micros) = (6 * SECOND, 2 * SECOND);

pub async fn calls(site: &Site, proxy: usize, conn: &mut Conn) {
    let mut told = None;
    loop {
        let call = match told {
            None => conn.question().await,
            Some(answer) => {
                let goes_on = async {
                    going_on(site, proxy, answer).await;
                    std::future::pending().await
                };
                let call = or(conn.question(), goes_on).await;
                if call.is_err() {
                    going_on(site, proxy, answer).await;
                }
                call
            }
        };
        let Ok(call) = call else { return };
        site.list_calls[proxy].fetch_add(1, Ordering::Relaxed);
        let now = site.clock.now();
        if let Some((_, how)) = site.courses.list_outage(now) {
            match fail(site, conn, how).await {
                true => continue,
                false => return,
            }
        }
        let part = |name: &str| {
            let found = call.target().split(['?', '&']).find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|v| v.parse::<u64>().ok())
        };
        let (index, wait) = (part("index"), part("wait").unwrap_or(0).saturating_mul(MILLI));
        let Some(turn) = turn(site, now) else {
            _ = conn.write(&[answer_head(503, 0, "").as_bytes()]).await;
            told = None;
            continue;
        };
        site.clock.reach(turn).await;
        if conn.is_closed() {
            // Given up before its turn: nothing is told by it.
            return;
        }
        if let Some(index) = index.filter(|i| *i >= site.listing.version(site.clock.now())) {
            let newer = site.listing.next(index).unwrap_or(Micros::MAX);
            let ends = site.courses.list_down.iter().map(|(s, _)| s.start).filter(|at| *at > now).min();
            let wait = wait.min(LONGEST_WATCH);
            let until = newer.min(now + wait).min(ends.unwrap_or(Micros::MAX));
            let silent = site.courses.list_silent.iter().find(|at| (now..until).contains(at));
            if let Some(from) = silent {
                return or(
                    missed(site, proxy, now, index, (from + SILENT.0).max(now + wait + SILENT.1)),
                    conn.closed(),
                )
                .await;
            }
            let waited = async {
                site.clock.reach(until).await;
                true
            };
            let cut = async {
                conn.closed().await;
                false
            };
            if !or(waited, cut).await {
                return;
            }
            if let Some((_, how)) = site.courses.list_outage(site.clock.now()) {
                match fail(site, conn, how).await {
                    true => continue,
                    false => return,
                }
            }
        }
        let Some(version) = tell(site, proxy, conn, now, index).await else { return };
        let calls = site.list_calls[proxy].load(Ordering::Relaxed);
        told = index.map(|_| Told { version, called: now, answered: site.clock.now(), calls });
    }
}

/// Fails a call that was read, as an outage has it; whether the connection goes on.
async fn fail(site: &Site, conn: &mut Conn, how: Outage) -> bool {
    match how {
        Outage::Closes | Outage::Refuses => false,
        Outage::Unavailable | Outage::UnavailableLate => {
            if how == Outage::UnavailableLate {
                site.clock.reach(site.clock.now() + PATIENCE).await;
            }
            conn.write(&[answer_head(503, 0, "").as_bytes()]).await.is_ok()
        }
        Outage::Silent => {
            conn.closed().await;
            false
        }
        Outage::HalfAnswer => {
            let part = answer_head(200, 1000, "Content-Type: application/json\r\n") + "{\"version\":";
            _ = conn.write(&[part.as_bytes()]).await;
            conn.closed().await;
            false
        }
    }
}

/// Calls are worked through one after the other.
fn turn(site: &Site, now: Micros) -> Option<Micros> {
    let mut free = lock(&site.list_free);
    let at = (*free).max(now);
    if at > now + PATIENCE {
        return None;
    }
    *free = at + micros(site.experiment.world.list_call_ms / 1e3);
    Some(*free)
}

/// A call that has fallen silent: what it misses counts as told from that moment on.
async fn missed(site: &Site, proxy: usize, called: Micros, index: u64, from: Micros) {
    let mut at = index;
    while let Some(change) = site.listing.next(at) {
        site.clock.reach(change.max(from)).await;
        let version = site.listing.version(site.clock.now());
        count(site, proxy, called, &site.listing.since(at, version), site.clock.now());
        at = version;
    }
    std::future::pending().await
}

/// A watch's answer.
#[derive(Clone, Copy)]
struct Told {
    version: u64,
    called: Micros,
    answered: Micros,
    /// That its proxy had made by then.
    calls: usize,
}

/// After a watch's answer: what changes while the watch goes on counts as told, to the process that called. One that was killed
/// between its call and the answer was told nothing by it, and neither is the process that was started after it. Once the proxy's
/// next call has come, on whichever connection, what it misses is that call's.
async fn going_on(site: &Site, proxy: usize, told: Told) {
    let mut at = told.version;
    while let Some(change) = site.listing.next(at).filter(|change| *change <= told.answered + GOES_ON) {
        site.clock.reach(change).await;
        if site.list_calls[proxy].load(Ordering::Relaxed) != told.calls {
            return;
        }
        let next = site.listing.version(change);
        count(site, proxy, told.called, &site.listing.since(at, next), change);
        at = next;
    }
}

/// What lines say of caches counts as told to a proxy at that moment, unless the process that called then is gone by now: what
/// is written to it is told to nobody.
fn count(site: &Site, proxy: usize, called: Micros, lines: &[Line], at: Micros) {
    if site.evidence.gone_since(proxy, called) {
        return;
    }
    for line in lines.iter().filter(|line| line.cache < site.origin()) {
        let told = What::Told { cache: line.cache as u16, off: line.state != SERVING };
        site.evidence.note_at(at, 0, proxy, told);
    }
}

/// Answers, and returns the version that is told by it; none where the connection is gone.
async fn tell(site: &Site, proxy: usize, conn: &Conn, called: Micros, index: Option<u64>) -> Option<u64> {
    let now = site.clock.now();
    let old = site.courses.list_old.iter().any(|span| span.contains(&now));
    let version = site.listing.version(if old { now.saturating_sub(OLD) } else { now });
    let full = old || index.is_none_or(|i| i > version);
    let lines = match index {
        Some(index) if !full => site.listing.since(index, version),
        _ => site.listing.whole(version),
    };
    let servers: Vec<_> = lines.iter().map(|line| site.line(proxy, line)).collect();
    let text = json!({"version": version, "full": full, "servers": servers}).to_string();
    let head = answer_head(200, text.len(), "Content-Type: application/json\r\n");
    if conn.write(&[head.as_bytes(), text.as_bytes()]).await.is_err() {
        return None;
    }
    if old {
        // Nothing new is told by it, and nothing that was told is taken back.
        return Some(version);
    }
    let now = site.clock.now();
    count(site, proxy, called, &lines, now);
    if full {
        let gone = (0..site.origin()).filter(|c| !lines.iter().any(|l| l.cache == *c));
        let gone: Vec<Line> = gone.map(|cache| Line { cache, state: DELETED, born: 0 }).collect();
        count(site, proxy, called, &gone, now);
    }
    Some(version)
}

impl Site {
    /// The whole list before any change, as a proxy is told it with its configuration.
    pub fn known(&self, proxy: usize) -> Vec<serde_json::Value> {
        self.listing.whole(crate::model::listing::FIRST).iter().map(|line| self.line(proxy, line)).collect()
    }

    /// A line of the list as one proxy reads it.
    pub fn line(&self, proxy: usize, line: &Line) -> serde_json::Value {
        let origin = line.cache == self.origin();
        let started = if line.born == 0 { 0 } else { self.clock.unix_start_ms() + line.born / MILLI };
        json!({
            "id": if origin { "origin".to_string() } else { format!("cache-{:03}", line.cache) },
            "addr": self.net.cache(proxy, line.cache, self.origin()).to_string(),
            "zone": self.experiment.zone_of(if origin { 0 } else { line.cache }),
            "kind": if origin { "origin" } else { "cache" },
            "cell": if origin { 0 } else { self.experiment.cell_of(line.cache) },
            "state": line.state,
            "weight": 1.0,
            "started_ms": started,
        })
    }
}
