//! Long request and response bodies, and slow clients. Each test compares what was observed with
//! the expected text.

use super::*;
use std::sync::OnceLock;

const LONG_BODY_BYTES: usize = 300_000;

fn static_text(cell: &'static OnceLock<String>, text: impl Fn() -> String) -> &'static str {
    cell.get_or_init(text)
}

/// Complete and truncated responses, with a length and in chunks.
fn long_response(nth: usize) -> (&'static str, bool) {
    static RESPONSES: [OnceLock<String>; 4] = [const { OnceLock::new() }; 4];
    let body = |n: usize| "v".repeat(n);
    let with_length =
        |n: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n{}", body(n));
    let chunked = |n: usize, end: &str| {
        let chunk = format!("{:x};of=a-value\r\n{}\r\n", n / 10, body(n / 10));
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{end}", chunk.repeat(10))
    };
    match nth % 4 {
        0 => (static_text(&RESPONSES[0], || with_length(LONG_BODY_BYTES)), false),
        1 => (static_text(&RESPONSES[1], || with_length(LONG_BODY_BYTES / 3)), true),
        2 => (static_text(&RESPONSES[2], || chunked(LONG_BODY_BYTES, "0\r\nT: t\r\n\r\n")), false),
        _ => (static_text(&RESPONSES[3], || chunked(LONG_BODY_BYTES / 3, "8000\r\nvvv")), true),
    }
}

/// Reads until the proxy closes or is silent for 300 ms, and returns a summary.
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
    let framing =
        ["Content-Length: 300000", "Transfer-Encoding: chunked"].into_iter().find(|f| head.contains(f));
    let value_bytes = body.bytes().filter(|b| *b == b'v').count();
    let ended = if body.ends_with("0\r\n\r\n") { ", last chunk" } else { "" };
    let end = if closed { "closed" } else { "kept" };
    format!("{} {}: {value_bytes} bytes{ended}, {end}", &head[9..12], framing.unwrap_or("-"))
}

fn send_request(setup: &ProxySetup, method: &str, id: &str, body: &str) -> TcpStream {
    send_request_on(setup.client(), method, id, body)
}

fn send_request_on(mut stream: TcpStream, method: &str, id: &str, body: &str) -> TcpStream {
    let ns = "page";
    let head = format!("{method} /api/{id} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {ns}\r\n");
    stream.write_all(format!("{head}X-Time-Left: 1.0\r\n{body}").as_bytes()).unwrap();
    stream
}

/// A long response is forwarded as it arrives. If it is truncated, the client sees a truncated
/// response, and the request is not retried.
#[test]
fn a_long_response_is_streamed_and_a_truncated_one_is_passed_on_truncated() {
    let setup = ProxySetup::new(&[("amber", long_response)]);
    for i in 0..4 {
        let mut client = send_request(&setup, "GET", &format!("l{i}"), "\r\n");
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

/// Responds with the head and the first 1000 bytes of the body, and then stalls.
fn stalling_response(_: usize) -> (&'static str, bool) {
    static TEXT: OnceLock<String> = OnceLock::new();
    let text = || format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n{}", "v".repeat(1000));
    (static_text(&TEXT, text), false)
}

/// The client gets the first bytes of a response at once, and the response is not cut off when the
/// time limit expires.
#[test]
fn the_first_bytes_of_a_long_response_do_not_wait_for_the_rest() {
    let setup = ProxySetup::new(&[("amber", stalling_response)]);
    let mut client = send_request(&setup, "GET", "h", "\r\n");
    setup.observed.record(outcome(&mut client));
    sleep(Duration::from_millis(900)); // past the request's time limit of 1 s
    client.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let open = matches!(client.read(&mut [0; 8]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    setup.observed.record(format!("open past the time limit: {open}"));
    setup.assert_observed(expect![[r#"
        amber: GET /api/h
        200 Content-Length: 300000: 1000 bytes, kept
        open past the time limit: true
    "#]]);
}

/// A body of 200 kB, in chunks or with a length, reaches the origin whole. A body longer than any
/// limit allows is rejected at once.
#[test]
fn long_bodies_are_accepted_whole() {
    let setup = ProxySetup::new(&[("origin", hit)]);
    let body = "v".repeat(200_000);
    let bodies = [
        format!("Content-Length: 200000\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\n0\r\n\r\n"),
        "Content-Length: 99000000000\r\n\r\n".to_string(),
    ];
    for (i, body) in bodies.iter().enumerate() {
        let mut client = send_request(&setup, "PUT", &format!("b{i}"), body);
        let answer = read_message(&mut client).map_or("none".into(), |(head, _)| head[9..12].to_string());
        setup.observed.record(format!("client: {answer}"));
    }
    let mut lines = setup.observed.lines.lock().unwrap();
    lines.iter_mut().for_each(|line| {
        let value_bytes = line.matches('v').count();
        if value_bytes > 1000 {
            *line = format!("{} and {value_bytes} bytes", line.split(" v").next().unwrap());
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

/// The time limit of a request runs from its last byte, however slowly its head arrives.
#[test]
fn a_slow_head_does_not_shorten_the_time_limit() {
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

const MEGABYTE: usize = 1_000_000;
/// Length of a body that exceeds all socket buffers between a server and a client that reads slowly.
const HUGE_BODY_BYTES: usize = 24 * MEGABYTE;

fn huge_response(_: usize) -> (&'static str, bool) {
    static TEXT: OnceLock<String> = OnceLock::new();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {HUGE_BODY_BYTES}\r\n\r\n");
    (static_text(&TEXT, || head.clone() + &"v".repeat(HUGE_BODY_BYTES)), false)
}

/// Reads 70 kB per second without a pause for some time, and then the rest of the response at full
/// speed. Returns the number of bytes read.
fn read_slowly_then_to_end(mut stream: TcpStream, slow_time: Duration) -> usize {
    const SLOW_BYTES_PER_MS: usize = 70;
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let (mut buf, mut read_bytes, started) = (vec![0; MEGABYTE], 0, Instant::now());
    loop {
        let slow = started.elapsed() < slow_time;
        let limit = if slow {
            sleep(Duration::from_millis(50));
            started.elapsed().as_millis() as usize * SLOW_BYTES_PER_MS - read_bytes
        } else {
            buf.len()
        };
        match stream.read(&mut buf[..limit]) {
            Ok(count @ 1..) => read_bytes += count,
            _ => return read_bytes,
        }
    }
}

/// Guards against cutting off a client that reads a long response at 70 kB per second: the window
/// of a large receive buffer opens in steps, and more than 2 s may pass from one to the next.
#[test]
fn a_client_that_reads_slowly_but_steadily_is_not_cut_off() {
    let setup = ProxySetup::new(&[("amber", huge_response)]);
    let read_with_buffer = |receive_buffer_kib: usize| {
        let client = setup.client();
        socket2::SockRef::from(&client).set_recv_buffer_size(receive_buffer_kib << 10).unwrap();
        let client = send_request_on(client, "GET", &format!("b{receive_buffer_kib}"), "\r\n");
        (receive_buffer_kib, spawn(move || read_slowly_then_to_end(client, Duration::from_secs(15))))
    };
    let readers = [128, 200, 300, 512, 1024].map(read_with_buffer);
    let read_bytes = readers.map(|(receive_buffer_kib, reader)| (receive_buffer_kib, reader.join().unwrap()));
    let cut_off: Vec<_> = read_bytes.iter().filter(|(_, bytes)| *bytes < HUGE_BODY_BYTES).collect();
    assert!(cut_off.is_empty(), "cut off, by KiB of receive buffer and bytes read: {cut_off:?}");
}

/// Guards against a client that stops reading a long response and keeps its server's connection for
/// ever.
#[test]
fn a_client_that_stops_reading_a_long_response_is_cut_off() {
    // The proxy waits for 20 s at most without a byte accepted, and the kernel's send buffer may grow
    // and accept some more once.
    const MAX_WAIT: Duration = Duration::from_secs(2 * 20);
    const LOAD_SLACK: Duration = Duration::from_secs(5);
    let mut setup = ProxySetup::new(&[("amber", huge_response)]);
    let log = LogLines::collect(&mut setup.proxy);
    let mut client = send_request(&setup, "GET", "stops", "\r\n");
    client.read_exact(&mut [0; 64]).unwrap();
    let started = Instant::now();
    let is_cut_off = || !log.containing("response cut off, client too slow").is_empty();
    while !is_cut_off() && started.elapsed() < MAX_WAIT + LOAD_SLACK {
        sleep(Duration::from_millis(10));
    }
    assert!(is_cut_off(), "not cut off within {:?}", started.elapsed());
    let mut received = Vec::new();
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    client.read_to_end(&mut received).unwrap();
    assert!(received.len() < HUGE_BODY_BYTES, "received {} bytes", received.len());
}
