//! The load balancer in front of the proxies assigns connections in rotation.

use chalkwalk_testbed::clock::Clock;
use chalkwalk_testbed::load::load_balancer::LoadBalancer;

#[test]
fn connections_are_assigned_in_rotation_and_to_a_dead_proxy_until_it_is_detected() {
    let clock = Clock::default();
    clock.start();
    let load_balancer = LoadBalancer::new(3, clock.clone());
    assert_eq!(load_balancer.next_proxy(), None);
    [0, 2].into_iter().for_each(|proxy| load_balancer.mark_up(proxy));
    assert_eq!([(); 3].map(|()| load_balancer.next_proxy()), [Some(2), Some(0), Some(2)]);
    load_balancer.mark_down(2, 50_000);
    assert_eq!([(); 2].map(|()| load_balancer.next_proxy()), [Some(0), Some(2)]);
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!([(); 2].map(|()| load_balancer.next_proxy()), [Some(0), Some(0)]);
}
