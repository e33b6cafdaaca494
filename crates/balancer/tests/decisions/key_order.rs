//! The order of the requests with one key.

use crate::FOUR_SERVERS;
use crate::helper::Harness;
use chalkwalk_balancer::{AttemptOutcome, RequestId};
use expect_test::expect;

/// Requests with one key run one at a time if their class runs requests in order: in the order in
/// which they were accepted, also across such classes. Other requests are not ordered. After an
/// attempt that may still run, no request with the key is sent during a quiet period. A request
/// whose client has disconnected delays no other, and a request whose turn can't come in time is
/// rejected at once.
#[test]
fn requests_with_one_key_run_in_order_where_their_class_asks_for_it() {
    let settings = [("namespace 1 in order", "1"), ("namespace 2 in order", "1"), ("key quiet", "2000")];
    let mut harness = Harness::new(&settings);
    harness.set_ready_servers(&FOUR_SERVERS);
    let first = harness.send(2, "hot");
    let second = harness.send(1, "hot");
    let third = harness.send(2, "hot");
    harness.send(2, "hot");
    harness.send(0, "hot"); // its class does not run requests in order
    harness.send(1, "other");
    harness.send(1, ""); // without a key
    harness.send(1, "");
    harness.trace.mark("the first has its answer, the third's client leaves");
    harness.end_attempt(first, 0, AttemptOutcome::Completed);
    harness.disconnect_client(third);
    harness.trace.mark("the second times out, and has its last attempt");
    harness.advance_clock(2_000);
    harness.end_attempt(second, 0, AttemptOutcome::TimedOut);
    harness.end_attempt(second, 1, AttemptOutcome::ServerError);
    harness.disconnect_client(second);
    harness.advance_clock(5_000);
    harness.fire_timer(3);
    harness.trace.mark("its last attempt has ended too");
    harness.end_attempt(second, 2, AttemptOutcome::Cancelled);
    harness.advance_clock(1_999);
    harness.fire_timer(3);
    harness.trace.mark("the quiet time of the key is over");
    harness.advance_clock(1);
    harness.fire_timer(3);
    harness.trace.mark("a hundred wait, and two more come");
    let waiting: Vec<_> = (0..102).map(|_| harness.send(1, "hot")).collect();
    expect![[r#"
        request 0 -> server 2
        request 4 -> server 2
        request 5 -> server 3
        request 6 -> server 3
        request 7 -> server 0
        --- the first has its answer, the third's client leaves
        request 1 -> server 2
        --- the second times out, and has its last attempt
        request 1 -> server 1 by 5000
        request 1 -> server 0 by 5000
        request 1 cancels attempt 2
        --- its last attempt has ended too
        --- the quiet time of the key is over
        request 3 -> server 1
        --- a hundred wait, and two more come
        request 108 rejected
        request 109 rejected
    "#]]
    .assert_eq(&harness.take_trace());
    // An attempt in flight still blocks its key, although its request has ended.
    harness.disconnect_client(RequestId(3));
    harness.trace.mark("its attempt has ended");
    harness.end_attempt(RequestId(3), 0, AttemptOutcome::Cancelled);
    harness.advance_clock(2_000);
    harness.fire_timer(waiting[0].0);
    expect![[r#"
        request 3 cancels attempt 0
        --- its attempt has ended
        request 8 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// With any sequence of attempt outcomes, no two requests with one key are in flight at once, none
/// overtakes another, and the queues become empty.
#[test]
fn no_outcome_of_an_attempt_breaks_the_order_of_a_key() {
    let mut harness = Harness::new(&[("namespace 1 in order", "1"), ("key quiet", "3000")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let (mut seed, mut in_flight, mut started, mut rejected_or_failed) = (11u64, Vec::new(), Vec::new(), 0);
    let mut keys: Vec<usize> = Vec::new();
    let mut random_below = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let mut timers: Vec<(u64, u64)> = Vec::new();
    for step in 0..4000 {
        if step < 2000 && random_below(2) == 0 {
            let key = random_below(2) as usize;
            let request_id = harness.send(1, ["a", "b"][key]);
            assert_eq!(request_id.0 as usize, keys.len());
            keys.push(key);
            timers.push((harness.now + 10_000, request_id.0));
        }
        harness.advance_clock(500);
        let now = harness.now;
        let due: Vec<u64> = timers.iter().filter(|timer| timer.0 <= now).map(|timer| timer.1).collect();
        timers.retain(|timer| timer.0 > now);
        // A queue sets a timer for its first request until the quiet period is over. Here the
        // oldest timer that is still pending fires repeatedly in each step instead.
        due.into_iter().for_each(|token| harness.fire_timer(token));
        (0..harness.balancer.open_request_count() as u64).for_each(|_| {
            if let Some(timer) = timers.first() {
                harness.fire_timer(timer.1);
            }
        });
        for line in harness.take_trace().lines() {
            let word = |i: usize| line.split(' ').nth(i).unwrap_or("");
            let request_id: u64 = word(1).parse().unwrap_or(0);
            match word(2) {
                "->" => {
                    let has_same_key = |other: &u64| keys[*other as usize] == keys[request_id as usize];
                    let others_in_flight =
                        in_flight.iter().any(|(other, _)| *other != request_id && has_same_key(other));
                    assert!(
                        !others_in_flight,
                        "request {request_id} is in flight while another request with its key is"
                    );
                    assert!(
                        !started.iter().any(|other| has_same_key(other) && *other > request_id),
                        "request {request_id} was sent out of order"
                    );
                    started.push(request_id);
                    in_flight.push((request_id, started.iter().filter(|id| **id == request_id).count() - 1));
                }
                "rejected" | "failed" => rejected_or_failed += 1,
                _ => {}
            }
        }
        if !in_flight.is_empty() && random_below(2) == 0 {
            let (request_id, attempt) = in_flight.remove(random_below(in_flight.len() as u64) as usize);
            let outcomes = [
                AttemptOutcome::Completed,
                AttemptOutcome::TimedOut,
                AttemptOutcome::ConnectionLost,
                AttemptOutcome::ServerError,
                AttemptOutcome::Unreachable,
            ];
            harness.end_attempt(RequestId(request_id), attempt, outcomes[random_below(5) as usize]);
        }
    }
    let distinct = |list: &[u64]| {
        let mut list = list.to_vec();
        list.dedup();
        list
    };
    expect!["543 started, 895 rejected or failed, 0 still open"].assert_eq(&format!(
        "{} started, {rejected_or_failed} rejected or failed, {} still open",
        distinct(&started).len(),
        harness.balancer.open_request_count()
    ));
}
