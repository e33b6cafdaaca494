//! A budget of memory, from which several owners reserve bytes.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the bytes that all owners of reservations together may hold. Clones share one budget.
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

impl MemoryReservation {
    /// The number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes. Returns false if fewer are free.
    pub fn try_extend(&mut self, additional: usize) -> bool {
        let Some(free) = self.budget.free.get().checked_sub(additional) else { return false };
        self.budget.free.set(free);
        self.bytes += additional;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let free = &self.budget.free;
        free.set(free.get() + self.bytes);
    }
}
