//! What a server gets in its slow start.

use crate::helper::Harness;
use crate::{FOUR, of_birch};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use expect_test::expect;

#[test]
fn a_server_in_slow_start_gets_its_share_of_keys_and_no_more_than_its_tokens() {
    let mut harness = Harness::new(&[]);
    harness.pass(200_000);
    let mut rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, 0));
    harness.list(&rows);
    let before = of_birch(&mut harness);
    rows[1].3 = harness.now;
    harness.list(&rows);
    let slow = of_birch(&mut harness);
    expect!["53 before, 13 in slow start"].assert_eq(&format!("{before} before, {slow} in slow start"));
    // All in slow start and nothing answered: one attempt each in a fleet of four proxies, and the rest is rejected. In a
    // fleet of 16 each has its part of those attempts.
    let sent = ["4", "16"].map(|proxies| {
        let mut harness = Harness::new(&[("proxies", proxies)]);
        harness.pass(200_000);
        harness.list(&FOUR.map(|id| (id, 0, EndpointStatus::Ready, 200_000)));
        for _ in 0..2 {
            (0..40).for_each(|i| _ = harness.send(0, &format!("book/{i}")));
            (0..4).for_each(|_| harness.pass(10_000));
        }
        harness.take_trace().matches("->").count().to_string()
    });
    expect!["8 and 4 of 80 sent"].assert_eq(&format!("{} of 80 sent", sent.join(" and ")));
}

/// A fleet all in slow start and empty misses whatever it gets: its misses earn it tokens like answers, or it would get
/// ever less.
#[test]
fn misses_in_slow_start_earn_tokens() {
    let mut harness = Harness::new(&[("origin kind", "9"), ("proxies", "4")]);
    harness.pass(1_000_000);
    let mut rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, 1_000_000)).to_vec();
    rows.push(("origin", 0, EndpointStatus::Ready, 0));
    harness.list(&rows);
    let mut sent_by_second = Vec::new();
    for second in 0..3 {
        harness.pass(10_000);
        let mut sent = 0;
        for i in 0..400 {
            harness.pass(1);
            let request_id = harness.send(0, &format!("{second}/{i}"));
            if harness.take_trace().contains("->") {
                sent += 1;
                harness.end(request_id, 0, AttemptOutcome::CacheMiss);
                harness.end(request_id, 1, AttemptOutcome::Completed);
            }
        }
        sent_by_second.push(sent);
    }
    expect!["[207, 227, 273] of 400 each"].assert_eq(&format!("{sent_by_second:?} of 400 each"));
}

/// Servers that are late give up keys, and none of those go to one in slow start: it gets its own alone.
#[test]
fn what_late_servers_give_up_is_not_pushed_on_one_in_slow_start() {
    let day = |late: bool| {
        let mut harness = Harness::new(&[]);
        harness.ready(&FOUR);
        harness.pass(10_000);
        for i in 0..200 {
            harness.pass(200);
            let request_id = harness.send(0, &format!("page/{i}"));
            let took = if late && i % 2 == 0 { 10_000 } else { 100 };
            harness.complete(request_id, took);
            harness.client_leaves(request_id);
        }
        let now = harness.now;
        harness.list(&FOUR.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { now } else { 0 })));
        harness.take_trace();
        for i in 0..400 {
            harness.pass(50);
            let request_id = harness.send(0, &format!("page/{i}"));
            let in_slow_start = harness.last_server().is_some_and(|id| id == "birch");
            let took = if late && !in_slow_start && i % 2 == 0 { 10_000 } else { 100 };
            harness.complete(request_id, took);
            harness.client_leaves(request_id);
        }
        harness.take_trace().matches("> server 1").count()
    };
    expect!["35 of 400 where others are in time, 23 where late"].assert_eq(&format!(
        "{} of 400 where others are in time, {} where late",
        day(false),
        day(true)
    ));
}
