//! Which namespace keeps the guarantees of several: the one of a command with keys of all of them.

use chalkwalk_limits::{DedupGroup, Idempotency, Namespace, PlatformLimits};
use chalkwalk_time::Span;

const PAGE: usize = 0;
const TAGGED_EVERYWHERE: usize = 1;
const TAGGED_IN_CELL: usize = 2;
const TAGGED_IN_ZONE_FOR_LONGER: usize = 3;
const ONCE: usize = 4;
const PAGE_IN_ORDER: usize = 5;
const ONCE_IN_ORDER: usize = 6;

fn namespace(idempotency: Idempotency, dedup_group: DedupGroup, window_s: u64, in_order: bool) -> Namespace {
    Namespace {
        name: String::new(),
        time_limit: Span::from_secs(2),
        latency_objective: Span::from_secs(1),
        idempotency,
        dedup_group,
        dedup_window: Span::from_secs(window_s),
        in_order,
    }
}

fn platform_limits() -> PlatformLimits {
    use DedupGroup::{All, Cell, Zone};
    use Idempotency::{Replayable, SingleUse, Tagged};
    let namespaces = vec![
        namespace(Replayable, All, 0, false),
        namespace(Tagged, All, 2, false),
        namespace(Tagged, Cell, 1, false),
        namespace(Tagged, Zone, 3, false),
        namespace(SingleUse, All, 0, false),
        namespace(Replayable, All, 0, true),
        namespace(SingleUse, All, 0, true),
    ];
    PlatformLimits { namespaces, ..PlatformLimits::default() }
}

#[track_caller]
fn assert_strictest(namespaces: &[usize], expected: Option<usize>) {
    let limits = platform_limits();
    let reversed: Vec<usize> = namespaces.iter().rev().copied().collect();
    assert_eq!(limits.strictest_namespace(namespaces), expected);
    assert_eq!(limits.strictest_namespace(&reversed), expected, "in reverse order");
}

#[test]
fn the_namespace_that_repeats_least_is_the_strictest() {
    assert_strictest(&[PAGE, PAGE], Some(PAGE));
    assert_strictest(&[PAGE, TAGGED_EVERYWHERE], Some(TAGGED_EVERYWHERE));
    assert_strictest(&[PAGE, ONCE, TAGGED_IN_CELL], Some(ONCE));
    assert_strictest(&[TAGGED_EVERYWHERE, TAGGED_IN_CELL, TAGGED_IN_ZONE_FOR_LONGER], Some(TAGGED_IN_CELL));
    assert_strictest(&[PAGE, PAGE_IN_ORDER], Some(PAGE_IN_ORDER));
    assert_strictest(&[ONCE, PAGE_IN_ORDER, ONCE_IN_ORDER], Some(ONCE_IN_ORDER));
}

#[test]
fn no_namespace_is_the_strictest_where_each_lacks_a_guarantee_of_another() {
    assert_strictest(&[TAGGED_EVERYWHERE, TAGGED_IN_ZONE_FOR_LONGER], None);
    assert_strictest(&[ONCE, PAGE_IN_ORDER], None);
    assert_strictest(&[PAGE, platform_limits().namespaces.len()], None);
}

#[test]
fn a_single_namespace_is_its_own_strictest_even_if_it_is_unknown() {
    assert_strictest(&[ONCE, ONCE], Some(ONCE));
    assert_strictest(&[99], Some(99));
    assert_strictest(&[], None);
}
