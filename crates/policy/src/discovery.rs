//! When discovery is called, and how soon again after a call that brought nothing. Pure: times and chance are passed in.
//!
//! Every source of the server list keeps one term: a change counts as notified [`NOTIFIED_WITHIN`] after discovery had it and
//! could be reached, whatever calls failed, were refused or were given up before. The parts below add up to that term:
//!
//! | part | at most |
//! | --- | --- |
//! | a call that was doomed before discovery could be reached, until it has failed or another is made beside it | [`GIVE_UP_CONNECTING`], [`SILENT_AFTER`] |
//! | the rest after it, by whether it failed at once or was waited for | [`Retry`] |
//! | the next call's turn at the service | [`TURN`] |
//!
//! So calls begin [`CALLS_APART`] at most, whatever becomes of them; that is checked at run time.
//!
//! A rest is as evenly spread as the term allows, not as short as it could be: all processes of a fleet lose discovery
//! together, and meet it again together. Spread over 3 s, with 2 s in which each may wait for its turn, a service that answers
//! the whole fleet once in 5 s refuses none of them.

use crate::plain::Tenths;

const SECOND: Tenths = 10_000;

/// A change counts as notified at the latest so long after discovery had it and could be reached.
pub const NOTIFIED_WITHIN: Tenths = 6 * SECOND;
/// How long the service lets a call wait for its turn.
pub const TURN: Tenths = 2 * SECOND;
/// A connection that does not come up is given up after so long. The first SYN is sent again after 1 s.
pub const GIVE_UP_CONNECTING: Tenths = 2 * SECOND;
/// A call for the present list that has no answer is followed by another beside it: a second beyond its turn, so that no call
/// is made twice to a service that merely has much to do.
pub const SILENT_AFTER: Tenths = TURN + SECOND;

/// How long a watch may wait for news, at the most.
pub const WATCH: Tenths = 3 * SECOND + SECOND / 2;
/// So long after its wait a watch without an answer is taken for silent, and another is made beside it.
pub const WATCH_SILENT_AFTER: Tenths = SECOND / 2;
/// From the beginning of one call to that of the next, at the most: what a doomed one missed is told by the next, at the end of
/// its turn at the latest.
pub const CALLS_APART: Tenths = NOTIFIED_WITHIN - TURN;

/// No failing call is repeated sooner, or calls that fail at once would spin.
const SHORTEST_REST: Tenths = SECOND / 4;
/// After a call that failed at once: the doomed call took no time, so the rest may take what the term has left beside a turn.
const REST_AFTER_FAILURE: Tenths = 3 * SECOND + SECOND / 4;
/// After a call that was waited for: that took up to two seconds of the term. No shorter than a second, as a service that works
/// on calls which it has refused by then has to get through a whole fleet's calls from one call of a process to its next.
const REST_AFTER_WAITING: (Tenths, Tenths) = (SECOND, SECOND + SECOND * 3 / 4);
/// So many calls in a row that failed after waiting, over a minute of nothing else, are taken for a service that the fleet itself
/// keeps from working.
const CONGESTED_AFTER: u32 = 20;
/// The rest then. It exceeds the term, and is the one exception: a fleet that keeps to the term would go on keeping the service
/// from answering anybody. Eight seconds in the mean, so that a queue of five seconds runs dry first.
const REST_WHILE_CONGESTED: (Tenths, Tenths) = (4 * SECOND, 12 * SECOND);
/// For starved cores, the transfer and reading a long list.
const HEADROOM: Tenths = SECOND / 4;

// The term, part by part. A call made beside a silent one needs no rest.
const _: () = assert!(REST_AFTER_FAILURE + HEADROOM <= CALLS_APART);
const _: () = assert!(GIVE_UP_CONNECTING + REST_AFTER_WAITING.1 + HEADROOM <= CALLS_APART);
const _: () = assert!(SILENT_AFTER + HEADROOM <= CALLS_APART);
const _: () = assert!(WATCH + WATCH_SILENT_AFTER <= CALLS_APART);

/// Whether a call that begins so long after the one before keeps the term. The grace of drains covers the headroom.
pub fn called_in_time(apart: Tenths) -> bool {
    apart <= CALLS_APART + HEADROOM
}

/// How a call ended that brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedCall {
    /// Refused, reset or answered with an error in the moment it was made, or a watch that ended while it waited for news.
    AtOnce,
    /// Refused or given up after it had been waited for.
    AfterWaiting,
}

impl FailedCall {
    /// A call that was allowed to wait for news for `wait`, and failed after `took`.
    pub fn after(took: Tenths, wait: Tenths) -> FailedCall {
        // Nobody is kept longer than a turn before the call is looked at: what ends later, within its wait, was a watch.
        let was_watching = took > TURN + SECOND / 2 && took < wait;
        // Half of a turn, and well above what a call takes on a busy machine.
        if took >= SECOND && !was_watching { FailedCall::AfterWaiting } else { FailedCall::AtOnce }
    }
}

/// The rests after failed calls, as the settings of a deployment bound them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Retry {
    /// After a call that failed at once.
    shortest: Tenths,
    longest: Tenths,
    /// After any.
    most: Tenths,
}

impl Retry {
    /// Where the list is asked for. `ask_time`: for so long a process may neither watch nor ask.
    pub fn asked(ask_time: Tenths) -> Retry {
        Retry { shortest: SHORTEST_REST, longest: REST_AFTER_FAILURE, most: ask_time.max(2 * SHORTEST_REST) }
    }

    /// Where the list is pushed by an agent of the process's own: what it has counts as notified at once, and only the grace
    /// runs. A quarter of it leaves time for further tries; nobody shares the agent.
    pub fn pushed(grace: Tenths) -> Retry {
        let longest = (grace / 4).clamp(SECOND / 20, REST_AFTER_FAILURE);
        Retry { shortest: longest / 4, longest, most: longest }
    }

    /// How long to rest before the next call, after so many calls in a row that brought nothing; `below` draws an even number
    /// below another.
    pub fn rest(&self, failed: FailedCall, in_a_row: u32, below: impl FnOnce(Tenths) -> Tenths) -> Tenths {
        let (shortest, longest) = match failed {
            FailedCall::AtOnce => (self.shortest, self.longest),
            FailedCall::AfterWaiting if in_a_row > CONGESTED_AFTER => REST_WHILE_CONGESTED,
            FailedCall::AfterWaiting => REST_AFTER_WAITING,
        };
        let longest = longest.min(self.most);
        let shortest = shortest.min(longest / 2);
        shortest + below((longest - shortest).max(1))
    }
}
