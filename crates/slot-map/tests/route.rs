//! A request follows an `ASK` for one attempt and a `MOVED` for all, up to the limit on
//! redirections.

use chalkwalk_slot_map::{ErrorMeaning, RequestRoute, SlotMap};
use std::net::SocketAddr;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn ask_holds_for_one_attempt_moved_for_all_and_a_redirection_loop_ends() {
    let mut map = SlotMap::default();
    let mut route = RequestRoute::new(7, true);
    assert!(route.candidates(&map).is_empty());
    assert!(route.on_error(&ErrorMeaning::Moved { slot: 7, target: addr(1) }, &mut map));
    assert_eq!(route.candidates(&map), [addr(1)]);
    assert!(!route.needs_asking(addr(1)));
    assert!(!route.on_error(&ErrorMeaning::Ask { slot: 7, target: addr(2) }, &mut map));
    assert_eq!(route.candidates(&map), [addr(2)]);
    assert!(route.needs_asking(addr(2)));
    assert!(!route.needs_readonly(addr(2), &map));
    route.on_no_answer();
    assert_eq!(route.candidates(&map), [addr(1)]);
    // A redirection for another slot does not change the route.
    assert!(route.on_error(&ErrorMeaning::Moved { slot: 8, target: addr(3) }, &mut map));
    assert_eq!(route.candidates(&map), [addr(1)]);
    assert_eq!(map.owner(8), None);
    for port in [2, 1, 2, 1] {
        route.on_error(&ErrorMeaning::Moved { slot: 7, target: addr(port) }, &mut map);
    }
    assert!(route.candidates(&map).is_empty());
}
