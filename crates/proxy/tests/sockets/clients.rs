//! Many clients, silent clients and stopped processes: limits on file descriptors, and how
//! connections end.

use super::*;

#[test]
fn after_sigterm_it_serves_late_requests_answers_all_and_exits() {
    let slow: ServerScript = |_| {
        sleep(Duration::from_millis(700));
        (HIT_RESPONSE, false)
    };
    let mut setup = ProxySetup::new(&[("a", slow)]);
    let (mut idle, mut early, mut late) = (setup.client(), setup.client(), setup.client());
    setup.send_request(&mut early, "GET", "page", "k");
    sleep(Duration::from_millis(100));
    setup.signal("-TERM");
    sleep(Duration::from_millis(100));
    setup.observed.record(format!("up: {:?}", setup.up_status()));
    setup.send_request(&mut late, "GET", "page", "k");
    [&mut early, &mut late].into_iter().for_each(|client| setup.record_response(client));
    // The listener is closed, and clients that have a connection are served until the proxy closes
    // it.
    wait_for(|| TcpStream::connect(setup.addr).is_err());
    setup.request(&mut early, "GET", "page", "k");
    [&mut early, &mut late, &mut idle].into_iter().for_each(|client| setup.record_response(client));
    let exit = setup.proxy.wait().unwrap();
    setup.observed.record(format!("{exit}, listening: {}", TcpStream::connect(setup.addr).is_ok()));
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        up: Some(503)
        a: GET /api/k?part=1
        client: 200 value
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        client: connection closed
        client: connection closed
        client: connection closed
        exit status: 0, listening: false
    "#]]);
}

/// Sends one request from each of 60 clients, one after the other, all of which keep their
/// connections. Compares how often each line was observed.
fn check_many_clients(sockets: usize, shell_prefix: &str, expected: Expect) {
    let setup =
        ProxySetup::with_options(&[("a", hit)], sockets, shell_prefix, |entries| vec![full_list(2, entries)]);
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = setup.client();
        client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        setup.request(&mut client, "GET", "page", "k");
        clients.push(client);
        sleep(Duration::from_millis(10));
    }
    let mut seen = setup.observed.lines.lock().unwrap().clone();
    seen.sort();
    let mut counts: Vec<String> = Vec::new();
    for group in seen.chunk_by(|a, b| a == b) {
        counts.push(format!("{} x {}", group.len(), group[0]));
    }
    expected.assert_eq(&counts.join("\n"));
}

#[test]
fn more_clients_than_the_budget_holds_are_served_by_closing_idle_ones() {
    check_many_clients(
        44,
        "",
        expect![[r#"
            60 x a: GET /api/k?part=1
            60 x client: 200 value"#]],
    );
}

#[test]
fn a_connection_is_not_closed_before_its_first_request() {
    let setup = ProxySetup::with_options(&[("a", hit)], 46, "", |entries| vec![full_list(2, entries)]);
    let mut clients: Vec<TcpStream> = (0..60).map(|_| setup.client()).collect();
    sleep(Duration::from_millis(50));
    for client in &mut clients {
        setup.send_request(client, "GET", "page", "k");
    }
    clients.iter_mut().for_each(|client| setup.record_response(client));
    let seen = setup.observed.lines.lock().unwrap().clone();
    let answered =
        seen.iter().filter(|line| line.starts_with("client: 200") || line.starts_with("client: 503"));
    expect!["60"].assert_eq(&answered.count().to_string());
}

#[test]
fn more_requests_than_the_budget_holds_are_rejected_at_once() {
    let hang: ServerScript = |_| ("", false);
    let servers = [("a", hang), ("b", hang), ("c", hang)];
    let setup = ProxySetup::with_options(&servers, 46, "", |entries| vec![full_list(2, entries)]);
    let mut clients = Vec::new();
    for i in 0..24 {
        let mut client = setup.client();
        setup.send_request(&mut client, "GET", "once", &format!("k{i}"));
        // Each of the 13 requests that there is room for has reached a server before the next one
        // is sent. The fourteenth is accepted, but no descriptor is left for its attempt.
        wait_for(|| i >= 13 || setup.observed.lines.lock().unwrap().len() > i);
        clients.push(client);
    }
    // The last requests are answered while the first still wait.
    clients.rotate_left(14);
    clients.iter_mut().for_each(|client| setup.record_response(client));
    setup.observed.lines.lock().unwrap().retain(|line| line.starts_with("client"));
    setup.observed.lines.lock().unwrap().dedup();
    setup.assert_observed(expect![[r#"
        client: 503 Connection: close
        client: 500
    "#]]);
}

#[test]
fn idle_clients_hold_at_most_a_sixth_of_the_descriptors() {
    let setup = ProxySetup::with_options(&[("a", hit)], 195, "", |entries| vec![full_list(2, entries)]);
    let mut clients = Vec::new();
    for _ in 0..45 {
        clients.push(setup.client());
        setup.request(clients.last_mut().unwrap(), "GET", "page", "k");
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_millis(100));
    clients.iter().for_each(|client| client.set_nonblocking(true).unwrap());
    let open = clients.iter().filter(|client| client.peek(&mut [0]).is_err()).count();
    expect!["30 of 45 are open"].assert_eq(&format!("{open} of 45 are open"));
}

#[test]
fn a_process_out_of_descriptors_keeps_serving() {
    check_many_clients(
        1024,
        "ulimit -n 30;",
        expect![[r#"
            60 x a: GET /api/k?part=1
            60 x client: 200 value"#]],
    );
}

#[test]
fn time_while_stopped_counts_against_a_waiting_request() {
    let setup = ProxySetup::new(&[("a", hit)]);
    let mut client = setup.client();
    setup.signal("-STOP");
    setup.send_request(&mut client, "GET", "page", "k");
    sleep(Duration::from_millis(1700));
    setup.signal("-CONT");
    setup.record_response(&mut client);
    setup.assert_observed(expect![[r#"
        client: 408 Connection: close
    "#]]);
}

#[test]
fn an_unfinished_head_times_out() {
    let setup = ProxySetup::new(&[("a", hit)]);
    let mut client = setup.client();
    client.write_all(b"GET /k HTTP/1.1\r\nX-Correlation").unwrap();
    setup.record_response(&mut client);
    setup.assert_observed(expect![[r#"
        client: 408 Connection: close
    "#]]);
}

#[test]
fn silent_clients_are_closed_within_three_seconds_and_free_room_for_others() {
    let setup = ProxySetup::with_options(&[("a", hit)], 46, "", |entries| vec![full_list(2, entries)]);
    let started = Instant::now();
    let mut used = setup.client();
    setup.request(&mut used, "GET", "page", "k");
    let mut silent: Vec<TcpStream> = (0..10).map(|_| setup.client()).collect();
    sleep(Duration::from_millis(500));
    let mut fresh: Vec<TcpStream> = (0..3).map(|_| setup.client()).collect();
    fresh.iter_mut().for_each(|client| setup.request(client, "GET", "page", "k"));
    silent.iter_mut().for_each(|client| assert!(read_message(client).is_none()));
    setup
        .observed
        .record(format!("silent clients closed within 3 s: {}", started.elapsed() < Duration::from_secs(3)));
    setup.request(&mut used, "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        silent clients closed within 3 s: true
        a: GET /api/k?part=1
        client: 200 value
    "#]]);
}
