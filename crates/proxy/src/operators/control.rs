//! The operators' calls: disable or enable a server, take the proxy out of service or put it back,
//! and check whether this process is ready.
//!
//! An override takes effect immediately, without waiting for the disk, because it has to be in
//! force within a second. It is reverted if it can't be written, because the next process would not
//! know of it.

use super::{MAX_WAIT_FOR_WRITE, Operators, WriteOutcome};
use chalkwalk_admin::{ControlFuture, ControlOutcome, ProxyControl};
use chalkwalk_engine::api;
use chalkwalk_handover::OperatorOverride;
use chalkwalk_sockets::with_timeout;
use slog::info;
use std::rc::Rc;

impl Operators {
    async fn override_server(self: Rc<Self>, id: String, is_disabled: bool) -> ControlOutcome {
        if !self.engine.requests.borrow().is_known_server(&id) {
            return ControlOutcome::UnknownServer;
        }
        if self.state.borrow().own_record.is_server_disabled(&id) == is_disabled {
            return ControlOutcome::Done;
        }
        let previous = self.state.borrow().own_record.servers.get(&id).copied();
        self.state.borrow_mut().own_record.set_server_disabled(&id, is_disabled, self.engine.clock.now());
        let new = self.state.borrow().own_record.server_override(&id);
        api::set_server_disabled(&self.engine, &id, is_disabled, new.decided_at);
        if self.write_with_timeout().await == WriteOutcome::Failed {
            self.revert_server_override(&id, new, previous);
            return ControlOutcome::NotPersisted;
        }
        let event = if is_disabled { "server disabled by operator" } else { "server enabled by operator" };
        info!(self.engine.log, "{}", event; "cache" => id);
        ControlOutcome::Done
    }

    /// Restores the previous override, unless a later one has replaced the reverted one. If there
    /// was none, the server is left without an override, and therefore gets no slow start.
    fn revert_server_override(
        &self,
        id: &str,
        reverted: OperatorOverride,
        previous: Option<OperatorOverride>,
    ) {
        if self.state.borrow().own_record.server_override(id) != reverted {
            return;
        }
        let own_record = &mut self.state.borrow_mut().own_record;
        match previous {
            Some(previous) => own_record.servers.insert(id.to_string(), previous),
            None => own_record.servers.remove(id),
        };
        api::set_server_disabled(
            &self.engine,
            id,
            !reverted.is_disabled,
            previous.unwrap_or_default().decided_at,
        );
    }

    async fn override_service(self: Rc<Self>, is_disabled: bool) -> ControlOutcome {
        let previous = self.state.borrow().own_record.service;
        if previous.is_disabled == is_disabled {
            return ControlOutcome::Done;
        }
        self.state.borrow_mut().own_record.set_service_disabled(is_disabled, self.engine.clock.now());
        let new = self.state.borrow().own_record.service;
        self.apply_service_override(new);
        if self.write_with_timeout().await == WriteOutcome::Failed {
            if self.state.borrow().own_record.service == new {
                self.state.borrow_mut().own_record.service = previous;
                self.apply_service_override(previous);
            }
            return ControlOutcome::NotPersisted;
        }
        info!(self.engine.log, "{}", if is_disabled { "out of service" } else { "in service" });
        ControlOutcome::Done
    }

    fn apply_service_override(&self, service: OperatorOverride) {
        self.engine.lifecycle.set_out_of_service(service.is_disabled.then_some(service.decided_at));
    }

    /// Reports readiness only after the record has been written. The old process is signalled to
    /// end as soon as this process reports that it is ready, and has to know by then which process
    /// takes over.
    async fn is_ready(self: Rc<Self>) -> ControlOutcome {
        let write_readiness = async {
            self.share_readiness().await;
            _ = self.write_lock.lock().await;
        };
        let readiness_written = with_timeout(MAX_WAIT_FOR_WRITE, write_readiness).await.is_some();
        if readiness_written && self.engine.lifecycle.is_serving() {
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

    fn set_out_of_service(self: Rc<Self>, out_of_service: bool) -> ControlFuture {
        Box::pin(self.override_service(out_of_service))
    }
}
