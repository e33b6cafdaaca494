//! Merges of the records of two processes give the same result whichever process reads the other's
//! record first, and files are encoded and decoded without loss.

use chalkwalk_handover::{
    HandoverRecord, LearnedServers, MAX_FILE_BYTES, MergeOutcome, OperatorOverride, ServerStats,
};
use chalkwalk_time::Timestamp;
use expect_test::expect;
use proptest::prelude::*;

fn record(started_at: u64) -> HandoverRecord {
    HandoverRecord { pid: 7, started_at: Timestamp::from_ticks(started_at), ..HandoverRecord::default() }
}

fn format_outcome(outcome: MergeOutcome) -> String {
    format!("{:?}", (outcome.servers, outcome.service_changed))
}

#[test]
fn the_later_override_wins_and_enabling_undoes_two_disabling_calls() {
    let (mut old, mut new) = (record(1), record(2));
    old.set_server_disabled("amber", true, Timestamp::from_ticks(100));
    old.set_server_disabled("amber", true, Timestamp::from_ticks(110));
    let mut results = vec![format_outcome(new.merge(&old))];
    new.set_server_disabled("amber", false, Timestamp::from_ticks(105)); // the clock was set back
    new.set_server_disabled("birch", true, Timestamp::from_ticks(120));
    new.set_service_disabled(true, Timestamp::from_ticks(130));
    results.push(format_outcome(old.merge(&new)));
    results.push(format!("{} {:?}", format_outcome(old.merge(&new)), old.is_server_disabled("amber")));
    new.ready_since = Some(Timestamp::from_ticks(140));
    results.push(format!("{} {}", old.is_succeeded_by(&new), new.is_succeeded_by(&old)));
    old.drop_expired_overrides(Timestamp::from_ticks(700_000));
    results.push(format!("{:?}", old.servers.keys().collect::<Vec<_>>()));
    expect![[r#"
        (["amber"], false)
        (["amber", "birch"], true)
        ([], false) false
        true false
        ["birch"]"#]]
    .assert_eq(&results.join("\n"));
}

#[test]
fn a_truncated_damaged_or_unknown_file_is_an_error() {
    let mut original = record(3);
    original.set_server_disabled("amber", true, Timestamp::from_ticks(4));
    let text = original.encode();
    assert_eq!(HandoverRecord::decode(&text), Ok(original));
    for length in 0..text.len() {
        assert!(HandoverRecord::decode(&text[..length]).is_err(), "truncated to {length} bytes");
    }
    let other_version = text.replace("handover-1", "handover-2");
    let damaged = text.replace("amber", "ember");
    let errors: Vec<_> = ["", "{}", &other_version, &damaged]
        .iter()
        .map(|t| HandoverRecord::decode(t).unwrap_err().to_string())
        .collect();
    expect!["not a handover file of version 1: the header chalkwalk-handover-1 is missing; not a handover file of version 1: the header chalkwalk-handover-1 is missing; not a handover file of version 1: the header chalkwalk-handover-1 is missing; the checksum does not match the record"]
        .assert_eq(&errors.join("; "));
}

fn any_record() -> impl Strategy<Value = HandoverRecord> {
    let any_override = || {
        (0..20u64, any::<bool>()).prop_map(|(decided_at, is_disabled)| OperatorOverride {
            decided_at: Timestamp::from_ticks(2 * decided_at + u64::from(is_disabled)),
            is_disabled,
        })
    };
    (prop::collection::btree_map("[abc]", any_override(), 0..4), any_override())
        .prop_map(|(servers, service)| HandoverRecord { servers, service, ..HandoverRecord::default() })
}

proptest! {
    /// Both records hold the same overrides in the end, whichever process reads the other's first
    /// and however often.
    #[test]
    fn records_that_merge_each_other_agree(a in any_record(), b in any_record()) {
        let (mut first, mut second) = (a.clone(), b.clone());
        first.merge(&b);
        second.merge(&first);
        first.merge(&second);
        let mut first_again = first.clone();
        prop_assert_eq!(first_again.merge(&second), MergeOutcome::default());
        for id in a.servers.keys().chain(b.servers.keys()) {
            prop_assert_eq!(first.is_server_disabled(id), second.is_server_disabled(id));
        }
        prop_assert_eq!(first.service, second.service);
    }
}

/// Learned figures are usable for a minute and under the same settings only, and their number is
/// bounded, so that no file becomes too long.
#[test]
fn learned_figures_are_bounded_and_usable_for_a_minute_under_the_same_settings() {
    let servers = (0..5000).map(|i| (format!("s-{i:060}"), ServerStats::from([u64::MAX; 4]))).collect();
    let learned =
        LearnedServers { written_at: Timestamp::from_ticks(10_000), settings_digest: 7, servers }.bounded();
    let record = HandoverRecord { learned: learned.clone(), ..HandoverRecord::default() };
    assert!(record.encode().len() < MAX_FILE_BYTES / 2);
    assert_eq!(HandoverRecord::decode(&record.encode()).unwrap().learned, learned);
    let cases = [(7, 10_000), (7, 609_999), (7, 610_000), (7, 9_999), (8, 10_000)];
    let usable =
        cases.map(|(settings_digest, now)| learned.is_usable(settings_digest, Timestamp::from_ticks(now)));
    assert_eq!((learned.servers.len(), usable), (2000, [true, true, false, false, false]));
    let from_future = LearnedServers { written_at: Timestamp::from_ticks(u64::MAX), ..learned.clone() };
    assert!(!from_future.is_usable(7, Timestamp::from_ticks(10_000)));
    let long_id = LearnedServers { servers: [("x".repeat(65), ServerStats::default())].into(), ..learned };
    assert!(!long_id.bounded().is_usable(7, Timestamp::from_ticks(10_000)));
}
