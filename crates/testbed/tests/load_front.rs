//! The front before the proxies deals connections out in turn.

use chalkwalk_testbed::clock::Clock;
use chalkwalk_testbed::load::front::Front;

#[test]
fn connections_are_dealt_in_turn_and_to_a_dead_proxy_until_it_is_detected() {
    let clock = Clock::default();
    clock.begin();
    let front = Front::new(3, clock.clone());
    assert_eq!(front.next_proxy(), None);
    [0, 2].into_iter().for_each(|p| front.up(p));
    assert_eq!([(); 3].map(|()| front.next_proxy()), [Some(2), Some(0), Some(2)]);
    front.down(2, 50_000);
    assert_eq!([(); 2].map(|()| front.next_proxy()), [Some(0), Some(2)]);
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!([(); 2].map(|()| front.next_proxy()), [Some(0), Some(0)]);
}
