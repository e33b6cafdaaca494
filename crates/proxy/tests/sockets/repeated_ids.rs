//! A correlation id that comes again: the request that had it must not run twice.

use super::outcomes::{ManualProxy, read_response, server};
use super::*;

fn send_with_id(addr: SocketAddr, ns: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let head = format!("GET /api/{id} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {ns}\r\n");
    stream.write_all(format!("{head}X-Time-Left: 1.5\r\n\r\n").as_bytes()).unwrap();
    stream
}

/// Guards against a second run of a single-use request whose client left before the answer and came
/// again with the same id. A replayable request may run again.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let proxy = ManualProxy::with_servers(vec![server("a")], |_| {});
    for (ns, expected) in [("once", "409"), ("page", "200 value")] {
        let client = send_with_id(proxy.addr, ns, ns);
        let mut first_attempt = proxy.next_attempt();
        drop(client);
        // The proxy cancels the attempt of the client that left.
        first_attempt.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        while matches!(first_attempt.stream.read(&mut [0; 64]), Ok(1..)) {}
        sleep(Duration::from_millis(50));
        let mut client = send_with_id(proxy.addr, ns, ns);
        if expected.starts_with("200") {
            proxy.next_attempt().answer(HIT_RESPONSE);
        }
        assert_eq!(read_response(&mut client), expected, "{ns}");
    }
}
