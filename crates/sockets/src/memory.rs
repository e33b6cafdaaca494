//! The memory budget that long messages share.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the bytes that all long messages together may hold, from the read of their head until
/// they are forwarded. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget {
    free: Rc<Cell<usize>>,
    capacity: usize,
}

/// Bytes reserved from a [`MemoryBudget`], released on drop.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes, all of them free.
    pub fn new(capacity: usize) -> MemoryBudget {
        MemoryBudget { free: Rc::new(Cell::new(capacity)), capacity }
    }

    /// The size of the budget in bytes, free or not.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Reserves the given number of bytes, or returns `None` if fewer are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let free = self.free.get().checked_sub(bytes)?;
        self.free.set(free);
        Some(MemoryReservation { budget: self.clone(), bytes })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let free = &self.budget.free;
        free.set(free.get() + self.bytes);
    }
}
