//! Operator calls over sockets: which calls reach the proxy, which are rejected, and which caller
//! is disconnected when there are too many.

use chalkwalk_admin::{ControlFuture, ControlOutcome, MAX_CALLERS, ProxyControl, serve};
use expect_test::expect;
use smol::{Async, LocalExecutor, Timer, block_on, unblock};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A `ProxyControl` that records the calls made to it.
#[derive(Default)]
struct RecordingControl(RefCell<Vec<String>>);

impl RecordingControl {
    fn record_call(&self, call: String, outcome: ControlOutcome) -> ControlFuture {
        self.0.borrow_mut().push(call);
        Box::pin(async move { outcome })
    }
}

impl ProxyControl for RecordingControl {
    fn check_ready(self: Rc<Self>) -> ControlFuture {
        self.record_call("ready".into(), ControlOutcome::NotReady)
    }

    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture {
        let outcome = if id == "a b" { ControlOutcome::Done } else { ControlOutcome::UnknownServer };
        self.record_call(format!("server {id} {disabled}"), outcome)
    }

    fn set_out_of_service(self: Rc<Self>, out_of_service: bool) -> ControlFuture {
        let outcome = if out_of_service { ControlOutcome::NotPersisted } else { ControlOutcome::Done };
        self.record_call(format!("out of service {out_of_service}"), outcome)
    }
}

/// Runs `callers` in another thread against a served listener. Returns their result, and the calls
/// that the `ProxyControl` recorded.
fn run_callers<T: Send + 'static>(
    callers: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> (T, Vec<String>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let executor = Rc::new(LocalExecutor::new());
    let control = Rc::new(RecordingControl::default());
    let tasks = executor.clone();
    executor.spawn(serve(listener, control.clone(), move |task| tasks.spawn(task).detach())).detach();
    let result = block_on(executor.run(unblock(move || callers(addr))));
    (result, control.0.take())
}

/// Sends a text on a new connection and returns all that is received until the connection ends.
fn exchange(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn valid_calls_reach_the_proxy_and_others_are_rejected() {
    let request_lines = [
        "GET /control/ready",
        "GET /control/ready?now",
        "POST /control/out-of-service",
        "POST /control/in-service",
        "POST /control/cache-nodes/a%20b/offline",
        "POST /control/cache-nodes/x/online",
        "POST /control/ready",
        "GET /control/in-service",
        "GET /control/cache-nodes/x/offline",
        "POST /control/cache-nodes//offline",
        "POST /control/cache-nodes/%ff/offline",
        "POST /control/cache-nodes/x/gone",
        "GET /control/",
        "GET /ready",
    ];
    let (responses, calls) = run_callers(move |addr| {
        let mut responses: Vec<String> = request_lines
            .iter()
            .map(|line| exchange(addr, &format!("{line} HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")))
            .collect();
        responses.push(exchange(addr, "nonsense\r\n\r\n"));
        responses
    });
    let escaped: String = responses.iter().map(|response| format!("{}\n", response.escape_debug())).collect();
    expect![[r#"
        HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n
        HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n
        HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 31\r\nConnection: close\r\n\r\nnot done: it could not be kept\n
        HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\nConnection: close\r\n\r\nyes\n
        HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\nConnection: close\r\n\r\nyes\n
        HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 19\r\nConnection: close\r\n\r\nnobody has that id\n
        HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 15\r\nConnection: close\r\n\r\nanother method\n
        HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 15\r\nConnection: close\r\n\r\nanother method\n
        HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 15\r\nConnection: close\r\n\r\nanother method\n
        HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 26\r\nConnection: close\r\n\r\nan id that makes no sense\n
        HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 26\r\nConnection: close\r\n\r\nan id that makes no sense\n
        HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 13\r\nConnection: close\r\n\r\nno such call\n
        HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 13\r\nConnection: close\r\n\r\nno such call\n
        HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 13\r\nConnection: close\r\n\r\nno such call\n
        HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n
    "#]]
    .assert_eq(&escaped);
    expect![[r#"
        ready
        ready
        out of service true
        out of service false
        server a b true
        server x false
    "#]]
    .assert_eq(&format!("{}\n", calls.join("\n")));
}

#[test]
fn the_oldest_caller_without_a_call_is_disconnected_when_all_connections_are_taken() {
    let (closed_first, _) = run_callers(|addr| {
        let mut idle_callers: Vec<TcpStream> =
            (0..MAX_CALLERS).map(|_| TcpStream::connect(addr).unwrap()).collect();
        std::thread::sleep(Duration::from_millis(50));
        let started_at = Instant::now();
        let response = exchange(addr, "GET /control/ready HTTP/1.1\r\n\r\n");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(
            started_at.elapsed() < Duration::from_millis(500),
            "the call waited for the callers without a call"
        );
        // The connection that was opened first is closed without a response; the one that was
        // opened last is still open.
        let mut text = String::new();
        idle_callers[0].read_to_string(&mut text).unwrap();
        let last = &mut idle_callers[MAX_CALLERS - 1];
        last.set_nonblocking(true).unwrap();
        text.is_empty() && last.read(&mut [0]).is_err()
    });
    assert!(closed_first);
}

#[test]
fn an_incomplete_call_is_rejected_with_408_after_the_timeout() {
    let (response, calls) = run_callers(|addr| exchange(addr, "GET /control/ready HTTP/1.1\r\n"));
    assert!(response.starts_with("HTTP/1.1 408 Request Timeout\r\n"), "{response}");
    assert!(calls.is_empty());
}

#[test]
fn a_caller_that_keeps_sending_after_the_response_is_disconnected() {
    let (waited, _) = run_callers(|addr| {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(b"GET /control/ready HTTP/1.1\r\n\r\n").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        let started_at = Instant::now();
        // Writes succeed until the server closes its side too.
        while stream.write_all(b"x").is_ok() && started_at.elapsed() < Duration::from_secs(5) {
            block_on(Timer::after(Duration::from_millis(10)));
        }
        started_at.elapsed()
    });
    assert!(waited < Duration::from_secs(2), "{waited:?}");
}
