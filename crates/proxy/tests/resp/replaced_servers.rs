//! A new node at the address of one that had gone.

use super::*;
use std::sync::atomic::AtomicBool;

/// Guards against commands that go to a process that has been replaced, over connections that were
/// opened to it: the cluster reports another node at its address. The slot map is polled every few
/// seconds.
#[test]
fn a_new_node_at_the_address_of_an_old_one_is_not_taken_for_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let is_replaced = Arc::new(AtomicBool::new(false));
    let replaced = is_replaced.clone();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let name = if replaced.load(Ordering::SeqCst) { "new" } else { "old" };
            spawn(move || {
                let mut buf = Vec::new();
                while let Some(words) = read_command(&mut stream, &mut buf) {
                    let nodes = format!("{name} {addr}@1 myself,master - 0 0 1 connected 0-16383\n");
                    let answer = match words[0].as_str() {
                        "CLUSTER" => format!("${}\r\n{nodes}\r\n", nodes.len()),
                        "PING" => "+PONG\r\n".into(),
                        _ => format!("+{name}\r\n"),
                    };
                    _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    let setup = ProxySetup::with_seed(addr);
    assert_eq!(setup.request("GET k\r\n"), "+old\r\n");
    is_replaced.store(true, Ordering::SeqCst);
    let end = Instant::now() + Duration::from_secs(15);
    while setup.request("GET k\r\n") != "+new\r\n" {
        assert!(Instant::now() < end, "commands still go to the old process after 15 s");
        sleep(Duration::from_millis(50));
    }
    for _ in 0..10 {
        assert_eq!(setup.request("GET k\r\n"), "+new\r\n");
    }
}
