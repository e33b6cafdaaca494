//! The operators' calls: a server disabled or enabled, the proxy taken out of service or put back, and whether it is ready.
//!
//! An override is in force at once, whatever the disk does: it is due within a second. It is withdrawn if it can't be written,
//! as the next process would not know of it.

use super::{MAX_WAIT_FOR_WRITE, Operators, Persisted};
use chalkwalk_admin::{ControlFuture, ControlOutcome, ProxyControl};
use chalkwalk_engine::api;
use chalkwalk_handover::OperatorOverride;
use chalkwalk_sockets::within;
use slog::info;
use std::rc::Rc;

impl Operators {
    async fn override_server(self: Rc<Self>, id: String, out: bool) -> ControlOutcome {
        if !self.engine.requests.borrow().knows_server(&id) {
            return ControlOutcome::UnknownServer;
        }
        if self.state.borrow().own.is_server_out(&id) == out {
            return ControlOutcome::Done;
        }
        let before = self.state.borrow().own.servers.get(&id).copied();
        self.state.borrow_mut().own.set_server_out(&id, out, self.engine.clock.now());
        let new = self.state.borrow().own.server_override(&id);
        api::set_server_disabled(&self.engine, &id, out, new.at);
        if self.write_in_time().await == Persisted::Failed {
            self.withdraw_server_override(&id, new, before);
            return ControlOutcome::NotPersisted;
        }
        let event = if out { "server disabled by operator" } else { "server enabled by operator" };
        info!(self.engine.log, "{}", event; "cache" => id);
        ControlOutcome::Done
    }

    /// Puts the override of before back, unless there is a later one by now. A server that was never disabled gets no override,
    /// and so no slow start.
    fn withdraw_server_override(
        &self,
        id: &str,
        withdrawn: OperatorOverride,
        before: Option<OperatorOverride>,
    ) {
        if self.state.borrow().own.server_override(id) != withdrawn {
            return;
        }
        let own = &mut self.state.borrow_mut().own;
        match before {
            Some(before) => own.servers.insert(id.to_string(), before),
            None => own.servers.remove(id),
        };
        api::set_server_disabled(&self.engine, id, !withdrawn.out, before.unwrap_or_default().at);
    }

    async fn override_service(self: Rc<Self>, out: bool) -> ControlOutcome {
        let before = self.state.borrow().own.service;
        if before.out == out {
            return ControlOutcome::Done;
        }
        self.state.borrow_mut().own.set_service_out(out, self.engine.clock.now());
        let new = self.state.borrow().own.service;
        self.apply_service_override(new);
        if self.write_in_time().await == Persisted::Failed {
            if self.state.borrow().own.service == new {
                self.state.borrow_mut().own.service = before;
                self.apply_service_override(before);
            }
            return ControlOutcome::NotPersisted;
        }
        info!(self.engine.log, "{}", if out { "out of service" } else { "in service" });
        ControlOutcome::Done
    }

    fn apply_service_override(&self, service: OperatorOverride) {
        self.engine.lifecycle.set_out_of_service(service.out.then_some(service.at));
    }

    /// The old process is signalled to end as soon as this one answers that it is ready, and has to know then which process
    /// takes over: so the record has to be written first.
    async fn is_ready(self: Rc<Self>) -> ControlOutcome {
        let shared = async {
            self.share_readiness().await;
            _ = self.writing.lock().await;
        };
        let is_shared = within(MAX_WAIT_FOR_WRITE, shared).await.is_some();
        if is_shared && self.engine.lifecycle.is_serving() {
            ControlOutcome::Done
        } else {
            ControlOutcome::NotReady
        }
    }
}

impl ProxyControl for Operators {
    fn check_ready(self: Rc<Self>) -> ControlFuture {
        Box::pin(self.is_ready())
    }

    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture {
        Box::pin(self.override_server(id, disabled))
    }

    fn set_out_of_service(self: Rc<Self>, out: bool) -> ControlFuture {
        Box::pin(self.override_service(out))
    }
}
