//! The endpoint list by polls and watches. A server that is draining remains so for any response of
//! the discovery service.

use super::*;

#[test]
fn old_broken_and_missing_lists_change_nothing_and_an_address_may_change() {
    let moved = |entries: &[Value]| {
        let entry =
            |i: usize| list_entry("a", entries[i]["addr"].as_str().unwrap().parse().unwrap(), "SERVING");
        let mut invalid = entry(0);
        invalid["addr"] = json!("nowhere");
        vec![
            full_list(9, &[entry(1)]),
            full_list(3, &[entry(0)]),
            "{\"version\": 10, \"full\": true".into(),
            full_list(11, &[invalid]),
            String::new(),
            full_list(12, &[entry(0)]),
        ]
    };
    let setup = ProxySetup::with_options(&[("a", hit), ("b", hit)], 1024, "", moved);
    let mut client = setup.client();
    let reached_a = || setup.observed.lines.lock().unwrap().iter().any(|line| line.starts_with("a:"));
    // The valid list arrives after five calls with delays of up to 3.25 s: after about 10 s, and at
    // most twice that.
    let end = Instant::now() + Duration::from_secs(60);
    while !reached_a() && Instant::now() < end {
        setup.request(&mut client, "GET", "page", "k");
        sleep(Duration::from_millis(100));
    }
    let mut seen = setup.observed.lines.lock().unwrap().clone();
    seen.retain(|line| !line.starts_with("client: 200"));
    seen.dedup();
    expect![[r#"
        b: GET /api/k?part=1
        a: GET /api/k?part=1"#]]
    .assert_eq(&seen.join("\n"));
}

/// A server that a response lists as out of service stays so, even if the response has an invalid
/// entry, an unknown state, or an older version than the one before.
#[test]
fn no_drain_is_lost_by_an_invalid_response() {
    let observed = [("WRONG", 10), ("RESTING", 10), ("DRAINING", 3)].map(|(state, version)| {
        let listed = |entries: &[Value]| {
            let mut invalid = entries.to_vec();
            invalid[0]["state"] = json!(if state == "WRONG" { "DRAINING" } else { state });
            invalid[1]["addr"] = if state == "WRONG" { json!("nowhere") } else { invalid[1]["addr"].clone() };
            vec![full_list(9, entries), full_list(version, &invalid), String::new()]
        };
        let setup = ProxySetup::with_options(&[("a", hit), ("b", hit)], 1024, "", listed);
        wait_for(|| setup.list_calls.load(Ordering::SeqCst) >= 3);
        let mut client = setup.client();
        (0..20).for_each(|i| setup.request(&mut client, "GET", "page", &format!("k{i}")));
        let attempts_at =
            |name| setup.observed.lines.lock().unwrap().iter().filter(|line| line.starts_with(name)).count();
        format!("{state}: {} to a, {} to b", attempts_at("a:"), attempts_at("b:"))
    });
    expect![[r#"
        WRONG: 0 to a, 20 to b
        RESTING: 0 to a, 20 to b
        DRAINING: 0 to a, 20 to b"#]]
    .assert_eq(&observed.join("\n"));
}

/// One proxy of a hundred polls a busy discovery service only for what it needs, and waits for a
/// response to a call that was admitted. A broken response is followed by a call for the full list,
/// because another service may answer by now.
///
/// After any response, also after earlier failures, the proxy calls again within the 200 ms for
/// which a watch is kept open, because changes in that time count as notified. A call without a
/// response is repeated within 1 s after its wait has expired.
#[test]
fn a_busy_service_is_polled_for_changes_and_a_broken_response_leads_to_a_full_poll() {
    let (listener, list_addr) = bind_listener();
    let observed = Observed::default();
    let (calls, log) = (Arc::new(AtomicUsize::new(0)), observed.clone());
    // Start, length and label of a time span: the next call is logged with the label if it arrives
    // within the span.
    let next_call_span = Arc::new(Mutex::new(None::<(Instant, Duration, &str)>));
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (calls, log, next_call_span) = (calls.clone(), log.clone(), next_call_span.clone());
            spawn(move || {
                while let Some((head, _)) = read_message(&mut stream) {
                    let now = Instant::now();
                    let span = next_call_span.lock().unwrap().take();
                    let matching_span =
                        span.filter(|(from, duration, _)| (*from..*from + *duration).contains(&now));
                    let call = head.lines().next().unwrap().trim_end_matches(" HTTP/1.1");
                    // The wait of a watch is random, so it is left out of the log.
                    let (call, wait) = call.split_once("&wait=").unwrap_or((call, "0"));
                    log.record(format!("{call}{}", matching_span.map_or("", |(.., label)| label)));
                    let body =
                        |version| json!({"version": version, "full": false, "servers": []}).to_string();
                    let (status, body, missing_bytes, delay_ms) = match calls.fetch_add(1, Ordering::SeqCst) {
                        0 => ("503 Busy", String::new(), 0, 0),
                        1 => ("200 OK", body(7), 1, 0),
                        // Longer than the 2 s that the platform's discovery service allows.
                        2 => ("200 OK", body(7), 0, 2500),
                        _ => ("200 OK", body(8), 0, 60_000),
                    };
                    let wait_end = now + Duration::from_millis(wait.parse().unwrap());
                    *next_call_span.lock().unwrap() =
                        Some((wait_end, Duration::from_secs(1), ", repeated in time"));
                    sleep(Duration::from_millis(delay_ms));
                    *next_call_span.lock().unwrap() =
                        Some((Instant::now(), Duration::from_millis(200), ", watch continued"));
                    let head = format!(
                        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                        body.len() + missing_bytes
                    );
                    if stream.write_all((head + &body).as_bytes()).is_err() || missing_bytes > 0 {
                        return;
                    }
                }
            });
        }
    });
    let (_, addr) = bind_listener();
    let configuration = configuration(unique_address(), list_addr, &[list_entry("a", addr, "SERVING")], 1024);
    let mut proxy = run(&configuration, "");
    wait_for(|| observed.lines.lock().unwrap().len() >= 5);
    proxy.kill().unwrap();
    proxy.wait().unwrap();
    expect![[r#"
        GET /discovery/hosts?index=1
        GET /discovery/hosts?index=1
        GET /discovery/hosts, watch continued
        GET /discovery/hosts?index=7, watch continued
        GET /discovery/hosts?index=7, repeated in time"#]]
    .assert_eq(&observed.lines.lock().unwrap()[..].join("\n"));
}

#[test]
fn a_new_configuration_moves_discovery_and_an_invalid_one_changes_nothing() {
    let setup = ProxySetup::with_options(&[("a", hit), ("b", hit)], 1024, "", |entries| {
        vec![full_list(2, &entries[..1])]
    });
    let mut client = setup.client();
    std::fs::write(&setup.config_path, "{\"discovery\": ").unwrap();
    setup.signal("-HUP");
    setup.request(&mut client, "GET", "page", "k");
    let (listener, addr) = bind_listener();
    let calls = Arc::new(AtomicUsize::new(0));
    serve_list(listener, vec![full_list(3, &setup.entries[1..])], calls.clone());
    // The list in the new configuration is older than the one that was delivered.
    let moved = configuration(setup.addr, addr, &setup.entries[..1], 1024);
    std::fs::write(&setup.config_path, moved.to_string()).unwrap();
    setup.signal("-HUP");
    wait_for(|| calls.load(Ordering::SeqCst) >= 2);
    setup.request(&mut client, "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        b: GET /api/k?part=1
        client: 200 value
    "#]]);
}

#[test]
fn a_list_that_starts_again_from_an_old_state_brings_no_drained_server_back() {
    let lists = |entries: &[Value]| {
        let mut draining = entries.to_vec();
        draining[0]["state"] = json!("DRAINING");
        let mut restarted = entries.to_vec();
        restarted[0]["started_ms"] = json!(1_800_000_000_000u64);
        // The server is drained, then six responses list it in its state before the drain, and the
        // last one lists it as restarted since.
        let mut output = vec![full_list(9, &draining)];
        output.extend([4, 4, 4, 4, 4].map(|version| full_list(version, entries)));
        output.extend([full_list(5, entries), full_list(6, &restarted)]);
        output
    };
    let gate = LastListGate::closed();
    let setup = ProxySetup::with_last_list_gate(&[("a", hit), ("b", hit)], 1024, "", lists, gate.clone());
    let request_keys =
        |client: &mut TcpStream| (0..20).for_each(|i| setup.request(client, "GET", "page", &format!("k{i}")));
    // The call for the last list has arrived, so all lists before it are applied.
    wait_for(|| setup.list_calls.load(Ordering::SeqCst) >= 8);
    let mut client = setup.client();
    request_keys(&mut client);
    let attempts_at_a =
        || setup.observed.lines.lock().unwrap().iter().filter(|line| line.starts_with("a:")).count();
    let drained = attempts_at_a();
    let calls_before = setup.list_calls.load(Ordering::SeqCst);
    gate.open();
    // The next call follows once the last list is applied.
    wait_for(|| setup.list_calls.load(Ordering::SeqCst) > calls_before);
    sleep(Duration::from_millis(50));
    request_keys(&mut client);
    expect!["0 attempts while draining, 8 after its restart"]
        .assert_eq(&format!("{drained} attempts while draining, {} after its restart", attempts_at_a()));
}

#[test]
fn a_drain_notified_while_the_process_is_stopped_counts_from_then() {
    let drained = |entries: &[Value]| {
        let mut a = entries[0].clone();
        a["state"] = json!("DRAINING");
        let changed =
            |entries: &[Value]| json!({"version": 3, "full": false, "servers": entries}).to_string();
        vec![full_list(2, entries), changed(&[]), changed(&[a])]
    };
    let setup = ProxySetup::with_options(&[("a", hit), ("b", hit)], 1024, "", drained);
    let mut clients: Vec<TcpStream> = (0..9).map(|_| setup.client()).collect();
    // The drain is in the response to the third call.
    wait_for(|| setup.list_calls.load(Ordering::SeqCst) >= 3);
    setup.signal("-STOP");
    for (i, client) in clients.iter_mut().enumerate() {
        setup.send_request(client, "GET", "page", &format!("k{i}"));
    }
    sleep(Duration::from_millis(1300));
    setup.signal("-CONT");
    for client in &mut clients {
        setup.record_response(client);
    }
    let mut seen = setup.observed.lines.lock().unwrap().clone();
    seen.retain(|line| line.starts_with("a:"));
    expect![[r#""#]].assert_eq(&seen.join("\n"));
}
