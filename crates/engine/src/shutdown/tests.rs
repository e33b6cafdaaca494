//! Tests of the shutdown schedule. They are unit tests because the schedule is not public.

use super::*;

/// For time limits from none to ten seconds, in ms: connections are accepted for at least as long
/// as a load balancer in front sends them (400 ms). The last response, the end of its write and
/// SIGKILL follow in this order.
#[test]
fn each_step_of_the_shutdown_is_in_time_for_any_time_limit() {
    let steps = [0, 1, 300, 499, 500, 2_000, 3_000, 6_000, 30_000, 100_000].map(|limit| {
        let DrainSchedule { accept_for, last_response_after: last } =
            DrainSchedule::new(Span::from_ticks(limit));
        let kill_after = limit.min(TIME_LIMIT_CAP.ticks()) + 7_000;
        assert!(accept_for >= Span::from_ticks(4_000) && accept_for < last, "{limit}");
        assert!(
            last >= Span::from_ticks(limit.min(TIME_LIMIT_CAP.ticks()))
                && last + Span::from(WRITE_TIME) + Span::from_ticks(500) <= Span::from_ticks(kill_after),
            "{limit}"
        );
        format!("{}: {} {} {}", limit / 10, accept_for / 10, last / 10, kill_after / 10)
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
    .assert_eq(&steps.join("\n"));
}
