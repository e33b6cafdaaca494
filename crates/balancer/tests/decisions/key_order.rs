//! Whose turn it is among the requests with one key.

use crate::FOUR;
use crate::helper::Harness;
use chalkwalk_balancer::{AttemptOutcome, RequestId};
use expect_test::expect;

/// Requests with one key run one at a time where their namespace asks for it, as taken and across namespaces; others are
/// free. After an attempt that may still run the key is quiet. One whose client left makes no gap, and one whose turn can't come
/// is rejected at once.
#[test]
fn requests_with_one_key_run_in_turn_where_their_class_asks_for_it() {
    let order = [("namespace 1 in order", "1"), ("namespace 2 in order", "1"), ("key quiet", "2000")];
    let mut harness = Harness::new(&order);
    harness.ready(&FOUR);
    let first = harness.send(2, "hot");
    let second = harness.send(1, "hot");
    let third = harness.send(2, "hot");
    harness.send(2, "hot");
    harness.send(0, "hot"); // its class asks for no order
    harness.send(1, "other");
    harness.send(1, ""); // without a key
    harness.send(1, "");
    harness.trace.mark("the first has its answer, the third's client leaves");
    harness.end(first, 0, AttemptOutcome::Completed);
    harness.client_leaves(third);
    harness.trace.mark("the second times out, and has its last attempt");
    harness.pass(2_000);
    harness.end(second, 0, AttemptOutcome::TimedOut);
    harness.end(second, 1, AttemptOutcome::ServerError);
    harness.client_leaves(second);
    harness.pass(5_000);
    harness.fire_timer(3);
    harness.trace.mark("its last attempt has ended too");
    harness.end(second, 2, AttemptOutcome::Cancelled);
    harness.pass(1_999);
    harness.fire_timer(3);
    harness.trace.mark("the key has been quiet");
    harness.pass(1);
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
        --- the key has been quiet
        request 3 -> server 1
        --- a hundred wait, and two more come
        request 108 rejected
        request 109 rejected
    "#]]
    .assert_eq(&harness.take_trace());
    // An attempt in flight still counts, though its request is over.
    harness.client_leaves(RequestId(3));
    harness.trace.mark("its attempt has ended");
    harness.end(RequestId(3), 0, AttemptOutcome::Cancelled);
    harness.pass(2_000);
    harness.fire_timer(waiting[0].0);
    expect![[r#"
        request 3 cancels attempt 0
        --- its attempt has ended
        request 8 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Whatever happens to them, no two requests of a key are in flight at once, none overtakes, and the queue ends.
#[test]
fn no_order_is_broken_by_what_becomes_of_requests() {
    let mut harness = Harness::new(&[("namespace 1 in order", "1"), ("key quiet", "3000")]);
    harness.ready(&FOUR);
    let (mut seed, mut out, mut started, mut over) = (11u64, Vec::new(), Vec::new(), 0);
    let mut keys: Vec<usize> = Vec::new();
    let mut pick = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let mut wakes: Vec<(u64, u64)> = Vec::new();
    for step in 0..4000 {
        if step < 2000 && pick(2) == 0 {
            let key = pick(2) as usize;
            let request_id = harness.send(1, ["a", "b"][key]);
            assert_eq!(request_id.0 as usize, keys.len());
            keys.push(key);
            wakes.push((harness.now + 10_000, request_id.0));
        }
        harness.pass(500);
        let now = harness.now;
        let due: Vec<u64> = wakes.iter().filter(|w| w.0 <= now).map(|w| w.1).collect();
        wakes.retain(|w| w.0 > now);
        // Quiet queues set a timer for their first; here all timers fire now and then.
        due.into_iter().for_each(|token| harness.fire_timer(token));
        (0..harness.balancer.open_requests() as u64).for_each(|_| {
            if let Some(w) = wakes.first() {
                harness.fire_timer(w.1);
            }
        });
        for line in harness.take_trace().lines() {
            let word = |i: usize| line.split(' ').nth(i).unwrap_or("");
            let request_id: u64 = word(1).parse().unwrap_or(0);
            match word(2) {
                "->" => {
                    let of_key = |other: &u64| keys[*other as usize] == keys[request_id as usize];
                    let others_out = out.iter().any(|(other, _)| *other != request_id && of_key(other));
                    assert!(!others_out, "{request_id} beside another of its key");
                    assert!(
                        !started.iter().any(|other| of_key(other) && *other > request_id),
                        "{request_id} out of turn"
                    );
                    started.push(request_id);
                    out.push((request_id, started.iter().filter(|l| **l == request_id).count() - 1));
                }
                "rejected" | "failed" => over += 1,
                _ => {}
            }
        }
        if !out.is_empty() && pick(2) == 0 {
            let (request_id, attempt) = out.remove(pick(out.len() as u64) as usize);
            let outcomes = [
                AttemptOutcome::Completed,
                AttemptOutcome::TimedOut,
                AttemptOutcome::ConnectionLost,
                AttemptOutcome::ServerError,
                AttemptOutcome::Unreachable,
            ];
            harness.end(RequestId(request_id), attempt, outcomes[pick(5) as usize]);
        }
    }
    let distinct = |list: &[u64]| {
        let mut list = list.to_vec();
        list.dedup();
        list
    };
    expect!["543 started, 895 rejected, 0 still open"].assert_eq(&format!(
        "{} started, {over} rejected, {} still open",
        distinct(&started).len(),
        harness.balancer.open_requests()
    ));
}
