use chalkwalk_testbed::model::server_list::{ListedServer, ServerList};
use chalkwalk_testbed::model::timeline::{DELETED, DRAINING};
use chalkwalk_testbed::model::timeline::{ListUpdate, SERVING};

#[test]
fn the_snapshot_and_the_changes_agree() {
    let update = |published, server, state, started| ListUpdate { published, server, state, started };
    let updates = vec![update(5, 0, DRAINING, 0), update(7, 0, DELETED, 0), update(9, 0, SERVING, 8)];
    let list = ServerList::new(1, updates);
    let states = |entries: Vec<ListedServer>| {
        entries.iter().map(|l| (l.server, l.state, l.started)).collect::<Vec<_>>()
    };
    assert_eq!([4, 5, 8, 9].map(|at| list.version(at)), [1, 2, 3, 4]);
    assert_eq!(states(list.snapshot(1)), [(0, SERVING, 0), (1, SERVING, 0)]);
    assert_eq!(states(list.snapshot(3)), [(1, SERVING, 0)]);
    assert_eq!(states(list.snapshot(4)), [(0, SERVING, 8), (1, SERVING, 0)]);
    assert_eq!(states(list.changes_since(2, 4)), [(0, DELETED, 0), (0, SERVING, 8)]);
    assert_eq!(
        (list.next_change(1), list.next_change(4), list.changes_since(9, 4).len()),
        (Some(5), None, 0)
    );
}
