//! Many clients, silent clients and stopped processes: budgets of descriptors, and how connections end.

use super::*;

#[test]
fn after_a_signal_to_end_it_serves_what_still_comes_answers_all_and_exits() {
    let slow: ServerScript = |_| {
        sleep(Duration::from_millis(700));
        (HIT_RESPONSE, false)
    };
    let mut setup = ProxySetup::new(&[("a", slow)]);
    let (mut idle, mut early, mut late) = (setup.client(), setup.client(), setup.client());
    setup.write(&mut early, "GET", "page", "k");
    sleep(Duration::from_millis(100));
    setup.signal("-TERM");
    sleep(Duration::from_millis(100));
    setup.observed.record(format!("up: {:?}", setup.up()));
    setup.write(&mut late, "GET", "page", "k");
    [&mut early, &mut late].into_iter().for_each(|client| setup.record_response(client));
    // The door is closed, and who has a connection is served on until its turn has come.
    wait_for(|| TcpStream::connect(setup.addr).is_err());
    setup.ask(&mut early, "GET", "page", "k");
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
        client: closed on
        client: closed on
        client: closed on
        exit status: 0, listening: false
    "#]]);
}

/// Has many clients ask, one after the other, that all keep their connections; says how often what came back.
fn crowd(sockets: usize, before: &str, expected: Expect) {
    let setup = ProxySetup::with(&[("a", hit)], sockets, before, |lines| vec![whole(2, lines)]);
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = setup.client();
        client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        setup.ask(&mut client, "GET", "page", "k");
        clients.push(client);
        sleep(Duration::from_millis(10));
    }
    let mut seen = setup.observed.lines.lock().unwrap().clone();
    seen.sort();
    let mut counts: Vec<String> = Vec::new();
    for output in seen.chunk_by(|a, b| a == b) {
        counts.push(format!("{} x {}", output.len(), output[0]));
    }
    expected.assert_eq(&counts.join("\n"));
}

#[test]
fn more_clients_than_the_budget_holds_are_served_by_closing_idle_ones() {
    crowd(
        44,
        "",
        expect![[r#"
            60 x a: GET /api/k?part=1
            60 x client: 200 value"#]],
    );
}

#[test]
fn a_connection_is_not_closed_before_its_first_request() {
    let setup = ProxySetup::with(&[("a", hit)], 46, "", |lines| vec![whole(2, lines)]);
    let mut clients: Vec<TcpStream> = (0..60).map(|_| setup.client()).collect();
    sleep(Duration::from_millis(50));
    for client in &mut clients {
        setup.write(client, "GET", "page", "k");
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
    let setup = ProxySetup::with(&servers, 46, "", |lines| vec![whole(2, lines)]);
    let mut clients = Vec::new();
    for i in 0..24 {
        let mut client = setup.client();
        setup.write(&mut client, "GET", "once", &format!("k{i}"));
        // Each of the thirteen that there is room for is out at a server before the next one comes; a fourteenth
        // has a place, and its attempt has none.
        wait_for(|| i >= 13 || setup.observed.lines.lock().unwrap().len() > i);
        clients.push(client);
    }
    // The last to come are answered while the first still wait.
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
fn clients_that_ask_once_and_stay_hold_a_sixth_of_the_descriptors_at_most() {
    let setup = ProxySetup::with(&[("a", hit)], 195, "", |lines| vec![whole(2, lines)]);
    let mut clients = Vec::new();
    for _ in 0..45 {
        clients.push(setup.client());
        setup.ask(clients.last_mut().unwrap(), "GET", "page", "k");
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_millis(100));
    clients.iter().for_each(|client| client.set_nonblocking(true).unwrap());
    let open = clients.iter().filter(|client| client.peek(&mut [0]).is_err()).count();
    expect!["30 of 45 are open"].assert_eq(&format!("{open} of 45 are open"));
}

#[test]
fn a_process_out_of_descriptors_goes_on() {
    crowd(
        1024,
        "ulimit -n 30;",
        expect![[r#"
            60 x a: GET /api/k?part=1
            60 x client: 200 value"#]],
    );
}

#[test]
fn time_stopped_counts_against_a_waiting_request() {
    let setup = ProxySetup::new(&[("a", hit)]);
    let mut client = setup.client();
    setup.signal("-STOP");
    setup.write(&mut client, "GET", "page", "k");
    sleep(Duration::from_millis(1700));
    setup.signal("-CONT");
    setup.record_response(&mut client);
    setup.assert_observed(expect![[r#"
        client: 408 Connection: close
    "#]]);
}

#[test]
fn a_head_that_never_ends_is_not_waited_for() {
    let setup = ProxySetup::new(&[("a", hit)]);
    let mut client = setup.client();
    client.write_all(b"GET /k HTTP/1.1\r\nX-Correlation").unwrap();
    setup.record_response(&mut client);
    setup.assert_observed(expect![[r#"
        client: 408 Connection: close
    "#]]);
}

#[test]
fn silent_clients_are_closed_within_three_seconds_and_make_way_for_others() {
    let setup = ProxySetup::with(&[("a", hit)], 46, "", |lines| vec![whole(2, lines)]);
    let begun = Instant::now();
    let mut used = setup.client();
    setup.ask(&mut used, "GET", "page", "k");
    let mut silent: Vec<TcpStream> = (0..10).map(|_| setup.client()).collect();
    sleep(Duration::from_millis(500));
    let mut fresh: Vec<TcpStream> = (0..3).map(|_| setup.client()).collect();
    fresh.iter_mut().for_each(|client| setup.ask(client, "GET", "page", "k"));
    silent.iter_mut().for_each(|client| assert!(message(client).is_none()));
    setup.observed.record(format!("silent ones closed in 3 s: {}", begun.elapsed() < Duration::from_secs(3)));
    setup.ask(&mut used, "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        silent ones closed in 3 s: true
        a: GET /api/k?part=1
        client: 200 value
    "#]]);
}
