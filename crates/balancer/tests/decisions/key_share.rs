//! Which of its keys a server keeps where it is small, late or loaded.

use crate::helper::Harness;
use crate::{FOUR, owners};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use expect_test::expect;

/// The keys that a late zone's servers give up go to the other zone, and come back when answers are in time again.
#[test]
fn a_late_zone_gives_keys_to_the_others_until_it_is_in_time() {
    let mut harness = Harness::new(&[]);
    harness.list(&[("amber", 0, EndpointStatus::Ready, 0), ("birch", 1, EndpointStatus::Ready, 0)]);
    let mut away = Vec::new();
    for late in ["", "amber", ""] {
        harness.take_trace();
        for i in 0..60 {
            harness.pass(2_000);
            let a = harness.send(0, &format!("page/{i}"));
            let took = if harness.last_server().is_some_and(|id| late.contains(&id)) { 10_000 } else { 1000 };
            harness.complete(a, took);
            if i == 29 {
                harness.take_trace();
            }
        }
        away.push(harness.take_trace().matches("> server 1").count().to_string());
    }
    expect!["0, then 30, then 4 of 30 away"].assert_eq(&format!("{} of 30 away", away.join(", then ")));
}

/// Half as large, three quarters of its keys, and no other server loses any; where sizes are loads of the moment too, as the
/// largest listed of it is its size. Alone it has all.
#[test]
fn a_smaller_server_keeps_a_part_of_its_keys() {
    let day = |size: u64, kind: &str, fleet: &[&str]| {
        let mut harness = Harness::new(&[("size kind", kind)]);
        harness.birch.1 = size;
        harness.ready(fleet);
        owners(&mut harness)
    };
    let (whole, half) = (day(100, "nominal", &FOUR), day(50, "nominal", &FOUR));
    let others_kept = whole.iter().zip(&half).all(|(was, is)| was == is || was == "birch");
    let days = [whole, half, day(50, "live", &FOUR), day(50, "nominal", &["birch"])];
    let counts = days.map(|owners| owners.iter().filter(|id| *id == "birch").count());
    expect!["[53, 37, 37, 200], others kept: true"]
        .assert_eq(&format!("{counts:?}, others kept: {others_kept}"));
}

/// One in four of birch's answers past its target: it keeps fewer of its keys, and gets them back by and by.
#[test]
fn a_server_that_is_late_keeps_fewer_of_its_keys_until_it_is_in_time() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let counts = [100, 10_000, 100].map(|slow| {
        harness.take_trace();
        for i in 0..400 {
            harness.pass(2_000);
            let request_id = harness.send(0, &format!("page/{i}"));
            let late = i % 4 == 0 && harness.last_server().is_some_and(|id| id == "birch");
            let took = if late { slow } else { 100 };
            harness.complete(request_id, took);
            if i == 199 {
                harness.take_trace();
            }
        }
        harness.take_trace().matches("> server 1").count()
    });
    expect!["[46, 10, 46] of 200"].assert_eq(&format!("{counts:?} of 200"));
}

/// Weights that move with load: birch, listed as holding far more than the others, is passed for some of its keys and gets them
/// back; what is absurd, or listed of all alike, moves none for long.
#[test]
fn a_server_that_is_listed_as_loaded_keeps_fewer_of_its_keys() {
    let mut harness = Harness::new(&[("size kind", "live")]);
    let mut day = |weights: &[u64]| {
        weights.iter().for_each(|w| {
            harness.birch.1 = *w;
            harness.ready(&FOUR);
        });
        harness.take_trace();
        (0..200).for_each(|i| {
            let request_id = harness.send(0, &format!("page/{i}"));
            harness.client_leaves(request_id);
            harness.end(request_id, 0, AttemptOutcome::Cancelled);
        });
        harness.take_trace().matches("> server 1").count()
    };
    let values = [day(&[100]), day(&[10; 6]), day(&[100; 70]), day(&[0]), day(&[100; 9])];
    let absurd = [day(&[u64::MAX / 1000]), day(&[100; 200]), day(&[100; 4000])];
    expect!["[48, 20, 48, 48, 48], absurd [48, 48, 48] of 200"]
        .assert_eq(&format!("{values:?}, absurd {absurd:?} of 200"));
}
