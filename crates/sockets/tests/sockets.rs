//! Tests of reads, writes and waits on loopback sockets, and of the memory budget.

use chalkwalk_sockets::{MemoryBudget, is_idle, read_more, read_up_to, wait_until, within, write_all};
use smol::{Async, Timer, block_on};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The two ends of one connection.
fn connection() -> (Async<TcpStream>, Async<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let far = listener.accept().unwrap().0;
    (Async::new(near).unwrap(), Async::new(far).unwrap())
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
    let (near, far) = connection();
    let mut buf = b"ahead ".to_vec();
    block_on(async {
        write_all(&near, &[b"one", b"", b" two"]).await.unwrap();
        far.readable().await.unwrap();
        while buf.len() < b"ahead one two".len() {
            assert!(read_up_to(&far, &mut buf, 3).await.unwrap() <= 3);
        }
    });
    assert_eq!(buf, b"ahead one two");
    drop(near);
    assert_eq!(block_on(read_more(&far, &mut buf)).unwrap(), 0, "the end of the stream");
    assert_eq!(buf, b"ahead one two");
}

#[test]
fn a_connection_is_idle_while_open_with_nothing_to_read() {
    let (near, far) = connection();
    assert!(is_idle(&far));
    block_on(write_all(&near, &[b"x"])).unwrap();
    block_on(far.readable()).unwrap();
    assert!(!is_idle(&far));
    drop(far);
    block_on(near.readable()).unwrap();
    assert!(!is_idle(&near), "closed by the peer");
}

#[test]
fn a_wait_ends_at_its_deadline_and_a_read_given_up_loses_nothing() {
    let (near, far) = connection();
    let mut buf = b"kept".to_vec();
    block_on(async {
        assert!(within(Duration::from_millis(10), read_more(&far, &mut buf)).await.is_none());
        assert_eq!(buf, b"kept");
        write_all(&near, &[b"!"]).await.unwrap();
        assert!(matches!(within(Duration::from_secs(5), read_more(&far, &mut buf)).await, Some(Ok(1))));
        // An output that is ready counts even if the deadline has passed.
        let passed = Instant::now();
        assert_eq!(wait_until(passed, async { 1 }).await, Some(1));
        assert!(wait_until(passed, Timer::after(Duration::from_secs(60))).await.is_none());
    });
    assert_eq!(buf, b"kept!");
}
