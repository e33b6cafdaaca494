//! Which servers are ejected, checked and readmitted.

use crate::helper::{Harness, SERVER};
use crate::{FOUR, key_of};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn a_server_that_fails_fast_is_ejected_checked_and_readmitted_by_and_by() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let key = key_of(&mut harness, "cedar");
    harness.take_trace();
    for _ in 0..3 {
        let a = harness.send(0, &key);
        harness.end(a, 0, AttemptOutcome::ServerError);
        harness.end(a, 1, AttemptOutcome::Completed);
    }
    let a = harness.send(0, &key);
    harness.end(a, 0, AttemptOutcome::Completed);
    harness.pass(7000);
    harness.fire_timer(SERVER + 2);
    harness.balancer.health_check_finished(2, true, &mut harness.trace);
    let (a, _) = (harness.send(0, &key), harness.send(0, &key));
    harness.end(a, 0, AttemptOutcome::ServerError);
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
fn when_every_server_fails_they_get_attempts_all_the_same() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR[..2]);
    let keys = ["amber", "birch"].map(|id| key_of(&mut harness, id));
    for key in keys.iter().chain(&keys).chain(&keys) {
        let a = harness.send(0, key);
        harness.end(a, 0, AttemptOutcome::ServerError);
        harness.end(a, 1, AttemptOutcome::ServerError);
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
fn dead_servers_get_nothing_because_the_others_are_full() {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber", "birch"]);
    let key = key_of(&mut harness, "amber");
    harness.take_trace();
    let a = harness.send(0, &key);
    harness.end(a, 0, AttemptOutcome::Unreachable);
    for _ in 0..9 {
        let b = harness.send(0, "other");
        harness.end(b, 0, AttemptOutcome::Overloaded);
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
fn a_silent_server_is_hedged_elsewhere_and_ejected_at_its_third_silence() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let key = key_of(&mut harness, "delta");
    harness.take_trace();
    for _ in 0..3 {
        let a = harness.send(0, &key);
        harness.pass(3000);
        harness.fire_timer(a.0);
        let b = harness.send(0, &key);
        harness.end(b, 0, AttemptOutcome::Completed);
        harness.end(a, 1, AttemptOutcome::Completed);
        harness.end(a, 0, AttemptOutcome::Cancelled);
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

/// An error on a fetch may be the origin's, and is not counted against the server.
#[test]
fn a_server_whose_fetches_fail_alone_is_not_ejected() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.ready(&FOUR);
    let mut values = Vec::new();
    for i in 0..60 {
        let a = harness.send(0, &format!("book/{i}"));
        let outcome = if harness.last_server().as_deref() == Some("birch") {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::CompletedByFetch
        };
        harness.end(a, 0, outcome);
        harness.client_leaves(a);
        values.push(harness.take_trace());
    }
    let trace = values.concat();
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
    harness.ready(&FOUR);
    let key = key_of(&mut harness, "birch");
    harness.take_trace();
    for outcome in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Completed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
    ] {
        let request_id = harness.send(2, &key);
        harness.end(request_id, 0, outcome);
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
fn a_request_no_server_can_use_ends_at_once_and_ejects_no_server() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    for _ in 0..4 {
        let request_id = harness.send(0, "book/1");
        harness.end(request_id, 0, AttemptOutcome::InvalidRequest);
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
    harness.ready(&["amber"]);
    (0..3).for_each(|_| {
        let request_id = harness.send(2, "book/1");
        harness.end(request_id, 0, AttemptOutcome::ServerError);
    });
    // The only server gets attempts all the same.
    (0..7).for_each(|_| {
        let request_id = harness.send(0, "book/1");
        harness.end(request_id, 0, AttemptOutcome::Completed);
    });
    harness.take_trace();
    harness.ready(&FOUR);
    expect!["amber"].assert_eq(&harness.owner("book/1"));
}

#[test]
fn where_a_server_answers_three_broken_connections_do_not_eject_it() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    harness.pass(10_000);
    let key = key_of(&mut harness, "birch");
    harness.take_trace();
    for outcome in
        [AttemptOutcome::ConnectionLost, AttemptOutcome::Unreachable, AttemptOutcome::ConnectionLost]
    {
        let request_id = harness.send(2, &key);
        harness.end(request_id, 0, outcome);
    }
    // Half a minute later nothing has answered for long, and one refused connection is enough: no other request tries it.
    harness.pass(300_000);
    let request_id = harness.send(2, &key);
    harness.end(request_id, 0, AttemptOutcome::Unreachable);
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
