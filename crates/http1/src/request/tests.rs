//! Tests how the time that a request waits for memory is accounted for.

use super::{BODY_GRACE, read_request};
use crate::memory::LONG_MESSAGE_TIMEOUT;
use crate::{MAX_BODY_BYTES, RequestLimits};
use chalkwalk_sockets::MessageMemory;
use smol::{Async, Timer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Guards against rejecting a client as too slow when the proxy itself delayed the body: here the
/// body waits for memory for longer than [`BODY_GRACE`], and is read nevertheless.
#[test]
fn waiting_for_memory_does_not_count_as_a_slow_client() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    let memory = MessageMemory::with_shares(1 << 20, 1 << 20);
    let mut read_ahead = Vec::new();
    let other_reservation = memory.try_reserve(1 << 20);
    let writer = std::thread::spawn(move || {
        let chunk = format!("10000\r\n{}\r\n", "v".repeat(1 << 16));
        let head = "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        client.write_all(format!("{head}{chunk}1\r\nv\r\n").as_bytes()).unwrap();
        std::thread::sleep(BODY_GRACE * 5 / 2 + Duration::from_millis(200));
        client.write_all(format!("{chunk}0\r\n\r\n").as_bytes()).unwrap();
        client
    });
    let limits = RequestLimits {
        head_deadline: Instant::now() + LONG_MESSAGE_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
        memory: &memory,
    };
    let release_memory = async {
        Timer::after(BODY_GRACE * 5 / 2).await;
        drop(other_reservation);
    };
    let both = smol::future::zip(read_request(&stream, &mut read_ahead, limits), release_memory);
    let length = smol::block_on(both).0.map(|message| message.body.len());
    assert_eq!(length, Ok(2 * 65_536 + 1));
    drop(writer.join());
}
