//! Which server owns a key, and where its requests go beyond that one.

use crate::helper::Harness;
use crate::{FOUR, key_of, owners};
use chalkwalk_balancer::EndpointStatus;
use expect_test::expect;

#[test]
fn removing_a_server_moves_only_its_keys_and_order_does_not_matter() {
    let (mut a, mut b) = (Harness::new(&[]), Harness::new(&[]));
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
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    (0..9).for_each(|_| {
        harness.send(0, "hot");
    });
    expect![[r#"
        request 0 -> server 2
        request 1 -> server 2
        request 2 -> server 3
        request 3 -> server 3
        request 4 -> server 1
        request 5 -> server 1
        request 6 -> server 2
        request 7 -> server 3
        request 8 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn an_empty_zone_uses_the_ring_of_the_others() {
    let mut harness = Harness::new(&[]);
    harness.list(&[("amber", 1, EndpointStatus::Ready, 0), ("birch", 2, EndpointStatus::Ready, 0)]);
    harness.send(0, "book/1");
    expect![[r#"
        request 0 -> server 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let key = key_of(&mut harness, "birch");
    harness.take_trace();
    harness.send(0, &key);
    let rows = FOUR
        .map(|id| (id, 0, if id == "birch" { EndpointStatus::Draining } else { EndpointStatus::Ready }, 0));
    harness.list(&rows);
    harness.send(0, &key);
    harness.ready(&["amber", "delta"]);
    harness.send(0, &key);
    expect![[r#"
        request 3 -> server 1
        request 4 -> server 3
        request 5 -> server 3
    "#]]
    .assert_eq(&harness.take_trace());
}
