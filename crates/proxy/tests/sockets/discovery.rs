//! The endpoint list by polls and watches: what is off stays off, whatever the service answers.

use super::*;

#[test]
fn old_broken_and_silent_lists_change_nothing_and_an_address_may_move() {
    let moved = |lines: &[Value]| {
        let at = |i: usize| line("a", lines[i]["addr"].as_str().unwrap().parse().unwrap(), "SERVING");
        let mut bad = at(0);
        bad["addr"] = json!("nowhere");
        vec![
            whole(9, &[at(1)]),
            whole(3, &[at(0)]),
            "{\"version\": 10, \"full\": true".into(),
            whole(11, &[bad]),
            String::new(),
            whole(12, &[at(0)]),
        ]
    };
    let setup = ProxySetup::with(&[("a", hit), ("b", hit)], 1024, "", moved);
    let mut client = setup.client();
    let at_a = || setup.observed.lines.lock().unwrap().iter().any(|line| line.starts_with("a:"));
    // Five calls with rests of up to 3.25 s: some 10 s in all, twice that at the most.
    let end = Instant::now() + Duration::from_secs(60);
    while !at_a() && Instant::now() < end {
        setup.ask(&mut client, "GET", "page", "k");
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

/// What an answer says is off is off, though it has a wrong line, a state that nobody knows, or an older version than before.
#[test]
fn no_drain_is_lost_by_an_answer_that_makes_no_sense() {
    let observed = [("WRONG", 10), ("RESTING", 10), ("DRAINING", 3)].map(|(state, version)| {
        let listed = |lines: &[Value]| {
            let mut bad = lines.to_vec();
            bad[0]["state"] = json!(if state == "WRONG" { "DRAINING" } else { state });
            bad[1]["addr"] = if state == "WRONG" { json!("nowhere") } else { bad[1]["addr"].clone() };
            vec![whole(9, lines), whole(version, &bad), String::new()]
        };
        let setup = ProxySetup::with(&[("a", hit), ("b", hit)], 1024, "", listed);
        wait_for(|| setup.calls.load(Ordering::SeqCst) >= 3);
        let mut client = setup.client();
        (0..20).for_each(|i| setup.ask(&mut client, "GET", "page", &format!("k{i}")));
        let of =
            |name| setup.observed.lines.lock().unwrap().iter().filter(|line| line.starts_with(name)).count();
        format!("{state}: {} to a, {} to b", of("a:"), of("b:"))
    });
    expect![[r#"
        WRONG: 0 to a, 20 to b
        RESTING: 0 to a, 20 to b
        DRAINING: 0 to a, 20 to b"#]]
    .assert_eq(&observed.join("\n"));
}

/// One of a hundred proxies polls a busy service for no more than it needs, and reads out a call that was admitted; what broke
/// may be another service by now. After an answer, whatever it is and whatever failed before, it calls within the 200 ms for
/// which a watch goes on, as changes in that time count as notified; and a silent call is made anew within the grace of its wait.
#[test]
fn a_busy_list_is_asked_for_changes_and_waited_for_and_a_broken_one_for_all() {
    let (listener, list_addr) = a_listener();
    let observed = Observed::default();
    let (calls, asked) = (Arc::new(AtomicUsize::new(0)), observed.clone());
    let next = Arc::new(Mutex::new(None::<(Instant, Duration, &str)>)); // from when on, for how long, the next call is so
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (calls, asked, next) = (calls.clone(), asked.clone(), next.clone());
            spawn(move || {
                while let Some((head, _)) = message(&mut stream) {
                    let now = Instant::now();
                    let expected = next.lock().unwrap().take();
                    let comes = expected.filter(|(from, lasts, _)| (*from..*from + *lasts).contains(&now));
                    let call = head.lines().next().unwrap().trim_end_matches(" HTTP/1.1");
                    // How long a watch waits is by chance.
                    let (call, wait) = call.split_once("&wait=").unwrap_or((call, "0"));
                    asked.record(format!("{call}{}", comes.map_or("", |(.., word)| word)));
                    let body =
                        |version| json!({"version": version, "full": false, "servers": []}).to_string();
                    let (status, body, short, after_ms) = match calls.fetch_add(1, Ordering::SeqCst) {
                        0 => ("503 Busy", String::new(), 0, 0),
                        1 => ("200 OK", body(7), 1, 0),
                        // Longer than the 2 s that the platform's service allows.
                        2 => ("200 OK", body(7), 0, 2500),
                        _ => ("200 OK", body(8), 0, 60_000),
                    };
                    let over = now + Duration::from_millis(wait.parse().unwrap());
                    *next.lock().unwrap() = Some((over, Duration::from_secs(1), ", anew in time"));
                    sleep(Duration::from_millis(after_ms));
                    *next.lock().unwrap() = Some((Instant::now(), Duration::from_millis(200), ", going on"));
                    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len() + short);
                    if stream.write_all((head + &body).as_bytes()).is_err() || short > 0 {
                        return;
                    }
                }
            });
        }
    });
    let (_, addr) = a_listener();
    let configuration = configuration(own_address(), list_addr, &[line("a", addr, "SERVING")], 1024);
    let mut proxy = run(&configuration, "");
    wait_for(|| observed.lines.lock().unwrap().len() >= 5);
    proxy.kill().unwrap();
    proxy.wait().unwrap();
    expect![[r#"
        GET /discovery/hosts?index=1
        GET /discovery/hosts?index=1
        GET /discovery/hosts, going on
        GET /discovery/hosts?index=7, going on
        GET /discovery/hosts?index=7, anew in time"#]]
    .assert_eq(&observed.lines.lock().unwrap()[..].join("\n"));
}

#[test]
fn a_new_configuration_moves_the_list_and_a_bad_one_changes_nothing() {
    let setup = ProxySetup::with(&[("a", hit), ("b", hit)], 1024, "", |lines| vec![whole(2, &lines[..1])]);
    let mut client = setup.client();
    std::fs::write(&setup.path, "{\"discovery\": ").unwrap();
    setup.signal("-HUP");
    setup.ask(&mut client, "GET", "page", "k");
    let (listener, addr) = a_listener();
    let calls = Arc::new(AtomicUsize::new(0));
    list(listener, vec![whole(3, &setup.lines[1..])], calls.clone());
    // The list that the configuration has is older than the one that was delivered.
    let moved = configuration(setup.addr, addr, &setup.lines[..1], 1024);
    std::fs::write(&setup.path, moved.to_string()).unwrap();
    setup.signal("-HUP");
    wait_for(|| calls.load(Ordering::SeqCst) >= 2);
    setup.ask(&mut client, "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        b: GET /api/k?part=1
        client: 200 value
    "#]]);
}

#[test]
fn a_list_that_starts_again_from_an_old_state_brings_no_drained_server_back() {
    let again = |lines: &[Value]| {
        let mut off = lines.to_vec();
        off[0]["state"] = json!("DRAINING");
        let mut born = lines.to_vec();
        born[0]["started_ms"] = json!(1_800_000_000_000u64);
        // Drained, then five answers of before that, and at last one in which it has started since.
        let mut output = vec![whole(9, &off)];
        output.extend([4, 4, 4, 4, 4].map(|version| whole(version, lines)));
        output.extend([whole(5, lines), whole(6, &born)]);
        output
    };
    let setup = ProxySetup::with(&[("a", hit), ("b", hit)], 1024, "", again);
    let ask =
        |client: &mut TcpStream| (0..20).for_each(|i| setup.ask(client, "GET", "page", &format!("k{i}")));
    wait_for(|| setup.calls.load(Ordering::SeqCst) >= 7);
    let mut client = setup.client();
    ask(&mut client);
    let of_a = || setup.observed.lines.lock().unwrap().iter().filter(|line| line.starts_with("a:")).count();
    let drained = of_a();
    wait_for(|| setup.calls.load(Ordering::SeqCst) >= 9);
    sleep(Duration::from_millis(50));
    ask(&mut client);
    expect!["0 attempts while off, 8 after its start"]
        .assert_eq(&format!("{drained} attempts while off, {} after its start", of_a()));
}

#[test]
fn a_drain_notified_while_the_process_is_stopped_counts_from_then() {
    let drained = |lines: &[Value]| {
        let mut a = lines[0].clone();
        a["state"] = json!("DRAINING");
        let changed = |lines: &[Value]| json!({"version": 3, "full": false, "servers": lines}).to_string();
        vec![whole(2, lines), changed(&[]), changed(&[a])]
    };
    let setup = ProxySetup::with(&[("a", hit), ("b", hit)], 1024, "", drained);
    let mut clients: Vec<TcpStream> = (0..9).map(|_| setup.client()).collect();
    // The drain is the answer to the third call.
    wait_for(|| setup.calls.load(Ordering::SeqCst) >= 3);
    setup.signal("-STOP");
    for (i, client) in clients.iter_mut().enumerate() {
        setup.write(client, "GET", "page", &format!("k{i}"));
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
