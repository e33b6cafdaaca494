//! Records of two processes of a proxy are merged to the same result, whichever reads the other first.

use chalkwalk_handover::{
    HandoverRecord, LearnedServers, MAX_FILE_BYTES, MergeOutcome, OperatorOverride, ServerFigures,
};
use chalkwalk_time::Timestamp;
use expect_test::expect;
use proptest::prelude::*;

fn record(started: u64) -> HandoverRecord {
    HandoverRecord { pid: 7, started: Timestamp::from_ticks(started), ..HandoverRecord::default() }
}

fn shown(outcome: MergeOutcome) -> String {
    format!("{:?}", (outcome.servers, outcome.service_changed))
}

#[test]
fn the_later_override_wins_and_enabling_undoes_two_disabling_calls() {
    let (mut old, mut new) = (record(1), record(2));
    old.set_server_out("amber", true, Timestamp::from_ticks(100));
    old.set_server_out("amber", true, Timestamp::from_ticks(110));
    let mut seen = vec![shown(new.merge(&old))];
    new.set_server_out("amber", false, Timestamp::from_ticks(105)); // by a clock that was set back
    new.set_server_out("birch", true, Timestamp::from_ticks(120));
    new.set_service_out(true, Timestamp::from_ticks(130));
    seen.push(shown(old.merge(&new)));
    seen.push(format!("{} {:?}", shown(old.merge(&new)), old.is_server_out("amber")));
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
fn a_truncated_damaged_or_foreign_file_is_an_error() {
    let mut original = record(3);
    original.set_server_out("amber", true, Timestamp::from_ticks(4));
    let text = original.encode();
    assert_eq!(HandoverRecord::decode(&text), Ok(original));
    for cut in 0..text.len() {
        assert!(HandoverRecord::decode(&text[..cut]).is_err(), "cut at {cut}");
    }
    let other = text.replace("handover-1", "handover-2");
    let damaged = text.replace("amber", "ember");
    let errors: Vec<_> = ["", "{}", &other, &damaged]
        .iter()
        .map(|t| HandoverRecord::decode(t).unwrap_err().to_string())
        .collect();
    expect!["no handover of a version that is known; no handover of a version that is known; no handover of a version that is known; a checksum that is another"]
        .assert_eq(&errors.join("; "));
}

fn any_record() -> impl Strategy<Value = HandoverRecord> {
    let any_override = || {
        (0..20u64, any::<bool>()).prop_map(|(at, out)| OperatorOverride {
            at: Timestamp::from_ticks(2 * at + u64::from(out)),
            out,
        })
    };
    (prop::collection::btree_map("[abc]", any_override(), 0..4), any_override())
        .prop_map(|(servers, service)| HandoverRecord { servers, service, ..HandoverRecord::default() })
}

proptest! {
    /// Whichever reads the other first and however often, both hold the same in the end.
    #[test]
    fn two_that_merge_each_other_agree(a in any_record(), b in any_record()) {
        let (mut one, mut other) = (a.clone(), b.clone());
        one.merge(&b);
        other.merge(&one);
        one.merge(&other);
        let mut once_more = one.clone();
        prop_assert_eq!(once_more.merge(&other), MergeOutcome::default());
        for id in a.servers.keys().chain(b.servers.keys()) {
            prop_assert_eq!(one.is_server_out(id), other.is_server_out(id));
        }
        prop_assert_eq!(one.service, other.service);
    }
}

/// Learned figures are usable under the same settings and for a minute; a file without them has none, and they make no file
/// too long.
#[test]
fn learned_figures_are_bounded_and_usable_for_a_minute_under_the_same_settings() {
    let servers = (0..5000).map(|i| (format!("s-{i:060}"), ServerFigures::from([u64::MAX; 4]))).collect();
    let learned =
        LearnedServers { written_at: Timestamp::from_ticks(10_000), settings_digest: 7, servers }.bounded();
    let record = HandoverRecord { learned: learned.clone(), ..HandoverRecord::default() };
    assert!(record.encode().len() < MAX_FILE_BYTES / 2);
    assert_eq!(HandoverRecord::decode(&record.encode()).unwrap().learned, learned);
    let cases = [(7, 10_000), (7, 609_999), (7, 610_000), (7, 9_999), (8, 10_000)];
    let usable =
        cases.map(|(settings_digest, now)| learned.is_usable(settings_digest, Timestamp::from_ticks(now)));
    assert_eq!((learned.servers.len(), usable), (2000, [true, true, false, false, false]));
    let far_future = LearnedServers { written_at: Timestamp::from_ticks(u64::MAX), ..learned.clone() };
    assert!(!far_future.is_usable(7, Timestamp::from_ticks(10_000)));
    let long = LearnedServers { servers: [("x".repeat(65), ServerFigures::default())].into(), ..learned };
    assert!(!long.bounded().is_usable(7, Timestamp::from_ticks(10_000)));
}
