//! Short days of one balancer, each told as the decisions it made.

mod helper;

use chalkwalk_balancer::{AttemptOutcome, Endpoint, EndpointStatus, LearnedServer};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;
use helper::{Harness, SERVER, WATCH, harness};

const FOUR: [&str; 4] = ["amber", "birch", "cedar", "delta"];

fn owners(harness: &mut Harness) -> Vec<String> {
    (0..200).map(|i| harness.owner(&format!("book/{i}"))).collect()
}

/// How many of the 200 keys go to birch.
fn of_birch(harness: &mut Harness) -> usize {
    owners(harness).iter().filter(|id| *id == "birch").count()
}

/// A key for each server of `FOUR`, found by asking.
fn key_of(harness: &mut Harness, id: &str) -> String {
    (0..999).map(|i| format!("page/{i}")).find(|key| harness.owner(key) == id).unwrap()
}

#[test]
fn removing_a_server_moves_only_its_keys_and_order_does_not_matter() {
    let (mut a, mut b) = (harness(&[]), harness(&[]));
    a.ready(&FOUR);
    b.ready(&["delta", "amber", "cedar", "birch"]);
    let before = owners(&mut a);
    assert_eq!(before, owners(&mut b));
    a.ready(&["amber", "birch", "delta"]);
    let moved = |(x, y): &(&String, &String)| x != y;
    let after = owners(&mut a);
    let from: Vec<_> = before.iter().zip(&after).filter(moved).map(|(x, _)| x.clone()).collect();
    assert!(from.iter().all(|id| id == "cedar"));
    expect!["48"].assert_eq(&from.len().to_string());
}

#[test]
fn a_hot_key_spills_in_ring_order_at_the_cap() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    (0..9).for_each(|_| {
        h.ask(0, "hot");
    });
    expect![[r#"
        lookup 0 -> cache 2
        lookup 1 -> cache 2
        lookup 2 -> cache 3
        lookup 3 -> cache 3
        lookup 4 -> cache 1
        lookup 5 -> cache 1
        lookup 6 -> cache 2
        lookup 7 -> cache 3
        lookup 8 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn an_empty_zone_rings_over_the_others() {
    let mut h = harness(&[]);
    h.list(&[("amber", 1, EndpointStatus::Ready, 0), ("birch", 2, EndpointStatus::Ready, 0)]);
    h.ask(0, "book/1");
    expect![[r#"
        lookup 0 -> cache 0
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn each_request_gets_one_answer_and_nothing_after() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let (a, b) = (h.ask(0, "book/1"), h.ask(0, "book/2"));
    h.end(a, 0, AttemptOutcome::Completed);
    h.left_by_client(a);
    h.end(a, 0, AttemptOutcome::ServerError);
    h.left_by_client(b);
    h.fire_timer(b.0);
    h.end(b, 0, AttemptOutcome::ServerError);
    assert!(!h.balancer.knows_request(a) && !h.balancer.knows_request(b));
    expect![[r#"
        lookup 0 -> cache 0
        lookup 1 -> cache 3
        lookup 1 withdraws shot 0
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn single_use_moves_on_only_when_surely_not_run() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let (a, b) = (h.ask(2, "book/1"), h.ask(2, "book/2"));
    h.end(a, 0, AttemptOutcome::Unreachable);
    h.end(a, 1, AttemptOutcome::ConnectionLost);
    h.pass(4000);
    h.fire_timer(b.0);
    h.end(b, 0, AttemptOutcome::TimedOut);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 1 -> cache 3
        log: server ejected amber
        wake in 574 ms
        lookup 0 -> cache 1
        lookup 0 abandoned
        lookup 1 abandoned
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn tagged_repeats_only_inside_window_and_group() {
    let mut h = harness(&[("namespace 1 group", "zone")]);
    h.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("cedar", 1, EndpointStatus::Ready, 0),
    ]);
    let a = h.ask(1, "book/1");
    h.end(a, 0, AttemptOutcome::ServerError);
    h.end(a, 1, AttemptOutcome::ServerError);
    let b = h.ask(1, "book/1");
    h.pass(5000);
    h.end(b, 0, AttemptOutcome::ServerError);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 0 -> cache 1 by 5000
        lookup 0 abandoned
        lookup 1 -> cache 0
        lookup 1 abandoned
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn without_second_copies_one_attempt_at_a_time() {
    let mut h = harness(&[("second copies", "0")]);
    h.ready(&FOUR);
    let a = h.ask(0, "book/1");
    h.pass(8000);
    h.fire_timer(a.0);
    h.end(a, 0, AttemptOutcome::Cancelled);
    h.end(a, 1, AttemptOutcome::Completed);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 0 withdraws shot 0
        lookup 0 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn nothing_new_to_a_draining_server() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let key = key_of(&mut h, "birch");
    h.told();
    h.ask(0, &key);
    let rows = FOUR
        .map(|id| (id, 0, if id == "birch" { EndpointStatus::Draining } else { EndpointStatus::Ready }, 0));
    h.list(&rows);
    h.ask(0, &key);
    h.ready(&["amber", "delta"]);
    h.ask(0, &key);
    expect![[r#"
        lookup 3 -> cache 1
        lookup 4 -> cache 3
        lookup 5 -> cache 3
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_cold_server_gets_its_share_of_keys_and_no_more_than_its_credit() {
    let mut h = harness(&[]);
    h.pass(200_000);
    let mut rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, 0));
    h.list(&rows);
    let warm = of_birch(&mut h);
    rows[1].3 = h.now;
    h.list(&rows);
    let cold = of_birch(&mut h);
    expect!["53 warm, 13 cold"].assert_eq(&format!("{warm} warm, {cold} cold"));
    // All cold and nothing answered: one attempt each in a house of four proxies, and the rest is deferred. In a
    // house of 16 each has its part of those attempts.
    let sent = ["4", "16"].map(|proxies| {
        let mut h = harness(&[("proxies", proxies)]);
        h.pass(200_000);
        h.list(&FOUR.map(|id| (id, 0, EndpointStatus::Ready, 200_000)));
        for _ in 0..2 {
            (0..40).for_each(|i| _ = h.ask(0, &format!("book/{i}")));
            (0..4).for_each(|_| h.pass(10_000));
        }
        h.told().matches("->").count().to_string()
    });
    expect!["8 and 4 of 80 sent"].assert_eq(&format!("{} of 80 sent", sent.join(" and ")));
}

#[test]
fn a_fast_failer_is_left_probed_and_taken_back_by_and_by() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let key = key_of(&mut h, "cedar");
    h.told();
    for _ in 0..3 {
        let a = h.ask(0, &key);
        h.end(a, 0, AttemptOutcome::ServerError);
        h.end(a, 1, AttemptOutcome::Completed);
    }
    let a = h.ask(0, &key);
    h.end(a, 0, AttemptOutcome::Completed);
    h.pass(7000);
    h.fire_timer(SERVER + 2);
    h.balancer.health_check_finished(2, true, &mut h.trace);
    let (a, _) = (h.ask(0, &key), h.ask(0, &key));
    h.end(a, 0, AttemptOutcome::ServerError);
    expect![[r#"
        lookup 1 -> cache 2
        lookup 1 -> cache 1
        lookup 2 -> cache 2
        lookup 2 -> cache 1
        lookup 3 -> cache 2
        log: server ejected cedar
        wake in 581 ms
        lookup 3 -> cache 1
        lookup 4 -> cache 1
        probe cache 2
        log: server readmitted cedar
        lookup 5 -> cache 2
        lookup 6 -> cache 1
        log: server ejected cedar
        wake in 1144 ms
        lookup 5 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn when_every_server_fails_they_are_asked_all_the_same() {
    let mut h = harness(&[]);
    h.ready(&FOUR[..2]);
    let keys = ["amber", "birch"].map(|id| key_of(&mut h, id));
    for key in keys.iter().chain(&keys).chain(&keys) {
        let a = h.ask(0, key);
        h.end(a, 0, AttemptOutcome::ServerError);
        h.end(a, 1, AttemptOutcome::ServerError);
    }
    h.told();
    keys.iter().for_each(|key| {
        h.ask(0, key);
    });
    expect![[r#"
        lookup 9 -> cache 0
        lookup 10 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn dead_servers_are_not_asked_because_the_others_are_full() {
    let mut h = harness(&[]);
    h.ready(&["amber", "birch"]);
    let key = key_of(&mut h, "amber");
    h.told();
    let a = h.ask(0, &key);
    h.end(a, 0, AttemptOutcome::Unreachable);
    for _ in 0..9 {
        let b = h.ask(0, "other");
        h.end(b, 0, AttemptOutcome::Overloaded);
    }
    h.told();
    (0..3).for_each(|_| {
        h.ask(0, &key);
    });
    expect![[r#"
        lookup 12 deferred
        lookup 13 deferred
        lookup 14 deferred
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_silent_server_is_passed_with_a_second_copy_elsewhere_and_left_at_its_third_silence() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let key = key_of(&mut h, "delta");
    h.told();
    for _ in 0..3 {
        let a = h.ask(0, &key);
        h.pass(3000);
        h.fire_timer(a.0);
        let b = h.ask(0, &key);
        h.end(b, 0, AttemptOutcome::Completed);
        h.end(a, 1, AttemptOutcome::Completed);
        h.end(a, 0, AttemptOutcome::Cancelled);
    }
    expect![[r#"
        lookup 9 -> cache 3
        lookup 9 -> cache 2
        lookup 10 -> cache 2
        lookup 9 withdraws shot 0
        lookup 11 -> cache 3
        lookup 11 -> cache 2
        lookup 12 -> cache 2
        lookup 11 withdraws shot 0
        lookup 13 -> cache 3
        log: server ejected delta
        wake in 566 ms
        lookup 13 -> cache 2
        lookup 14 -> cache 2
        lookup 13 withdraws shot 0
    "#]]
    .assert_eq(&h.told());
}

const ASIDE: [(&str, &str); 1] = [("origin kind", "9")];

#[test]
fn misses_and_writes_go_to_the_origin_one_fetch_a_key() {
    let mut h = harness(&ASIDE);
    h.ready(&["amber", "birch", "origin"]);
    let (a, b) = (h.ask(0, "book/1"), h.ask(0, "book/1"));
    h.end(a, 0, AttemptOutcome::CacheMiss);
    h.end(b, 0, AttemptOutcome::CacheMiss);
    h.write(1, "book/1");
    h.end(a, 1, AttemptOutcome::Completed);
    h.end(b, 1, AttemptOutcome::Completed);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 1 -> cache 0
        lookup 0 -> cache 2
        lookup 2 -> cache 2
        lookup 1 -> cache 0
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn who_waits_for_a_failed_fetch_asks_the_origin_itself_or_is_deferred() {
    let mut h = harness(&ASIDE);
    h.ready(&["amber", "birch", "origin"]);
    let [a, b, c] = [0; 3].map(|class| h.ask(class, "book/1"));
    [a, b, c].iter().for_each(|l| h.end(*l, 0, AttemptOutcome::CacheMiss));
    h.left_by_client(a);
    h.pass(10_000);
    h.fire_timer(c.0);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 1 -> cache 0
        lookup 2 -> cache 1
        lookup 0 -> cache 2
        lookup 0 withdraws shot 1
        lookup 1 -> cache 2
        lookup 2 deferred
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_short_origin_is_spared_and_the_zones_act_as_one_server() {
    let mut h = harness(&ASIDE);
    h.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 1, EndpointStatus::Ready, 0),
        ("origin", 1, EndpointStatus::Ready, 0),
    ]);
    let before = of_birch(&mut h);
    for i in 0..120 {
        let a = h.ask(0, &format!("page/{i}"));
        h.end(a, 0, AttemptOutcome::CacheMiss);
        h.end(a, 1, AttemptOutcome::Overloaded);
    }
    let deferred = h.told().matches("deferred").count();
    let after = of_birch(&mut h);
    expect!["120 deferred, 0 then 110 away"]
        .assert_eq(&format!("{deferred} deferred, {before} then {after} away"));
    (0..60).for_each(|_| h.pass(10_000));
    expect!["0"].assert_eq(&of_birch(&mut h).to_string());
}

#[test]
fn a_proxy_with_little_traffic_spares_a_short_origin_as_soon_as_a_busy_one() {
    let away = [5, 80].map(|a_second| {
        let mut h = harness(&ASIDE);
        h.list(
            &["amber", "birch", "origin"]
                .map(|id| (id, usize::from(id != "amber"), EndpointStatus::Ready, 0)),
        );
        for i in 0..10 * a_second {
            let a = h.ask(0, &format!("page/{i}"));
            h.end(a, 0, AttemptOutcome::CacheMiss);
            h.end(a, 1, AttemptOutcome::Overloaded);
            h.pass(10_000 / a_second);
        }
        h.told().matches("> cache 1").count() * 100 / (10 * a_second as usize)
    });
    expect!["[42, 47] in 100 away"].assert_eq(&format!("{away:?} in 100 away"));
}

#[test]
fn where_over_one_in_three_is_late_some_are_deferred_at_once() {
    let deferred = [(10, false), (4, false), (2, false), (2, true)].map(|(one_in, at_origin)| {
        let mut h = harness(if at_origin { &ASIDE } else { &[] });
        h.ready(&["amber", "birch", "cedar", "origin"]);
        for i in 0..200 {
            let a = h.ask(0, &format!("page/{i}"));
            if at_origin {
                h.end(a, 0, AttemptOutcome::CacheMiss);
            }
            let (attempt, took) = (usize::from(at_origin), if i % one_in == 0 { 10_000 } else { 1000 });
            h.balancer.attempt_ended(
                a,
                attempt,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
        }
        h.told().matches("deferred").count()
    });
    expect!["[1, 11, 111, 111] of 200 deferred"].assert_eq(&format!("{deferred:?} of 200 deferred"));
}

/// The keys that a late zone's servers give up go to the other zone, and come back when answers are in time again.
#[test]
fn a_late_zone_gives_keys_to_the_others_until_it_is_in_time() {
    let mut h = harness(&[]);
    h.list(&[("amber", 0, EndpointStatus::Ready, 0), ("birch", 1, EndpointStatus::Ready, 0)]);
    let mut away = Vec::new();
    for late in ["", "amber", ""] {
        h.told();
        for i in 0..60 {
            h.pass(2_000);
            let a = h.ask(0, &format!("page/{i}"));
            let took = if h.last_asked().is_some_and(|id| late.contains(&id)) { 10_000 } else { 1000 };
            h.balancer.attempt_ended(
                a,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
            if i == 29 {
                h.told();
            }
        }
        away.push(h.told().matches("> cache 1").count().to_string());
    }
    expect!["0, then 30, then 4 of 30 away"].assert_eq(&format!("{} of 30 away", away.join(", then ")));
}

#[test]
fn failing_fetches_behind_servers_spare_the_keys_that_are_kept() {
    let mut h = harness(&[("through", "1")]);
    h.ready(&FOUR);
    h.owner("kept");
    for i in 0..60 {
        let a = h.ask(0, &format!("book/{i}"));
        h.end(a, 0, AttemptOutcome::ServerError);
        h.left_by_client(a);
    }
    h.told();
    let a = h.ask(0, "new");
    h.ask(0, "newer");
    h.ask(0, "kept");
    h.end(a, 0, AttemptOutcome::Completed);
    expect![[r#"
        lookup 61 deferred
        lookup 62 deferred
        lookup 63 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_server_whose_fetches_fail_alone_is_left_by_and_by() {
    let mut h = harness(&[("through", "1")]);
    h.ready(&FOUR);
    let mut values = Vec::new();
    for i in 0..60 {
        let a = h.ask(0, &format!("book/{i}"));
        let outcome = if h.last_asked().as_deref() == Some("birch") {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::CompletedByFetch
        };
        h.end(a, 0, outcome);
        h.left_by_client(a);
        values.push(h.told());
    }
    let (values, left) = (values.concat(), "log: cache birch left");
    expect!["15 sent to birch until it is left, 9 deferred"].assert_eq(&format!(
        "{} sent to birch until it is left, {} deferred",
        values.split(left).next().unwrap().matches("cache 1").count(),
        values.matches("deferred").count()
    ));
}

#[test]
fn a_lost_watch_is_renewed_and_spread_out() {
    let mut h = harness(&[("watched", "1")]);
    h.ready(&FOUR);
    for _ in 0..3 {
        h.balancer.discovery_call_failed(Span::ZERO, &mut h.trace);
        h.fire_timer(WATCH);
    }
    h.ready(&FOUR);
    expect![[r#"
        wake in 1319 ms
        log: discovery lost
        wake in 285 ms
        watch the list
        wake in 2348 ms
        watch the list
        wake in 1698 ms
        watch the list
        log: discovery recovered
    "#]]
    .assert_eq(&h.told());
}

/// Where the list is pushed, what is missed counts as told at once; where it is asked for, after a stated time. No figure makes
/// failing calls spin.
#[test]
fn a_failed_call_for_the_list_is_repeated_while_what_it_missed_is_not_yet_told() {
    let told = [("0", "10000", ""), ("0", "0", ""), ("1", "", "20000"), ("1", "", "100000"), ("1", "", "0")];
    let told = told.map(|(watched, grace, time)| {
        let mut h = harness(&[("watched", watched), ("drain grace", grace), ("ask time", time)]);
        (0..40).for_each(|_| h.balancer.discovery_call_failed(Span::ZERO, &mut h.trace));
        let waits = h.told();
        let waits =
            waits.lines().filter_map(|l| l.strip_prefix("wake in ")?.strip_suffix(" ms")?.parse().ok());
        let waits: Vec<u64> = waits.collect();
        format!("{watched} {grace} {time}: {:?} to {:?} ms", waits.iter().min(), waits.iter().max())
    });
    expect![[r#"
        0 10000 : Some(63) to Some(245) ms
        0 0 : Some(12) to Some(49) ms
        1  20000: Some(255) to Some(1961) ms
        1  100000: Some(260) to Some(3672) ms
        1  0: Some(250) to Some(1319) ms"#]]
    .assert_eq(&told.join("\n"));
}

#[test]
fn late_answers_shrink_a_room_until_it_takes_less_than_one() {
    let mut h = harness(&[]);
    h.ready(&["amber"]);
    for _ in 0..30 {
        let a = h.ask(0, "slow");
        h.balancer.attempt_ended(a, 0, AttemptOutcome::Completed, Span::from_ticks(9000), true, &mut h.trace);
    }
    h.told();
    for _ in 0..20 {
        let a = h.ask(0, "slow");
        h.end(a, 0, AttemptOutcome::CacheMiss);
        h.left_by_client(a);
    }
    let values = h.told();
    let line =
        format!("{} sent, {} deferred", values.matches("->").count(), values.matches("deferred").count());
    expect!["2 sent, 19 deferred"].assert_eq(&line);
}

/// Of twelve requests at once a server gets as many as its room, after so many answers in time and then so many late, a
/// second apart. Where it answered a hundredth of a second before, one late answer tells little.
#[test]
fn a_late_answer_makes_a_room_what_was_out_at_a_server_seldom_heard_of() {
    let apart = [(0, 0), (0, 1), (6, 1), (7, 1), (20, 1), (20, 2), (0, 5)].map(|(n, late)| (n, late, 10_000));
    let rooms = apart.into_iter().chain([(0, 5, 100)]).map(|(in_time, late, gap)| {
        let mut h = harness(&[]);
        h.ready(&["amber"]);
        for took in std::iter::repeat_n(100, in_time).chain(std::iter::repeat_n(9000, late)) {
            h.pass(gap);
            let a = h.ask(0, "slow");
            h.balancer.attempt_ended(
                a,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
        }
        h.told();
        (0..12).for_each(|_| _ = h.ask(0, "slow"));
        format!("{in_time} in time, {late} late: {}", h.told().matches("->").count())
    });
    let rooms: Vec<String> = rooms.collect();
    expect![[r#"
        0 in time, 0 late: 12
        0 in time, 1 late: 2
        6 in time, 1 late: 2
        7 in time, 1 late: 2
        20 in time, 1 late: 2
        20 in time, 2 late: 2
        0 in time, 5 late: 1
        0 in time, 5 late: 7"#]]
    .assert_eq(&rooms.join("\n"));
}

#[test]
fn one_broken_connection_does_not_leave_a_server_and_a_third_in_a_row_does() {
    let mut h = harness(&[("second copies", "0")]);
    h.ready(&FOUR);
    let key = key_of(&mut h, "birch");
    h.told();
    for outcome in [
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Completed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::ConnectionLost,
    ] {
        let request_id = h.ask(2, &key);
        h.end(request_id, 0, outcome);
    }
    expect![[r#"
        lookup 3 -> cache 1
        lookup 3 abandoned
        lookup 4 -> cache 1
        lookup 5 -> cache 1
        lookup 5 abandoned
        lookup 6 -> cache 1
        lookup 6 abandoned
        lookup 7 -> cache 1
        log: server ejected birch
        wake in 596 ms
        lookup 7 abandoned
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_request_no_server_can_use_ends_at_once_and_leaves_no_server() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    for _ in 0..4 {
        let request_id = h.ask(0, "book/1");
        h.end(request_id, 0, AttemptOutcome::InvalidRequest);
    }
    expect![[r#"
        lookup 0 -> cache 0
        lookup 0 abandoned
        lookup 1 -> cache 0
        lookup 1 abandoned
        lookup 2 -> cache 0
        lookup 2 abandoned
        lookup 3 -> cache 0
        lookup 3 abandoned
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_left_server_that_answers_is_taken_back_without_a_probe() {
    let mut h = harness(&[]);
    h.ready(&["amber"]);
    (0..3).for_each(|_| {
        let request_id = h.ask(2, "book/1");
        h.end(request_id, 0, AttemptOutcome::ServerError);
    });
    // The only server is asked all the same.
    (0..7).for_each(|_| {
        let request_id = h.ask(0, "book/1");
        h.end(request_id, 0, AttemptOutcome::Completed);
    });
    h.told();
    h.ready(&FOUR);
    expect!["amber"].assert_eq(&h.owner("book/1"));
}

#[test]
fn an_attempt_broken_at_the_origin_is_tried_again_by_way_of_the_server() {
    let mut h = harness(&[("origin kind", "9")]);
    h.ready(&["amber", "origin"]);
    let read = h.ask(0, "book/1");
    h.end(read, 0, AttemptOutcome::CacheMiss);
    h.end(read, 1, AttemptOutcome::ConnectionLost);
    h.end(read, 2, AttemptOutcome::Completed);
    let single = h.write(2, "book/1");
    h.end(single, 0, AttemptOutcome::ConnectionLost);
    let full = h.write(0, "book/1");
    h.end(full, 0, AttemptOutcome::Overloaded);
    expect![[r#"
        lookup 0 -> cache 0
        lookup 0 -> cache 1
        lookup 0 -> cache 0
        lookup 1 -> cache 1
        lookup 1 abandoned
        lookup 2 -> cache 1
        lookup 2 deferred
    "#]]
    .assert_eq(&h.told());
}

/// What goes to each of four servers after the first three had 30 requests, of which they turned away some.
fn sent_after(turned_away: fn(usize) -> bool) -> String {
    let mut h = harness(&[("most shots", "1")]);
    h.ready(&FOUR);
    let keys = FOUR.map(|id| key_of(&mut h, id));
    for (i, key) in keys[..3].iter().cycle().take(30).enumerate() {
        let request_id = h.ask(0, key);
        h.end(
            request_id,
            0,
            if turned_away(i) { AttemptOutcome::Overloaded } else { AttemptOutcome::Completed },
        );
    }
    h.told();
    keys[..3].iter().for_each(|key| _ = h.ask(0, key));
    (0..8).for_each(|_| _ = h.ask(0, &keys[3]));
    let values = h.told();
    let sent = [0, 1, 2, 3].map(|server| values.matches(&format!("-> cache {server}")).count());
    format!("{sent:?} sent, {} deferred", values.matches("deferred").count())
}

#[test]
fn servers_that_turn_away_half_are_asked_and_the_others_not_held_to_the_mean_of_all() {
    // One at a time still goes to those, half of them at least; the fourth takes what it has room for.
    expect!["[2, 2, 2, 5] sent, 0 deferred"].assert_eq(&sent_after(|i| b"yynyynyyyn"[i / 3] == b'y'));
}

#[test]
fn a_server_that_turns_away_again_and_again_is_full_and_gets_less_than_one() {
    expect!["[1, 1, 1, 8] sent, 0 deferred"].assert_eq(&sent_after(|_| true));
}

#[test]
fn an_attempt_is_not_lost_where_answers_take_as_long() {
    let sent = [100, 6000].map(|usual| {
        let mut h = harness(&[("namespace 0 target time", "30000")]);
        h.ready(&["amber", "birch"]);
        let key = key_of(&mut h, "amber");
        for _ in 0..20 {
            let request_id = h.ask(0, &key);
            h.balancer.attempt_ended(
                request_id,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(usual),
                true,
                &mut h.trace,
            );
        }
        let slow = h.ask(0, &key);
        // One sent later is answered: a longer one is overtaken, and 1.5 s is no time where most take 0.6 s.
        h.pass(1000);
        let request_id = h.ask(0, &key);
        h.end(request_id, 0, AttemptOutcome::Completed);
        h.told();
        h.pass(14_500);
        h.fire_timer(slow.0);
        h.told()
    });
    expect![[r#"
        lookup 22 -> cache 1
        then "#]]
    .assert_eq(&sent.join("then "));
}

#[test]
fn where_a_server_answers_three_broken_connections_do_not_leave_it() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    h.pass(10_000);
    let key = key_of(&mut h, "birch");
    h.told();
    for outcome in
        [AttemptOutcome::ConnectionLost, AttemptOutcome::Unreachable, AttemptOutcome::ConnectionLost]
    {
        let request_id = h.ask(2, &key);
        h.end(request_id, 0, outcome);
    }
    // Half a minute later nothing has answered for long, and one refused connection is enough: no other request tries it.
    h.pass(300_000);
    let request_id = h.ask(2, &key);
    h.end(request_id, 0, AttemptOutcome::Unreachable);
    h.ask(2, &key);
    expect![[r#"
        lookup 3 -> cache 1
        lookup 3 abandoned
        lookup 4 -> cache 1
        lookup 4 -> cache 3
        lookup 5 -> cache 1
        lookup 5 abandoned
        lookup 6 -> cache 1
        lookup 6 -> cache 2
        lookup 7 -> cache 2
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn an_attempt_that_later_ones_have_overtaken_is_sent_elsewhere_and_its_server_not_taken_for_late() {
    let mut h = harness(&[]);
    h.ready(&["amber", "birch"]);
    let key = key_of(&mut h, "amber");
    h.told();
    let lost = h.ask(0, &key);
    for _ in 0..4 {
        h.pass(600);
        let request_id = h.ask(0, &key);
        h.end(request_id, 0, AttemptOutcome::Completed);
    }
    h.fire_timer(lost.0);
    h.end(lost, 1, AttemptOutcome::Completed);
    expect![[r#"
        lookup 2 -> cache 0
        lookup 3 -> cache 0
        lookup 4 -> cache 0
        lookup 5 -> cache 0
        lookup 6 -> cache 1
        lookup 2 -> cache 1
        lookup 2 withdraws shot 0
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_place_is_free_once_nothing_can_name_its_server_and_the_next_one_there_starts_anew() {
    let mut h = harness(&[]);
    h.ready(&["amber", "birch"]);
    let key = key_of(&mut h, "birch");
    let (a, b) = (h.ask(2, &key), h.ask(2, &key));
    let mut values = Vec::new();
    h.ready(&["amber"]);
    values.push(h.balancer.index_is_free(1));
    h.end(a, 0, AttemptOutcome::Unreachable);
    h.end(b, 0, AttemptOutcome::Completed);
    // It was left, and the request that met it is still open.
    h.fire_timer(SERVER + 1);
    values.push(h.balancer.index_is_free(1));
    h.end(a, 1, AttemptOutcome::Completed);
    values.push(h.balancer.index_is_free(1));
    expect!["[false, false, true]"].assert_eq(&format!("{values:?}"));
}

/// A class of its own for replayable requests, with what is said of it.
fn class(values: &[(&str, &str)]) -> Harness {
    let mut harness = harness(values);
    harness.ready(&["amber", "birch"]);
    harness
}

#[test]
fn a_class_has_its_own_attempts_and_an_attempt_its_own_wait() {
    let mut h = class(&[("namespace 0 most shots", "2"), ("namespace 0 shot wait", "3000")]);
    let a = h.ask(0, "book/1");
    h.end(a, 0, AttemptOutcome::ServerError);
    h.end(a, 1, AttemptOutcome::ServerError);
    let until = h.trace.1;
    expect![[r#"
        lookup 0 -> cache 0
        lookup 0 -> cache 1
        lookup 0 deferred
    "#]]
    .assert_eq(&h.told());
    assert_eq!(until, Timestamp::from_ticks(3000));
}

#[test]
fn more_of_a_class_than_may_be_open_are_deferred_and_others_are_not() {
    let mut h = class(&[("namespace 0 most open", "2")]);
    let first = h.ask(0, "a");
    (0..2).for_each(|_| _ = h.ask(0, "a"));
    h.ask(1, "a");
    h.end(first, 0, AttemptOutcome::Completed);
    h.ask(0, "a");
    expect![[r#"
        lookup 0 -> cache 0
        lookup 1 -> cache 0
        lookup 2 deferred
        lookup 3 -> cache 1
        lookup 4 -> cache 0
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_classs_budget_holds_while_all_fails_and_is_none_of_the_others() {
    let mut h = class(&[("namespace 0 further shots", "100")]);
    for i in 0..100 {
        let a = h.ask(0, &format!("book/{i}"));
        (0..4).for_each(|attempt| h.end(a, attempt, AttemptOutcome::ServerError));
    }
    let own = h.told().matches("->").count();
    (0..20).for_each(|i| {
        let a = h.ask(1, &format!("book/{i}"));
        (0..4).for_each(|attempt| h.end(a, attempt, AttemptOutcome::ServerError));
    });
    let others = h.told().matches("->").count();
    expect!["109 shots for 100, 27 for 20 of another class"]
        .assert_eq(&format!("{own} shots for 100, {others} for 20 of another class"));
}

#[test]
fn a_copy_goes_out_after_what_most_answers_take_and_one_only() {
    let mut h = class(&[("namespace 0 copies after", "900")]);
    for i in 0..30 {
        let a = h.ask(0, &format!("book/{i}"));
        h.end(a, 0, AttemptOutcome::Completed);
    }
    h.told();
    let (slow, other) = (h.ask(0, "book/1"), h.ask(1, "book/2"));
    for _ in 0..3 {
        h.pass(130);
        [slow, other].iter().for_each(|request_id| h.fire_timer(request_id.0));
    }
    expect![[r#"
        lookup 30 -> cache 0
        lookup 31 -> cache 0
        lookup 30 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

#[test]
fn a_shorter_time_limit_holds_for_what_is_open_where_it_can_still_be_kept() {
    let mut h = class(&[]);
    let (long, late) = (h.ask(0, "book/1"), h.ask(0, "book/2"));
    h.pass(8000);
    let new = h.values.clone();
    h.balancer.apply_settings(&new);
    // Nine tenths of a second from the start for one; seven tenths for the other, which are over.
    h.balancer.renew_limits(long, 0, Timestamp::from_ticks(9000), &mut h.trace);
    h.balancer.renew_limits(late, 0, Timestamp::from_ticks(7000), &mut h.trace);
    h.told();
    h.pass(1000);
    h.fire_timer(long.0);
    h.end(long, 0, AttemptOutcome::Cancelled);
    h.fire_timer(late.0);
    h.pass(5000);
    h.end(late, 0, AttemptOutcome::Completed);
    expect![[r#"
        lookup 0 withdraws shot 0
        lookup 0 deferred
        lookup 1 -> cache 1
        lookup 1 withdraws shot 1
    "#]]
    .assert_eq(&h.told());
}

/// One that operators take out is passed like one that is gone, by requests, probes and as the last resort, whatever the list
/// says; put back it is as cold as one that starts then, and is asked within seconds.
#[test]
fn a_server_that_operators_take_out_gets_nothing_until_they_put_it_back_cold() {
    let mut h = harness(&[("proxies", "4")]);
    h.pass(1_000_000);
    h.ready(&FOUR);
    let warm = of_birch(&mut h);
    h.balancer.set_disabled("birch", true, Timestamp::from_ticks(h.now));
    h.balancer.set_disabled("birch", true, Timestamp::from_ticks(h.now));
    let barred = of_birch(&mut h);
    h.ready(&["amber", "cedar", "delta"]);
    h.ready(&FOUR);
    let listed_again = of_birch(&mut h);
    h.balancer.set_disabled("birch", false, Timestamp::from_ticks(h.now));
    h.ready(&FOUR);
    let back = of_birch(&mut h);
    h.pass(110_000);
    let later = of_birch(&mut h);
    expect!["53 warm, 0 barred, 0 listed again, 13 back, 53 later"].assert_eq(&format!(
        "{warm} warm, {barred} barred, {listed_again} listed again, {back} back, {later} later"
    ));
    // All of them out: nothing is sent, and nobody meant by an id that none has.
    FOUR.iter().for_each(|id| h.balancer.set_disabled(id, true, Timestamp::from_ticks(h.now)));
    h.trace = Default::default();
    h.ask(0, "book/1");
    expect!["lookup 1000 deferred true false"].assert_eq(&format!(
        "{} {} {}",
        h.told().trim(),
        h.balancer.knows_server("birch"),
        h.balancer.knows_server("ember")
    ));
}

/// One that leaves the list while it is out, and comes back at another place, is put back there.
#[test]
fn a_server_that_came_back_at_another_place_while_it_was_out_is_put_back() {
    let mut h = harness(&[]);
    h.pass(1_000_000);
    h.ready(&FOUR);
    h.balancer.set_disabled("birch", true, Timestamp::from_ticks(h.now));
    h.ready(&["amber", "cedar", "delta"]);
    let (id, status) = ("birch", EndpointStatus::Ready);
    let back =
        Endpoint { server: 4, id, zone: 0, kind: 0, cell: 0, size: 100, status, born: Timestamp::ZERO };
    h.balancer.update_endpoints(&[back], &mut h.trace);
    let mut asked = Vec::new();
    for out in [true, false] {
        h.balancer.set_disabled("birch", out, Timestamp::from_ticks(h.now));
        h.trace = Default::default();
        (0..200).for_each(|i| _ = h.ask(0, &format!("book/{i}")));
        asked.push(h.told().contains("-> cache 4"));
    }
    expect!["[false, true]"].assert_eq(&format!("{asked:?}"));
}

/// A fleet all cold and empty misses whatever it is asked: its misses earn it credit like answers, or it would be asked
/// ever less.
#[test]
fn misses_of_cold_servers_earn_their_credit_back() {
    let mut h = harness(&[("origin kind", "9"), ("proxies", "4")]);
    h.pass(1_000_000);
    let mut rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, 1_000_000)).to_vec();
    rows.push(("origin", 0, EndpointStatus::Ready, 0));
    h.list(&rows);
    let mut asked = Vec::new();
    for second in 0..3 {
        h.pass(10_000);
        let mut sent = 0;
        for i in 0..400 {
            h.pass(1);
            let request_id = h.ask(0, &format!("{second}/{i}"));
            if h.told().contains("->") {
                sent += 1;
                h.end(request_id, 0, AttemptOutcome::CacheMiss);
                h.end(request_id, 1, AttemptOutcome::Completed);
            }
        }
        asked.push(sent);
    }
    expect!["[207, 227, 273] of 400 each"].assert_eq(&format!("{asked:?} of 400 each"));
}

/// Requests with one key run one at a time where their namespace asks for it, as taken and across namespaces; others are
/// free. After an attempt that may still run the key rests. One whose client left makes no gap, and one whose turn can't come
/// is deferred at once.
#[test]
fn requests_with_one_key_run_in_turn_where_that_is_asked_for() {
    let order = [("namespace 1 in order", "1"), ("namespace 2 in order", "1"), ("key quiet", "2000")];
    let mut h = harness(&order);
    h.ready(&FOUR);
    let first = h.ask(2, "hot");
    let second = h.ask(1, "hot");
    let third = h.ask(2, "hot");
    h.ask(2, "hot");
    h.ask(0, "hot"); // asks for no order
    h.ask(1, "other");
    h.ask(1, ""); // without a key
    h.ask(1, "");
    h.trace.mark("the first has its answer, the third's client leaves");
    h.end(first, 0, AttemptOutcome::Completed);
    h.left_by_client(third);
    h.trace.mark("the second times out, and has its last shot");
    h.pass(2_000);
    h.end(second, 0, AttemptOutcome::TimedOut);
    h.end(second, 1, AttemptOutcome::ServerError);
    h.left_by_client(second);
    h.pass(5_000);
    h.fire_timer(3);
    h.trace.mark("its last shot has ended too");
    h.end(second, 2, AttemptOutcome::Cancelled);
    h.pass(1_999);
    h.fire_timer(3);
    h.trace.mark("the key has rested");
    h.pass(1);
    h.fire_timer(3);
    h.trace.mark("a hundred wait, and two more come");
    let waiting: Vec<_> = (0..102).map(|_| h.ask(1, "hot")).collect();
    expect![[r#"
        lookup 0 -> cache 2
        lookup 4 -> cache 2
        lookup 5 -> cache 3
        lookup 6 -> cache 3
        lookup 7 -> cache 0
        --- the first has its answer, the third's client leaves
        lookup 1 -> cache 2
        --- the second times out, and has its last shot
        lookup 1 -> cache 1 by 5000
        lookup 1 -> cache 0 by 5000
        lookup 1 withdraws shot 2
        --- its last shot has ended too
        --- the key has rested
        lookup 3 -> cache 1
        --- a hundred wait, and two more come
        lookup 108 deferred
        lookup 109 deferred
    "#]]
    .assert_eq(&h.told());
    // An attempt that is out still counts, though its request is over.
    h.left_by_client(chalkwalk_balancer::RequestId(3));
    h.trace.mark("its shot has ended");
    h.end(chalkwalk_balancer::RequestId(3), 0, AttemptOutcome::Cancelled);
    h.pass(2_000);
    h.fire_timer(waiting[0].0);
    expect![[r#"
        lookup 3 withdraws shot 0
        --- its shot has ended
        lookup 8 -> cache 1
    "#]]
    .assert_eq(&h.told());
}

/// Whatever happens to them, no two requests of a key are out at once, none overtakes, and the line ends.
#[test]
fn no_order_is_broken_by_what_becomes_of_requests() {
    let mut h = harness(&[("namespace 1 in order", "1"), ("key quiet", "3000")]);
    h.ready(&FOUR);
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
            let request_id = h.ask(1, ["a", "b"][key]);
            assert_eq!(request_id.0 as usize, keys.len());
            keys.push(key);
            wakes.push((h.now + 10_000, request_id.0));
        }
        h.pass(500);
        let now = h.now;
        let due: Vec<u64> = wakes.iter().filter(|w| w.0 <= now).map(|w| w.1).collect();
        wakes.retain(|w| w.0 > now);
        // Resting lines wake their first; here everyone is woken now and then.
        due.into_iter().for_each(|token| h.fire_timer(token));
        (0..h.balancer.open_requests() as u64).for_each(|_| {
            if let Some(w) = wakes.first() {
                h.fire_timer(w.1);
            }
        });
        for line in h.told().lines() {
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
                "deferred" | "abandoned" => over += 1,
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
            h.end(chalkwalk_balancer::RequestId(request_id), attempt, outcomes[pick(5) as usize]);
        }
    }
    let distinct = |list: &[u64]| {
        let mut list = list.to_vec();
        list.dedup();
        list
    };
    expect!["543 started, 895 turned away, 0 still open"].assert_eq(&format!(
        "{} started, {over} turned away, {} still open",
        distinct(&started).len(),
        h.balancer.open_requests()
    ));
}

/// Where fetches fail for long, a proxy has less than one out: the origin is flooded by one from each of many.
#[test]
fn one_of_many_proxies_asks_a_failing_origin_now_and_then_only() {
    let mut h = harness(&[("through", "1")]);
    h.ready(&FOUR);
    let mut asked = [0, 0];
    for i in 0..1000 {
        h.pass(20);
        let request_id = h.ask(0, &format!("new/{i}"));
        if h.told().contains("->") {
            asked[usize::from(i >= 500)] += 1;
            // By turns, so that no server is left for it.
            let outcome = if i % 4 == 0 { AttemptOutcome::ServerError } else { AttemptOutcome::Overloaded };
            h.end(request_id, 0, outcome);
            (1..4).for_each(|attempt| h.end(request_id, attempt, AttemptOutcome::ServerError));
        }
    }
    expect!["[61, 42] of 500 each"].assert_eq(&format!("{asked:?} of 500 each"));
}

/// Where fetches failed for long all keys are asked again within 20 s, whatever is heard.
#[test]
fn after_failing_fetches_all_keys_are_asked_again_within_twenty_seconds() {
    let mut h = harness(&[("through", "1"), ("most shots", "1")]);
    h.ready(&FOUR);
    let sent = [0, 5, 20].map(|seconds| {
        for i in 0..60 {
            let a = h.ask(0, &format!("book/{i}"));
            h.end(a, 0, AttemptOutcome::ServerError);
            h.left_by_client(a);
        }
        (0..seconds).for_each(|_| h.pass(10_000));
        h.told();
        for i in 0..100 {
            let a = h.ask(0, &format!("new/{seconds}/{i}"));
            h.left_by_client(a);
            h.end(a, 0, AttemptOutcome::Cancelled);
        }
        h.told().matches("->").count()
    });
    expect!["[7, 28, 100] of 100"].assert_eq(&format!("{sent:?} of 100"));
}

/// Once an attempt's answer has begun the request's others are withdrawn, and whatever becomes of them nothing more is sent for
/// it; its server owes nothing for it, however long it goes on.
#[test]
fn an_answer_that_has_begun_is_the_only_one() {
    let mut h = harness(&[("origin kind", "9")]);
    h.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("origin", 0, EndpointStatus::Ready, 0),
    ]);
    let request_id = h.ask(0, "book");
    h.pass(8_000);
    h.fire_timer(request_id.0); // silent for so long: a hedged request
    h.trace.mark("the first begins");
    h.balancer.response_started(request_id, 0, &mut h.trace);
    h.balancer.attempt_ended(
        request_id,
        1,
        AttemptOutcome::CacheMiss,
        Span::from_ticks(100),
        true,
        &mut h.trace,
    );
    h.pass(20_000);
    h.fire_timer(request_id.0);
    h.trace.mark("another of its key, past any silence");
    let other = h.ask(0, "book");
    h.end(other, 0, AttemptOutcome::Completed);
    h.balancer.attempt_ended(
        request_id,
        0,
        AttemptOutcome::ConnectionLost,
        Span::from_ticks(100),
        true,
        &mut h.trace,
    );
    expect![[r#"
        lookup 0 -> cache 1
        lookup 0 -> cache 0
        --- the first begins
        lookup 0 withdraws shot 1
        --- another of its key, past any silence
        lookup 1 -> cache 1
    "#]]
    .assert_eq(&h.told());
    assert!(!h.balancer.knows_request(request_id));
}

/// Half as large, three quarters of its keys, and no other server loses any; where sizes are loads of the moment too, as the
/// largest heard of it is its size. Alone it has all.
#[test]
fn a_smaller_server_stands_for_its_part_of_its_keys() {
    let day = |size: u64, kind: &str, fleet: &[&str]| {
        let mut h = harness(&[("size kind", kind)]);
        h.birch.1 = size;
        h.ready(fleet);
        owners(&mut h)
    };
    let (whole, half) = (day(100, "nominal", &FOUR), day(50, "nominal", &FOUR));
    let others_kept = whole.iter().zip(&half).all(|(was, is)| was == is || was == "birch");
    let days = [whole, half, day(50, "live", &FOUR), day(50, "nominal", &["birch"])];
    let of_birch = days.map(|owners| owners.iter().filter(|id| *id == "birch").count());
    expect!["[53, 37, 37, 200], others kept: true"]
        .assert_eq(&format!("{of_birch:?}, others kept: {others_kept}"));
}

/// One in four of birch's answers past its target: it keeps fewer of its keys, and gets them back by and by.
#[test]
fn a_server_that_is_late_keeps_fewer_of_its_keys_until_it_is_in_time() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let kept = [100, 10_000, 100].map(|slow| {
        h.told();
        for i in 0..400 {
            h.pass(2_000);
            let request_id = h.ask(0, &format!("page/{i}"));
            let late = i % 4 == 0 && h.last_asked().is_some_and(|id| id == "birch");
            let took = if late { slow } else { 100 };
            h.balancer.attempt_ended(
                request_id,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
            if i == 199 {
                h.told();
            }
        }
        h.told().matches("> cache 1").count()
    });
    expect!["[46, 10, 46] of 200"].assert_eq(&format!("{kept:?} of 200"));
}

/// Weights that move with load: birch, said to hold far more than the others, is passed for some of its keys and gets them
/// back; what is absurd, or said of all alike, moves none for long.
#[test]
fn a_server_that_the_list_says_is_loaded_keeps_fewer_of_its_keys() {
    let mut h = harness(&[("size kind", "live")]);
    let mut day = |weights: &[u64]| {
        weights.iter().for_each(|w| {
            h.birch.1 = *w;
            h.ready(&FOUR);
        });
        h.told();
        (0..200).for_each(|i| {
            let request_id = h.ask(0, &format!("page/{i}"));
            h.left_by_client(request_id);
            h.end(request_id, 0, AttemptOutcome::Cancelled);
        });
        h.told().matches("> cache 1").count()
    };
    let values = [day(&[100]), day(&[10; 6]), day(&[100; 70]), day(&[0]), day(&[100; 9])];
    let absurd = [day(&[u64::MAX / 1000]), day(&[100; 200]), day(&[100; 4000])];
    expect!["[48, 20, 48, 48, 48], absurd [48, 48, 48] of 200"]
        .assert_eq(&format!("{values:?}, absurd {absurd:?} of 200"));
}

/// One refused connection is a server that died. Two are servers short of places: those with a connection are asked, in ring
/// order, one more is tried after four seconds, and once that is let in two more may follow.
#[test]
fn where_connections_are_refused_the_servers_that_have_one_are_asked() {
    let mut h = harness(&[]);
    h.ready(&["amber", "birch", "cedar", "aspen", "alder", "elder"]);
    h.told();
    let phase = |h: &mut Harness, full: bool| {
        for i in 0..40 {
            let request_id = h.ask(0, &format!("page/{i}"));
            for attempt in 0..4 {
                let place = h.last_asked().is_some_and(|id| !full || id == "amber" || id == "birch");
                h.end(
                    request_id,
                    attempt,
                    if place { AttemptOutcome::Completed } else { AttemptOutcome::Unreachable },
                );
                if place {
                    break;
                }
            }
        }
        let told = h.told();
        let asked: Vec<usize> = (0..6).map(|i| told.matches(&format!("> cache {i}\n")).count()).collect();
        format!("{asked:?}")
    };
    let mut asked = vec![phase(&mut h, true), phase(&mut h, true)];
    (0..5).for_each(|_| h.pass(10_000));
    asked.push(phase(&mut h, true));
    (0..5).for_each(|_| h.pass(10_000));
    asked.push(phase(&mut h, false));
    expect![[r#"
        [17, 23, 1, 1, 1, 0]
        [17, 23, 0, 0, 0, 0]
        [17, 23, 0, 1, 0, 1]
        [11, 22, 0, 0, 0, 7]"#]]
    .assert_eq(&asked.join("\n"));
}

/// A proxy with little traffic keeps what it heard: an answer as slow as ever is no silence. Before the first ones a part of the
/// shortest target time stands in.
#[test]
fn a_proxy_with_little_traffic_knows_how_long_answers_take() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let mut passed = 0;
    for i in 0..40 {
        h.pass(5_000);
        let request_id = h.ask(0, &format!("page/{i}"));
        h.pass(4_000);
        h.fire_timer(request_id.0);
        passed += h.told().lines().count() - 1;
        h.balancer.attempt_ended(
            request_id,
            0,
            AttemptOutcome::Completed,
            Span::from_ticks(4_000),
            true,
            &mut h.trace,
        );
    }
    expect!["0"].assert_eq(&passed.to_string());
}

/// What a process before learned of a server holds for the next one from its first request on, unless that server has started
/// since; figures beyond all that could be learned are cut to it. Nothing else is carried: cedar is asked though it was left.
#[test]
fn the_first_requests_after_a_switch_go_by_what_was_learned_before() {
    let mut old = harness(&[]);
    old.ready(&FOUR);
    for i in 0..60 {
        old.pass(2_000);
        let request_id = old.ask(0, &format!("page/{i}"));
        let id = old.last_asked();
        let (took, outcome) = match id.as_deref() {
            Some("birch") => (10_000, AttemptOutcome::Completed),
            Some("cedar") => (100, AttemptOutcome::ConnectionLost),
            _ => (100, AttemptOutcome::Completed),
        };
        old.balancer.attempt_ended(
            request_id,
            0,
            outcome,
            Span::from_ticks(took),
            outcome == AttemptOutcome::Completed,
            &mut old.trace,
        );
        old.left_by_client(request_id);
    }
    let learned = old.balancer.learned();
    let spoilt = learned.iter().map(|l| LearnedServer {
        key_share: u64::MAX,
        concurrency_limit: u64::MAX,
        size: u64::MAX,
        ..l.clone()
    });
    let days = [(Vec::new(), 0), (learned.clone(), 0), (learned.clone(), 5), (spoilt.collect(), 0)];
    let first = days.map(|(carried, born)| {
        let mut new = harness(&[("cold time", "0")]);
        new.balancer.restore_learned(carried);
        let rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { born } else { 0 }));
        new.list(&rows);
        new.told();
        for i in 0..100 {
            let request_id = new.ask(0, &format!("page/{i}"));
            new.left_by_client(request_id);
            new.end(request_id, 0, AttemptOutcome::Cancelled);
        }
        let told = new.told();
        [1, 2].map(|server| told.matches(&format!("> cache {server}")).count())
    });
    let of: Vec<&str> = learned.iter().map(|l| l.id.as_str()).collect();
    expect![[r#"["birch"]: [[30, 37], [16, 41], [30, 37], [30, 37]] of 100 to birch and cedar"#]]
        .assert_eq(&format!("{of:?}: {first:?} of 100 to birch and cedar"));
}

/// Warm servers that are late give up keys, and none of those go to one that is cold: it is asked for its own alone.
#[test]
fn what_late_servers_give_up_is_not_pushed_on_a_cold_one() {
    let day = |late: bool| {
        let mut h = harness(&[]);
        h.ready(&FOUR);
        h.pass(10_000);
        for i in 0..200 {
            h.pass(200);
            let request_id = h.ask(0, &format!("page/{i}"));
            let took = if late && i % 2 == 0 { 10_000 } else { 100 };
            h.balancer.attempt_ended(
                request_id,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
            h.left_by_client(request_id);
        }
        let now = h.now;
        h.list(&FOUR.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { now } else { 0 })));
        h.told();
        for i in 0..400 {
            h.pass(50);
            let request_id = h.ask(0, &format!("page/{i}"));
            let cold = h.last_asked().is_some_and(|id| id == "birch");
            let took = if late && !cold && i % 2 == 0 { 10_000 } else { 100 };
            h.balancer.attempt_ended(
                request_id,
                0,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut h.trace,
            );
            h.left_by_client(request_id);
        }
        h.told().matches("> cache 1").count()
    };
    expect!["35 of 400 where others are in time, 23 where late"].assert_eq(&format!(
        "{} of 400 where others are in time, {} where late",
        day(false),
        day(true)
    ));
}
