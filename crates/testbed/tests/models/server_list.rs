//! Snapshots and changes of the endpoint list.

use chalkwalk_testbed::model::server_list::{ListedServer, ServerList};
use chalkwalk_testbed::model::timeline::{EndpointStatus, ListUpdate};

#[test]
fn snapshots_and_changes_agree() {
    let update =
        |published_at, server, status, started_at| ListUpdate { published_at, server, status, started_at };
    let updates = vec![
        update(5, 0, EndpointStatus::Draining, 0),
        update(7, 0, EndpointStatus::Gone, 0),
        update(9, 0, EndpointStatus::Ready, 8),
    ];
    let list = ServerList::new(1, updates);
    let states = |entries: Vec<ListedServer>| {
        entries.iter().map(|entry| (entry.server, entry.status, entry.started_at)).collect::<Vec<_>>()
    };
    assert_eq!([4, 5, 8, 9].map(|at| list.version(at)), [1, 2, 3, 4]);
    assert_eq!(states(list.snapshot(1)), [(0, EndpointStatus::Ready, 0), (1, EndpointStatus::Ready, 0)]);
    assert_eq!(states(list.snapshot(3)), [(1, EndpointStatus::Ready, 0)]);
    assert_eq!(states(list.snapshot(4)), [(0, EndpointStatus::Ready, 8), (1, EndpointStatus::Ready, 0)]);
    assert_eq!(
        states(list.changes_since(2, 4)),
        [(0, EndpointStatus::Gone, 0), (0, EndpointStatus::Ready, 8)]
    );
    assert_eq!(
        (list.next_change(1), list.next_change(4), list.changes_since(9, 4).len()),
        (Some(5), None, 0)
    );
}
