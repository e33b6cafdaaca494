//! The endpoint list, kept up to date: it starts from the list that was last known, then reads the
//! whole list and watches it.

use crate::address::DiscoveryAddress;
use crate::call::{Call, CallError, CallResult, ReusableConnection};
use crate::timing;
use crate::watch_state::{LastCall, WatchState};
use chalkwalk_balancer::admission::Violation;
use chalkwalk_balancer::discovery::{OLDER_CALL_TIMEOUT, call_interval_allowed};
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_sockets::wait_until;
use chalkwalk_time::Span;
use fastrand::Rng;
use slog::{info, warn};
use smol::Timer;
use smol::future::{FutureExt, pending};
use std::rc::Rc;
use std::time::Duration;

/// Watches whenever the balancer wants it to, until a call fails; the balancer is notified of that
/// and wants it again.
///
/// `last_known` is the version of the list that was known at the start, from which the first call
/// goes on. With `immediate` that call does not wait for a change: a process that takes over serves
/// once it knows that there is none.
pub async fn watch_endpoint_list(
    engine: Rc<Engine>,
    address: Rc<DiscoveryAddress>,
    last_known: Option<u64>,
    immediate: bool,
) {
    let mut state = WatchState::new(last_known, immediate);
    let mut random = Rng::with_seed(engine.config.seed);
    // Without any list there is nothing to serve from, nor to wait for.
    let mut call_at_once = last_known.is_none();
    loop {
        if !call_at_once && wait_for_reason(&engine, &address).await == Reason::Moved {
            state.move_elsewhere();
        }
        call_at_once = false;
        let lost = Watch::run(&engine, &address, &mut state, &mut random).await;
        engine.clear_watch_request();
        api::discovery_call_failed(&engine, lost.took);
        let since_accepted = state.accepted_at.map(|at| at.elapsed().as_millis() as u64);
        warn!(engine.log, "discovery call failed";
            "call" => state.calls, "fault" => lost.error, "took_ms" => lost.took.as_millis(),
            "version" => state.list.version(), "unheard_ms" => since_accepted);
    }
}

/// Why the list is called for.
#[derive(PartialEq)]
enum Reason {
    Requested,
    Moved,
}

async fn wait_for_reason(engine: &Engine, address: &DiscoveryAddress) -> Reason {
    let requested = async {
        engine.watch_requested().await;
        Reason::Requested
    };
    let moved = async {
        // Where nobody can move it any more, the list is called for as if it were requested.
        if address.wait_for_move().await { Reason::Moved } else { Reason::Requested }
    };
    requested.or(moved).await
}

/// Why calls are not made one after the other any more.
struct LostDiscovery {
    error: String,
    took: Span,
}

impl LostDiscovery {
    fn by(call: &Call, error: String) -> LostDiscovery {
        LostDiscovery { error, took: call.took() }
    }
}

/// Makes the calls of one watch.
struct Caller<'a> {
    engine: &'a Rc<Engine>,
    address: &'a DiscoveryAddress,
    connection: &'a ReusableConnection,
    state: &'a mut WatchState,
    random: &'a mut Rng,
}

impl<'a> Caller<'a> {
    /// Makes the next call, and counts it as a violation where that is later than the term for
    /// changes allows.
    fn begin(&mut self) -> Call<'a> {
        self.state.calls += 1;
        let request = self.state.next_request(self.random);
        let call = Call::begin(self.address, self.connection, self.state.calls, request);
        let last = self.state.last_call.replace(LastCall { begun: call.begun, wait: call.wait });
        let in_time = last.is_none_or(|last| {
            call_interval_allowed(Span::from(call.begun - last.begun), Span::from(last.wait))
        });
        self.engine.violations.check(&self.engine.log, (!in_time).then_some(Violation::DiscoveryNotCalled));
        call
    }
}

/// A call beside which another was made, still waited for.
struct OlderCall<'a> {
    call: Call<'a>,
    /// It went to the address where discovery was before.
    former_address: bool,
}

enum Event {
    Answer(CallResult),
    OlderAnswer(CallResult),
    Silent,
    Moved,
}

/// Calls made one after the other.
///
/// The next call is made at once after each answer. A watch goes on for 200 ms after an answer, and
/// changes in that time count as notified: a proxy that paused would send to servers that it was
/// notified are draining. So it is after an answer that can't be used as well, once in a row: then
/// the whole list is requested.
///
/// A call that seems silent is made anew, and waited for until the new one is answered: it may have
/// been slow. So is the one to the former address where discovery has moved: what was about to be
/// written there counts as notified. A list that has moved is requested whole, and at once.
struct Watch<'a> {
    caller: Caller<'a>,
    current: Call<'a>,
    older: Option<OlderCall<'a>>,
}

impl<'a> Watch<'a> {
    /// Watches until a call fails.
    async fn run(
        engine: &'a Rc<Engine>,
        address: &'a DiscoveryAddress,
        state: &'a mut WatchState,
        random: &'a mut Rng,
    ) -> LostDiscovery {
        let connection = ReusableConnection::default();
        let mut caller = Caller { engine, address, connection: &connection, state, random };
        let current = caller.begin();
        let mut watch = Watch { caller, current, older: None };
        loop {
            let handled = match watch.next_event().await {
                Event::Answer(Ok(body)) => watch.answered(&body).await,
                Event::Answer(Err(error)) => watch.failed(error).await,
                Event::OlderAnswer(result) => {
                    watch.older_answered(result);
                    Ok(())
                }
                Event::Silent => {
                    watch.silent();
                    Ok(())
                }
                Event::Moved => {
                    watch.moved();
                    Ok(())
                }
            };
            if let Err(lost) = handled {
                return lost;
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let silent_at = self.current.silent_at();
        let address = self.caller.address;
        let older = &mut self.older;
        let answer = async { Event::Answer((&mut self.current.answer).await) };
        let older_answer = async {
            match older {
                Some(older) => Event::OlderAnswer((&mut older.call.answer).await),
                None => pending().await,
            }
        };
        let moved = async {
            match address.wait_for_move().await {
                true => Event::Moved,
                false => pending().await,
            }
        };
        let silent = async {
            Timer::at(silent_at).await;
            Event::Silent
        };
        answer.or(older_answer).or(moved).or(silent).await
    }

    async fn answered(&mut self, body: &[u8]) -> Result<(), LostDiscovery> {
        match self.caller.state.accept(self.caller.engine, body) {
            Ok(()) => {
                self.older = None;
                self.current = self.caller.begin();
                Ok(())
            }
            Err(error) => self.repeat(error.to_string()).await,
        }
    }

    async fn failed(&mut self, error: CallError) -> Result<(), LostDiscovery> {
        if matches!(error, CallError::CutShort) {
            return self.repeat(error.to_string()).await;
        }
        // Only a service that has too much to do is surely the one that notified this version;
        // after any other error the whole list is requested.
        self.caller.state.incremental &= matches!(error, CallError::Busy);
        if self.older_answers_instead().await {
            self.current = self.caller.begin();
            return Ok(());
        }
        Err(LostDiscovery::by(&self.current, error.to_string()))
    }

    /// The older call may still bring what the newer did not; the backoff after it is that much
    /// shorter.
    async fn older_answers_instead(&mut self) -> bool {
        let Some(OlderCall { call, former_address }) = self.older.take() else { return false };
        let until = self.current.begun + Duration::from(OLDER_CALL_TIMEOUT);
        let Some(Ok(body)) = wait_until(until, call.answer).await else { return false };
        self.caller.state.accept_older(self.caller.engine, &body, former_address)
    }

    /// Calls for the whole list soon after an answer that can't be used, unless the one before
    /// could not be used either.
    async fn repeat(&mut self, error: String) -> Result<(), LostDiscovery> {
        self.older = None;
        let state = &mut *self.caller.state;
        let repeats = state.incremental && !state.last_answer_unusable;
        state.incremental = false;
        state.last_answer_unusable = true;
        if !repeats {
            return Err(LostDiscovery::by(&self.current, error));
        }
        warn!(self.caller.engine.log, "list answer ignored"; "call" => self.current.number, "fault" => error);
        Timer::after(timing::repeat_delay(self.caller.random)).await;
        self.current = self.caller.begin();
        Ok(())
    }

    /// Where the older call failed, the current one is still there.
    fn older_answered(&mut self, result: CallResult) {
        let former_address = self.older.take().is_some_and(|older| older.former_address);
        if let Ok(body) = result {
            self.caller.state.accept_older(self.caller.engine, &body, former_address);
        }
    }

    fn silent(&mut self) {
        info!(self.caller.engine.log, "discovery call silent, another started"; "call" => self.current.number);
        self.call_beside(false);
    }

    fn moved(&mut self) {
        info!(self.caller.engine.log, "discovery moved"; "address" => %self.caller.address.address());
        self.caller.state.move_elsewhere();
        self.caller.connection.take();
        self.call_beside(true);
    }

    /// Makes another call; the current one is the older from now on.
    fn call_beside(&mut self, former_address: bool) {
        let next = self.caller.begin();
        let call = std::mem::replace(&mut self.current, next);
        self.older = Some(OlderCall { call, former_address });
    }
}
