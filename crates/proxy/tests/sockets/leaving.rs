//! The end of a process, and its start: what clients are answered when it is signalled to end at any moment.

use super::outcomes::{ManualProxy, read_response, server, shut_server};
use super::*;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::HashSet;

fn term(proxy: &Child) {
    let pid = Pid::from_raw(proxy.id() as i32).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
}

fn request(ns: &str, key: &str) -> String {
    format!(
        "GET /api/{key} HTTP/1.1\r\nX-Correlation-Id: {key}\r\nX-Service-Class: {ns}\r\nX-Time-Left: 1.5\r\n\r\n"
    )
}

/// Signalled to end in the moment in which the system takes the first connection for it, a process answers what came on it.
#[test]
fn signalled_to_end_as_it_begins_to_listen_it_answers_what_came() {
    let (listener, at) = a_listener();
    list(listener, vec![whole(2, &[])], Default::default());
    for round in 0..12 {
        let addr = own_address();
        let mut proxy = run(&configuration(addr, at, &[], 256), "");
        let end = Instant::now() + Duration::from_secs(20);
        let mut client = loop {
            match TcpStream::connect(addr) {
                Ok(client) => break client,
                Err(_) => assert!(Instant::now() < end, "never listens"),
            }
        };
        term(&proxy);
        client.write_all(request("page", "k").as_bytes()).unwrap();
        let answer = read_response(&mut client);
        drop(client);
        let exit = proxy.wait().unwrap();
        assert_eq!((answer.as_str(), exit.code()), ("503", Some(0)), "round {round}");
    }
}

/// With limits so short that the whole end takes half a second, clients go on sending on every connection: none that a server
/// was asked for is without an answer, whatever its server does.
#[test]
fn clients_that_send_up_to_the_end_lose_nothing_where_limits_are_short() {
    let by_turns: ServerScript = |n| (if n % 3 == 0 { "" } else { HIT_RESPONSE }, false);
    let (observed, mut lines) = (Observed::default(), Vec::new());
    for name in ["a", "b"] {
        let (listener, addr) = a_listener();
        lines.push(line(name, addr, "SERVING"));
        stand_in_server(listener, observed.clone(), name, by_turns);
    }
    let (listener, at) = a_listener();
    list(listener, vec![whole(2, &lines)], Default::default());
    let addr = own_address();
    let mut config = configuration(addr, at, &lines, 256);
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
                    if sent.is_err() || message(&mut stream).is_none() {
                        return key;
                    }
                }
                unreachable!()
            })
        })
        .collect();
    let asked = || observed.lines.lock().unwrap().len();
    wait_for(|| asked() > 100);
    term(&proxy);
    let last: HashSet<String> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert_eq!(proxy.wait().unwrap().code(), Some(0));
    let lost: Vec<String> = observed
        .lines
        .lock()
        .unwrap()
        .iter()
        .filter(|l| last.iter().any(|k| l.ends_with(&format!("/{k}"))))
        .cloned()
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Signalled to end while requests wait for a connection, for an answer that never comes, for their key's turn, and with a body half
/// read: each has its one answer before the process ends, and a second word to end, or to read anew, changes nothing.
#[test]
fn signalled_to_end_it_answers_every_waiting_request() {
    let (shut, _filler) = shut_server("a");
    let open = server("b");
    let lines = vec![shut.1.clone(), open.1.clone()];
    let mut manual = ManualProxy::new(vec![open], &lines, |config| {
        config["settings"]["ceilings"]["connectTimeoutNs"] = json!(5_000_000_000u64);
        config["settings"]["ceilings"]["mostShots"] = json!(1);
        config["settings"]["namespaces"] =
            json!([namespace("page", "free", 1500), namespace("once", "single_shot", 8000)]);
        config["settings"]["namespaces"][0]["keepOrder"] = json!(true);
    });
    // Keys of both servers, each twice: the second waits for its turn.
    let mut clients: Vec<TcpStream> = (0..16).map(|i| manual.write("page", &format!("k{}", i / 2))).collect();
    // Beyond what is left to it: SIGKILL comes 3.7 s after the word.
    clients.extend((0..4).map(|i| manual.write("once", &format!("o{i}"))));
    let mut half = TcpStream::connect(manual.addr).unwrap();
    half.write_all(b"PUT /api/h HTTP/1.1\r\nX-Correlation-Id: h\r\nX-Service-Class: once\r\nX-Time-Left: 1\r\nContent-Length: 6\r\n\r\nhal").unwrap();
    shut.wait_connecting();
    _ = manual.attempt();
    for name in ["-TERM", "-HUP", "-TERM", "-INT"] {
        manual.signal(name);
    }
    half.write_all(b"ves").unwrap();
    clients.push(half);
    for client in &mut clients {
        let answer = read_response(client);
        assert!(answer.starts_with("50"), "{answer}");
    }
    assert_eq!(manual.proxy.wait().unwrap().code(), Some(0));
}

/// An answer that is written and unread when the process ends is the client's all the same.
#[test]
fn an_answer_unread_at_the_end_is_not_lost() {
    let long: ServerScript = |_| {
        let body = "v".repeat(60_000);
        (format!("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{body}").leak(), false)
    };
    let mut setup = ProxySetup::new(&[("a", long)]);
    let mut client = setup.client();
    setup.write(&mut client, "GET", "page", "k");
    client.peek(&mut [0]).unwrap();
    setup.signal("-TERM");
    assert_eq!(setup.proxy.wait().unwrap().code(), Some(0));
    assert_eq!(message(&mut client).map(|(_, body)| body.len()), Some(60_000));
}

/// Where lists are pushed, a new process is up once its own agent has answered with its list: a drain among it binds from the
/// first moment, whatever the configuration knows.
#[test]
fn where_lists_are_pushed_it_is_up_once_its_agent_has_spoken() {
    let (a, b) = (server("a"), server("b"));
    let known = vec![a.1.clone(), b.1.clone()];
    let drained = [line("a", a.addr(), "DRAINING"), b.1.clone()];
    let (go, observed) = std::sync::mpsc::channel::<()>();
    let body = whole(9, &drained);
    let listing = move |listener: TcpListener, calls: Arc<AtomicUsize>| {
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                while message(&mut stream).is_some() {
                    if calls.fetch_add(1, Ordering::SeqCst) > 0 {
                        sleep(Duration::from_secs(30));
                    }
                    // Asked first by the test whether the process is up.
                    observed.recv().unwrap();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all((head + &body).as_bytes()).unwrap();
                }
            }
        });
    };
    let manual = ManualProxy::with(vec![a, b], &known, listing, |config| {
        config["settings"]["discovery"] = json!("automatic");
    });
    let up = || {
        let mut stream = TcpStream::connect(manual.addr).unwrap();
        stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
        read_response(&mut stream)
    };
    let before = up();
    go.send(()).unwrap();
    wait_for(|| up() == "200");
    for i in 0..12 {
        let mut client = manual.write("page", &format!("k{i}"));
        let mut attempt = manual.attempt();
        assert_eq!(attempt.what, format!("b k{i}"));
        attempt.answer(HIT_RESPONSE);
        assert_eq!(read_response(&mut client), "200 value");
    }
    assert_eq!(before, "503");
}

/// An answer without a length that never ends is broken off where any other would be too long.
#[test]
fn an_answer_that_never_ends_is_broken_off() {
    let manual = ManualProxy::of(vec![server("a")], |_| ());
    let mut client = manual.write("page", "k");
    let mut attempt = manual.attempt();
    let writing = spawn(move || {
        attempt.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let chunk = format!("4000\r\n{}\r\n", "v".repeat(0x4000));
        // Twice what is the longest of all.
        (0..4096).all(|_| attempt.stream.write_all(chunk.as_bytes()).is_ok())
    });
    let (mut taken, mut buf) = (0, [0; 65536]);
    while let Ok(n @ 1..) = client.read(&mut buf) {
        taken += n;
    }
    assert!((32 << 20..33 << 20).contains(&taken), "{taken}");
    assert!(!writing.join().unwrap(), "the cache could write all of it");
}
