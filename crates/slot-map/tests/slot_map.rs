//! Views of the cluster are parsed and applied by epoch, and redirections hold until the next view.

use chalkwalk_slot_map::{ClusterView, SlotAssignment, SlotMap};
use expect_test::expect;
use std::net::SocketAddr;

fn shown(map: &SlotMap) -> String {
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

const THREE_OWNERS: &str = "a 127.0.0.1:7000@17000,host myself,master - 0 0 1 connected 0-5460 [100->-b]\n\
    b 127.0.0.1:7001@17001 master - 0 0 2 connected 5461-10922\nc :7002@17002 master - 0 0 3 connected 10923-16383\n\
    d 127.0.0.1:7003@17003 slave b 0 0 2 connected\ne :0@0 master,noaddr - 0 0 0 disconnected\n";

#[test]
fn a_view_is_parsed_and_double_claims_and_gaps_are_resolved() {
    let mut map = SlotMap::default();
    map.apply_view(&parse(THREE_OWNERS).unwrap()).unwrap();
    let first = shown(&map);
    // b has failed and d took over; c claims a slot of a's too by its higher epoch; a gap stays
    // with its last owner.
    let after = "a 127.0.0.1:7000@1 master - 0 0 1 connected 0-5000\nb 127.0.0.1:7001@1 master,fail - 0 0 2 connected\n\
        c 127.0.0.1:7002@1 master - 0 0 3 connected 10923-16383 77\nd 127.0.0.1:7003@1 master - 0 0 4 connected 5461-10922";
    map.apply_view(&parse(after).unwrap()).unwrap();
    let outdated = map.apply_view(&parse(THREE_OWNERS).unwrap()).unwrap_err();
    expect![[r#"
        0-5460 7000 []
        5461-10922 7001 [7003]
        10923-16383 7002 []

        0-76 7000 []
        77-77 7002 []
        78-5460 7000 []
        5461-10922 7003 []
        10923-16383 7002 []
        an old view, epoch 3 after 4"#]]
    .assert_eq(&format!("{first}\n{}{outdated}", shown(&map)));
}

#[test]
fn a_redirection_holds_until_the_next_view() {
    let to: SocketAddr = "127.0.0.1:7002".parse().unwrap();
    let mut map = SlotMap::default();
    assert!(map.apply_moved(5, to) && !map.apply_moved(5, to) && map.owner(6).is_none());
    map.apply_view(&parse(THREE_OWNERS).unwrap()).unwrap();
    assert!(map.apply_moved(6000, to) && !map.apply_moved(16384, to));
    assert_eq!(map.servers_for(6000).collect::<Vec<_>>(), [to]);
    assert_eq!(map.servers_for(6001).map(|addr| addr.port()).collect::<Vec<_>>(), [7001, 7003]);
    map.apply_view(&parse(THREE_OWNERS).unwrap()).unwrap();
    assert_eq!(map.owner(6000).map(|addr| addr.port()), Some(7001));
}

#[test]
fn malformed_views_are_rejected_and_the_error_says_what_is_missing() {
    for (text, error) in [
        ("", "no node"),
        ("x", "a node without its eight fields: x"),
        ("a b c d e f g h", "a node without an address: a b c d e f g h"),
        (
            "a 127.0.0.1:1@1 master - 0 0 1 connected 9-3",
            "a node without slots that make sense: a 127.0.0.1:1@1 master - 0 0 1 connected 9-3",
        ),
        ("a 1:1 m - 0 0 x c 16384", "a node without an address: a 1:1 m - 0 0 x c 16384"),
        (
            "a 127.0.0.1:1@1 master - 0 0 x connected",
            "a node without an epoch: a 127.0.0.1:1@1 master - 0 0 x connected",
        ),
    ] {
        assert_eq!(parse(text).unwrap_err().to_string(), error, "{text}");
    }
    let crowd = "a 127.0.0.1:1@1 master - 0 0 1 connected\n".repeat(4097);
    assert_eq!(parse(&crowd).unwrap_err().to_string(), "more than 4096 nodes");
}
