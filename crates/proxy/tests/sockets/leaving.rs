//! Shutdown and start of a process: which responses clients get when the process receives a
//! termination signal at any moment.

use super::outcomes::{ManualProxy, blocked_server, read_response, server};
use super::*;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::HashSet;

fn send_sigterm(proxy: &Child) {
    let pid = Pid::from_raw(proxy.id() as i32).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
}

fn request(ns: &str, key: &str) -> String {
    format!(
        "GET /api/{key} HTTP/1.1\r\nX-Correlation-Id: {key}\r\nX-Service-Class: {ns}\r\nX-Time-Left: 1.5\r\n\r\n"
    )
}

/// A process that receives SIGTERM at the moment when the operating system accepts the first
/// connection for it answers the request on that connection.
#[test]
fn sigterm_as_the_process_begins_to_listen_loses_no_request() {
    let (listener, list_addr) = bind_listener();
    serve_list(listener, vec![full_list(2, &[])], Default::default());
    for round in 0..12 {
        let addr = unique_address();
        let mut proxy = run(&configuration(addr, list_addr, &[], 256), "");
        let end = Instant::now() + Duration::from_secs(20);
        let mut client = loop {
            match TcpStream::connect(addr) {
                Ok(client) => break client,
                Err(_) => assert!(Instant::now() < end, "the proxy did not listen within 20 s"),
            }
        };
        send_sigterm(&proxy);
        client.write_all(request("page", "k").as_bytes()).unwrap();
        let answer = read_response(&mut client);
        drop(client);
        let exit = proxy.wait().unwrap();
        assert_eq!((answer.as_str(), exit.code()), ("503", Some(0)), "round {round}");
    }
}

/// The time limits are so short that the whole shutdown takes half a second, and clients keep
/// sending on every connection. Each request that reached a server gets a response, even if the
/// server hangs.
#[test]
fn clients_that_send_until_shutdown_lose_no_response_under_short_limits() {
    let every_third_hangs: ServerScript = |n| (if n % 3 == 0 { "" } else { HIT_RESPONSE }, false);
    let (observed, mut entries) = (Observed::default(), Vec::new());
    for name in ["a", "b"] {
        let (listener, addr) = bind_listener();
        entries.push(list_entry(name, addr, "SERVING"));
        stand_in_server(listener, observed.clone(), name, every_third_hangs);
    }
    let (listener, list_addr) = bind_listener();
    serve_list(listener, vec![full_list(2, &entries)], Default::default());
    let addr = unique_address();
    let mut config = configuration(addr, list_addr, &entries, 256);
    config["settings"]["namespaces"] =
        json!([namespace("page", "free", 100), namespace("once", "single_shot", 60)]);
    let mut proxy = run(&config, "");
    wait_for(|| TcpStream::connect(addr).is_ok());
    let clients: Vec<_> = (0..12)
        .map(|c| {
            spawn(move || {
                let mut stream = TcpStream::connect(addr).unwrap();
                for n in 0.. {
                    let key = format!("{c}x{n}");
                    let ns = if c % 2 == 0 { "page" } else { "once" };
                    let sent = stream.write_all(request(ns, &key).as_bytes());
                    if sent.is_err() || read_message(&mut stream).is_none() {
                        return key;
                    }
                }
                unreachable!()
            })
        })
        .collect();
    let request_count = || observed.lines.lock().unwrap().len();
    wait_for(|| request_count() > 100);
    send_sigterm(&proxy);
    let last_keys: HashSet<String> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert_eq!(proxy.wait().unwrap().code(), Some(0));
    let unanswered: Vec<String> = observed
        .lines
        .lock()
        .unwrap()
        .iter()
        .filter(|l| last_keys.iter().any(|k| l.ends_with(&format!("/{k}"))))
        .cloned()
        .collect();
    assert!(unanswered.is_empty(), "requests without a response: {unanswered:?}");
}

/// The process receives SIGTERM while requests wait for a connection, for a response that never
/// comes, or for their turn among requests for a key, and while one body is half read. Each request
/// gets exactly one response before the process ends. A second termination signal or SIGHUP changes
/// nothing.
#[test]
fn after_sigterm_every_waiting_request_is_answered() {
    let (blocked, _filler) = blocked_server("a");
    let open = server("b");
    let entries = vec![blocked.1.clone(), open.1.clone()];
    let mut manual = ManualProxy::new(vec![open], &entries, |config| {
        config["settings"]["ceilings"]["connectTimeoutNs"] = json!(5_000_000_000u64);
        config["settings"]["ceilings"]["mostShots"] = json!(1);
        config["settings"]["namespaces"] =
            json!([namespace("page", "free", 1500), namespace("once", "single_shot", 8000)]);
        config["settings"]["namespaces"][0]["keepOrder"] = json!(true);
    });
    // Some keys belong to the blocked server and some to the open one. Each key is requested twice,
    // and the second request waits for its turn.
    let mut clients: Vec<TcpStream> =
        (0..16).map(|i| manual.send_request("page", &format!("k{}", i / 2))).collect();
    // The time limit of 8 s is longer than the time left to the process: SIGKILL follows 3.7 s
    // after SIGTERM.
    clients.extend((0..4).map(|i| manual.send_request("once", &format!("o{i}"))));
    blocked.wait_connecting();
    _ = manual.next_attempt();
    // A body may take 2 s: only the signals are between its halves.
    let mut half_sent = TcpStream::connect(manual.addr).unwrap();
    let half_sent_at = Instant::now();
    half_sent.write_all(b"PUT /api/h HTTP/1.1\r\nX-Correlation-Id: h\r\nX-Service-Class: once\r\nX-Time-Left: 1\r\nContent-Length: 6\r\n\r\nhal").unwrap();
    sleep(Duration::from_millis(50)); // the proxy has read the first half by then
    for name in ["-TERM", "-HUP", "-TERM", "-INT"] {
        manual.signal(name);
    }
    half_sent.write_all(b"ves").unwrap();
    let took = half_sent_at.elapsed();
    clients.push(half_sent);
    for client in &mut clients {
        let answer = read_response(client);
        assert!(answer.starts_with("50"), "{answer}, {took:?} between the halves of the body");
    }
    assert_eq!(manual.proxy.wait().unwrap().code(), Some(0));
}

/// A response that is written and not yet read when the process ends still reaches the client.
#[test]
fn a_response_unread_at_shutdown_is_not_lost() {
    let long: ServerScript = |_| {
        let body = "v".repeat(60_000);
        (format!("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{body}").leak(), false)
    };
    let mut setup = ProxySetup::new(&[("a", long)]);
    let mut client = setup.client();
    setup.send_request(&mut client, "GET", "page", "k");
    client.peek(&mut [0]).unwrap();
    setup.signal("-TERM");
    assert_eq!(setup.proxy.wait().unwrap().code(), Some(0));
    assert_eq!(read_message(&mut client).map(|(_, body)| body.len()), Some(60_000));
}

/// Where lists are pushed, a new process reports ready once its own agent has responded with its
/// list. A drain in that list applies from the first request on, even if the configuration lists
/// the server as serving.
#[test]
fn where_lists_are_pushed_the_process_is_ready_once_its_agent_has_responded() {
    let (a, b) = (server("a"), server("b"));
    let configured = vec![a.1.clone(), b.1.clone()];
    let drained = [list_entry("a", a.addr(), "DRAINING"), b.1.clone()];
    let (release, released) = std::sync::mpsc::channel::<()>();
    let body = full_list(9, &drained);
    let start_list_service = move |listener: TcpListener, calls: Arc<AtomicUsize>| {
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                while read_message(&mut stream).is_some() {
                    if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                        sleep(Duration::from_secs(30));
                    }
                    // The response waits until the test has asked whether the process is ready.
                    released.recv().unwrap();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all((head + &body).as_bytes()).unwrap();
                }
            }
        });
    };
    let manual = ManualProxy::with_list(vec![a, b], &configured, start_list_service, |config| {
        config["settings"]["discovery"] = json!("automatic");
    });
    let up_status = || {
        let mut stream = TcpStream::connect(manual.addr).unwrap();
        stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
        read_response(&mut stream)
    };
    let status_before_list = up_status();
    release.send(()).unwrap();
    wait_for(|| up_status() == "200");
    for i in 0..12 {
        let mut client = manual.send_request("page", &format!("k{i}"));
        let mut attempt = manual.next_attempt();
        assert_eq!(attempt.server_and_key, format!("b k{i}"));
        attempt.answer(HIT_RESPONSE);
        assert_eq!(read_response(&mut client), "200 value");
    }
    assert_eq!(status_before_list, "503");
}

/// A response without a length that never ends is cut off at the maximum length of a response.
#[test]
fn a_response_that_never_ends_is_cut_off() {
    let manual = ManualProxy::with_servers(vec![server("a")], |_| ());
    let mut client = manual.send_request("page", "k");
    let mut attempt = manual.next_attempt();
    let writer = spawn(move || {
        attempt.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let chunk = format!("4000\r\n{}\r\n", "v".repeat(0x4000));
        // Twice the maximum length of a response, which is 32 MiB.
        (0..4096).all(|_| attempt.stream.write_all(chunk.as_bytes()).is_ok())
    });
    let (mut read_bytes, mut buf) = (0, [0; 65536]);
    while let Ok(n @ 1..) = client.read(&mut buf) {
        read_bytes += n;
    }
    assert!((32 << 20..33 << 20).contains(&read_bytes), "the client read {read_bytes} bytes");
    assert!(!writer.join().unwrap(), "the server could write the whole response");
}
