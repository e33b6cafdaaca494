//! What clients see when the process is told to end.

use super::*;
use rustix::process::{Pid, Signal, kill_process};

impl ProxySetup {
    fn send_sigterm(&self) {
        kill_process(Pid::from_raw(self.proxy.id() as i32).unwrap(), Signal::TERM).unwrap();
    }
}

/// Guards against a connection that counts as busy for ever once it has carried a command: it was
/// neither closed on the schedule of a shutdown, nor out of service, nor to make room for others. The
/// process ends 3.65 s after the signal, idle connections within 2 s.
#[test]
fn a_connection_that_has_carried_a_command_is_idle_after_its_reply() {
    let setup = ProxySetup::new("");
    let mut client = setup.connect().unwrap();
    // Another client keeps the process from ending early.
    let mut busy = setup.connect().unwrap();
    client.write_all(b"GET a\r\n").unwrap();
    client.read_exact(&mut [0; 7]).unwrap();
    sleep(Duration::from_millis(100));
    busy.write_all(b"*2\r\n$3\r\nGET\r\n").unwrap();
    setup.send_sigterm();
    let signalled_at = Instant::now();
    assert_eq!(client.read(&mut [0; 8]).unwrap_or(0), 0);
    let waited = signalled_at.elapsed();
    assert!(waited < Duration::from_millis(2500), "closed after {waited:?}");
}

/// Guards against replies that are lost with the connection: the client reads slowly and goes on
/// sending, so that a close over its unread commands would reset the connection.
#[test]
fn at_a_shutdown_a_pipelining_client_gets_the_replies_of_all_commands_that_ran() {
    let setup = ProxySetup::new("");
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(32 << 10).unwrap();
    socket.connect(&setup.resp_addr.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut commands = client.try_clone().unwrap();
    commands.write_all(&b"GET long\r\n".repeat(3)).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    while setup.commands.lock().unwrap().len() < 3 && Instant::now() < end {
        sleep(Duration::from_millis(1));
    }
    setup.send_sigterm();
    spawn(move || {
        for nth in 0..1000 {
            if commands.write_all(format!("GET k{nth}\r\n").as_bytes()).is_err() {
                return;
            }
            sleep(Duration::from_millis(5));
        }
    });
    // 1 MB per second: what has been asked for takes 3 s, and the process has 3.65 s.
    let (mut received, mut part) = (Vec::new(), vec![0; 10_000]);
    while let Ok(bytes @ 1..) = client.read(&mut part) {
        received.extend_from_slice(&part[..bytes]);
        sleep(Duration::from_millis(10));
    }
    let text = String::from_utf8_lossy(&received);
    let ran = setup.commands.lock().unwrap().len();
    let replies = text.matches('$').count();
    assert!(text.ends_with("\r\n") && replies >= ran, "{replies} replies to {ran} commands");
}
