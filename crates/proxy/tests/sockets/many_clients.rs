//! Many clients, or one client that sends without a pause: the memory of the process stays below its
//! limit, and other clients get their answers in time.

use super::*;

const MEMORY_LIMIT_MB: usize = 32;
/// Enough to take a proxy that keeps 60 KB for each of them over [`MEMORY_LIMIT_MB`].
const CLIENTS: usize = 600;

impl ProxySetup {
    /// A proxy with the memory limit, in front of one server.
    fn with_memory_limit() -> ProxySetup {
        let entries = vec![];
        let (listener, addr) = bind_listener();
        let (list_listener, list_addr) = bind_listener();
        let observed = Observed::default();
        stand_in_server(listener, observed.clone(), "origin", hit);
        let listed = [list_entry("origin", addr, "SERVING"), list_entry("amber", addr, "SERVING")];
        serve_list(list_listener, vec![full_list(2, &listed)], Arc::default());
        let proxy_addr = unique_address();
        let config_path = unique_path();
        let mut config = configuration(proxy_addr, list_addr, &listed, 1024);
        config["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
        let proxy = run_from(&config_path, &config, "");
        let setup = ProxySetup {
            observed,
            addr: proxy_addr,
            entries,
            config_path,
            proxy,
            list_calls: Arc::default(),
        };
        wait_for(|| setup.up_status() == Some(200));
        setup
    }

    /// The private memory of the process, in kB.
    fn private_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.proxy.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        value.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Connects many clients that send the same bytes and stay, and returns the most private memory
    /// that the process held within two seconds, in kB.
    fn peak_memory_with(&self, text: &[u8]) -> usize {
        let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| self.client()).collect();
        for client in &mut clients {
            client.set_nonblocking(true).unwrap();
            _ = client.write(text);
        }
        let end = Instant::now() + Duration::from_secs(2);
        let mut peak_kb = 0;
        while Instant::now() < end {
            peak_kb = peak_kb.max(self.private_memory_kb());
            sleep(Duration::from_millis(5));
        }
        peak_kb
    }
}

const HEAD: &str =
    "PUT /api/k HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Service-Class: page\r\nX-Time-Left: 2.0\r\n";

/// Guards against a process that is killed for memory because hundreds of clients stop in the middle
/// of an ordinary body or of a long head.
#[test]
fn clients_that_stop_in_the_middle_of_a_request_keep_the_proxy_within_its_memory() {
    let with_length = format!("{HEAD}Content-Length: 61000\r\n\r\n{}", "v".repeat(60_000));
    let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nffff\r\n{}", "v".repeat(60_000));
    let head = format!("{HEAD}x: {}", "v".repeat(16_000));
    for text in [with_length, chunked, head] {
        let peak_kb = ProxySetup::with_memory_limit().peak_memory_with(text.as_bytes());
        assert!(peak_kb <= MEMORY_LIMIT_MB * 1024, "{peak_kb} kB with {:?}", &text[HEAD.len()..][..20]);
    }
}

/// Guards against other clients that get no answer while one client sends a body in chunks of one
/// byte without a pause.
#[test]
fn a_body_in_tiny_chunks_delays_no_other_client() {
    let setup = ProxySetup::with_memory_limit();
    let mut flood = setup.client();
    flood.write_all(format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    spawn(move || {
        let chunks = "1\r\nv\r\n".repeat(20_000);
        while flood.write_all(chunks.as_bytes()).is_ok() {}
    });
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        // The time limit of the request is 1.5 s.
        let mut client = setup.client();
        client.set_read_timeout(Some(Duration::from_millis(1500))).unwrap();
        setup.send_request(&mut client, "GET", "page", "k");
        let status = read_message(&mut client).map(|(head, _)| head[9..12].to_string());
        assert_eq!(status.as_deref(), Some("200"));
    }
}

/// Guards against a client that is held for minutes because it had sent the first part of its body
/// fast: it is owed its error within 3 s.
#[test]
fn a_client_that_stops_after_half_of_a_long_body_gets_its_error_within_3_s() {
    let setup = ProxySetup::with_memory_limit();
    let mut client = setup.client();
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    client.write_all(format!("{HEAD}Content-Length: 1000000\r\n\r\n").as_bytes()).unwrap();
    client.write_all(&[b'v'; 500_000]).unwrap();
    let stopped_at = Instant::now();
    let status = read_message(&mut client).map(|(head, _)| head[9..12].to_string());
    assert_eq!(status.as_deref(), Some("408"));
    assert!(stopped_at.elapsed() < Duration::from_secs(3), "after {:?}", stopped_at.elapsed());
}
