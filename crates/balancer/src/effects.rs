//! The actions that a balancer asks for, each called at the moment of the decision. This module
//! makes no decisions.

use crate::types::{RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

/// The interface through which a balancer acts. An implementation must not call back into the
/// balancer.
pub trait Effects {
    /// Sends the request to a server. The attempt times out at `deadline`, and is not written at
    /// all if that would be later than `send_by`.
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        send_by: Timestamp,
    );
    /// Cancels an attempt, given its index among those of the request.
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize);
    /// Answers the client that the request was not served and may be retried after `retry_after`.
    /// If that is zero, the answer states no time.
    fn reject(&mut self, request_id: RequestId, retry_after: Span);
    /// Answers the client that the request failed and may have run.
    fn fail(&mut self, request_id: RequestId);
    /// Checks the health of an ejected server; `Balancer::health_check_finished` takes the result.
    fn check_health(&mut self, server: ServerIndex);
    /// Calls `Balancer::timer_fired` with the token after the given time.
    fn set_timer(&mut self, token: u64, after: Span);
    /// Calls discovery for the endpoint list, and keeps watching it.
    fn watch_endpoints(&mut self);
    /// Reports a change of state, for the log.
    fn report(&mut self, change: StateChange);
}

/// A change of state that operators are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange<'a> {
    /// A call to discovery failed while no earlier failure was counted.
    DiscoveryLost,
    /// A call to discovery was answered while earlier failures were still counted.
    DiscoveryRecovered,
    /// A server failed too often, and gets no attempts until it is readmitted.
    ServerEjected {
        /// The id of the server in the list.
        server: &'a str,
    },
    /// An ejected server passed its health check, or its ejection is over. It gets one attempt at a
    /// time until it has answered two.
    ServerReadmitted {
        /// The id of the server in the list.
        server: &'a str,
    },
}

impl<'a> StateChange<'a> {
    /// The change's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            StateChange::DiscoveryLost => "discovery lost",
            StateChange::DiscoveryRecovered => "discovery recovered",
            StateChange::ServerEjected { .. } => "server ejected",
            StateChange::ServerReadmitted { .. } => "server readmitted",
        }
    }

    /// The change's name in captures and in the simulator protocol. It is stored data and never
    /// changes.
    pub fn stored_name(self) -> &'static str {
        match self {
            StateChange::DiscoveryLost => "discovery lost",
            StateChange::DiscoveryRecovered => "discovery reached again",
            StateChange::ServerEjected { .. } => "cache left",
            StateChange::ServerReadmitted { .. } => "cache tried again",
        }
    }

    /// The id of the server that changed, if the change is about one.
    pub fn server(self) -> Option<&'a str> {
        match self {
            StateChange::DiscoveryLost | StateChange::DiscoveryRecovered => None,
            StateChange::ServerEjected { server } | StateChange::ServerReadmitted { server } => Some(server),
        }
    }
}
