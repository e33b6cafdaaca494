//! Tests of the shares of the budget. They are unit tests because they count the permits of each
//! share.

use super::*;

/// The number of permits available to servers, and the number of those then left to clients.
fn free_permits(budget: &DescriptorBudget) -> (usize, usize) {
    let servers: Vec<Permit> = std::iter::from_fn(|| budget.servers.try_acquire_arc()).collect();
    let clients: Vec<Permit> = std::iter::from_fn(|| budget.try_acquire_for_client()).collect();
    (servers.len(), clients.len())
}

/// Clients that write slowly get the permits that server connections do not use, and each of two
/// processes of a proxy has half of all permits.
#[test]
fn shared_permits_go_to_either_side_and_half_of_all_to_another_process() {
    let budget = DescriptorBudget::new(192);
    let alone = free_permits(&budget);
    let lent = smol::block_on(budget.reserve_half(|| ()));
    let together = free_permits(&budget);
    drop(lent);
    expect_test::expect!["(59, 107) (30, 54) (59, 107)"]
        .assert_eq(&format!("{alone:?} {together:?} {:?}", free_permits(&budget)));
}

/// No idle client is closed for a waiting attempt while the clients' own share has free permits.
#[test]
fn an_attempt_that_waits_closes_no_idle_client_while_clients_have_permits_left() {
    let budget = DescriptorBudget::new(192);
    let (close, closed) = smol::channel::bounded(1);
    budget.mark_idle(close, false);
    let mut held_permits: Vec<Permit> = (0..118)
        .filter_map(|_| smol::block_on(with_timeout(IDLE_CLOSE_WAIT, budget.acquire_for_server(|| ()))))
        .collect();
    let waits_for_permit =
        || smol::block_on(with_timeout(IDLE_CLOSE_WAIT * 3, budget.acquire_for_server(|| ()))).is_none();
    let before = (waits_for_permit(), closed.is_empty());
    held_permits.extend(std::iter::from_fn(|| budget.clients.try_acquire_arc()));
    expect_test::expect!["(true, true) (true, false)"]
        .assert_eq(&format!("{before:?} {:?}", (waits_for_permit(), closed.is_empty())));
}
