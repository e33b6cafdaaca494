//! Tests of the pool's spare connections. They are unit tests because they count the pool's
//! connections.

use super::*;
use crate::budget::DescriptorBudget;
use std::net::TcpListener;
use std::thread::sleep;

/// Of six connections that were used concurrently once, one stays open, or two if two are used
/// concurrently all the time. Otherwise a hundred proxies would hold six hundred of a server's
/// connections instead of a hundred.
#[test]
fn connections_that_were_needed_once_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let process = ServerProcess { addr, generation: 0 };
    let pool = ConnectionPool::new(Duration::from_secs(30));
    let budget = DescriptorBudget::new(64);
    let open_connection = || {
        let permit = smol::block_on(budget.acquire_for_server(|| ()));
        ServerConnection::new(Async::new(TcpStream::connect(addr).unwrap()).unwrap(), process, permit)
    };
    let connections: Vec<ServerConnection> = (0..6).map(|_| open_connection()).collect();
    connections.into_iter().for_each(|connection| pool.put(0, connection));
    let mut idle = Vec::new();
    for concurrent in [2, 0] {
        for _ in 0..6 {
            let used: Vec<ServerConnection> = (0..concurrent).filter_map(|_| pool.pop(0, process)).collect();
            used.into_iter().for_each(|connection| pool.put(0, connection));
            sleep(SPARE_IDLE_TIME / 5);
            pool.close_spare();
        }
        idle.push(pool.idle.borrow()[&0].len());
    }
    expect_test::expect!["[2, 1]"].assert_eq(&format!("{idle:?}"));
}
