//! The loopback addresses of a run.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The block of addresses of a run: 127.`block`.proxy.peer, all on one port.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackAddresses {
    block: u8,
}

const PORT: u16 = 3000;
/// Last byte of a proxy's own address; the addresses that the proxy connects to differ from it in
/// this byte: its list, the origin, etcd's endpoints, and the servers from 10 on.
const PROXY_BYTE: u8 = 1;
const LIST_BYTE: u8 = 2;
const ORIGIN_BYTE: u8 = 3;
/// The list's address after it has moved.
const MOVED_LIST_BYTE: u8 = 4;
const FIRST_ETCD_BYTE: u8 = 5;
/// The address on which a proxy listens for RESP.
const RESP_LISTENER_BYTE: u8 = 8;
const FIRST_SERVER_BYTE: u8 = 10;
/// The first block is 127.16; those below it are left for manual use.
const FIRST_BLOCK: u8 = 16;
/// Number of blocks: from the first one to 127.239.
const BLOCK_COUNT: u8 = 224;
/// The last two bytes of the address that a run binds to claim its block; no proxy has that number.
const CLAIM_BYTES: [u8; 2] = [255, 1];

impl LoopbackAddresses {
    /// Claims a block of addresses that no other run on this machine uses. A run holds its block
    /// for as long as it keeps the returned listener, which is bound to one of the block's
    /// addresses.
    pub fn claim() -> io::Result<(LoopbackAddresses, TcpListener)> {
        let start = std::process::id() as u8;
        for i in 0..=u8::MAX {
            let addresses = LoopbackAddresses { block: FIRST_BLOCK + start.wrapping_add(i) % BLOCK_COUNT };
            let claim_address = Ipv4Addr::new(127, addresses.block, CLAIM_BYTES[0], CLAIM_BYTES[1]);
            if let Ok(claim) = TcpListener::bind((claim_address, PORT)) {
                return Ok((addresses, claim));
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "all blocks of loopback addresses for runs are in use"))
    }

    fn addr(&self, proxy: usize, last_byte: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, 1 + proxy as u8, last_byte)), PORT)
    }

    /// The address on which a proxy listens for HTTP.
    pub fn proxy_address(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, PROXY_BYTE)
    }

    /// The address at which a proxy reaches the list: the second one if the list has moved.
    pub fn list_address(&self, proxy: usize, moved: bool) -> SocketAddr {
        self.addr(proxy, if moved { MOVED_LIST_BYTE } else { LIST_BYTE })
    }

    /// The address on which a proxy listens for RESP.
    pub fn resp_address(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, RESP_LISTENER_BYTE)
    }

    /// The address at which a proxy reaches one of etcd's endpoints.
    pub fn etcd_address(&self, proxy: usize, endpoint: usize) -> SocketAddr {
        self.addr(proxy, FIRST_ETCD_BYTE + endpoint as u8)
    }

    /// The address at which a proxy reaches a server; the origin's index is the one after the last
    /// server's.
    pub fn server_address(&self, proxy: usize, server: usize, servers: usize) -> SocketAddr {
        self.addr(proxy, if server == servers { ORIGIN_BYTE } else { FIRST_SERVER_BYTE + server as u8 })
    }
}
