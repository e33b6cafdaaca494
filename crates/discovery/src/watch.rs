//! Keeps the endpoint list up to date. It continues from the last known list if there is one,
//! requests the full list otherwise, and watches for changes.

use crate::address::DiscoveryAddress;
use crate::call::{Call, CallError, CallResult, ReusableConnection};
use crate::caller::Caller;
use crate::timing;
use crate::watch_state::WatchState;
use chalkwalk_balancer::discovery::{OLDER_CALL_TIMEOUT, backoff_after_refusal, was_refused_at_once};
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_sockets::{with_deadline, with_timeout};
use chalkwalk_time::Span;
use fastrand::Rng;
use slog::{info, warn};
use smol::Timer;
use smol::future::{FutureExt, pending};
use std::rc::Rc;
use std::time::Duration;

/// Watches the list whenever the balancer requests it, until a call fails. The balancer is then
/// notified of the failure and requests the watch again.
///
/// `last_known` is the version of the list known at the start, from which the first call continues.
/// With `immediate`, this call does not wait for a change: a process that takes over from another
/// starts to serve once it knows that there is no change.
pub async fn watch_endpoint_list(
    engine: Rc<Engine>,
    address: Rc<DiscoveryAddress>,
    last_known: Option<u64>,
    immediate: bool,
) {
    let mut state = WatchState::new(last_known, immediate);
    let mut random = Rng::with_seed(engine.config.seed);
    // Without any list the proxy can't serve, so the first call does not wait until the balancer
    // requests the watch.
    let mut call_immediately = last_known.is_none();
    loop {
        if !call_immediately && wait_for_call_reason(&engine, &address).await == CallReason::AddressChanged {
            state.reset_for_new_address();
        }
        call_immediately = false;
        let failure = Watch::run(&engine, &address, &mut state, &mut random).await;
        engine.clear_watch_request();
        api::discovery_call_failed(&engine, failure.elapsed);
        let since_accepted = state.accepted_at.map(|at| at.elapsed().as_millis() as u64);
        warn!(engine.log, "discovery call failed";
            "call" => state.call_count, "fault" => failure.error, "took_ms" => failure.elapsed.as_millis(),
            "version" => state.list.version(), "unheard_ms" => since_accepted);
    }
}

/// Why a watch of the list is started.
#[derive(PartialEq)]
enum CallReason {
    Requested,
    AddressChanged,
}

async fn wait_for_call_reason(engine: &Engine, address: &DiscoveryAddress) -> CallReason {
    let requested = async {
        engine.wait_for_watch_request().await;
        CallReason::Requested
    };
    let address_changed = async {
        // If the address can't change any more, the call counts as requested.
        if address.wait_for_change().await { CallReason::AddressChanged } else { CallReason::Requested }
    };
    requested.or(address_changed).await
}

/// The failure of a call that ended the watch.
struct WatchFailure {
    error: String,
    elapsed: Span,
}

impl WatchFailure {
    fn from_call(call: &Call, error: String) -> WatchFailure {
        WatchFailure { error, elapsed: call.elapsed() }
    }
}

/// A call that is still waited for although a newer one was started in parallel.
struct OlderCall<'a> {
    call: Call<'a>,
    /// Whether the call went to the former address of the discovery service.
    former_address: bool,
}

/// What a watch reacts to.
enum WatchEvent {
    Response(CallResult),
    OlderResponse(CallResult),
    /// The current call has no response by the time at which it counts as silent.
    Silent,
    AddressChanged,
}

/// A sequence of calls to the discovery service.
///
/// The next call is made immediately after each response. The service continues a watch for 200 ms
/// after a response, and changes in this time count as notified: a proxy that paused between calls
/// would send requests to servers whose drain counts as notified. For the same reason, the first of
/// several consecutive unusable responses is also followed by a call, which requests the full list.
///
/// If a call is silent, a parallel call is started. The silent call is still waited for until the
/// new one has its response, because it may only be slow. If the address of the service changes,
/// the call to the former address is waited for in the same way, because changes that the service
/// was about to send there count as notified. The new address is called immediately, for the full
/// list.
struct Watch<'a> {
    caller: Caller<'a>,
    current: Call<'a>,
    older: Option<OlderCall<'a>>,
}

impl<'a> Watch<'a> {
    /// Watches the list until a call fails.
    async fn run(
        engine: &'a Rc<Engine>,
        address: &'a DiscoveryAddress,
        state: &'a mut WatchState,
        random: &'a mut Rng,
    ) -> WatchFailure {
        let connection = ReusableConnection::default();
        let mut caller = Caller { engine, address, connection: &connection, state, random };
        let current = caller.start();
        let mut watch = Watch { caller, current, older: None };
        loop {
            let handled = match watch.next_event().await {
                WatchEvent::Response(Ok(body)) => watch.on_response(&body).await,
                WatchEvent::Response(Err(error)) => watch.on_failure(error).await,
                WatchEvent::OlderResponse(result) => {
                    watch.on_older_response(result);
                    Ok(())
                }
                WatchEvent::Silent => {
                    watch.on_silent();
                    Ok(())
                }
                WatchEvent::AddressChanged => {
                    watch.on_address_change();
                    Ok(())
                }
            };
            if let Err(failure) = handled {
                return failure;
            }
        }
    }

    async fn next_event(&mut self) -> WatchEvent {
        let silent_at = self.current.silent_at();
        let address = self.caller.address;
        let older = &mut self.older;
        let response = async { WatchEvent::Response((&mut self.current.response).await) };
        let older_response = async {
            match older {
                Some(older) => WatchEvent::OlderResponse((&mut older.call.response).await),
                None => pending().await,
            }
        };
        let address_changed = async {
            match address.wait_for_change().await {
                true => WatchEvent::AddressChanged,
                false => pending().await,
            }
        };
        let silent = async {
            Timer::at(silent_at).await;
            WatchEvent::Silent
        };
        response.or(older_response).or(address_changed).or(silent).await
    }

    async fn on_response(&mut self, body: &[u8]) -> Result<(), WatchFailure> {
        match self.caller.state.accept(self.caller.engine, body) {
            Ok(()) => {
                self.older = None;
                self.current = self.caller.start();
                Ok(())
            }
            Err(error) => self.repeat_call(error.to_string()).await,
        }
    }

    async fn on_failure(&mut self, error: CallError) -> Result<(), WatchFailure> {
        if matches!(error, CallError::Truncated) {
            return self.repeat_call(error.to_string()).await;
        }
        // Only a report of overload proves that the service is still the one that sent the current
        // version. After any other error the full list is requested.
        let refused = matches!(error, CallError::Busy);
        self.caller.state.incremental &= refused;
        self.caller.state.record_failure(self.current.started_at, refused);
        if self.wait_for_older_response().await {
            self.current = self.caller.start();
            return Ok(());
        }
        match self.backoff_after_refusal(refused) {
            Some(backoff) => {
                self.repeat_refused_call(error, backoff).await;
                Ok(())
            }
            None => Err(WatchFailure::from_call(&self.current, error.to_string())),
        }
    }

    /// How long to wait before a call that was refused at once is repeated; `None` if the usual
    /// backoff applies. A list that is pushed comes from the process's own agent, whose calls are
    /// repeated sooner in any case.
    fn backoff_after_refusal(&mut self, refused: bool) -> Option<Span> {
        let may_miss_changes_since = self.caller.state.may_miss_changes_since?;
        if !refused
            || !was_refused_at_once(self.current.elapsed())
            || self.caller.engine.classes.is_list_pushed()
        {
            return None;
        }
        let random = &mut *self.caller.random;
        let random_below = |limit: Span| Span::from_ticks(random.u64(0..limit.ticks().max(1)));
        backoff_after_refusal(Span::from(may_miss_changes_since.elapsed()), random_below)
    }

    async fn repeat_refused_call(&mut self, error: CallError, backoff: Span) {
        warn!(self.caller.engine.log, "discovery call refused";
            "call" => self.current.number, "fault" => error.to_string(), "rest_ms" => backoff.as_millis());
        let address = self.caller.address;
        let address_changed = async {
            if !address.wait_for_change().await {
                pending::<()>().await;
            }
        };
        if with_timeout(Duration::from(backoff), address_changed).await.is_some() {
            self.caller.use_changed_address();
        }
        self.current = self.caller.start();
    }

    /// Waits for the response of the older call, which may still deliver what the newer call did
    /// not. Returns whether it was applied. If not, the backoff that follows is shorter by the time
    /// of this wait.
    async fn wait_for_older_response(&mut self) -> bool {
        let Some(OlderCall { call, former_address }) = self.older.take() else { return false };
        let deadline = self.current.started_at + Duration::from(OLDER_CALL_TIMEOUT);
        let Some(Ok(body)) = with_deadline(deadline, call.response).await else { return false };
        self.caller.state.accept_older(self.caller.engine, &body, former_address)
    }

    /// Requests the full list shortly after an unusable response. If the response was itself one to
    /// a request for the full list, or no incremental request has succeeded since an earlier
    /// unusable response, the watch fails instead.
    async fn repeat_call(&mut self, error: String) -> Result<(), WatchFailure> {
        self.older = None;
        let state = &mut *self.caller.state;
        state.record_failure(self.current.started_at, false);
        let may_repeat = state.incremental && !state.last_response_unusable;
        state.incremental = false;
        state.last_response_unusable = true;
        if !may_repeat {
            return Err(WatchFailure::from_call(&self.current, error));
        }
        warn!(self.caller.engine.log, "list answer ignored"; "call" => self.current.number, "fault" => error);
        Timer::after(timing::repeat_delay(self.caller.random)).await;
        self.current = self.caller.start();
        Ok(())
    }

    /// Applies the response of the older call. A failure of it is ignored, because the current call
    /// is still in progress.
    fn on_older_response(&mut self, result: CallResult) {
        let former_address = self.older.take().is_some_and(|older| older.former_address);
        if let Ok(body) = result {
            self.caller.state.accept_older(self.caller.engine, &body, former_address);
        }
    }

    fn on_silent(&mut self) {
        info!(self.caller.engine.log, "discovery call silent, another started";
            "call" => self.current.number);
        self.start_parallel_call(false);
    }

    fn on_address_change(&mut self) {
        self.caller.use_changed_address();
        self.start_parallel_call(true);
    }

    /// Starts another call; the current one becomes the older call. `former_address` states whether
    /// the address of the service has changed since the current one was started.
    fn start_parallel_call(&mut self, former_address: bool) {
        let new_call = self.caller.start();
        let call = std::mem::replace(&mut self.current, new_call);
        self.older = Some(OlderCall { call, former_address });
    }
}
