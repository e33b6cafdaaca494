//! Tests of server indices. They are unit tests because they remove a server directly.

use super::*;

#[test]
fn the_index_of_a_removed_server_is_reused_next() {
    let mut servers = ServerRegistry::default();
    let mut indices = Vec::new();
    for id in ["amber", "birch", "birch", "cedar", "delta"] {
        let endpoint = ListedEndpoint {
            id: id.into(),
            address: "127.0.0.1:3000".parse().unwrap(),
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            weight_hundredths: 100,
            status: EndpointStatus::Ready,
            started_at: Timestamp::ZERO,
        };
        indices.push(servers.index_or_insert(&endpoint));
        if id == "cedar" {
            servers.indices.remove("birch");
            servers.free_indices.push(1);
        }
    }
    expect_test::expect!["[0, 1, 1, 2, 1] of 3"]
        .assert_eq(&format!("{indices:?} of {}", servers.entries.len()));
}
