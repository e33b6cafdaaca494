//! Speed over time, cores with a queue, and recent work.

use chalkwalk_testbed::clock::{Micros, SECOND};
use chalkwalk_testbed::model::speed::{Cores, RecentWork, SpeedProfile};

#[test]
fn work_resumes_after_a_standstill_and_takes_longer_where_speed_is_low() {
    let mut speed = SpeedProfile::default();
    speed.scale(100..200, 0.0);
    speed.scale(300..Micros::MAX, 0.5);
    let completions =
        [(0, 50), (50, 100), (150, 10), (250, 100), (400, 10)].map(|(at, work)| speed.completion(at, work));
    assert_eq!(completions, [50, 250, 210, 400, 420]);
    speed.scale(500..Micros::MAX, 0.0);
    assert_eq!(speed.completion(490, 100), Micros::MAX);
}

#[test]
fn a_slow_start_rises_evenly_to_full_speed() {
    let mut speed = SpeedProfile::default();
    speed.slow_start(1000, 0.2, 1000);
    // The speed is a fifth at first, full at the end, and three fifths on average.
    let mean = (0..1000).map(|i| speed.speed(1000 + i)).sum::<f64>() / 1000.0;
    assert!((mean - 0.6).abs() < 0.01, "{mean}");
    assert!(speed.speed(1000) < 0.25 && speed.speed(1990) > 0.95 && speed.speed(2000) == 1.0);
}

#[test]
fn cores_run_in_parallel_and_the_queue_is_bounded() {
    let (mut cores, speed) = (Cores::new(2, 1), SpeedProfile::default());
    let scheduled = [0, 0, 0, 0, 101].map(|at| cores.schedule(at, 100, &speed));
    assert_eq!(scheduled, [Some(100), Some(100), Some(200), None, Some(201)]);
}

#[test]
fn recent_work_is_forgotten_with_its_window() {
    let mut recent_work = RecentWork::new(SECOND);
    let sums = [(0, 5), (SECOND / 2, 5), (SECOND * 3 / 2, 1), (SECOND * 5, 1)]
        .map(|(at, work)| recent_work.add(at, work));
    assert_eq!(sums, [5, 10, 1, 1]);
}
