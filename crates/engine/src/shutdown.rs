//! The end of a proxy: told to leave, it still takes who comes for a moment, serves on those it has, answers all that it
//! took, and is gone before it would be killed.

use crate::engine::Engine;
use crate::lifecycle::Phase;
use crate::{api, background};
use chalkwalk_sockets::wait_until;
use chalkwalk_time::{Span, Timestamp};
use slog::info;
use smol::{Task, Timer};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connections are taken after the word to end: a front hears of it within 0.4 s.
const STILL_ACCEPTING: Span = Span::from_millis(500);
/// What is left at the least, between the last connection and the last answer, for whoever came with it.
const LAST_COMERS: Span = Span::from_millis(50);
/// From the last answer's moment on, for writing what was given up then, on a core that has little time for this proxy: SIGKILL
/// comes 0.05 s after that.
const WRITING: Duration = Duration::from_millis(200);
/// From that word, beside the longest time limit, to the last answer: SIGKILL comes 0.7 s beside it.
const TO_THE_LAST: Span = Span::from_millis(450);
/// The longest that SIGKILL waits for time limits.
const LONGEST_LIMIT: Span = Span::from_secs(3);

/// After the word to end: until when connections are taken, and when every answer must be out, by the longest time limit.
fn terms(longest_limit: Span) -> (Span, Span) {
    let last = longest_limit.min(LONGEST_LIMIT) + TO_THE_LAST;
    (STILL_ACCEPTING.min(last - LAST_COMERS), last)
}

/// From the word to end, which came at that moment, to the last phase. `accepting` is the doors' task, which ends once `Emptying` is reached and whoever
/// has a connection by then is let in.
pub async fn run(engine: &Rc<Engine>, accepting: Task<()>, told: Timestamp) {
    let (accepting_until, last) = terms(engine.classes.longest_time_limit());
    let last = told + last;
    engine.leave(told, last);
    info!(engine.log, "leaving"; "open" => engine.requests.borrow().open(), "succeeded" => engine.lifecycle.is_superseded());
    // A successor takes who comes from now on.
    if !engine.lifecycle.is_superseded() {
        Timer::at(engine.clock.instant(told + accepting_until)).await;
    }
    engine.lifecycle.enter(Phase::Finishing);
    // Where all places are taken, those that wait for one do so no longer than to the last answer.
    wait_until(engine.clock.instant(last), accepting).await;
    while engine.clients() > 0 && engine.clock.now() < last {
        Timer::after(Duration::from_millis(10)).await;
    }
    // Whatever is left is given up now: later it would be lost.
    api::give_up_all(engine);
    let end = engine.clock.instant(last) + WRITING;
    while engine.clients() > 0 && Instant::now() < end {
        Timer::after(Duration::from_millis(5)).await;
    }
    engine.lifecycle.enter(Phase::Ended);
    background::log_counters(engine, "ended");
}

#[cfg(test)]
mod tests {
    use super::*;

    /// In ms, for limits from none to ten seconds: connections are taken for as long as a front sends them (400 ms), then comes
    /// the last answer, its writing, and SIGKILL, each after the one before.
    #[test]
    fn each_step_of_the_end_is_in_time_whatever_the_limits_are() {
        let told = [0, 1, 300, 499, 500, 2_000, 3_000, 6_000, 30_000, 100_000].map(|limit| {
            let (accepting, last) = terms(Span::from_ticks(limit));
            let kill = limit.min(LONGEST_LIMIT.ticks()) + 7_000;
            assert!(accepting >= Span::from_ticks(4_000) && accepting < last, "{limit}");
            assert!(
                last >= Span::from_ticks(limit.min(LONGEST_LIMIT.ticks()))
                    && last + Span::from(WRITING) + Span::from_ticks(500) <= Span::from_ticks(kill),
                "{limit}"
            );
            format!("{}: {} {} {}", limit / 10, accepting / 10, last / 10, kill / 10)
        });
        expect_test::expect![[r#"
            0: 400 450 700
            0: 400 450 700
            30: 430 480 730
            49: 449 499 749
            50: 450 500 750
            200: 500 650 900
            300: 500 750 1000
            600: 500 1050 1300
            3000: 500 3450 3700
            10000: 500 3450 3700"#]]
        .assert_eq(&told.join("\n"));
    }
}
