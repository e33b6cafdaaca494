//! Servers that speak the cluster dialect of RESP, after its public specification: slots, redirections, replicas, loading.

use super::{ConnectionCount, Site, server};
use crate::clock::MILLI;
use crate::evidence::{EventKind, Id};
use crate::model::cluster::{Command, CommandOutcome};
use crate::model::server::{PlannedReply, Reply};
use crate::resp::{bulk, read_command, slot};
use crate::wire::Connection;

/// What a key of the testbed's says: `class:{kN}:ID[:FIRST]`.
struct Key {
    id: Id,
    tag: Vec<u8>,
}

fn parse_key(text: &[u8]) -> Option<Key> {
    let text = std::str::from_utf8(text).ok()?;
    let mut parts = text.rsplit(':');
    let (first, id) = (parts.next()?, parts.next()?);
    Some(Key { id: Id::from_str_radix(id, 16).ok()?, tag: first.as_bytes().to_vec() })
}

pub async fn serve_attempts(site: &Site, peer: usize, proxy: usize, conn: &mut Connection) {
    let _counted = ConnectionCount::new(&site.connections[peer]);
    let (mut asking, mut readonly) = (false, false);
    let addr = |node| site.net.server(proxy, node, site.origin()).to_string();
    while let Ok(words) = read_command(conn).await {
        let started = site.clock.now();
        let name = String::from_utf8_lossy(words.first().map_or(&[], Vec::as_slice)).to_uppercase();
        let reply = match name.as_str() {
            "PING" => {
                let done = site.timelines.servers[peer].speed.completion(started, MILLI / 2);
                site.clock.sleep_until(done).await;
                let loading = site.cluster.handle(peer, done, Command::default()) == CommandOutcome::Loading;
                Some(if loading {
                    b"-LOADING the data set is loaded\r\n".to_vec()
                } else {
                    b"+PONG\r\n".to_vec()
                })
            }
            "ASKING" => {
                asking = true;
                Some(b"+OK\r\n".to_vec())
            }
            "READONLY" => {
                readonly = true;
                Some(b"+OK\r\n".to_vec())
            }
            "CLUSTER" => {
                let text = site.cluster.nodes(peer, started, site.origin(), addr);
                Some(bulk(text.as_bytes()))
            }
            _ => None,
        };
        if let Some(reply) = reply {
            if conn.write(&[&reply]).await.is_err() {
                return;
            }
            continue;
        }
        let write = name == "SET";
        let Some(parse_key) = words.get(1).and_then(|w| parse_key(w)) else {
            _ = conn.write(&[b"-ERR no key of the lab's\r\n"]).await;
            return;
        };
        let (id, server) = (parse_key.id, peer as u16);
        let Some(request) = site.evidence.request(id) else {
            site.evidence.record(id, proxy, EventKind::UnknownRequest { server });
            _ = conn.write(&[b"-ERR an id that nobody sent\r\n"]).await;
            return;
        };
        site.evidence.record_at(started, id, proxy, EventKind::AttemptStarted { server });
        let now = site.clock.now();
        site.evidence.record_at(now, id, proxy, EventKind::AttemptReceived { server, write });
        let slot = slot(&words[1]);
        let rank = request.key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let command =
            Command { slot, rank: rank % 1000, asking: std::mem::take(&mut asking), readonly, write };
        let refused = match site.cluster.handle(peer, now, command) {
            CommandOutcome::Serves => None,
            CommandOutcome::Moved(to) => Some((Reply::Miss, format!("-MOVED {slot} {}\r\n", addr(to)))),
            CommandOutcome::Ask(to) => Some((Reply::Miss, format!("-ASK {slot} {}\r\n", addr(to)))),
            CommandOutcome::TryAgain => {
                Some((Reply::Unprocessed, "-TRYAGAIN the key is on its way\r\n".into()))
            }
            CommandOutcome::Loading => {
                Some((Reply::Unprocessed, "-LOADING the data set is loaded\r\n".into()))
            }
        };
        let (plan, bytes) = match refused {
            Some((reply, text)) => (
                PlannedReply { reply, at: now, interim: false, takes_effect: false, collapses: false },
                text.into_bytes(),
            ),
            None => {
                let attempt = server::Attempt {
                    peer,
                    proxy,
                    now,
                    id,
                    request: &request,
                    write,
                    tag: Some(&parse_key.tag),
                };
                let plan = server::decide(site, &attempt);
                let value = server::body(id, request.key, peer, site.experiment.classes[request.class].bytes);
                let bytes = match plan.reply {
                    Reply::Hit | Reply::Fetched if write => b"+OK\r\n".to_vec(),
                    Reply::Hit | Reply::Fetched => bulk(&value),
                    Reply::Unprocessed => b"-LOADING busy\r\n".to_vec(),
                    Reply::Truncated => bulk(&value)[..value.len() / 2].to_vec(),
                    Reply::Garbage => b"?what\r\n".to_vec(),
                    Reply::Error | Reply::Miss => b"-ERR failed\r\n".to_vec(),
                    Reply::Silence | Reply::Reset => Vec::new(),
                };
                (plan, bytes)
            }
        };
        if !server::wait_until_due(site, conn, &plan).await {
            return site.evidence.record(id, proxy, EventKind::AttemptAborted { server });
        }
        let at = site.clock.now();
        if conn.write(&[&bytes]).await.is_err() {
            return site.evidence.record(id, proxy, EventKind::AttemptAborted { server });
        }
        site.evidence.record_at(at, id, proxy, EventKind::Replied { server, reply: plan.reply });
        if server::closes_connection(conn, &plan) {
            return;
        }
    }
}
