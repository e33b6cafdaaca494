//! A new process at the address of one that had gone: it gets its requests on its own connections.

use super::*;
use std::slice::from_ref;

/// A server whose process is replaced by another one at the same address. The old one keeps its open
/// connections, as a process that finishes its work does.
struct ReplacedServer {
    addr: SocketAddr,
    is_replaced: Arc<AtomicBool>,
}

impl ReplacedServer {
    fn start() -> ReplacedServer {
        let (listener, addr) = bind_listener();
        let is_replaced = Arc::new(AtomicBool::new(false));
        let replaced = is_replaced.clone();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let body = if replaced.load(Ordering::SeqCst) { "new" } else { "old" };
                spawn(move || {
                    while read_message(&mut stream).is_some() {
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 3\r\n\r\n{body}");
                        _ = stream.write_all(answer.as_bytes());
                    }
                });
            }
        });
        ReplacedServer { addr, is_replaced }
    }
}

/// Guards against requests that go to a process that has been replaced, over connections that were
/// opened to it: the list names the server with a later start, or another server at its address.
#[test]
fn a_new_process_at_the_address_of_an_old_one_is_not_taken_for_it() {
    let started_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    for new_id in ["amber", "beryl"] {
        let server = ReplacedServer::start();
        let old_entry = list_entry("amber", server.addr, "SERVING");
        let mut new_entry = list_entry(new_id, server.addr, "SERVING");
        new_entry["started_ms"] = json!(started_ms as u64);
        let lists =
            |_: &[Value]| vec![full_list(2, from_ref(&old_entry)), full_list(3, from_ref(&new_entry))];
        let gate = LastListGate::closed();
        let setup = ProxySetup::with_last_list_gate(&[], 256, "", lists, gate.clone());
        let ask = |key: &str| {
            let mut client = setup.client();
            setup.send_request(&mut client, "GET", "page", key);
            read_message(&mut client).map(|(_, body)| body)
        };
        wait_for(|| ask("k").as_deref() == Some("old"));
        server.is_replaced.store(true, Ordering::SeqCst);
        gate.open();
        let end = Instant::now() + Duration::from_secs(5);
        while ask("k").as_deref() != Some("new") {
            assert!(Instant::now() < end, "{new_id}: requests still go to the old process after 5 s");
            sleep(Duration::from_millis(20));
        }
        for nth in 0..10 {
            assert_eq!(ask(&format!("k{nth}")).as_deref(), Some("new"), "{new_id}");
        }
    }
}
