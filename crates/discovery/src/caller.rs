//! Starts the calls of a watch, and checks that they follow each other closely enough.

use crate::address::DiscoveryAddress;
use crate::call::{Call, ReusableConnection};
use crate::watch_state::{LastCall, WatchState};
use chalkwalk_balancer::admission::Violation;
use chalkwalk_balancer::discovery::call_interval_allowed;
use chalkwalk_engine::engine::Engine;
use chalkwalk_time::Span;
use fastrand::Rng;
use slog::info;
use std::rc::Rc;

/// Makes the calls of one watch.
pub(crate) struct Caller<'a> {
    pub engine: &'a Rc<Engine>,
    pub address: &'a DiscoveryAddress,
    pub connection: &'a ReusableConnection,
    pub state: &'a mut WatchState,
    pub random: &'a mut Rng,
}

impl<'a> Caller<'a> {
    /// Starts the next call. A call that starts later than the notification deadline allows is
    /// counted as a violation.
    pub fn start(&mut self) -> Call<'a> {
        self.state.call_count += 1;
        let request = self.state.next_request(self.random);
        let call = Call::start(self.address, self.connection, self.state.call_count, request);
        let last_call =
            self.state.last_call.replace(LastCall { started_at: call.started_at, wait: call.wait });
        let in_time = last_call.is_none_or(|last_call| {
            call_interval_allowed(
                Span::from(call.started_at - last_call.started_at),
                Span::from(last_call.wait),
            )
        });
        self.engine.violations.check(&self.engine.log, (!in_time).then_some(Violation::DiscoveryNotCalled));
        call
    }

    /// Prepares the next call for the address to which the service has moved.
    pub fn use_changed_address(&mut self) {
        info!(self.engine.log, "discovery moved"; "address" => %self.address.address());
        self.state.reset_for_new_address();
        self.connection.take();
    }
}
