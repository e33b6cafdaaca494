//! Tests reading requests and responses from a socket: what valid messages yield, and which status
//! code each invalid message maps to.

use chalkwalk_http1::{
    HttpError, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, MAX_UNRESERVED_BYTES, Message,
    RequestLimits, ResponseReader, get, read_request,
};
use chalkwalk_sockets::MessageMemory;
use expect_test::expect;
use smol::{Async, block_on};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Opens a connection and returns both ends of it.
fn connection() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let peer = listener.accept().unwrap().0;
    (Async::new(local).unwrap(), peer)
}

/// Returns the result of `reader` on a connection whose peer sends `text` and then closes its side.
fn read_from_peer<T>(text: &str, reader: impl AsyncFnOnce(&Async<TcpStream>) -> T) -> T {
    let (stream, mut peer) = connection();
    let text = text.to_string();
    let writer = std::thread::spawn(move || {
        _ = peer.write_all(text.as_bytes());
        _ = peer.shutdown(Shutdown::Write);
        peer
    });
    let result = block_on(reader(&stream));
    drop(stream);
    drop(writer.join());
    result
}

fn read_one_request(text: &str, max_body_bytes: usize) -> (Result<Message, HttpError>, Vec<u8>) {
    let memory = MessageMemory::with_shares(1 << 20, 1 << 20);
    let limits = RequestLimits {
        head_deadline: Instant::now() + Duration::from_secs(5),
        max_body_bytes,
        memory: &memory,
    };
    let mut read_ahead = Vec::new();
    let request = read_from_peer(text, async |stream| read_request(stream, &mut read_ahead, limits).await);
    (request, read_ahead)
}

/// Summarizes the result of reading a request in one line.
fn summarize_request(text: &str) -> String {
    let (request, read_ahead) = read_one_request(text, 100);
    match request {
        Ok(request) => format!(
            "{} {} {:?}{}{}{}{}\n",
            request.text(&request.method),
            request.text(&request.target),
            request.text(&request.body),
            if request.close { " close" } else { "" },
            if request.is_http10 { " 1.0" } else { "" },
            if request.has_duplicate(&["a", "B"]) { " duplicate" } else { "" },
            if read_ahead.is_empty() { "" } else { " and more" },
        ),
        Err(error) => format!("{} {error}\n", error.status()),
    }
}

#[test]
fn valid_requests_are_read_and_invalid_ones_rejected() {
    let long_field = format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "a".repeat(MAX_HEAD_BYTES));
    let many_fields = format!("GET / HTTP/1.1\r\n{}\r\n", "a: a\r\n".repeat(65));
    let texts = [
        "GET /k HTTP/1.1\r\na: 1\r\n\r\n",
        "GET /k HTTP/1.1\r\nA: 1\r\na: 2\r\n\r\n",
        "GET /k HTTP/1.0\r\n\r\n",
        "GET /k HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
        "PUT /k HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
        "PUT /k HTTP/1.1\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\n\r\n",
        "PUT /k HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\na: b\r\n\r\n",
        "PUT /k HTTP/1.1\r\nContent-Length: 4\r\n\r\nbod",
        "PUT /k HTTP/1.1\r\nContent-Length: +4\r\n\r\nbody",
        "PUT /k HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
        "PUT /k HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
        "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "PUT /k HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "PUT /k HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
        "PUT /k HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n",
        "GET /k HTTP/1.1\r\na",
        "GET /k\r\n\r\n",
        "",
        &long_field,
        &many_fields,
    ];
    let outcomes: String = texts.iter().map(|text| summarize_request(text)).collect();
    expect![[r#"
        GET /k ""
        GET /k "" duplicate
        GET /k "" close 1.0
        GET /k "" close
        PUT /k "body"
        PUT /k "body" and more
        PUT /k "body"
        400 malformed or incomplete message
        400 malformed or incomplete message
        400 malformed or incomplete message
        400 malformed or incomplete message
        400 malformed or incomplete message
        400 malformed or incomplete message
        413 body too long
        413 body too long
        413 body too long
        400 malformed or incomplete message
        400 malformed or incomplete message
        400 malformed or incomplete message
        431 head or trailers too long
        431 head or trailers too long
    "#]]
    .assert_eq(&outcomes);
}

#[test]
fn continue_is_sent_only_while_the_body_has_not_arrived() {
    for (body_with_head, expected) in [(false, "HTTP/1.1 100 Continue\r\n\r\n"), (true, "")] {
        let (stream, mut peer) = connection();
        let head = "PUT /k HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
        let first_bytes = if body_with_head { format!("{head}ab") } else { head.to_string() };
        peer.write_all(first_bytes.as_bytes()).unwrap();
        let peer_side = std::thread::spawn(move || {
            if !body_with_head {
                std::thread::sleep(Duration::from_millis(50));
                peer.write_all(b"ab").unwrap();
            }
            let mut received = String::new();
            peer.read_to_string(&mut received).unwrap();
            received
        });
        let memory = MessageMemory::with_shares(0, 0);
        let head_deadline = Instant::now() + Duration::from_secs(5);
        let limits = RequestLimits { head_deadline, max_body_bytes: 100, memory: &memory };
        let request = block_on(read_request(&stream, &mut Vec::new(), limits)).unwrap();
        assert_eq!(request.text(&request.body), "ab");
        drop(stream);
        assert_eq!(peer_side.join().unwrap(), expected);
    }
}

#[test]
fn bodies_reserve_memory_unless_they_are_tiny_and_those_above_the_budget_are_rejected() {
    let reserved_bytes = |len: usize| {
        let text = format!("PUT /k HTTP/1.1\r\nContent-Length: {len}\r\n\r\n{}", "v".repeat(len));
        let request = read_one_request(&text, MAX_BODY_BYTES).0;
        request.map(|request| request.reservation.map_or(0, |reservation| reservation.bytes()))
    };
    assert_eq!(reserved_bytes(MAX_UNRESERVED_BYTES), Ok(0));
    for len in [MAX_UNRESERVED_BYTES + 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1] {
        assert_eq!(reserved_bytes(len), Ok(len));
    }
    assert_eq!(reserved_bytes((1 << 20) + 1), Err(HttpError::BodyTooLong));
}

/// Guards against long heads and chunked bodies that are held outside of the memory for messages.
#[test]
fn a_long_head_and_a_chunked_body_are_held_only_if_memory_is_free() {
    let long_head = format!("GET /k HTTP/1.1\r\nx: {}\r\n\r\n", "v".repeat(9000));
    let chunk = format!("2000\r\n{}\r\n", "v".repeat(0x2000));
    let chunked = format!("PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
    for text in [long_head, chunked] {
        let (with_memory, _) = read_one_request(&text, MAX_BODY_BYTES);
        assert!(with_memory.is_ok_and(|request| request.reservation.is_some()));
        let memory = MessageMemory::with_shares(0, 4 << 10);
        let head_deadline = Instant::now() + Duration::from_secs(5);
        let limits = RequestLimits { head_deadline, max_body_bytes: MAX_BODY_BYTES, memory: &memory };
        let mut read_ahead = Vec::new();
        let without_memory =
            read_from_peer(&text, async |stream| read_request(stream, &mut read_ahead, limits).await);
        let error = without_memory.err().map(HttpError::status);
        assert!(matches!(error, Some(503 | 413)), "{error:?}");
    }
}

#[test]
fn a_head_that_misses_its_deadline_is_a_timeout() {
    let (stream, mut peer) = connection();
    peer.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    let memory = MessageMemory::with_shares(0, 0);
    let head_deadline = Instant::now() + Duration::from_millis(20);
    let limits = RequestLimits { head_deadline, max_body_bytes: 100, memory: &memory };
    let error = block_on(read_request(&stream, &mut Vec::new(), limits)).err();
    assert_eq!(error, Some(HttpError::Timeout));
    assert_eq!(error.map(HttpError::status), Some(408));
}

/// Summarizes the result of reading a response part by part in one line.
fn summarize_response(text: &str) -> String {
    let parts = read_from_peer(text, async |stream| {
        let mut response = ResponseReader::start(stream).await?;
        let mut body = Vec::new();
        while let Some(part) = response.next_part(stream).await? {
            body.extend(part);
        }
        let body = String::from_utf8(body).unwrap();
        let (length, reusable) = (response.content_length, response.is_reusable());
        Ok(format!("{} {length:?} {body:?} reusable: {reusable}\n", response.message.status))
    });
    parts.unwrap_or_else(|error: HttpError| format!("{} {error}\n", error.status()))
}

#[test]
fn valid_responses_are_read_in_parts_and_invalid_ones_rejected() {
    let texts = [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody and more",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody to the end",
        "HTTP/1.0 200 OK\r\n\r\nbody to the end",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nbody to the end",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyx",
        "HTTP/1.1 200 OK\r\nContent-Length: 4",
        "SIP/2.0 200 OK\r\n\r\n",
    ];
    let outcomes: String = texts.iter().map(|text| summarize_response(text)).collect();
    expect![[r#"
        200 Some(4) "body" reusable: true
        200 Some(4) "body" reusable: false
        200 Some(4) "body" reusable: false
        200 None "body" reusable: true
        200 None "body to the end" reusable: false
        200 None "body to the end" reusable: false
        204 Some(0) "" reusable: true
        304 Some(0) "" reusable: true
        502 malformed or incomplete response
        502 malformed or incomplete response
        502 malformed or incomplete response
        502 malformed or incomplete response
        502 malformed or incomplete response
        502 malformed or incomplete response
    "#]]
    .assert_eq(&outcomes);
}

#[test]
fn a_get_is_sent_and_its_response_read_whole() {
    let exchange = |response: &str| {
        let (stream, mut peer) = connection();
        let addr = stream.get_ref().peer_addr().unwrap();
        peer.write_all(response.as_bytes()).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
        let response = block_on(get(&stream, addr, "/alive", 10));
        drop(stream);
        let mut sent = String::new();
        peer.read_to_string(&mut sent).unwrap();
        assert_eq!(sent, format!("GET /alive HTTP/1.1\r\nHost: {addr}\r\n\r\n"));
        match response {
            Ok(response) => {
                format!("{} {:?} close: {}\n", response.status, response.text(&response.body), response.close)
            }
            Err(_) => "refused\n".to_string(),
        }
    };
    let texts = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
        "HTTP/1.0 503 No\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    ];
    let outcomes: String = texts.iter().map(|text| exchange(text)).collect();
    expect![[r#"
        200 "ok" close: false
        200 "ok" close: true
        503 "no" close: true
        refused
        refused
        refused
    "#]]
    .assert_eq(&outcomes);
}
