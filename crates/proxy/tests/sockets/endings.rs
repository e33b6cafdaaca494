//! Events that coincide, such as a disconnect and an established connection. The tests force their
//! order by the responses of the stand-ins and by stopping the proxy with SIGSTOP.

use super::*;
use std::sync::mpsc::{Receiver, channel};

/// A proxy with settings of the test, its discovery service, and the attempts that reach its
/// stand-ins.
pub struct ManualProxy {
    pub proxy: Child,
    pub addr: SocketAddr,
    attempts: Receiver<Attempt>,
    list_calls: Arc<AtomicUsize>, // number of calls to the discovery service
}

/// An attempt that reached a stand-in. The test decides when the stand-in responds, and with what.
pub struct Attempt {
    pub server_and_key: String, // the stand-in's name and the key
    pub stream: TcpStream,
}

impl Attempt {
    pub fn answer(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }
}

/// The listener of a server and its entry in the endpoint list. The test passes it to a
/// `ManualProxy`, which serves it, or accepts its connections itself.
pub struct StandInServer(TcpListener, pub Value);

pub fn server(name: &str) -> StandInServer {
    let (listener, addr) = bind_listener();
    StandInServer(listener, list_entry(name, addr, "SERVING"))
}

/// Returns a server whose connections are not established until the test accepts them. Its backlog
/// holds one connection, which the test takes up with the returned stream.
pub fn blocked_server(name: &str) -> (StandInServer, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let filler = TcpStream::connect(addr).unwrap();
    (StandInServer(listener, list_entry(name, addr, "SERVING")), filler)
}

impl StandInServer {
    pub fn addr(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts the connection of the test and then the first one of the proxy, which it returns.
    /// Returns `None` if the proxy makes none within 8 s: on a busy machine the proxy may have
    /// given up its connection before the test stopped it. The operating system sends an unanswered
    /// SYN again after 1 s, 3 s and 7 s.
    fn accept_waiting(&self) -> Option<TcpStream> {
        _ = self.0.accept().unwrap();
        self.0.set_nonblocking(true).unwrap();
        let end = Instant::now() + Duration::from_secs(8);
        let stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break Some(stream),
                Err(_) if Instant::now() < end => sleep(Duration::from_millis(2)),
                Err(_) => break None,
            }
        };
        self.0.set_nonblocking(false).unwrap();
        let stream = stream?;
        stream.set_nonblocking(false).unwrap();
        Some(stream)
    }

    /// Waits until a connection to the server is being established.
    pub fn wait_connecting(&self) {
        let port = format!(":{:04X} 02", self.addr().port());
        wait_for(|| std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port));
    }
}

impl ManualProxy {
    /// Starts a proxy. `manual_servers` are the stand-ins whose responses the test sends. `listed`
    /// is the content of the endpoint list, unless the test runs a discovery service of its own.
    pub fn new(
        manual_servers: Vec<StandInServer>,
        listed: &[Value],
        configure: impl FnOnce(&mut Value),
    ) -> ManualProxy {
        let list = full_list(2, listed);
        ManualProxy::with_list(
            manual_servers,
            listed,
            |listener, list_calls| serve_list(listener, vec![list], list_calls),
            configure,
        )
    }

    pub fn with_list(
        manual_servers: Vec<StandInServer>,
        listed: &[Value],
        start_list_service: impl FnOnce(TcpListener, Arc<AtomicUsize>),
        configure: impl FnOnce(&mut Value),
    ) -> ManualProxy {
        let (sender, attempts) = channel();
        for StandInServer(listener, entry) in manual_servers {
            let (sender, name) = (sender.clone(), entry["id"].as_str().unwrap().to_string());
            spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    let (sender, name) = (sender.clone(), name.clone());
                    spawn(move || {
                        while let Some((head, _)) = read_message(&mut stream) {
                            let key = head.split(['/', '?', ' ']).nth(3).unwrap_or("").to_string();
                            let server_and_key = format!("{name} {key}");
                            let stream = stream.try_clone().unwrap();
                            _ = sender.send(Attempt { server_and_key, stream });
                        }
                    });
                }
            });
        }
        let (listener, list_addr) = bind_listener();
        let list_calls = Arc::new(AtomicUsize::new(0));
        start_list_service(listener, list_calls.clone());
        let addr = unique_address();
        let mut configuration = configuration(addr, list_addr, listed, 1024);
        configure(&mut configuration);
        let proxy = run(&configuration, "");
        let manual = ManualProxy { proxy, addr, attempts, list_calls };
        wait_for(|| TcpStream::connect(addr).is_ok());
        wait_for(|| manual.list_calls.load(Ordering::SeqCst) > 0);
        manual
    }

    pub fn with_servers(
        manual_servers: Vec<StandInServer>,
        configure: impl FnOnce(&mut Value),
    ) -> ManualProxy {
        let entries: Vec<Value> = manual_servers.iter().map(|c| c.1.clone()).collect();
        ManualProxy::new(manual_servers, &entries, configure)
    }

    pub fn send_request(&self, ns: &str, key: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        self.send_request_on(&mut stream, ns, key);
        stream
    }

    fn send_request_on(&self, stream: &mut TcpStream, ns: &str, key: &str) {
        static NTH: AtomicUsize = AtomicUsize::new(0);
        let id = NTH.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET /api/{key} HTTP/1.1\r\nX-Correlation-Id: e{id}\r\nX-Service-Class: {ns}\r\nX-Time-Left: 9\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).unwrap();
    }

    pub fn next_attempt(&self) -> Attempt {
        self.attempts
            .recv_timeout(Duration::from_secs(20))
            .expect("no attempt reached a stand-in within 20 s")
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").args([name, &self.proxy.id().to_string()]).status().unwrap();
    }

    /// Runs an action while the proxy is stopped, so that the proxy reads all its effects in one
    /// iteration of its event loop.
    fn while_stopped<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.proxy.id());
        wait_for(|| std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T ")));
        let result = action();
        self.signal("-CONT");
        result
    }
}

impl Drop for ManualProxy {
    fn drop(&mut self) {
        _ = self.proxy.kill();
        _ = self.proxy.wait();
    }
}

/// Returns the status and body of the response, or "closed" if the connection ended.
pub fn read_response(stream: &mut TcpStream) -> String {
    match read_message(stream) {
        Some((head, body)) => format!("{} {body}", &head[9..12]).trim_end().to_string(),
        None => "closed".into(),
    }
}

/// Reads from a connection of a stand-in. Returns the first line of a request, or "nothing" if the
/// connection ends without one.
fn first_request_line(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    read_message(&mut stream).map_or("nothing".into(), |(head, _)| head.lines().next().unwrap().to_string())
}

fn disable_cancellation(config: &mut Value) {
    config["settings"]["ceilings"]["cancelling"] = json!(false);
}

fn allow_slow_connects(config: &mut Value) {
    config["settings"]["ceilings"]["connectTimeoutNs"] = json!(5_000_000_000u64);
    config["settings"]["namespaces"][0] = namespace("page", "free", 6000);
}

/// A second response on one connection, which arrives some milliseconds late when the connection is
/// back in the pool, belongs to no request.
#[test]
fn a_second_response_some_milliseconds_late_belongs_to_no_request() {
    // A round in which the test itself was delayed proves nothing and is repeated.
    let response = std::iter::repeat_with(response_after_a_stray_one).flatten().next();
    assert_eq!(response.as_deref(), Some("200 value"));
}

/// Returns what the next request on the connection gets, or `None` if the test was delayed.
fn response_after_a_stray_one() -> Option<String> {
    let manual = ManualProxy::with_servers(vec![server("a")], |_| ());
    let mut client = manual.send_request("page", "k0");
    let mut attempt = manual.next_attempt();
    let started = Instant::now();
    attempt.answer(HIT_RESPONSE);
    assert_eq!(read_response(&mut client), "200 value");
    // The next request is sent before the second response.
    manual.send_request_on(&mut client, "page", "k1");
    sleep(Duration::from_millis(3));
    attempt.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    if started.elapsed() > Duration::from_millis(9) {
        return None;
    }
    // If the proxy took the stray response for that of the next request, no attempt is answered
    // here.
    _ = manual.next_attempt().stream.write_all(HIT_RESPONSE.as_bytes());
    Some(read_response(&mut client))
}

/// Nothing is sent for a request whose client disconnected while the request waited for a
/// connection, even if the connection is established in the same iteration of the event loop in
/// which the disconnect is read. This also holds where attempts in flight may not be cancelled.
#[test]
fn a_client_that_disconnects_while_a_connection_is_established_causes_no_attempt() {
    for cancelling in [true, false] {
        let (server, _filler) = blocked_server("a");
        let entries = vec![server.1.clone()];
        let manual = ManualProxy::new(vec![], &entries, |config| {
            allow_slow_connects(config);
            config["settings"]["ceilings"]["cancelling"] = json!(cancelling);
        });
        let client = manual.send_request("page", "k");
        server.wait_connecting();
        let attempt = manual.while_stopped(|| {
            drop(client);
            server.accept_waiting()
        });
        let attempt = attempt.expect("no connection of the proxy was being established");
        assert_eq!(first_request_line(attempt), "nothing", "cancelling: {cancelling}");
    }
}

/// Nothing is sent for a request whose client disconnected while the request waited for a free
/// descriptor for its connection: all descriptors are taken by requests that hang, and one becomes
/// free as the client disconnects.
#[test]
fn a_client_that_disconnects_while_it_waits_for_a_descriptor_causes_no_attempt() {
    let manual = ManualProxy::with_servers(vec![server("a"), server("b"), server("c")], |config| {
        disable_cancellation(config);
        config["limits"]["sockets"] = json!(46);
        config["settings"]["namespaces"][1] = namespace("once", "single_shot", 9000);
    });
    let mut clients = Vec::new();
    let mut attempts: Vec<Attempt> = Vec::new();
    for i in 0..13 {
        clients.push(manual.send_request("once", &format!("k{i}")));
        attempts.push(manual.next_attempt());
    }
    // The proxy accepts this client, but no descriptor is left for its attempt. The proxy's
    // response to a message shows that it was read.
    let waiting = manual.send_request("once", "waits");
    let fd_dir = format!("/proc/{}/fd", manual.proxy.id());
    let open_fds = || std::fs::read_dir(&fd_dir).map_or(0, |fds| fds.count());
    let before = open_fds();
    wait_for(|| open_fds() >= before);
    manual.while_stopped(|| {
        drop(waiting);
        attempts[0].answer(&HIT_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    });
    assert_eq!(read_response(&mut clients[0]), "200 value");
    manual.send_request_on(&mut clients[0], "once", "last");
    assert_eq!(manual.next_attempt().server_and_key.split(' ').nth(1), Some("last"));
}

/// Nothing is sent for a request whose client disconnected while the request waited for its turn
/// among requests for its key, or for another request's fetch of its key.
#[test]
fn a_client_that_disconnects_while_it_waits_for_its_key_causes_no_attempt() {
    for (kind, origin) in [("in order", false), ("fetch", true)] {
        let mut servers = vec![server("a")];
        if origin {
            servers.push(server("origin"));
        }
        let manual = ManualProxy::with_servers(servers, |config| {
            disable_cancellation(config);
            config["settings"]["namespaces"][0]["keepOrder"] = json!(!origin);
        });
        let mut first = manual.send_request("page", "k");
        let mut attempt = manual.next_attempt();
        if origin {
            attempt.answer(MISS_RESPONSE);
            attempt = manual.next_attempt();
        }
        let mut second = manual.send_request("page", "k");
        if origin {
            manual.next_attempt().answer(MISS_RESPONSE);
            // When the attempt of the third request arrives, the proxy has read the miss of the
            // second.
        }
        let mut third = manual.send_request("page", "other");
        let mut other = manual.next_attempt();
        other.answer(HIT_RESPONSE);
        assert_eq!(
            (other.server_and_key.as_str(), read_response(&mut third).as_str()),
            ("a other", "200 value")
        );
        manual.while_stopped(|| {
            // The connection is reset, not closed in an orderly way.
            socket2::SockRef::from(&second).set_linger(Some(Duration::ZERO)).unwrap();
            drop(std::mem::replace(&mut second, TcpStream::connect(manual.addr).unwrap()));
            attempt.answer(HIT_RESPONSE);
        });
        assert_eq!(read_response(&mut first), "200 value", "{kind}");
        manual.send_request_on(&mut third, "page", "last");
        assert_eq!(manual.next_attempt().server_and_key, "a last", "{kind}");
    }
}

/// Nothing is sent for a request whose client disconnects at the moment at which the proxy gives up
/// on a silent server and tries the next.
#[test]
fn a_client_that_disconnects_as_a_silent_server_is_given_up_causes_no_retry() {
    let manual = ManualProxy::with_servers(vec![server("a"), server("b")], |_| ());
    let client = manual.send_request("page", "k");
    let silent = manual.next_attempt();
    manual.while_stopped(|| {
        // Longer than a server may be silent: here at most half of the time limit.
        sleep(Duration::from_millis(1600));
        drop(client);
    });
    let mut other = manual.send_request("page", "last");
    let mut attempt = manual.next_attempt();
    assert_eq!(attempt.server_and_key.split(' ').nth(1), Some("last"), "{}", silent.server_and_key);
    attempt.answer(HIT_RESPONSE);
    assert_eq!(read_response(&mut other), "200 value");
}

/// Nothing is sent on a connection that is established in the iteration of the event loop in which
/// the time limit expires, or in which the deduplication window of a tagged request ends. The
/// window starts with the first attempt that may have run.
#[test]
fn a_request_that_expires_while_a_connection_is_established_is_not_sent() {
    // First case: the time limit.
    let exercised = (0..20).any(|_| {
        let (blocked, _filler) = blocked_server("a");
        let entries = vec![blocked.1.clone()];
        let manual = ManualProxy::new(vec![], &entries, |config| {
            allow_slow_connects(config);
            config["settings"]["namespaces"][0] = namespace("page", "free", 900);
        });
        let mut client = manual.send_request("page", "k");
        blocked.wait_connecting();
        let attempt = manual.while_stopped(|| {
            let attempt = blocked.accept_waiting();
            sleep(Duration::from_millis(1000));
            attempt
        });
        let Some(attempt) = attempt else { return false };
        assert_eq!(first_request_line(attempt), "nothing");
        assert!(read_response(&mut client).starts_with("50"));
        true
    });
    assert!(exercised, "no connection was still being established when the proxy was stopped");
    // Second case: the deduplication window. The first attempt fails after its request was read,
    // the second waits for its connection.
    for _ in 0..20 {
        let (blocked, _filler) = blocked_server("b");
        let open = server("a");
        let entries = vec![open.1.clone(), blocked.1.clone()];
        let manual = ManualProxy::new(vec![open], &entries, |config| {
            allow_slow_connects(config);
            config["settings"]["namespaces"][1] = namespace("once", "guarded", 6000);
            config["settings"]["namespaces"][1]["dedupWindowNs"] = json!(700_000_000u64);
        });
        let mut client = manual.send_request("once", "k");
        // The key may belong to the blocked server. Then its attempt waits, and the round is
        // repeated.
        let Ok(first) = manual.attempts.recv_timeout(Duration::from_millis(300)) else { continue };
        first.stream.shutdown(std::net::Shutdown::Both).unwrap();
        blocked.wait_connecting();
        let attempt = manual.while_stopped(|| {
            let attempt = blocked.accept_waiting();
            sleep(Duration::from_millis(750));
            attempt
        });
        // The round is also repeated if the connection was given up before the proxy was stopped.
        let Some(attempt) = attempt else { continue };
        assert_eq!(first_request_line(attempt), "nothing");
        assert_eq!(read_response(&mut client), "500");
        return;
    }
    panic!(
        "in no round did the key belong to the open server while the connection to the other was established"
    );
}

/// A drain is notified while an attempt waits for its connection to that server: the attempt goes
/// to another server. The same holds if the connection and the drain both arrive while the proxy is
/// stopped for longer than the drain grace, and are read in one iteration of the event loop.
#[test]
fn a_drain_notified_while_a_connection_is_established_moves_the_attempt() {
    check_drain_while_connecting(false);
    check_drain_while_connecting(true);
}

fn check_drain_while_connecting(during_stop: bool) {
    let (blocked, _filler) = blocked_server("a");
    let open = server("b");
    let (listed, both) = (vec![blocked.1.clone()], [blocked.1.clone(), open.1.clone()]);
    let drained = list_entry("a", blocked.addr(), "DRAINING");
    // The response to the second call contains the drain and the other server. It is held back
    // until the attempt waits.
    let (release, released) = channel::<()>();
    let answers = [full_list(2, &listed), full_list(3, &[drained, both[1].clone()])];
    let responses_written = Arc::new(AtomicUsize::new(0));
    let response_count = responses_written.clone();
    let start_list_service = |listener: TcpListener, list_calls: Arc<AtomicUsize>| {
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                while read_message(&mut stream).is_some() {
                    let nth = list_calls.fetch_add(1, Ordering::SeqCst);
                    if nth > 0 && released.recv().is_err() {
                        return;
                    }
                    let body = &answers[nth.min(1)];
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + body).as_bytes()).is_err() {
                        break;
                    }
                    response_count.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
    };
    let manual = ManualProxy::with_list(vec![open], &listed, start_list_service, allow_slow_connects);
    let mut client = manual.send_request("page", "k");
    blocked.wait_connecting();
    if !during_stop {
        release.send(()).unwrap();
        // The proxy has read the response when it calls again.
        wait_for(|| manual.list_calls.load(Ordering::SeqCst) > 2);
    }
    let attempt = manual.while_stopped(|| {
        let attempt = blocked.accept_waiting();
        if during_stop {
            // The list is sent after the connection is accepted, because the operating system
            // reports events in the order in which they occurred.
            release.send(()).unwrap();
            wait_for(|| responses_written.load(Ordering::SeqCst) > 1);
            // The drain grace is 1 s.
            sleep(Duration::from_millis(1200));
        }
        attempt
    });
    assert_eq!(
        first_request_line(attempt.expect("no connection of the proxy was being established")),
        "nothing"
    );
    let mut moved_attempt = manual.next_attempt();
    assert_eq!(moved_attempt.server_and_key, "b k");
    moved_attempt.answer(HIT_RESPONSE);
    assert_eq!(read_response(&mut client), "200 value");
}

/// A server that resets the connection in the middle of a long request body has certainly not run
/// the request, and a single-use request is retried on the next server.
#[test]
fn a_request_reset_inside_its_body_has_not_run_and_a_single_use_one_is_retried() {
    const BODY_BYTES: usize = 20 << 20;
    let (resetting, reading) = (server("a"), server("b"));
    let entries = vec![resetting.1.clone(), reading.1.clone()];
    let manual = ManualProxy::new(vec![], &entries, |config| {
        config["limits"]["memory_mb"] = json!(256);
        config["settings"]["familyInfo"] = json!({"mode": "through"});
        config["settings"]["namespaces"][1] = namespace("once", "single_shot", 9000);
    });
    // The server that gets the first attempt resets the connection after its first byte. The other
    // one reads the whole body.
    let attempt_count = Arc::new(AtomicUsize::new(0));
    let (sender, completed) = channel();
    for StandInServer(listener, _) in [resetting, reading] {
        let (attempt_count, sender) = (attempt_count.clone(), sender.clone());
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                stream.read_exact(&mut [0]).unwrap();
                if attempt_count.fetch_add(1, Ordering::SeqCst) == 0 {
                    // Closing a socket with unread bytes resets the connection.
                    drop(stream);
                    continue;
                }
                let (mut read_bytes, mut buf) = (1, vec![0; 1 << 16]);
                while read_bytes < BODY_BYTES {
                    read_bytes += stream.read(&mut buf).unwrap();
                }
                stream.write_all(HIT_RESPONSE.as_bytes()).unwrap();
                _ = sender.send(());
            }
        });
    }
    let mut client = TcpStream::connect(manual.addr).unwrap();
    let head = format!(
        "PUT /api/k HTTP/1.1\r\nX-Correlation-Id: b\r\nX-Service-Class: once\r\nX-Time-Left: 9\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'v'; BODY_BYTES]).unwrap();
    assert_eq!(read_response(&mut client), "200 value");
    completed.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(attempt_count.load(Ordering::SeqCst), 2);
}

/// When a client disconnects while a long response is streamed to it, its attempt is cancelled: the
/// proxy does not read the rest from the server.
#[test]
fn the_attempt_of_a_client_that_disconnects_during_the_response_is_cancelled() {
    let manual = ManualProxy::with_servers(vec![server("a")], |_| ());
    let mut client = manual.send_request("page", "k");
    let mut attempt = manual.next_attempt();
    attempt.answer("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
    attempt.answer(&"v".repeat(100_000));
    client.read_exact(&mut [0; 50_000]).unwrap();
    drop(client);
    // The connection of the server must end before the response reaches its maximum length.
    let part = "v".repeat(100_000);
    assert!((0..290).any(|_| attempt.stream.write_all(part.as_bytes()).is_err()));
}
