//! The key-value store with revisions and leases.

use chalkwalk_testbed::clock::SECOND;
use chalkwalk_testbed::model::store::{Condition, Item, Store, StoreError, Write};

fn put(key: &str, value: &str, lease: i64) -> Write {
    Write::Put { key: key.into(), value: value.into(), lease }
}

fn describe_items(items: Vec<&Item>) -> Vec<String> {
    let describe = |item: &Item| {
        let value =
            item.value.as_ref().map_or("-".into(), |value| String::from_utf8_lossy(value).to_string());
        format!("{}={value}@{}", String::from_utf8_lossy(&item.key), item.mod_revision)
    };
    items.into_iter().map(describe).collect()
}

#[test]
fn states_and_changes_are_readable_until_their_revision_is_compacted() {
    let mut store = Store::default();
    store.write(10, &[put("a", "1", 0), put("b", "1", 0)]).unwrap();
    store.write(20, &[put("a", "2", 0)]).unwrap();
    store.write(30, &[Write::Delete { key: b"a".to_vec(), end: b"z".to_vec() }, put("c", "1", 0)]).unwrap();
    assert_eq!(store.write(40, &[Write::Delete { key: b"x".to_vec(), end: vec![] }]), Ok(4));
    assert_eq!(describe_items(store.range(b"a", b"z", 3, 0).unwrap().0), ["a=2@3", "b=1@2"]);
    assert_eq!(
        store.range(b"a", b"z", 2, 1).map(|(item, more)| (describe_items(item), more)),
        Ok((vec!["a=1@2".into()], true))
    );
    assert_eq!(describe_items(store.range(b"a", &[0], 0, 0).unwrap().0), ["c=1@4"]);
    assert_eq!(
        describe_items(store.changes(b"a", b"z", 3, 4).unwrap()),
        ["a=2@3", "a=-@4", "b=-@4", "c=1@4"]
    );
    assert_eq!(store.range(b"a", &[], 9, 0), Err(StoreError::FutureRevision));
    assert_eq!(store.compact(3), Ok(()));
    assert_eq!(store.changes(b"a", b"z", 3, 4), Err(StoreError::Compacted(3)));
    assert_eq!(store.range(b"a", b"z", 2, 0), Err(StoreError::Compacted(3)));
    assert!(store.changes(b"a", b"z", 4, 4).is_ok() && store.range(b"a", b"z", 3, 0).is_ok());
    assert!(
        store.satisfies(b"c", &Condition::Version(1)) && store.satisfies(b"a", &Condition::CreateRevision(0))
    );
    store.restore(25);
    assert_eq!(
        (store.revision(), describe_items(store.range(b"a", b"z", 0, 0).unwrap().0)),
        (3, vec!["a=2@3".into(), "b=1@2".into()])
    );
}

#[test]
fn an_expired_lease_deletes_its_keys_unless_it_is_kept_alive() {
    let mut store = Store::default();
    let lease = store.grant(0, 10);
    let id = lease.id;
    store.write(0, &[put("a", "1", id), put("b", "1", id)]).unwrap();
    assert_eq!(
        (lease.ttl_s, store.keep_alive(5 * SECOND, id), store.next_expiry()),
        (10, 10, Some(15 * SECOND))
    );
    // The key is written again without the lease, so it no longer belongs to the lease.
    store.write(6 * SECOND, &[put("b", "2", 0)]).unwrap();
    store.expire(15 * SECOND);
    assert_eq!(describe_items(store.range(b"a", b"z", 0, 0).unwrap().0), ["b=2@3"]);
    assert_eq!(
        (store.keep_alive(15 * SECOND, id), store.write(0, &[put("c", "1", id)])),
        (0, Err(StoreError::LeaseNotFound))
    );
    assert_eq!(store.revoke(0, id), Err(StoreError::LeaseNotFound));
}
