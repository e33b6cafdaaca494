//! What two processes of a proxy come to know of each other, whoever reads whom first.

use chalkwalk_handover::{HandoverRecord, LearnedServers, MAX_FILE_BYTES, OperatorOverride, ServerFigures};
use chalkwalk_time::Timestamp;
use expect_test::expect;
use proptest::prelude::*;

fn page(started: u64) -> HandoverRecord {
    HandoverRecord { pid: 7, started: Timestamp::from_ticks(started), ..HandoverRecord::default() }
}

#[test]
fn the_later_word_holds_and_a_back_call_undoes_two_out_calls() {
    let (mut old, mut new) = (page(1), page(2));
    old.set_server_out("amber", true, Timestamp::from_ticks(100));
    old.set_server_out("amber", true, Timestamp::from_ticks(110));
    let mut seen = vec![format!("{:?}", new.merge(&old))];
    new.set_server_out("amber", false, Timestamp::from_ticks(105)); // by a clock that was set back
    new.set_server_out("birch", true, Timestamp::from_ticks(120));
    new.set_service_out(true, Timestamp::from_ticks(130));
    seen.push(format!("{:?}", old.merge(&new)));
    seen.push(format!("{:?} {:?}", old.merge(&new), old.is_server_out("amber")));
    new.ready_since = Some(Timestamp::from_ticks(140));
    seen.push(format!("{} {}", old.succeeded_by(&new), new.succeeded_by(&old)));
    old.drop_settled(Timestamp::from_ticks(700_000));
    seen.push(format!("{:?}", old.servers.keys().collect::<Vec<_>>()));
    expect![[r#"
        (["amber"], false)
        (["amber", "birch"], true)
        ([], false) false
        true false
        ["birch"]"#]]
    .assert_eq(&seen.join("\n"));
}

#[test]
fn a_file_that_is_cut_spoilt_or_foreign_is_none() {
    let mut of = page(3);
    of.set_server_out("amber", true, Timestamp::from_ticks(4));
    let text = of.encode();
    assert_eq!(HandoverRecord::decode(&text), Ok(of));
    for cut in 0..text.len() {
        assert!(HandoverRecord::decode(&text[..cut]).is_err(), "cut at {cut}");
    }
    let other = text.replace("handover-1", "handover-2");
    let spoilt = text.replace("amber", "ember");
    let faults: Vec<_> =
        ["", "{}", &other, &spoilt].iter().map(|t| HandoverRecord::decode(t).unwrap_err()).collect();
    expect!["no handover of a version that is known; no handover of a version that is known; no handover of a version that is known; a checksum that is another"]
        .assert_eq(&faults.join("; "));
}

fn any_page() -> impl Strategy<Value = HandoverRecord> {
    let word = || {
        (0..20u64, any::<bool>()).prop_map(|(at, out)| OperatorOverride {
            at: Timestamp::from_ticks(2 * at + u64::from(out)),
            out,
        })
    };
    (prop::collection::btree_map("[abc]", word(), 0..4), word())
        .prop_map(|(servers, service)| HandoverRecord { servers, service, ..HandoverRecord::default() })
}

proptest! {
    /// Whoever reads whom first and however often, both hold the same in the end.
    #[test]
    fn two_that_read_each_other_agree(a in any_page(), b in any_page()) {
        let (mut one, mut other) = (a.clone(), b.clone());
        one.merge(&b);
        other.merge(&one);
        one.merge(&other);
        let mut once_more = one.clone();
        prop_assert_eq!(once_more.merge(&other), (vec![], false));
        for id in a.servers.keys().chain(b.servers.keys()) {
            prop_assert_eq!(one.is_server_out(id), other.is_server_out(id));
        }
        prop_assert_eq!(one.service, other.service);
    }
}

/// What was learned is taken up on the same terms and within a minute; a version without it says nothing, and no file gets too
/// long for it.
#[test]
fn what_was_learned_is_bounded_and_holds_for_a_minute_on_its_terms() {
    let servers = (0..5000).map(|i| (format!("s-{i:060}"), ServerFigures::from([u64::MAX; 4]))).collect();
    let learned =
        LearnedServers { written_at: Timestamp::from_ticks(10_000), settings_digest: 7, servers }.bounded();
    let page = HandoverRecord { learned: learned.clone(), ..HandoverRecord::default() };
    assert!(page.encode().len() < MAX_FILE_BYTES / 2);
    assert_eq!(HandoverRecord::decode(&page.encode()).unwrap().learned, learned);
    let holds = [(7, 10_000), (7, 609_999), (7, 610_000), (7, 9_999), (8, 10_000)];
    let holds = holds.map(|(terms, now)| learned.is_usable(terms, Timestamp::from_ticks(now)));
    assert_eq!((learned.servers.len(), holds), (2000, [true, true, false, false, false]));
    let absurd = LearnedServers { written_at: Timestamp::from_ticks(u64::MAX), ..learned.clone() };
    assert!(!absurd.is_usable(7, Timestamp::from_ticks(10_000)));
    let long = LearnedServers { servers: [("x".repeat(65), ServerFigures::default())].into(), ..learned };
    assert!(!long.bounded().is_usable(7, Timestamp::from_ticks(10_000)));
}
