//! The checks right before the first byte of an attempt: they detect what has changed since the
//! balancer decided to send it.

use crate::helper::Harness;
use chalkwalk_balancer::admission::{
    SendRefusal, UnsentAttempt, Violation, WrittenAttempt, may_close_idle_client, may_start_request,
};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus, RequestId};
use chalkwalk_time::{Span, Timestamp};

const REPLAYABLE: usize = 0;
const TAGGED: usize = 1;
const SINGLE_USE: usize = 2;

fn timestamp(ticks: u64) -> Timestamp {
    Timestamp::from_ticks(ticks)
}

fn unsent_attempt(request_id: RequestId, index: usize) -> UnsentAttempt {
    UnsentAttempt {
        request_id,
        index,
        server: 0,
        deadline: timestamp(20_000),
        answered: false,
        client_connected: true,
    }
}

/// A harness with one server, and a request that the balancer has decided to send there.
fn harness_with_started_attempt(class: usize) -> (Harness, RequestId) {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber"]);
    let request = harness.send(class, "k");
    (harness, request)
}

#[test]
fn a_started_attempt_may_be_sent() {
    let (harness, request) = harness_with_started_attempt(SINGLE_USE);
    assert_eq!(harness.balancer.may_send(&unsent_attempt(request, 0), timestamp(100)), Ok(()));
}

#[test]
fn no_attempt_is_sent_to_a_server_that_now_drains_or_is_disabled_by_operators() {
    let (mut harness, request) = harness_with_started_attempt(REPLAYABLE);
    harness.set_endpoints(&[("amber", 0, EndpointStatus::Draining, 0)]);
    assert_eq!(
        harness.balancer.may_send(&unsent_attempt(request, 0), timestamp(100)),
        Err(SendRefusal::ServerUnavailable)
    );
    let (mut harness, request) = harness_with_started_attempt(REPLAYABLE);
    harness.balancer.set_disabled("amber", true, timestamp(50));
    assert_eq!(
        harness.balancer.may_send(&unsent_attempt(request, 0), timestamp(100)),
        Err(SendRefusal::ServerUnavailable)
    );
    assert!(!harness.balancer.is_available(7), "a server index that no endpoint list has named");
}

#[test]
fn no_attempt_is_sent_after_its_deadline_or_for_a_finished_request() {
    let (mut harness, request) = harness_with_started_attempt(REPLAYABLE);
    let unsent = unsent_attempt(request, 0);
    assert_eq!(harness.balancer.may_send(&unsent, timestamp(19_999)), Ok(()));
    assert_eq!(harness.balancer.may_send(&unsent, timestamp(20_000)), Err(SendRefusal::TooLate));
    assert_eq!(
        harness.balancer.may_send(&UnsentAttempt { answered: true, ..unsent }, timestamp(100)),
        Err(SendRefusal::Answered)
    );
    assert_eq!(
        harness.balancer.may_send(&UnsentAttempt { client_connected: false, ..unsent }, timestamp(100)),
        Err(SendRefusal::ClientLeft)
    );
    harness.disconnect_client(request);
    assert_eq!(harness.balancer.may_send(&unsent, timestamp(100)), Err(SendRefusal::Answered));
}

/// For the replayable and the tagged class, the first attempt may have run before the second is
/// about to be written.
#[test]
fn a_repeat_is_sent_only_where_its_effect_cannot_occur_twice() {
    let results = [REPLAYABLE, TAGGED].map(|class| {
        let (mut harness, request) = harness_with_started_attempt(class);
        harness.set_ready_servers(&["amber", "birch"]);
        harness.end_attempt(request, 0, AttemptOutcome::ConnectionLost);
        // The deduplication window of the tagged class is half a second.
        [4_999, 5_000].map(|now| harness.balancer.may_send(&unsent_attempt(request, 1), timestamp(now)))
    });
    assert_eq!(results, [[Ok(()), Ok(())], [Ok(()), Err(SendRefusal::MayRunTwice)]]);
    // The only attempt that a single-use request may have is still in flight when a second is about
    // to be sent.
    let (harness, request) = harness_with_started_attempt(SINGLE_USE);
    assert_eq!(
        harness.balancer.may_send(&unsent_attempt(request, 1), timestamp(100)),
        Err(SendRefusal::MayRunTwice)
    );
}

#[test]
fn a_written_attempt_names_the_rule_that_it_violates() {
    let allowed = WrittenAttempt {
        written_at: timestamp(1000),
        allowed_at: timestamp(990),
        deadline: timestamp(1000),
        unavailable_since: Some(timestamp(500)),
        drain_grace_period: Span::from_ticks(500),
        client_connected: false,
    };
    assert_eq!(allowed.violation(), None);
    let violation_of = |written: WrittenAttempt| written.violation();
    assert_eq!(
        violation_of(WrittenAttempt { drain_grace_period: Span::from_ticks(499), ..allowed }),
        Some(Violation::SentAfterGrace)
    );
    assert_eq!(
        violation_of(WrittenAttempt { deadline: timestamp(999), ..allowed }),
        Some(Violation::SentTooLate)
    );
    let delayed = WrittenAttempt {
        written_at: timestamp(2001),
        allowed_at: timestamp(1000),
        deadline: timestamp(9000),
        unavailable_since: None,
        ..allowed
    };
    assert_eq!(violation_of(delayed), Some(Violation::SentAfterClientLeft));
    assert_eq!(violation_of(WrittenAttempt { client_connected: true, ..delayed }), None);
}

#[test]
fn a_connection_is_closed_for_others_unless_just_used_and_an_expired_request_is_not_started() {
    assert_eq!(
        [(false, 0), (true, 500), (true, 501)]
            .map(|(used, idle)| may_close_idle_client(used, Span::from_ticks(idle))),
        [true, false, true]
    );
    assert_eq!(may_start_request(timestamp(100), timestamp(200), None), Some(timestamp(200)));
    assert_eq!(may_start_request(timestamp(100), timestamp(200), Some(timestamp(150))), Some(timestamp(150)));
    assert_eq!(may_start_request(timestamp(100), timestamp(200), Some(timestamp(100))), None);
    assert_eq!(may_start_request(timestamp(200), timestamp(200), None), None);
}
