//! Tests of reads, writes and waits on loopback sockets, and of the memory budget.

use chalkwalk_sockets::{
    MemoryBudget, PacedWriter, WriteAllowance, WriteError, is_idle, read_more, read_up_to, with_deadline,
    with_timeout, write_all,
};
use smol::{Async, Timer, block_on};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The two ends of one connection.
fn connection() -> (Async<TcpStream>, Async<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let server = listener.accept().unwrap().0;
    (Async::new(client).unwrap(), Async::new(server).unwrap())
}

#[test]
fn a_budget_is_reserved_up_to_its_capacity_and_released_on_drop() {
    let budget = MemoryBudget::new(10);
    let reserved = budget.clone().try_reserve(7);
    assert!(reserved.is_some());
    assert!(budget.try_reserve(4).is_none());
    assert!(budget.try_reserve(3).is_some());
    drop(reserved);
    assert!(budget.try_reserve(10).is_some());
    assert!(budget.try_reserve(11).is_none());
    assert_eq!(budget.capacity(), 10);
}

#[test]
fn parts_are_written_in_order_and_read_up_to_the_limit() {
    let (client, server) = connection();
    let mut buf = b"ahead ".to_vec();
    block_on(async {
        write_all(&client, &[b"one", b"", b" two"]).await.unwrap();
        server.readable().await.unwrap();
        while buf.len() < b"ahead one two".len() {
            assert!(read_up_to(&server, &mut buf, 3).await.unwrap() <= 3);
        }
    });
    assert_eq!(buf, b"ahead one two");
    drop(client);
    assert_eq!(block_on(read_more(&server, &mut buf)).unwrap(), 0, "the end of the stream");
    assert_eq!(buf, b"ahead one two");
}

#[test]
fn a_connection_is_idle_while_open_with_nothing_to_read() {
    let (client, server) = connection();
    assert!(is_idle(&server));
    block_on(write_all(&client, &[b"x"])).unwrap();
    block_on(server.readable()).unwrap();
    assert!(!is_idle(&server));
    drop(server);
    block_on(client.readable()).unwrap();
    assert!(!is_idle(&client), "closed by the peer");
}

#[test]
fn a_wait_ends_at_its_deadline_and_a_dropped_read_loses_no_data() {
    let (client, server) = connection();
    let mut buf = b"kept".to_vec();
    block_on(async {
        assert!(with_timeout(Duration::from_millis(10), read_more(&server, &mut buf)).await.is_none());
        assert_eq!(buf, b"kept");
        write_all(&client, &[b"!"]).await.unwrap();
        assert!(matches!(
            with_timeout(Duration::from_secs(5), read_more(&server, &mut buf)).await,
            Some(Ok(1))
        ));
        // An output that is ready counts even if the deadline has passed.
        let passed_deadline = Instant::now();
        assert_eq!(with_deadline(passed_deadline, async { 1 }).await, Some(1));
        assert!(with_deadline(passed_deadline, Timer::after(Duration::from_secs(60))).await.is_none());
    });
    assert_eq!(buf, b"kept!");
}

#[test]
fn a_write_allowance_is_used_up_by_waiting_and_restored_by_accepted_bytes() {
    let mut allowance = WriteAllowance::new(Duration::from_secs(2));
    allowance.record(Duration::from_millis(500), 0);
    assert_eq!(allowance.remaining(), Duration::from_millis(1500));
    allowance.record(Duration::from_millis(1500), 64_000);
    assert_eq!(allowance.remaining(), Duration::from_secs(2), "64 kB at 32 kB per second");
    allowance.record(Duration::ZERO, 32 << 20);
    assert_eq!(allowance.remaining(), Duration::from_secs(20), "the maximum");
}

/// Guards against cutting off a peer that accepts 64 kB per second in steps, as the window of its
/// receive buffer opens.
#[test]
fn a_peer_that_accepts_64_kb_per_second_in_steps_keeps_its_allowance() {
    for step_bytes in [16_000, 130_966, 1_250_000] {
        let mut allowance = WriteAllowance::new(Duration::from_secs(2));
        // A receive buffer opens its window in steps of at most an eighth.
        allowance.record(Duration::ZERO, 8 * step_bytes);
        for step in 0..200 {
            let waited = Duration::from_millis(step_bytes as u64 / 64);
            assert!(waited < allowance.remaining(), "step {step} of {step_bytes} bytes");
            allowance.record(waited, step_bytes);
        }
    }
}

#[test]
fn a_paced_writer_gives_up_on_a_peer_that_reads_nothing() {
    let (client, _server) = connection();
    socket2::SockRef::from(client.get_ref()).set_send_buffer_size(16 << 10).unwrap();
    let mut writer = PacedWriter::new(&client, Duration::from_millis(100));
    let part = [b'v'; 16 << 10];
    let started = Instant::now();
    let error = block_on(async {
        loop {
            if let Err(error) = writer.write_all(&[&part]).await {
                return error;
            }
        }
    });
    assert!(matches!(error, WriteError::PeerTooSlow), "{error}");
    // The allowance to begin with, and the accepted bytes at 32 kB per second.
    let allowed = Duration::from_millis(100 + writer.written_bytes() / 32);
    assert!(started.elapsed() < allowed + Duration::from_secs(2), "gave up after {:?}", started.elapsed());
    assert!(allowed < Duration::from_secs(20), "the kernel holds {} bytes", writer.written_bytes());
}
