//! The platform's list on sockets: the whole list, and a watch that waits for what is newer.

use super::{Site, lock};
use crate::clock::{MILLI, Micros, SECOND, micros};
use crate::evidence::EventKind;
use crate::experiment::Outage;
use crate::model::server_list::ListedServer;
use crate::model::timeline::{DELETED, SERVING};
use crate::wire::{Connection, response_head};
use serde_json::json;
use smol::future::or;
use std::sync::atomic::Ordering;

/// A call that would wait longer for its turn is turned away.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// How far behind an old answer is.
const STALE_BY: Micros = 5 * SECOND;
/// The longest that a watch waits, as the platform has it.
const LONGEST_WATCH: Micros = 60 * SECOND;
/// A watch goes on for so long after an answer, whether or not the next call comes, and what changes counts as told.
const WATCH_GRACE: Micros = 200 * MILLI;
/// What a silent call has to tell counts as told so long after it fell silent, or after its wait, if that is later.
const SILENT: (Micros, Micros) = (6 * SECOND, 2 * SECOND);

pub async fn calls(site: &Site, proxy: usize, conn: &mut Connection) {
    let mut answered_watch = None;
    loop {
        let call = match answered_watch {
            None => conn.read_request().await,
            Some(answer) => {
                let in_grace = async {
                    watch_grace(site, proxy, answer).await;
                    std::future::pending().await
                };
                let call = or(conn.read_request(), in_grace).await;
                if call.is_err() {
                    watch_grace(site, proxy, answer).await;
                }
                call
            }
        };
        let Ok(call) = call else { return };
        site.list_calls[proxy].fetch_add(1, Ordering::Relaxed);
        let now = site.clock.now();
        if let Some((_, how)) = site.timelines.list_outage(now) {
            match fail_call(site, conn, how).await {
                true => continue,
                false => return,
            }
        }
        let part = |name: &str| {
            let found = call.target().split(['?', '&']).find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|v| v.parse::<u64>().ok())
        };
        let (index, wait) = (part("index"), part("wait").unwrap_or(0).saturating_mul(MILLI));
        let Some(queue_slot) = queue_slot(site, now) else {
            _ = conn.write(&[response_head(503, 0, "").as_bytes()]).await;
            answered_watch = None;
            continue;
        };
        site.clock.sleep_until(queue_slot).await;
        if conn.is_closed() {
            // Given up before its turn: nothing is told by it.
            return;
        }
        if let Some(index) = index.filter(|i| *i >= site.server_list.version(site.clock.now())) {
            let newer = site.server_list.next_change(index).unwrap_or(Micros::MAX);
            let ends = site.timelines.list_down.iter().map(|(s, _)| s.start).filter(|at| *at > now).min();
            let wait = wait.min(LONGEST_WATCH);
            let until = newer.min(now + wait).min(ends.unwrap_or(Micros::MAX));
            let silent = site.timelines.list_silences.iter().find(|at| (now..until).contains(at));
            if let Some(from) = silent {
                return or(
                    silent_call(site, proxy, now, index, (from + SILENT.0).max(now + wait + SILENT.1)),
                    conn.wait_closed(),
                )
                .await;
            }
            let waited = async {
                site.clock.sleep_until(until).await;
                true
            };
            let cut = async {
                conn.wait_closed().await;
                false
            };
            if !or(waited, cut).await {
                return;
            }
            if let Some((_, how)) = site.timelines.list_outage(site.clock.now()) {
                match fail_call(site, conn, how).await {
                    true => continue,
                    false => return,
                }
            }
        }
        let Some(version) = answer_call(site, proxy, conn, now, index).await else { return };
        let calls = site.list_calls[proxy].load(Ordering::Relaxed);
        answered_watch =
            index.map(|_| WatchAnswer { version, called: now, answered: site.clock.now(), calls });
    }
}

/// Fails a call that was read, as an outage has it; whether the connection goes on.
async fn fail_call(site: &Site, conn: &mut Connection, how: Outage) -> bool {
    match how {
        Outage::Closes | Outage::Refuses => false,
        Outage::Unavailable | Outage::UnavailableLate => {
            if how == Outage::UnavailableLate {
                site.clock.sleep_until(site.clock.now() + QUEUE_TIMEOUT).await;
            }
            conn.write(&[response_head(503, 0, "").as_bytes()]).await.is_ok()
        }
        Outage::Silent => {
            conn.wait_closed().await;
            false
        }
        Outage::HalfAnswer => {
            let part = response_head(200, 1000, "Content-Type: application/json\r\n") + "{\"version\":";
            _ = conn.write(&[part.as_bytes()]).await;
            conn.wait_closed().await;
            false
        }
    }
}

/// Calls are worked through one after the other.
fn queue_slot(site: &Site, now: Micros) -> Option<Micros> {
    let mut free = lock(&site.list_free_at);
    let at = (*free).max(now);
    if at > now + QUEUE_TIMEOUT {
        return None;
    }
    *free = at + micros(site.experiment.world.list_call_ms / 1e3);
    Some(*free)
}

/// A call that has fallen silent: what it misses counts as told from that moment on.
async fn silent_call(site: &Site, proxy: usize, called: Micros, index: u64, from: Micros) {
    let mut at = index;
    while let Some(change) = site.server_list.next_change(at) {
        site.clock.sleep_until(change.max(from)).await;
        let version = site.server_list.version(site.clock.now());
        record_notified(site, proxy, called, &site.server_list.changes_since(at, version), site.clock.now());
        at = version;
    }
    std::future::pending().await
}

/// A watch's answer.
#[derive(Clone, Copy)]
struct WatchAnswer {
    version: u64,
    called: Micros,
    answered: Micros,
    /// That its proxy had made by then.
    calls: usize,
}

/// After a watch's answer: what changes while the watch goes on counts as told, to the process that called. One that was killed
/// between its call and the answer was told nothing by it, and neither is the process that was started after it. Once the proxy's
/// next call has come, on whichever connection, what it misses is that call's.
async fn watch_grace(site: &Site, proxy: usize, answered_watch: WatchAnswer) {
    let mut at = answered_watch.version;
    while let Some(change) =
        site.server_list.next_change(at).filter(|change| *change <= answered_watch.answered + WATCH_GRACE)
    {
        site.clock.sleep_until(change).await;
        if site.list_calls[proxy].load(Ordering::Relaxed) != answered_watch.calls {
            return;
        }
        let next = site.server_list.version(change);
        record_notified(
            site,
            proxy,
            answered_watch.called,
            &site.server_list.changes_since(at, next),
            change,
        );
        at = next;
    }
}

/// What lines say of servers counts as told to a proxy at that moment, unless the process that called then is gone by now: what
/// is written to it is told to nobody.
fn record_notified(site: &Site, proxy: usize, called: Micros, entries: &[ListedServer], at: Micros) {
    if site.evidence.gone_since(proxy, called) {
        return;
    }
    for entry in entries.iter().filter(|entry| entry.server < site.origin()) {
        let answered_watch = EventKind::Notified { server: entry.server as u16, off: entry.state != SERVING };
        site.evidence.record_at(at, 0, proxy, answered_watch);
    }
}

/// Answers, and returns the version that is told by it; none where the connection is gone.
async fn answer_call(
    site: &Site,
    proxy: usize,
    conn: &Connection,
    called: Micros,
    index: Option<u64>,
) -> Option<u64> {
    let now = site.clock.now();
    let old = site.timelines.list_old.iter().any(|span| span.contains(&now));
    let version = site.server_list.version(if old { now.saturating_sub(STALE_BY) } else { now });
    let full = old || index.is_none_or(|i| i > version);
    let entries = match index {
        Some(index) if !full => site.server_list.changes_since(index, version),
        _ => site.server_list.snapshot(version),
    };
    let servers: Vec<_> = entries.iter().map(|entry| site.list_entry(proxy, entry)).collect();
    let text = json!({"version": version, "full": full, "servers": servers}).to_string();
    let head = response_head(200, text.len(), "Content-Type: application/json\r\n");
    if conn.write(&[head.as_bytes(), text.as_bytes()]).await.is_err() {
        return None;
    }
    if old {
        // Nothing new is told by it, and nothing that was told is taken back.
        return Some(version);
    }
    let now = site.clock.now();
    record_notified(site, proxy, called, &entries, now);
    if full {
        let gone = (0..site.origin()).filter(|c| !entries.iter().any(|l| l.server == *c));
        let gone: Vec<ListedServer> =
            gone.map(|server| ListedServer { server, state: DELETED, started: 0 }).collect();
        record_notified(site, proxy, called, &gone, now);
    }
    Some(version)
}

impl Site {
    /// The whole list before any change, as a proxy is told it with its configuration.
    pub fn known(&self, proxy: usize) -> Vec<serde_json::Value> {
        self.server_list
            .snapshot(crate::model::server_list::FIRST_VERSION)
            .iter()
            .map(|entry| self.list_entry(proxy, entry))
            .collect()
    }

    /// A line of the list as one proxy reads it.
    pub fn list_entry(&self, proxy: usize, entry: &ListedServer) -> serde_json::Value {
        let origin = entry.server == self.origin();
        let started = if entry.started == 0 { 0 } else { self.clock.unix_start_ms() + entry.started / MILLI };
        json!({
            "id": if origin { "origin".to_string() } else { format!("cache-{:03}", entry.server) },
            "addr": self.net.server(proxy, entry.server, self.origin()).to_string(),
            "zone": self.experiment.zone_of(if origin { 0 } else { entry.server }),
            "kind": if origin { "origin" } else { "cache" },
            "cell": if origin { 0 } else { self.experiment.cell_of(entry.server) },
            "state": entry.state,
            "weight": 1.0,
            "started_ms": started,
        })
    }
}
