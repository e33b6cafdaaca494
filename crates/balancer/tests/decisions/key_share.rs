//! Which of its keys a server keeps if its weight is small, it answers late or it is loaded.

use crate::helper::Harness;
use crate::{FOUR_SERVERS, key_owners};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use expect_test::expect;

/// Keys that the servers of a zone give up because they answer late go to the other zone, and
/// return when answers are in time again.
#[test]
fn a_late_zone_gives_keys_to_the_others_until_it_is_in_time() {
    let mut harness = Harness::new(&[]);
    harness.set_endpoints(&[("amber", 0, EndpointStatus::Ready, 0), ("birch", 1, EndpointStatus::Ready, 0)]);
    let mut sent_to_other_zone = Vec::new();
    for late_server in ["", "amber", ""] {
        harness.take_trace();
        for i in 0..60 {
            harness.advance_clock(2_000);
            let request_id = harness.send(0, &format!("page/{i}"));
            let took =
                if harness.last_server().is_some_and(|id| late_server.contains(&id)) { 10_000 } else { 1000 };
            harness.complete_first_attempt(request_id, took);
            if i == 29 {
                harness.take_trace();
            }
        }
        sent_to_other_zone.push(harness.take_trace().matches("> server 1").count().to_string());
    }
    expect!["0, then 30, then 4 of 30 to the other zone"]
        .assert_eq(&format!("{} of 30 to the other zone", sent_to_other_zone.join(", then ")));
}

/// A server with half the weight keeps three quarters of its keys, and no other server loses any.
/// The same holds where listed weights vary with load, as the largest weight listed for a server
/// counts as its weight. A server that is alone keeps all keys.
#[test]
fn a_smaller_server_keeps_a_part_of_its_keys() {
    let run = |weight: u64, size_kind: &str, fleet: &[&str]| {
        let mut harness = Harness::new(&[("size kind", size_kind)]);
        harness.birch_kind_and_weight.1 = weight;
        harness.set_ready_servers(fleet);
        key_owners(&mut harness)
    };
    let (full_weight, half_weight) = (run(100, "nominal", &FOUR_SERVERS), run(50, "nominal", &FOUR_SERVERS));
    let others_kept =
        full_weight.iter().zip(&half_weight).all(|(before, after)| before == after || before == "birch");
    let runs = [full_weight, half_weight, run(50, "live", &FOUR_SERVERS), run(50, "nominal", &["birch"])];
    let counts = runs.map(|key_owners| key_owners.iter().filter(|id| *id == "birch").count());
    expect!["[53, 37, 37, 200], others kept: true"]
        .assert_eq(&format!("{counts:?}, others kept: {others_kept}"));
}

/// One in four of birch's answers takes longer than its target: birch keeps fewer of its keys, and
/// gets them back gradually.
#[test]
fn a_server_that_is_late_keeps_fewer_of_its_keys_until_it_is_in_time() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let counts = [100, 10_000, 100].map(|late_ticks| {
        harness.take_trace();
        for i in 0..400 {
            harness.advance_clock(2_000);
            let request_id = harness.send(0, &format!("page/{i}"));
            let late = i % 4 == 0 && harness.last_server().is_some_and(|id| id == "birch");
            let took = if late { late_ticks } else { 100 };
            harness.complete_first_attempt(request_id, took);
            if i == 199 {
                harness.take_trace();
            }
        }
        harness.take_trace().matches("> server 1").count()
    });
    expect!["[46, 10, 46] of 200"].assert_eq(&format!("{counts:?} of 200"));
}

/// Weights that vary with load: while the list states a far higher load for birch than for the
/// others, some of its keys go to other servers, and return later. Weights that are far out of
/// range, or that are the same for all servers, move no keys for long.
#[test]
fn a_server_that_is_listed_as_loaded_keeps_fewer_of_its_keys() {
    let mut harness = Harness::new(&[("size kind", "live")]);
    let mut run = |weights: &[u64]| {
        weights.iter().for_each(|weight| {
            harness.birch_kind_and_weight.1 = *weight;
            harness.set_ready_servers(&FOUR_SERVERS);
        });
        harness.take_trace();
        (0..200).for_each(|i| {
            let request_id = harness.send(0, &format!("page/{i}"));
            harness.disconnect_client(request_id);
            harness.end_attempt(request_id, 0, AttemptOutcome::Cancelled);
        });
        harness.take_trace().matches("> server 1").count()
    };
    let counts = [run(&[100]), run(&[10; 6]), run(&[100; 70]), run(&[0]), run(&[100; 9])];
    let absurd = [run(&[u64::MAX / 1000]), run(&[100; 200]), run(&[100; 4000])];
    expect!["[48, 20, 48, 48, 48], absurd [48, 48, 48] of 200"]
        .assert_eq(&format!("{counts:?}, absurd {absurd:?} of 200"));
}
