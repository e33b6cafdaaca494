//! Which keys and how many attempts a server gets in its slow start.

use crate::helper::Harness;
use crate::{FOUR_SERVERS, birch_key_count};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use expect_test::expect;

#[test]
fn a_server_in_slow_start_gets_its_share_of_keys_and_no_more_attempts_than_its_tokens() {
    let mut harness = Harness::new(&[]);
    harness.advance_clock(200_000);
    let mut rows = FOUR_SERVERS.map(|id| (id, 0, EndpointStatus::Ready, 0));
    harness.set_endpoints(&rows);
    let before = birch_key_count(&mut harness);
    rows[1].3 = harness.now;
    harness.set_endpoints(&rows);
    let during = birch_key_count(&mut harness);
    expect!["53 before, 13 in slow start"].assert_eq(&format!("{before} before, {during} in slow start"));
    // All servers are in slow start and have answered nothing. One of four proxies sends each
    // server one attempt per round, and the other requests are rejected. One of 16 proxies sends
    // its share of those attempts.
    let sent = ["4", "16"].map(|proxies| {
        let mut harness = Harness::new(&[("proxies", proxies)]);
        harness.advance_clock(200_000);
        harness.set_endpoints(&FOUR_SERVERS.map(|id| (id, 0, EndpointStatus::Ready, 200_000)));
        for _ in 0..2 {
            (0..40).for_each(|i| _ = harness.send(0, &format!("book/{i}")));
            (0..4).for_each(|_| harness.advance_clock(10_000));
        }
        harness.take_trace().matches("->").count().to_string()
    });
    expect!["8 and 4 of 80 sent"].assert_eq(&format!("{} of 80 sent", sent.join(" and ")));
}

/// While all servers are in slow start and empty, they answer every request with a miss. Misses
/// therefore earn tokens like other answers; otherwise the servers would get fewer and fewer
/// attempts.
#[test]
fn misses_in_slow_start_earn_tokens() {
    let mut harness = Harness::new(&[("origin kind", "9"), ("proxies", "4")]);
    harness.advance_clock(1_000_000);
    let mut rows = FOUR_SERVERS.map(|id| (id, 0, EndpointStatus::Ready, 1_000_000)).to_vec();
    rows.push(("origin", 0, EndpointStatus::Ready, 0));
    harness.set_endpoints(&rows);
    let mut sent_by_second = Vec::new();
    for second in 0..3 {
        harness.advance_clock(10_000);
        let mut sent = 0;
        for i in 0..400 {
            harness.advance_clock(1);
            let request_id = harness.send(0, &format!("{second}/{i}"));
            if harness.take_trace().contains("->") {
                sent += 1;
                harness.end_attempt(request_id, 0, AttemptOutcome::CacheMiss);
                harness.end_attempt(request_id, 1, AttemptOutcome::Completed);
            }
        }
        sent_by_second.push(sent);
    }
    expect!["[207, 227, 273] of 400 each"].assert_eq(&format!("{sent_by_second:?} of 400 each"));
}

/// Servers that answer late give up keys. None of those keys go to a server in slow start, which
/// only gets its own keys.
#[test]
fn keys_that_late_servers_give_up_do_not_go_to_a_server_in_slow_start() {
    let run = |late: bool| {
        let mut harness = Harness::new(&[]);
        harness.set_ready_servers(&FOUR_SERVERS);
        harness.advance_clock(10_000);
        for i in 0..200 {
            harness.advance_clock(200);
            let request_id = harness.send(0, &format!("page/{i}"));
            let took = if late && i % 2 == 0 { 10_000 } else { 100 };
            harness.complete_first_attempt(request_id, took);
            harness.disconnect_client(request_id);
        }
        let now = harness.now;
        harness.set_endpoints(
            &FOUR_SERVERS.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { now } else { 0 })),
        );
        harness.take_trace();
        for i in 0..400 {
            harness.advance_clock(50);
            let request_id = harness.send(0, &format!("page/{i}"));
            let in_slow_start = harness.last_server().is_some_and(|id| id == "birch");
            let took = if late && !in_slow_start && i % 2 == 0 { 10_000 } else { 100 };
            harness.complete_first_attempt(request_id, took);
            harness.disconnect_client(request_id);
        }
        harness.take_trace().matches("> server 1").count()
    };
    expect!["35 of 400 where others are in time, 23 where late"].assert_eq(&format!(
        "{} of 400 where others are in time, {} where late",
        run(false),
        run(true)
    ));
}
