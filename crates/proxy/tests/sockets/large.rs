//! Long bodies, both ways, and slow clients: each test prints what was seen of them.

use super::*;
use std::sync::OnceLock;

const LONG: usize = 300_000;

fn leaked(of: &'static OnceLock<String>, text: impl Fn() -> String) -> &'static str {
    of.get_or_init(text)
}

/// Whole and broken off, with a length and in chunks.
fn long(nth: usize) -> (&'static str, bool) {
    static TEXTS: [OnceLock<String>; 4] = [const { OnceLock::new() }; 4];
    let body = |n: usize| "v".repeat(n);
    let with_length = |n: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{}", body(n));
    let chunked = |n: usize, end: &str| {
        let chunk = format!("{:x};of=a-value\r\n{}\r\n", n / 10, body(n / 10));
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{end}", chunk.repeat(10))
    };
    match nth % 4 {
        0 => (leaked(&TEXTS[0], || with_length(LONG)), false),
        1 => (leaked(&TEXTS[1], || with_length(LONG / 3)), true),
        2 => (leaked(&TEXTS[2], || chunked(LONG, "0\r\nT: t\r\n\r\n")), false),
        _ => (leaked(&TEXTS[3], || chunked(LONG / 3, "8000\r\nvvv")), true),
    }
}

/// Reads until the proxy has no more to say, and tells it in short.
fn outcome(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let (mut seen, mut buf) = (Vec::new(), [0; 65_536]);
    let closed = loop {
        match stream.read(&mut buf) {
            Ok(0) => break true,
            Ok(n) => seen.extend(&buf[..n]),
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&seen);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let framed =
        ["Content-Length: 300000", "Transfer-Encoding: chunked"].into_iter().find(|f| head.contains(f));
    let values = body.bytes().filter(|b| *b == b'v').count();
    let ended = if body.ends_with("0\r\n\r\n") { ", last chunk" } else { "" };
    let end = if closed { "closed" } else { "kept" };
    format!("{} {}: {values} bytes{ended}, {end}", &head[9..12], framed.unwrap_or("-"))
}

fn question(setup: &ProxySetup, method: &str, id: &str, body: &str) -> TcpStream {
    let mut stream = setup.client();
    let ns = "page";
    let head = format!("{method} /api/{id} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {ns}\r\n");
    stream.write_all(format!("{head}X-Time-Left: 1.0\r\n{body}").as_bytes()).unwrap();
    stream
}

/// A long answer goes on as it comes, and one that breaks off looks broken: nothing is asked again.
#[test]
fn a_long_answer_flows_and_one_that_breaks_off_looks_broken() {
    let setup = ProxySetup::new(&[("amber", long)]);
    for i in 0..4 {
        let mut client = question(&setup, "GET", &format!("l{i}"), "\r\n");
        setup.observed.record(outcome(&mut client));
    }
    setup.assert_observed(expect![[r#"
        amber: GET /api/l0
        200 Content-Length: 300000: 300000 bytes, kept
        amber: GET /api/l1
        200 Content-Length: 300000: 100000 bytes, closed
        amber: GET /api/l2
        200 Transfer-Encoding: chunked: 300000 bytes, last chunk, kept
        amber: GET /api/l3
        200 Transfer-Encoding: chunked: 100003 bytes, closed
    "#]]);
}

/// The first half of an answer, and nothing more for a second.
fn halting(_: usize) -> (&'static str, bool) {
    static TEXT: OnceLock<String> = OnceLock::new();
    let text = || format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{}", "v".repeat(1000));
    (leaked(&TEXT, text), false)
}

/// Its first bytes are the client's at once, past the time limit it is not cut off, and when its client goes the server's
/// connection is closed too.
#[test]
fn the_first_bytes_of_a_long_answer_do_not_wait_for_the_rest() {
    let setup = ProxySetup::new(&[("amber", halting)]);
    let mut client = question(&setup, "GET", "h", "\r\n");
    setup.observed.record(outcome(&mut client));
    sleep(Duration::from_millis(900)); // beyond the request's second
    client.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let open = matches!(client.read(&mut [0; 8]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    setup.observed.record(format!("open past its time: {open}"));
    setup.assert_observed(expect![[r#"
        amber: GET /api/h
        200 Content-Length: 300000: 1000 bytes, kept
        open past its time: true
    "#]]);
}

/// A body of 200 kB, in chunks or with a length, reaches the origin whole; one beyond all bounds is turned down at once.
#[test]
fn long_bodies_are_taken_whole() {
    let setup = ProxySetup::new(&[("origin", hit)]);
    let body = "v".repeat(200_000);
    let bodies = [
        format!("Content-Length: 200000\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\n0\r\n\r\n"),
        "Content-Length: 99000000000\r\n\r\n".to_string(),
    ];
    for (i, body) in bodies.iter().enumerate() {
        let mut client = question(&setup, "PUT", &format!("b{i}"), body);
        let answer = message(&mut client).map_or("none".into(), |(head, _)| head[9..12].to_string());
        setup.observed.record(format!("client: {answer}"));
    }
    let mut lines = setup.observed.lines.lock().unwrap();
    lines.iter_mut().for_each(|line| {
        let values = line.matches('v').count();
        if values > 1000 {
            *line = format!("{} and {values} bytes", line.split(" v").next().unwrap());
        }
    });
    drop(lines);
    setup.assert_observed(expect![[r#"
        origin: PUT /api/b0 and 200000 bytes
        client: 200
        origin: PUT /api/b1 and 200000 bytes
        client: 200
        client: 413
    "#]]);
}

/// A request's time begins with its last byte, however slowly its head came.
#[test]
fn a_slow_head_takes_no_time_from_its_request() {
    let setup = ProxySetup::new(&[("amber", hit)]);
    let mut client = setup.client();
    let (first, last) = (
        "GET /api/s HTTP/1.1\r\nX-Correlation-Id: s\r\nX-Ser",
        "vice-Class: page\r\nX-Time-Left: 0.5\r\n\r\n",
    );
    client.write_all(first.as_bytes()).unwrap();
    sleep(Duration::from_millis(2000));
    client.write_all(last.as_bytes()).unwrap();
    setup.record_response(&mut client);
    setup.assert_observed(expect![[r#"
        amber: GET /api/s
        client: 200 value
    "#]]);
}
