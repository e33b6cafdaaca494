//! The state that a proxy keeps between its calls to the discovery service. It decides what to
//! request next, and which parts of a response are applied.

use crate::call::ListRequest;
use crate::list::{ListResponse, ListResponseError};
use crate::list_state::ListState;
use crate::timing;
use chalkwalk_engine::engine::Engine;
use fastrand::Rng;
use slog::warn;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The state after the calls made so far.
pub(crate) struct WatchState {
    pub list: ListState,
    /// Whether the list is known to be complete at its version, so that only later changes have to
    /// be requested. A full list costs the service several times as much, and after an outage all
    /// proxies call at once.
    pub incremental: bool,
    /// Whether the service responds to the next call immediately, even if nothing changed.
    immediate: bool,
    /// Whether a response was unusable and no incremental request has succeeded since.
    pub last_response_unusable: bool,
    /// The number of calls made so far, which numbers the calls in the log.
    pub call_count: u64,
    pub last_call: Option<LastCall>,
    /// When a response was last accepted.
    pub accepted_at: Option<Instant>,
    /// Since when changes may be missed: the beginning of the last failed call, or of the first one
    /// in a row that the service refused as it has too many callers. `None` while calls succeed.
    pub may_miss_changes_since: Option<Instant>,
}

/// The call that was started last.
#[derive(Clone, Copy)]
pub(crate) struct LastCall {
    pub started_at: Instant,
    /// How long the call could wait for a change.
    pub wait: Duration,
}

impl WatchState {
    /// Creates the state. `last_known` is the version of the list known at the start, if there is
    /// one. With `immediate`, no call waits for a change until a response has been accepted.
    pub fn new(last_known: Option<u64>, immediate: bool) -> WatchState {
        WatchState {
            list: ListState::new(last_known.unwrap_or(0)),
            incremental: last_known.is_some(),
            immediate,
            last_response_unusable: false,
            call_count: 0,
            last_call: None,
            accepted_at: None,
            may_miss_changes_since: None,
        }
    }

    /// Records that a call failed. `refused` states whether the service refused it because it has
    /// too many callers.
    pub fn record_failure(&mut self, call_started_at: Instant, refused: bool) {
        match refused {
            true => _ = self.may_miss_changes_since.get_or_insert(call_started_at),
            false => self.may_miss_changes_since = Some(call_started_at),
        }
    }

    /// Records that the address of the discovery service changed, so the full list is requested
    /// next.
    pub fn reset_for_new_address(&mut self) {
        self.incremental = false;
        self.list.reset_for_new_address();
    }

    /// Returns the request of the next call: for the changes since the current version, or for the
    /// full list.
    pub fn next_request(&self, random: &mut Rng) -> ListRequest {
        // The wait is drawn for a full list too: the order of random draws must stay reproducible
        // for a given seed.
        let wait = if self.immediate { Duration::ZERO } else { timing::watch_wait(random) };
        if self.incremental {
            let (index, wait_ms) = (self.list.version(), wait.as_millis());
            ListRequest { target: format!("/discovery/hosts?index={index}&wait={wait_ms}"), wait }
        } else {
            ListRequest { target: "/discovery/hosts".to_string(), wait: Duration::ZERO }
        }
    }

    /// Applies a response. If it is outdated, only its draining and gone servers are applied.
    pub fn accept(&mut self, engine: &Rc<Engine>, body: &[u8]) -> Result<(), ListResponseError> {
        let response = ListResponse::parse(body)?;
        let version = response.version()?;
        let current = self.list.version();
        if self.list.is_outdated(version) {
            response.apply_unavailable(engine)?;
            return Err(ListResponseError::Outdated { version, current });
        }
        let now = engine.clock.now();
        response.apply(engine, self.list.is_untrusted(version, now))?;
        engine.record_list_received();
        self.list.accept(version, now);
        // A full list does not reset the flag after an unusable response; only the response to an
        // incremental request does.
        self.last_response_unusable &= !self.incremental;
        self.incremental = true;
        self.immediate = false;
        self.accepted_at = Some(Instant::now());
        self.may_miss_changes_since = None;
        Ok(())
    }

    /// Applies the response to a call that a newer call was started in parallel to. Returns whether
    /// all of it was applied. The service at the former address may have another history, so only
    /// draining and gone servers are applied from its response.
    pub fn accept_older(&mut self, engine: &Rc<Engine>, body: &[u8], former_address: bool) -> bool {
        let applied = if former_address {
            ListResponse::parse(body).and_then(|response| Ok(response.apply_unavailable(engine)?))
        } else {
            self.accept(engine, body)
        };
        if let Err(error) = &applied {
            warn!(engine.log, "list answer ignored"; "fault" => %error);
        }
        applied.is_ok() && !former_address
    }
}
