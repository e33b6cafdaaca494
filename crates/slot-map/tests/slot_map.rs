//! Views of the cluster are parsed and applied by epoch. Redirections hold until the next view.

use chalkwalk_slot_map::{ClusterView, SlotAssignment, SlotMap};
use expect_test::expect;
use std::net::SocketAddr;

fn format_map(map: &SlotMap) -> String {
    let line = |assignment: &SlotAssignment| {
        let replicas: Vec<String> = assignment.replicas.iter().map(|addr| addr.port().to_string()).collect();
        let (first, last) = (assignment.slots.first, assignment.slots.last);
        format!("{first}-{last} {} [{}]\n", assignment.owner.port(), replicas.join(" "))
    };
    map.assignments().iter().map(line).collect()
}

fn parse(text: &str) -> Result<ClusterView, chalkwalk_slot_map::ViewError> {
    ClusterView::parse(text, "127.0.0.1:7000".parse().unwrap())
}

const FIRST_VIEW: &str = "a 127.0.0.1:7000@17000,host myself,master - 0 0 1 connected 0-5460 [100->-b]\n\
    b 127.0.0.1:7001@17001 master - 0 0 2 connected 5461-10922\nc :7002@17002 master - 0 0 3 connected 10923-16383\n\
    d 127.0.0.1:7003@17003 slave b 0 0 2 connected\ne :0@0 master,noaddr - 0 0 0 disconnected\n";

#[test]
fn duplicate_claims_and_unclaimed_slots_of_a_view_are_resolved() {
    let mut map = SlotMap::default();
    map.apply_view(&parse(FIRST_VIEW).unwrap()).unwrap();
    let first_map = format_map(&map);
    // Node b has failed and d has replaced it. Node c also claims a slot of a, with a higher epoch.
    // Slots that no node claims stay with their last owner.
    let second_view = "a 127.0.0.1:7000@1 master - 0 0 1 connected 0-5000\nb 127.0.0.1:7001@1 master,fail - 0 0 2 connected\n\
        c 127.0.0.1:7002@1 master - 0 0 3 connected 10923-16383 77\nd 127.0.0.1:7003@1 master - 0 0 4 connected 5461-10922";
    map.apply_view(&parse(second_view).unwrap()).unwrap();
    let outdated = map.apply_view(&parse(FIRST_VIEW).unwrap()).unwrap_err();
    expect![[r#"
        0-5460 7000 []
        5461-10922 7001 [7003]
        10923-16383 7002 []

        0-76 7000 []
        77-77 7002 []
        78-5460 7000 []
        5461-10922 7003 []
        10923-16383 7002 []
        outdated view of the cluster: its epoch is 3, and epoch 4 was applied before"#]]
    .assert_eq(&format!("{first_map}\n{}{outdated}", format_map(&map)));
}

#[test]
fn a_redirection_holds_until_the_next_view() {
    let target: SocketAddr = "127.0.0.1:7002".parse().unwrap();
    let mut map = SlotMap::default();
    assert!(map.apply_moved(5, target) && !map.apply_moved(5, target) && map.owner(6).is_none());
    map.apply_view(&parse(FIRST_VIEW).unwrap()).unwrap();
    assert!(map.apply_moved(6000, target) && !map.apply_moved(16384, target));
    assert_eq!(map.servers_for(6000).collect::<Vec<_>>(), [target]);
    assert_eq!(map.servers_for(6001).map(|addr| addr.port()).collect::<Vec<_>>(), [7001, 7003]);
    map.apply_view(&parse(FIRST_VIEW).unwrap()).unwrap();
    assert_eq!(map.owner(6000).map(|addr| addr.port()), Some(7001));
}

#[test]
fn malformed_views_are_rejected_and_the_error_says_what_is_missing() {
    for (text, error) in [
        ("", "the reply to CLUSTER NODES lists no node with an address"),
        ("x", "line of CLUSTER NODES without the eight required fields: x"),
        ("a b c d e f g h", "line of CLUSTER NODES without a valid address: a b c d e f g h"),
        (
            "a 127.0.0.1:1@1 master - 0 0 1 connected 9-3",
            "line of CLUSTER NODES without valid slot ranges: a 127.0.0.1:1@1 master - 0 0 1 connected 9-3",
        ),
        ("a 1:1 m - 0 0 x c 16384", "line of CLUSTER NODES without a valid address: a 1:1 m - 0 0 x c 16384"),
        (
            "a 127.0.0.1:1@1 master - 0 0 x connected",
            "line of CLUSTER NODES without a valid configuration epoch: a 127.0.0.1:1@1 master - 0 0 x connected",
        ),
    ] {
        assert_eq!(parse(text).unwrap_err().to_string(), error, "{text}");
    }
    let too_many_nodes = "a 127.0.0.1:1@1 master - 0 0 1 connected\n".repeat(4097);
    assert_eq!(
        parse(&too_many_nodes).unwrap_err().to_string(),
        "the reply to CLUSTER NODES lists more than 4096 nodes"
    );
}
