//! What a proxy knows from its calls to discovery so far: what to request next, and how far an
//! answer is applied.

use crate::call::ListRequest;
use crate::list::{AnswerError, ListAnswer};
use crate::list_state::ListState;
use crate::timing;
use chalkwalk_engine::engine::Engine;
use fastrand::Rng;
use slog::warn;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What is known from the calls so far.
pub(crate) struct WatchState {
    pub list: ListState,
    /// The list is as it was notified at its version, and only what changed since is requested: a
    /// whole list costs the service several times as much, and after an outage all proxies call at
    /// once.
    pub incremental: bool,
    /// The next call is answered at once, though nothing is newer.
    immediate: bool,
    /// The last answer could not be used.
    pub last_answer_unusable: bool,
    /// Calls so far; each has its number in the log.
    pub calls: u64,
    pub last_call: Option<LastCall>,
    /// When an answer was last accepted.
    pub accepted_at: Option<Instant>,
}

#[derive(Clone, Copy)]
pub(crate) struct LastCall {
    pub begun: Instant,
    /// How long it could wait for a change.
    pub wait: Duration,
}

impl WatchState {
    pub fn new(last_known: Option<u64>, immediate: bool) -> WatchState {
        WatchState {
            list: ListState::new(last_known.unwrap_or(0)),
            incremental: last_known.is_some(),
            immediate,
            last_answer_unusable: false,
            calls: 0,
            last_call: None,
            accepted_at: None,
        }
    }

    /// The list is elsewhere from now on, where all of it is requested.
    pub fn move_elsewhere(&mut self) {
        self.incremental = false;
        self.list.move_elsewhere();
    }

    pub fn next_request(&self, random: &mut Rng) -> ListRequest {
        // Drawn for a whole list as well: the order of draws is part of what a seed stands for.
        let wait = if self.immediate { Duration::ZERO } else { timing::watch_wait(random) };
        if self.incremental {
            let (index, wait_ms) = (self.list.version(), wait.as_millis());
            ListRequest { target: format!("/discovery/hosts?index={index}&wait={wait_ms}"), wait }
        } else {
            ListRequest { target: "/discovery/hosts".to_string(), wait: Duration::ZERO }
        }
    }

    /// Applies an answer, unless it is outdated.
    pub fn accept(&mut self, engine: &Rc<Engine>, body: &[u8]) -> Result<(), AnswerError> {
        let answer = ListAnswer::parse(body)?;
        let version = answer.version()?;
        let present = self.list.version();
        if self.list.is_outdated(version) {
            answer.apply_unavailable(engine)?;
            return Err(AnswerError::Outdated { version, present });
        }
        let now = engine.clock.now();
        answer.apply(engine, self.list.is_doubted(version, now))?;
        engine.list_received();
        self.list.accept(version, now);
        // A whole list after an unusable answer does not make up for it: only one that was
        // requested as a change does.
        self.last_answer_unusable &= !self.incremental;
        self.incremental = true;
        self.immediate = false;
        self.accepted_at = Some(Instant::now());
        Ok(())
    }

    /// Applies the answer to a call beside which another was made; whether all of it was applied.
    /// The service at the former address may have another history: only which servers are draining
    /// or gone counts.
    pub fn accept_older(&mut self, engine: &Rc<Engine>, body: &[u8], former_address: bool) -> bool {
        let applied = if former_address {
            ListAnswer::parse(body).and_then(|answer| Ok(answer.apply_unavailable(engine)?))
        } else {
            self.accept(engine, body)
        };
        if let Err(error) = &applied {
            warn!(engine.log, "list answer ignored"; "fault" => %error);
        }
        applied.is_ok() && !former_address
    }
}
