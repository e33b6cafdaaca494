//! Which servers are ejected, checked and readmitted.

use crate::helper::{FIRST_SERVER_TOKEN, Harness};
use crate::{FOUR_SERVERS, key_owned_by};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn a_server_that_fails_fast_is_ejected_checked_and_readmitted_gradually() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let key = key_owned_by(&mut harness, "cedar");
    harness.take_trace();
    for _ in 0..3 {
        let request_id = harness.send(0, &key);
        harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
        harness.end_attempt(request_id, 1, AttemptOutcome::Completed);
    }
    let request_id = harness.send(0, &key);
    harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
    harness.advance_clock(7000);
    harness.fire_timer(FIRST_SERVER_TOKEN + 2);
    harness.balancer.health_check_finished(2, true, &mut harness.trace);
    let (request_id, _) = (harness.send(0, &key), harness.send(0, &key));
    harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
    expect![[r#"
        request 1 -> server 2
        request 1 -> server 1
        request 2 -> server 2
        request 2 -> server 1
        request 3 -> server 2
        log: server ejected cedar
        timer in 581 ms
        request 3 -> server 1
        request 4 -> server 1
        check health of server 2
        log: server readmitted cedar
        request 5 -> server 2
        request 6 -> server 1
        log: server ejected cedar
        timer in 1144 ms
        request 5 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn when_every_server_fails_they_still_get_attempts() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS[..2]);
    let keys = ["amber", "birch"].map(|id| key_owned_by(&mut harness, id));
    for key in keys.iter().chain(&keys).chain(&keys) {
        let request_id = harness.send(0, key);
        harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
        harness.end_attempt(request_id, 1, AttemptOutcome::ServerError);
    }
    harness.take_trace();
    keys.iter().for_each(|key| {
        harness.send(0, key);
    });
    expect![[r#"
        request 9 -> server 0
        request 10 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_dead_server_gets_no_attempts_even_if_the_others_are_full() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber", "birch"]);
    let key = key_owned_by(&mut harness, "amber");
    harness.take_trace();
    let request_id = harness.send(0, &key);
    harness.end_attempt(request_id, 0, AttemptOutcome::Unreachable);
    for _ in 0..9 {
        let other_id = harness.send(0, "other");
        harness.end_attempt(other_id, 0, AttemptOutcome::Overloaded);
    }
    harness.take_trace();
    (0..3).for_each(|_| {
        harness.send(0, &key);
    });
    expect![[r#"
        request 12 rejected
        request 13 rejected
        request 14 rejected
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn requests_to_a_silent_server_are_hedged_elsewhere_and_its_third_silence_ejects_it() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let key = key_owned_by(&mut harness, "delta");
    harness.take_trace();
    for _ in 0..3 {
        let request_id = harness.send(0, &key);
        harness.advance_clock(3000);
        harness.fire_timer(request_id.0);
        let other_id = harness.send(0, &key);
        harness.end_attempt(other_id, 0, AttemptOutcome::Completed);
        harness.end_attempt(request_id, 1, AttemptOutcome::Completed);
        harness.end_attempt(request_id, 0, AttemptOutcome::Cancelled);
    }
    expect![[r#"
        request 9 -> server 3
        request 9 -> server 2
        request 10 -> server 2
        request 9 cancels attempt 0
        request 11 -> server 3
        request 11 -> server 2
        request 12 -> server 2
        request 11 cancels attempt 0
        request 13 -> server 3
        log: server ejected delta
        timer in 566 ms
        request 13 -> server 2
        request 14 -> server 2
        request 13 cancels attempt 0
    "#]]
    .assert_eq(&harness.take_trace());
}

/// An error on a fetch may come from the origin, and does not count against the server.
#[test]
fn a_server_is_not_ejected_for_failed_fetches_alone() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let mut traces = Vec::new();
    for i in 0..60 {
        let request_id = harness.send(0, &format!("book/{i}"));
        let outcome = if harness.last_server().as_deref() == Some("birch") {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::CompletedByFetch
        };
        harness.end_attempt(request_id, 0, outcome);
        harness.disconnect_client(request_id);
        traces.push(harness.take_trace());
    }
    let trace = traces.concat();
    assert!(!trace.contains("log: server ejected"));
    expect!["15 sent to birch, 9 rejected"].assert_eq(&format!(
        "{} sent to birch, {} rejected",
        trace.matches("server 1").count(),
        trace.matches("rejected").count()
    ));
}

#[test]
fn one_broken_connection_does_not_eject_a_server_and_a_third_in_a_row_does() {
    let mut harness = Harness::new(&[("second copies", "0")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let key = key_owned_by(&mut harness, "birch");
    harness.take_trace();
    for outcome in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Completed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
    ] {
        let request_id = harness.send(2, &key);
        harness.end_attempt(request_id, 0, outcome);
    }
    expect![[r#"
        request 3 -> server 1
        request 3 failed
        request 4 -> server 1
        request 5 -> server 1
        request 5 failed
        request 6 -> server 1
        request 6 failed
        request 7 -> server 1
        log: server ejected birch
        timer in 596 ms
        request 7 failed
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn an_invalid_request_fails_at_once_and_ejects_no_server() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    for _ in 0..4 {
        let request_id = harness.send(0, "book/1");
        harness.end_attempt(request_id, 0, AttemptOutcome::InvalidRequest);
    }
    expect![[r#"
        request 0 -> server 0
        request 0 failed
        request 1 -> server 0
        request 1 failed
        request 2 -> server 0
        request 2 failed
        request 3 -> server 0
        request 3 failed
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn an_ejected_server_that_answers_is_readmitted_without_a_health_check() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber"]);
    (0..3).for_each(|_| {
        let request_id = harness.send(2, "book/1");
        harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
    });
    // The only server still gets attempts.
    (0..7).for_each(|_| {
        let request_id = harness.send(0, "book/1");
        harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
    });
    harness.take_trace();
    harness.set_ready_servers(&FOUR_SERVERS);
    expect!["amber"].assert_eq(&harness.owner("book/1"));
}

#[test]
fn three_broken_connections_do_not_eject_a_server_that_answers() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    harness.advance_clock(10_000);
    let key = key_owned_by(&mut harness, "birch");
    harness.take_trace();
    for outcome in
        [AttemptOutcome::ConnectionLost, AttemptOutcome::Unreachable, AttemptOutcome::ConnectionLost]
    {
        let request_id = harness.send(2, &key);
        harness.end_attempt(request_id, 0, outcome);
    }
    // Half a minute later, the server has not answered recently, and one refused connection is
    // enough: no other request is sent to that server.
    harness.advance_clock(300_000);
    let request_id = harness.send(2, &key);
    harness.end_attempt(request_id, 0, AttemptOutcome::Unreachable);
    harness.send(2, &key);
    expect![[r#"
        request 3 -> server 1
        request 3 failed
        request 4 -> server 1
        request 4 -> server 3
        request 5 -> server 1
        request 5 failed
        request 6 -> server 1
        request 6 -> server 2
        request 7 -> server 2
    "#]]
    .assert_eq(&harness.take_trace());
}
