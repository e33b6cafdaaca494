//! Which server owns a key, and which other servers its requests go to.

use crate::helper::Harness;
use crate::{FOUR_SERVERS, key_owned_by, key_owners};
use chalkwalk_balancer::EndpointStatus;
use expect_test::expect;

#[test]
fn removing_a_server_moves_only_its_keys_and_list_order_does_not_matter() {
    let (mut harness, mut reordered) = (Harness::new(&[]), Harness::new(&[]));
    harness.set_ready_servers(&FOUR_SERVERS);
    reordered.set_ready_servers(&["delta", "amber", "cedar", "birch"]);
    let before = key_owners(&mut harness);
    assert_eq!(before, key_owners(&mut reordered));
    harness.set_ready_servers(&["amber", "birch", "delta"]);
    let moved = |(old_owner, new_owner): &(&String, &String)| old_owner != new_owner;
    let after = key_owners(&mut harness);
    let former_owners: Vec<_> =
        before.iter().zip(&after).filter(moved).map(|(old_owner, _)| old_owner.clone()).collect();
    assert!(former_owners.iter().all(|id| id == "cedar"));
    expect!["48"].assert_eq(&former_owners.len().to_string());
}

#[test]
fn a_hot_key_overflows_in_ring_order_at_the_cap() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
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
fn a_proxy_in_an_empty_zone_uses_the_ring_of_the_other_zones() {
    let mut harness = Harness::new(&[]);
    harness.set_endpoints(&[("amber", 1, EndpointStatus::Ready, 0), ("birch", 2, EndpointStatus::Ready, 0)]);
    harness.send(0, "book/1");
    expect![[r#"
        request 0 -> server 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_draining_server_gets_no_new_attempts() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let key = key_owned_by(&mut harness, "birch");
    harness.take_trace();
    harness.send(0, &key);
    let rows = FOUR_SERVERS
        .map(|id| (id, 0, if id == "birch" { EndpointStatus::Draining } else { EndpointStatus::Ready }, 0));
    harness.set_endpoints(&rows);
    harness.send(0, &key);
    harness.set_ready_servers(&["amber", "delta"]);
    harness.send(0, &key);
    expect![[r#"
        request 3 -> server 1
        request 4 -> server 3
        request 5 -> server 3
    "#]]
    .assert_eq(&harness.take_trace());
}
