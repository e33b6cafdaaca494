//! Tests of the close times. They are unit tests because the schedule is not public.

use super::*;

const START: u64 = 1_000_000;

fn timestamp(ticks: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_ticks(ticks)
}

/// When the first and the last connection in order are closed, with a response and while idle, in
/// ms after the start.
fn close_times_in_ms(drain_ms: Option<u64>, superseded: bool, out_of_service: bool) -> String {
    let drain_window = drain_ms.map(|window_ms| DrainWindow {
        started_at: timestamp(START),
        response_deadline: timestamp(START) + Span::from_millis(window_ms),
    });
    let times = [0, 999].map(|position| {
        let times = ClosePosition(position).close_times(
            drain_window,
            superseded,
            out_of_service.then_some(timestamp(START)),
        );
        times.map_or("never".to_string(), |times| {
            let ms_after_start = |moment: Timestamp| moment.saturating_since(timestamp(START)).as_millis();
            format!("{} {}", ms_after_start(times.announce_from), ms_after_start(times.close_idle_from))
        })
    });
    times.join(", ")
}

#[test]
fn connections_are_closed_one_after_the_other_for_each_reason() {
    let results = [
        ("in service", close_times_in_ms(None, false, false)),
        ("shutting down", close_times_in_ms(Some(3000), false, false)),
        ("superseded", close_times_in_ms(Some(3000), true, false)),
        ("out of service", close_times_in_ms(None, false, true)),
        ("both", close_times_in_ms(Some(600), false, true)),
    ];
    expect_test::expect![[r#"
        in service: never, never
        shutting down: 2000 2000, 2499 2499
        superseded: 0 2000, 999 2499
        out of service: 200 1000, 999 1799
        both: 200 400, 499 499"#]]
    .assert_eq(&results.map(|(reason, times)| format!("{reason}: {times}")).join("\n"));
}

#[test]
fn positions_of_connections_are_spread_evenly() {
    let mut positions: Vec<u64> = (1..=20).map(|number| ClosePosition::of_connection(number).0).collect();
    positions.sort_unstable();
    let max_gap = positions.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(max_gap <= Some(100), "{positions:?}");
}
