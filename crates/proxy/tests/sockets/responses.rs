//! Hits, misses, server failures, and the responses that clients get.

use super::*;

#[test]
fn a_hit_comes_back_unchanged_on_one_reused_connection() {
    let setup = ProxySetup::new(&[("a", |n| (if n == 0 { HIT_RESPONSE } else { CHUNKED_RESPONSE }, false))]);
    let mut client = setup.client();
    setup.request(&mut client, "GET", "page", "k");
    setup.request(&mut client, "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 values in 2
    "#]]);
}

#[test]
fn a_value_longer_than_the_protocol_allows_is_passed_on_whole() {
    let long: ServerScript = |n| {
        let length = if n == 0 { 300_000 } else { 2_000_000 };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", "v".repeat(length));
        (answer.leak(), false)
    };
    let setup = ProxySetup::new(&[("a", long)]);
    let mut client = setup.client();
    for _ in 0..2 {
        setup.send_request(&mut client, "GET", "once", "k");
        let (head, body) = read_message(&mut client).unwrap();
        setup.observed.record(format!("client: {} {}", &head[9..12], body.len()));
    }
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 300000
        a: GET /api/k?part=1
        client: 200 2000000
    "#]]);
}

#[test]
fn interim_responses_are_skipped() {
    let hints: ServerScript = |_| {
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
        (format!("{interim}{HIT_RESPONSE}").leak(), false)
    };
    let setup = ProxySetup::new(&[("a", hints)]);
    setup.request(&mut setup.client(), "GET", "once", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
    "#]]);
}

#[test]
fn a_miss_goes_to_the_origin_and_so_does_a_write() {
    let setup = ProxySetup::new(&[("a", |_| (MISS_RESPONSE, false)), ("origin", hit)]);
    let mut client = setup.client();
    setup.request(&mut client, "GET", "page", "k");
    setup.request(&mut client, "PUT", "once", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        origin: GET /api/k?part=1
        client: 200 value
        origin: PUT /api/k?part=1 new
        client: 200 value
    "#]]);
}

#[test]
fn a_connection_closed_while_idle_is_not_used_again() {
    let setup = ProxySetup::new(&[("a", |_| (HIT_RESPONSE, true))]);
    let mut client = setup.client();
    for _ in 0..3 {
        setup.request(&mut client, "GET", "page", "k");
        sleep(Duration::from_millis(20));
    }
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
        a: GET /api/k?part=1
        client: 200 value
    "#]]);
}

#[test]
fn a_refused_connection_has_run_nothing_and_a_single_use_request_is_retried() {
    let setup = ProxySetup::new(&[("nobody", hit), ("a", hit)]);
    let mut client = setup.client();
    for key in ["k1", "k2", "k3", "k4", "k5", "k6"] {
        setup.request(&mut client, "GET", "once", key);
    }
    setup.assert_observed(expect![[r#"
        a: GET /api/k1?part=1
        client: 200 value
        a: GET /api/k2?part=1
        client: 200 value
        a: GET /api/k3?part=1
        client: 200 value
        a: GET /api/k4?part=1
        client: 200 value
        a: GET /api/k5?part=1
        client: 200 value
        a: GET /api/k6?part=1
        client: 200 value
    "#]]);
}

#[test]
fn a_request_reset_after_its_last_byte_may_have_run() {
    let setup = ProxySetup::new(&[("a", |_| ("", true)), ("b", |_| ("", true))]);
    let mut client = setup.client();
    setup.request(&mut client, "GET", "once", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 500
    "#]]);
}

#[test]
fn truncated_and_malformed_responses_are_failed_attempts() {
    let broken: ServerScript = |n| match n {
        0 => ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
        1 => ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", false),
        _ => ("SPEAK FRIEND AND ENTER\r\n\r\n", false),
    };
    for key in ["k1", "k2", "k3"] {
        let setup = ProxySetup::new(&[("a", broken), ("b", hit)]);
        setup.request(&mut setup.client(), "GET", "page", key);
        assert!(setup.observed.lines.lock().unwrap().contains(&"client: 200 value".to_string()));
    }
    let unframed = ProxySetup::new(&[("a", |_| ("HTTP/1.1 200 OK\r\n\r\nhalf", true))]);
    unframed.request(&mut unframed.client(), "GET", "once", "k");
    unframed.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 500
    "#]]);
    let setup = ProxySetup::new(&[("a", broken)]);
    for _ in 0..3 {
        setup.request(&mut setup.client(), "GET", "page", "k");
    }
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 503 Retry-After
        a: GET /api/k?part=1
        client: 503 Retry-After
        a: GET /api/k?part=1
        client: 503 Retry-After
    "#]]);
}

#[test]
fn a_silent_server_is_bypassed_and_its_connection_closed_after_the_response() {
    let setup = ProxySetup::new(&[("a", |_| ("", false)), ("b", hit)]);
    let mut client = setup.client();
    for key in ["k1", "k2", "k3"] {
        setup.request(&mut client, "GET", "page", key);
    }
    setup.record_closings(1);
    setup.assert_observed(expect![[r#"
        b: GET /api/k1?part=1
        client: 200 value
        b: GET /api/k2?part=1
        client: 200 value
        a: GET /api/k3?part=1
        b: GET /api/k3?part=1
        client: 200 value
        closed on: a
    "#]]);
}

#[test]
fn an_ejected_server_is_health_checked_and_readmitted() {
    let setup = ProxySetup::new(&[("a", |n| if n < 3 { ("", true) } else { (HIT_RESPONSE, false) })]);
    let mut client = setup.client();
    (0..3).for_each(|_| setup.request(&mut client, "GET", "once", "k"));
    wait_for(|| setup.observed.lines.lock().unwrap().iter().any(|line| line == "a: GET /alive"));
    setup.request(&mut client, "GET", "once", "k");
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        client: 500
        a: GET /api/k?part=1
        client: 500
        a: GET /api/k?part=1
        client: 500
        a: GET /alive
        a: GET /api/k?part=1
        client: 200 value
    "#]]);
}

#[test]
fn without_a_server_a_request_is_rejected_at_once() {
    let empty_list = |entries: &[Value]| vec![full_list(2, &entries[..0])];
    let setup = ProxySetup::with_options(&[("a", hit)], 1024, "", empty_list);
    setup.request(&mut setup.client(), "GET", "page", "k");
    setup.assert_observed(expect![[r#"
        client: 503 Retry-After
    "#]]);
}

#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    let setup = ProxySetup::new(&[("a", |_| ("", false))]);
    let mut client = setup.client();
    setup.send_request(&mut client, "GET", "page", "k");
    sleep(Duration::from_millis(50));
    drop(client);
    setup.record_closings(1);
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        closed on: a
    "#]]);
}
