//! The end of a proxy: told to leave, it still takes who comes for a moment, serves on those it has, answers all that it
//! took, and is gone before it would be killed.

use crate::core::Core;
use crate::flow;
use crate::life::Phase;
use chalkwalk_net::wait_until;
use chalkwalk_policy::Tenths;
use slog::info;
use smol::{Task, Timer};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are taken after the word to end: a front hears of it within 0.4 s.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// From that word, beside the longest time limit, to the last answer: SIGKILL comes 0.7 s beside it.
const TO_THE_LAST: Tenths = 4_500;
/// The longest that SIGKILL waits for time limits.
const LONGEST_LIMIT: Tenths = 30_000;

/// From the word to end to the last phase. `accepting` is the doors' task, which ends once `Emptying` is reached and whoever
/// has a connection by then is let in.
pub async fn leave(core: &Rc<Core>, accepting: Task<()>) {
    let told = core.clock.now();
    let last = told + core.classes.longest_limit().min(LONGEST_LIMIT) + TO_THE_LAST;
    core.leave(told, last);
    info!(core.log, "leaving"; "open" => core.book.borrow().open(), "succeeded" => core.life.succeeded());
    // A successor takes who comes from now on.
    if !core.life.succeeded() {
        Timer::after(STILL_ACCEPTING).await;
    }
    core.life.enter(Phase::Emptying);
    // Where all places are taken, those that wait for one do so no longer than to the last answer.
    wait_until(core.clock.instant(last), accepting).await;
    while core.clients() > 0 && core.clock.now() < last {
        Timer::after(Duration::from_millis(10)).await;
    }
    // Whatever is left is given up now: later it would be lost.
    flow::give_up_all(core);
    let end = Instant::now() + Duration::from_millis(100);
    while core.clients() > 0 && Instant::now() < end {
        Timer::after(Duration::from_millis(5)).await;
    }
    core.life.enter(Phase::Ended);
    info!(core.log, "ended");
}
