//! Tests of the frontend over sockets, with its own engine: the replies that clients receive, and
//! the requests that a server receives.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_engine::api;
use chalkwalk_engine::config::EngineConfig;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_engine::servers::ListedEndpoint;
use chalkwalk_http_frontend::{Frontend, HttpHealthCheck, accept_connections};
use chalkwalk_limits::{DedupGroup, Idempotency, Namespace, PlatformLimits};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;
use smol::Async;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

const MAX_BODY_BYTES: u64 = 100_000;

fn engine() -> Rc<Engine> {
    let namespace = Namespace {
        name: "books".into(),
        time_limit: Span::from_secs(1),
        latency_objective: Span::from_millis(500),
        idempotency: Idempotency::Replayable,
        dedup_group: DedupGroup::All,
        dedup_window: Span::ZERO,
        in_order: false,
    };
    let platform_limits = PlatformLimits {
        max_attempts: 1,
        max_body_bytes: MAX_BODY_BYTES,
        namespaces: vec![namespace],
        ..PlatformLimits::default()
    };
    let settings =
        [("namespaces", "1"), ("namespace 0 time limit", "10000"), ("namespace 0 target time", "5000")];
    let config = EngineConfig {
        name: "p".into(),
        seed: 1,
        settings: settings.map(|(name, value)| (name.to_string(), value.to_string())).into(),
        zones: vec!["a".into()],
        kinds: Vec::new(),
        platform_limits,
        operator_limits: None,
        connect_timeout: Duration::from_secs(1).into(),
        idle_timeout: Duration::from_secs(10),
        drain_grace: Span::ZERO.into(),
        max_descriptors: 256,
        memory_limit_bytes: 32_000_000,
    };
    Engine::new(config, Box::new(HttpHealthCheck), slog::Logger::root(slog::Discard, slog::o!()), None)
}

fn endpoint(address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        id: "amber".into(),
        address,
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        weight_hundredths: 100,
        status: EndpointStatus::Ready,
        started_at: Timestamp::ZERO,
    }
}

/// Runs a proxy until `client`, which is passed the proxy's address, returns. The proxy forwards to
/// `server`, if there is one.
fn run_proxy<T: Send + 'static>(
    server: Option<SocketAddr>,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let engine = engine();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let frontend = Frontend::new(engine.clone(), vec!["books".into()]);
    smol::block_on(engine.executor.run(async {
        let endpoints: Vec<ListedEndpoint> = server.map(endpoint).into_iter().collect();
        api::apply_endpoint_list(&engine, &endpoints, true, false);
        engine.lifecycle.enter(Phase::Serving);
        engine.executor.spawn(accept_connections(frontend, listener)).detach();
        smol::unblock(move || client(addr)).await
    }))
}

/// Sends a request on a new connection, and returns everything received until the connection
/// closes.
fn exchange(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = Vec::new();
    _ = stream.read_to_end(&mut reply);
    String::from_utf8(reply).unwrap()
}

/// Returns the status line of a reply, with a note if the reply closes the connection.
fn status_line(reply: &str) -> String {
    let close = if reply.contains("Connection: close") { ", close" } else { "" };
    format!("{}{close}", reply.lines().next().unwrap_or("nothing"))
}

fn request(method: &str, fields: &str) -> String {
    format!("{method} /books/k HTTP/1.1\r\nHost: h\r\n{fields}Connection: close\r\n\r\n")
}

#[test]
fn readiness_checks_and_invalid_requests_get_the_matching_status() {
    let required_fields = "X-Service-Class: books\r\nX-Correlation-Id: i\r\nX-Time-Left: 0.5\r\n";
    let fields_of_long_body = format!("{required_fields}Content-Length: {}\r\n", MAX_BODY_BYTES + 1);
    let cases = [
        ("readiness", "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n".to_string()),
        ("put to readiness", "PUT /up HTTP/1.1\r\nConnection: close\r\n\r\n".to_string()),
        ("method", request("DELETE", required_fields)),
        ("no class", request("GET", "X-Correlation-Id: i\r\nX-Time-Left: 0.5\r\n")),
        (
            "unknown class",
            request("GET", "X-Service-Class: b\r\nX-Correlation-Id: i\r\nX-Time-Left: 0.5\r\n"),
        ),
        ("no id", request("GET", "X-Service-Class: books\r\nX-Time-Left: 0.5\r\n")),
        ("empty id", request("GET", "X-Service-Class: books\r\nX-Correlation-Id:\r\nX-Time-Left: 0.5\r\n")),
        ("no time", request("GET", "X-Service-Class: books\r\nX-Correlation-Id: i\r\n")),
        (
            "malformed time",
            request("GET", "X-Service-Class: books\r\nX-Correlation-Id: i\r\nX-Time-Left: 1e3\r\n"),
        ),
        ("duplicate field", request("GET", &format!("{required_fields}X-Time-Left: 0.5\r\n"))),
        ("too long", request("PUT", &fields_of_long_body)),
        ("pipelined requests", request("GET", required_fields).repeat(2)),
        ("not HTTP", "nonsense\r\n\r\n".to_string()),
    ];
    let outcomes = run_proxy(None, move |addr| {
        cases.map(|(name, bytes)| format!("{name}: {}", status_line(&exchange(addr, &bytes)))).join("\n")
    });
    expect![[r#"
        readiness: HTTP/1.1 200 OK, close
        put to readiness: HTTP/1.1 404 Not Found, close
        method: HTTP/1.1 405 Method Not Allowed, close
        no class: HTTP/1.1 404 Not Found, close
        unknown class: HTTP/1.1 400 Bad Request, close
        no id: HTTP/1.1 400 Bad Request, close
        empty id: HTTP/1.1 400 Bad Request, close
        no time: HTTP/1.1 400 Bad Request, close
        malformed time: HTTP/1.1 400 Bad Request, close
        duplicate field: HTTP/1.1 400 Bad Request, close
        too long: HTTP/1.1 413 Content Too Large, close
        pipelined requests: HTTP/1.1 400 Bad Request, close
        not HTTP: HTTP/1.1 400 Bad Request, close"#]]
    .assert_eq(&outcomes);
}

#[test]
fn a_request_with_the_correlation_id_of_an_open_request_is_rejected() {
    let (addr, server) = server(vec![("", Duration::from_millis(300))]);
    let outcomes = run_proxy(Some(addr), |addr| {
        let first_client = spawn(move || status_line(&exchange(addr, &get_request("same"))));
        std::thread::sleep(Duration::from_millis(100));
        let second_status = status_line(&exchange(addr, &get_request("same")));
        format!("{}; {second_status}", first_client.join().unwrap())
    });
    drop(server);
    expect!["HTTP/1.1 500 Internal Server Error, close; HTTP/1.1 409 Conflict, close"].assert_eq(&outcomes);
}

fn get_request(id: &str) -> String {
    request(
        "GET",
        &format!(
            "X-Service-Class: books\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 0.5\r\nX-Facts: tenant=t\r\n"
        ),
    )
}

/// Starts a server that accepts one connection per response, reads a request head, waits for the
/// given time, sends the response and closes the connection. The thread returns the heads that it
/// received.
fn server(responses: Vec<(&'static str, Duration)>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server_thread = spawn(move || {
        let serve = |(response, delay): (&str, Duration)| {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
                head.push(byte[0]);
            }
            std::thread::sleep(delay);
            stream.write_all(response.as_bytes()).unwrap();
            _ = stream.shutdown(Shutdown::Write);
            String::from_utf8(head).unwrap()
        };
        responses.into_iter().map(serve).collect()
    });
    (addr, server_thread)
}

/// Masks the decimals of `X-Time-Left` in a request head, as they depend on the time elapsed.
fn mask_time_left(head: &str) -> String {
    let lines = head.lines().map(|line| match line.strip_prefix("X-Time-Left: 0.") {
        Some(decimals) => format!("X-Time-Left: 0.{}", "#".repeat(decimals.len())),
        None => line.to_string(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_request_is_forwarded_and_its_response_returned() {
    let response = "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nX-Other: o\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nvalue";
    let (addr, server) = server(vec![(response, Duration::ZERO)]);
    let reply = run_proxy(Some(addr), |addr| exchange(addr, &get_request("one")));
    let sent = mask_time_left(&server.join().unwrap()[0]);
    expect![[r#"
        GET /books/k HTTP/1.1
        Host: h
        X-Correlation-Id: one
        X-Time-Left: 0.####

        ---
        HTTP/1.1 200 OK
        Content-Length: 5
        Content-Type: text/plain
        Connection: close

        value"#]]
    .assert_eq(&format!("{sent}\n---\n{}", reply.replace('\r', "")));
}

#[test]
fn a_long_body_is_streamed_in_a_framing_that_the_client_supports() {
    let mut chunked_response =
        String::from("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..10 {
        chunked_response += &format!("2710\r\n{}\r\n", "x".repeat(10_000));
    }
    let complete_response: &'static str = Box::leak(format!("{chunked_response}0\r\n\r\n").into_boxed_str());
    let truncated_response: &'static str = Box::leak(chunked_response.into_boxed_str());
    let (addr, server) = server(vec![
        (complete_response, Duration::ZERO),
        (complete_response, Duration::ZERO),
        (truncated_response, Duration::ZERO),
    ]);
    let outcomes = run_proxy(Some(addr), |addr| {
        let http10_request = get_request("two").replace("HTTP/1.1", "HTTP/1.0");
        [get_request("one"), http10_request, get_request("three")].map(|request| {
            let reply = exchange(addr, &request);
            let (head, body) = reply.split_once("\r\n\r\n").unwrap();
            let value_bytes = body.matches('x').count();
            format!("{}\n{value_bytes} bytes, ends {:?}", head.replace('\r', ""), body.ends_with("0\r\n\r\n"))
        })
    });
    drop(server);
    expect![[r#"
        HTTP/1.1 200 OK
        Connection: close
        Transfer-Encoding: chunked
        100000 bytes, ends true
        ---
        HTTP/1.1 200 OK
        Connection: close
        100000 bytes, ends false
        ---
        HTTP/1.1 200 OK
        Connection: close
        Transfer-Encoding: chunked
        100000 bytes, ends false"#]]
    .assert_eq(&outcomes.join("\n---\n"));
}
