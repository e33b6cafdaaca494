//! The settings determine the namespace of a key, the users that authenticate, and the instance
//! that serves a slot.

use chalkwalk_resp_frontend::{PrefixRule, ProxyNode, Settings, User, hash_secret};
use chalkwalk_slot_map::SlotRange;
use std::net::SocketAddr;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings() -> Settings {
    let instance = |port: u16, slots: (u16, u16)| ProxyNode {
        name: port.to_string(),
        addr: addr(port),
        slots: SlotRange::from(slots),
    };
    let user = |name: &str, secret: &[u8]| User { name: name.into(), secret_sha256: hash_secret(secret) };
    Settings {
        listen_addr: addr(2),
        seeds: vec![],
        read_namespace: 0,
        write_namespace: 1,
        prefix_rules: vec![
            PrefixRule { prefix: "loan:".into(), read_namespace: 2, write_namespace: 3 },
            PrefixRule { prefix: "loan".into(), read_namespace: 4, write_namespace: 4 },
        ],
        allow_stale_reads: vec![],
        split_multi_slot: false,
        instances: vec![instance(1, (0, 99)), instance(2, (50, 149)), instance(3, (100, 199))],
        users: vec![user("ann", b"one"), user("bob", b"two")],
    }
}

#[test]
fn the_first_matching_prefix_determines_the_namespaces() {
    let settings = settings();
    let namespaces = |key: &[u8]| [settings.namespace_of(key, false), settings.namespace_of(key, true)];
    assert_eq!(namespaces(b"loan:7"), [2, 3]);
    assert_eq!(namespaces(b"loans"), [4, 4]);
    assert_eq!(namespaces(b"page"), [0, 1]);
}

/// Guards against a stale read of a key whose namespace does not allow it, in a command that begins
/// with a key whose namespace does.
#[test]
fn replicas_answer_a_read_only_where_the_namespaces_of_all_keys_allow_it() {
    let settings = Settings { allow_stale_reads: vec![true, false, true], ..settings() };
    assert!(settings.replicas_may_answer(&[0]) && settings.replicas_may_answer(&[0, 2, 0]));
    for namespaces in [&[1][..], &[0, 1], &[2, 0, 1], &[0, 3]] {
        assert!(!settings.replicas_may_answer(namespaces), "{namespaces:?}");
    }
}

#[test]
fn a_secret_authenticates_only_its_own_user() {
    let settings = settings();
    assert!(settings.authenticates(b"ann", b"one") && settings.authenticates(b"bob", b"two"));
    for (name, secret) in [("ann", "two"), ("bob", "one"), ("ann", ""), ("", "one"), ("eve", "one")] {
        assert!(!settings.authenticates(name.as_bytes(), secret.as_bytes()), "{name} {secret}");
    }
}

#[test]
fn this_instance_serves_its_own_slots_and_else_the_first_that_has_the_slot() {
    let settings = settings();
    let port = |slot| settings.instance_of(slot).map(|instance| instance.addr.port());
    assert_eq!([10, 70, 120, 170].map(port), [Some(1), Some(2), Some(2), Some(3)]);
    assert_eq!(port(200), None);
}
