//! The addresses of a run on loopback.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Every address of a run: 127.`block`.proxy.peer, all on one port.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    block: u8,
}

const PORT: u16 = 3000;
/// Addresses of one proxy's view: itself, its list, the origin, and servers from 10 on.
const PROXY: u8 = 1;
const LIST: u8 = 2;
const ORIGIN: u8 = 3;
/// Where the list is once it has moved.
const MOVED_LIST: u8 = 4;
const ETCD: u8 = 5;
/// Where a proxy listens for RESP.
const RESP_LISTENER: u8 = 8;
const SERVERS: u8 = 10;
/// From 127.16 on: what lies below is used by hand.
const FIRST_BLOCK: u8 = 16;
/// Blocks from there on to 127.239.
const BLOCKS: u8 = 224;
/// The address by which a run claims its block; no proxy has that number.
const CLAIM: [u8; 2] = [255, 1];

impl Net {
    /// A block of addresses that no other run on this machine has now: who holds its first address has it.
    pub fn claim() -> io::Result<(Net, TcpListener)> {
        let start = std::process::id() as u8;
        for i in 0..=u8::MAX {
            let net = Net { block: FIRST_BLOCK + start.wrapping_add(i) % BLOCKS };
            let claimed = Ipv4Addr::new(127, net.block, CLAIM[0], CLAIM[1]);
            if let Ok(claim) = TcpListener::bind((claimed, PORT)) {
                return Ok((net, claim));
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no block of loopback addresses is free"))
    }

    fn addr(&self, proxy: usize, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, 1 + proxy as u8, last)), PORT)
    }

    /// Where a proxy listens for HTTP.
    pub fn proxy(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, PROXY)
    }

    /// The list as a proxy sees it, at its first or its second address.
    pub fn list(&self, proxy: usize, moved: bool) -> SocketAddr {
        self.addr(proxy, if moved { MOVED_LIST } else { LIST })
    }

    /// Where a proxy listens for RESP.
    pub fn resp(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, RESP_LISTENER)
    }

    /// One of etcd's endpoints as a proxy sees it.
    pub fn etcd(&self, proxy: usize, endpoint: usize) -> SocketAddr {
        self.addr(proxy, ETCD + endpoint as u8)
    }

    /// A server as a proxy sees it; the origin is the one after the last.
    pub fn server(&self, proxy: usize, server: usize, servers: usize) -> SocketAddr {
        self.addr(proxy, if server == servers { ORIGIN } else { SERVERS + server as u8 })
    }
}
