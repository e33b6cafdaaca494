//! What may have gone wrong between a decision and its first byte, and that it is seen there.

use crate::helper::Harness;
use chalkwalk_balancer::admission::{
    SendRefusal, UnsentAttempt, Violation, WrittenAttempt, may_close, may_start,
};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus, RequestId};
use chalkwalk_time::{Span, Timestamp};

const REPLAYABLE: usize = 0;
const TAGGED: usize = 1;
const SINGLE_USE: usize = 2;

fn at(ticks: u64) -> Timestamp {
    Timestamp::from_ticks(ticks)
}

fn attempt(request: RequestId, number: usize) -> UnsentAttempt {
    UnsentAttempt { request, number, server: 0, until: at(20_000), answered: false, client_connected: true }
}

/// One server, and a request whose attempt there was decided.
fn decided(class: usize) -> (Harness, RequestId) {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber"]);
    let request = harness.send(class, "k");
    (harness, request)
}

#[test]
fn an_attempt_that_was_decided_may_be_sent() {
    let (harness, request) = decided(SINGLE_USE);
    assert_eq!(harness.balancer.may_send(&attempt(request, 0), at(100)), Ok(()));
}

#[test]
fn nothing_is_sent_to_a_server_that_began_to_drain_meanwhile_or_that_operators_took_out() {
    let (mut harness, request) = decided(REPLAYABLE);
    harness.list(&[("amber", 0, EndpointStatus::Draining, 0)]);
    assert_eq!(harness.balancer.may_send(&attempt(request, 0), at(100)), Err(SendRefusal::ServerUnavailable));
    let (mut harness, request) = decided(REPLAYABLE);
    harness.balancer.set_disabled("amber", true, at(50));
    assert_eq!(harness.balancer.may_send(&attempt(request, 0), at(100)), Err(SendRefusal::ServerUnavailable));
    assert!(!harness.balancer.is_available(7), "a server that nobody has named");
}

#[test]
fn nothing_is_sent_late_or_for_a_request_that_is_over() {
    let (mut harness, request) = decided(REPLAYABLE);
    let this = attempt(request, 0);
    assert_eq!(harness.balancer.may_send(&this, at(19_999)), Ok(()));
    assert_eq!(harness.balancer.may_send(&this, at(20_000)), Err(SendRefusal::TooLate));
    assert_eq!(
        harness.balancer.may_send(&UnsentAttempt { answered: true, ..this }, at(100)),
        Err(SendRefusal::Answered)
    );
    assert_eq!(
        harness.balancer.may_send(&UnsentAttempt { client_connected: false, ..this }, at(100)),
        Err(SendRefusal::ClientLeft)
    );
    harness.client_leaves(request);
    assert_eq!(harness.balancer.may_send(&this, at(100)), Err(SendRefusal::Answered));
}

/// The same crossing for each effect: the first attempt may have run by the time at which the second is to be written.
#[test]
fn a_repeat_is_sent_only_where_its_effect_does_not_come_about_again() {
    let sent = [REPLAYABLE, TAGGED].map(|class| {
        let (mut harness, request) = decided(class);
        harness.ready(&["amber", "birch"]);
        harness.end(request, 0, AttemptOutcome::ConnectionLost);
        // The window of the tagged namespace is half a second.
        [4_999, 5_000].map(|now| harness.balancer.may_send(&attempt(request, 1), at(now)))
    });
    assert_eq!(sent, [[Ok(()), Ok(())], [Ok(()), Err(SendRefusal::MayRunTwice)]]);
    // What was decided as a single attempt is still in flight when a second is to be sent.
    let (harness, request) = decided(SINGLE_USE);
    assert_eq!(harness.balancer.may_send(&attempt(request, 1), at(100)), Err(SendRefusal::MayRunTwice));
}

#[test]
fn what_must_not_have_happened_by_a_write_is_named() {
    let good = WrittenAttempt {
        at: at(1000),
        allowed_at: at(990),
        until: at(1000),
        unavailable_since: Some(at(500)),
        grace: Span::from_ticks(500),
        client_connected: false,
    };
    assert_eq!(good.violation(), None);
    let found = |written: WrittenAttempt| written.violation();
    assert_eq!(
        found(WrittenAttempt { grace: Span::from_ticks(499), ..good }),
        Some(Violation::SentAfterGrace)
    );
    assert_eq!(found(WrittenAttempt { until: at(999), ..good }), Some(Violation::SentTooLate));
    let held_up = WrittenAttempt {
        at: at(2001),
        allowed_at: at(1000),
        until: at(9000),
        unavailable_since: None,
        ..good
    };
    assert_eq!(found(held_up), Some(Violation::SentAfterClientLeft));
    assert_eq!(found(WrittenAttempt { client_connected: true, ..held_up }), None);
}

#[test]
fn a_connection_is_closed_for_others_unless_it_was_just_used_and_a_late_request_is_not_started() {
    assert_eq!(
        [(false, 0), (true, 500), (true, 501)].map(|(used, idle)| may_close(used, Span::from_ticks(idle))),
        [true, false, true]
    );
    assert_eq!(may_start(at(100), at(200), None), Some(at(200)));
    assert_eq!(may_start(at(100), at(200), Some(at(150))), Some(at(150)));
    assert_eq!(may_start(at(100), at(200), Some(at(100))), None);
    assert_eq!(may_start(at(200), at(200), None), None);
}
