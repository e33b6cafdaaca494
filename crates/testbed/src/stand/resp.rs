//! Servers that speak the cluster dialect of RESP, after its public specification: slots, redirections, replicas, loading.

use super::{Counted, Site, cache};
use crate::clock::MILLI;
use crate::evidence::{Id, What};
use crate::model::cache::{Plan, Say};
use crate::model::cluster::{Comes, Does};
use crate::resp::{bulk, question, slot};
use crate::wire::Conn;

/// What a key of the lab's says: `namespace:{kN}:ID[:FIRST]`.
struct Key {
    id: Id,
    tag: Vec<u8>,
}

fn key(text: &[u8]) -> Option<Key> {
    let text = std::str::from_utf8(text).ok()?;
    let mut parts = text.rsplit(':');
    let (first, id) = (parts.next()?, parts.next()?);
    Some(Key { id: Id::from_str_radix(id, 16).ok()?, tag: first.as_bytes().to_vec() })
}

pub async fn shots(site: &Site, peer: usize, proxy: usize, conn: &mut Conn) {
    let _counted = Counted::new(&site.connections[peer]);
    let (mut asking, mut readonly) = (false, false);
    let addr = |node| site.net.cache(proxy, node, site.origin()).to_string();
    while let Ok(words) = question(conn).await {
        let begun = site.clock.now();
        let name = String::from_utf8_lossy(words.first().map_or(&[], Vec::as_slice)).to_uppercase();
        let own = match name.as_str() {
            "PING" => {
                let done = site.courses.caches[peer].pace.done(begun, MILLI / 2);
                site.clock.reach(done).await;
                let loads = site.cluster.does(peer, done, Comes::default()) == Does::Loading;
                Some(if loads {
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
                let text = site.cluster.nodes(peer, begun, site.origin(), addr);
                Some(bulk(text.as_bytes()))
            }
            _ => None,
        };
        if let Some(own) = own {
            if conn.write(&[&own]).await.is_err() {
                return;
            }
            continue;
        }
        let write = name == "SET";
        let Some(key) = words.get(1).and_then(|w| key(w)) else {
            _ = conn.write(&[b"-ERR no key of the lab's\r\n"]).await;
            return;
        };
        let (id, cache) = (key.id, peer as u16);
        let Some(ask) = site.evidence.asked(id) else {
            site.evidence.note(id, proxy, What::MadeUp { cache });
            _ = conn.write(&[b"-ERR an id that nobody sent\r\n"]).await;
            return;
        };
        site.evidence.note_at(begun, id, proxy, What::Begun { cache });
        let now = site.clock.now();
        site.evidence.note_at(now, id, proxy, What::Shot { cache, write });
        let slot = slot(&words[1]);
        let rank = ask.key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let comes = Comes { slot, rank: rank % 1000, asking: std::mem::take(&mut asking), readonly, write };
        let refused = match site.cluster.does(peer, now, comes) {
            Does::Serves => None,
            Does::Moved(to) => Some((Say::Miss, format!("-MOVED {slot} {}\r\n", addr(to)))),
            Does::Ask(to) => Some((Say::Miss, format!("-ASK {slot} {}\r\n", addr(to)))),
            Does::TryAgain => Some((Say::Full, "-TRYAGAIN the key is on its way\r\n".into())),
            Does::Loading => Some((Say::Full, "-LOADING the data set is loaded\r\n".into())),
        };
        let (plan, said) = match refused {
            Some((say, text)) => {
                (Plan { say, at: now, interim: false, runs: false, falls: false }, text.into_bytes())
            }
            None => {
                let shot = cache::Shot { peer, proxy, now, id, ask: &ask, write, tag: Some(&key.tag) };
                let plan = cache::decide(site, &shot);
                let value = cache::body(id, ask.key, peer, site.experiment.namespaces[ask.ns].bytes);
                let said = match plan.say {
                    Say::Held | Say::Fetched if write => b"+OK\r\n".to_vec(),
                    Say::Held | Say::Fetched => bulk(&value),
                    Say::Full => b"-LOADING busy\r\n".to_vec(),
                    Say::Half => bulk(&value)[..value.len() / 2].to_vec(),
                    Say::Spoilt => b"?what\r\n".to_vec(),
                    Say::Error | Say::Miss => b"-ERR failed\r\n".to_vec(),
                    Say::Nothing | Say::Reset => Vec::new(),
                };
                (plan, said)
            }
        };
        if !cache::due(site, conn, &plan).await {
            return site.evidence.note(id, proxy, What::Cut { cache });
        }
        let at = site.clock.now();
        if conn.write(&[&said]).await.is_err() {
            return site.evidence.note(id, proxy, What::Cut { cache });
        }
        site.evidence.note_at(at, id, proxy, What::Said { cache, say: plan.say });
        if cache::ends(conn, &plan) {
            return;
        }
    }
}
