//! The memory that the messages of all peers may hold together.
//!
//! Short and long messages have shares of their own, so that a few long messages never keep the many
//! short ones out. A short message may use the share of the long ones as well.

use crate::memory::{MemoryBudget, MemoryReservation};
use smol::Timer;
use std::time::Duration;

/// Messages up to this length use the share for short messages. It is the longest ordinary body of
/// the platform.
pub const MAX_SHORT_MESSAGE_BYTES: usize = 64 << 10;
/// Long messages may use the memory limit of the process divided by this number. The rest of the
/// proxy needs a few megabytes, and the operating system may charge data in transit to the process.
const LONG_SHARE_DIVISOR: usize = 3;
/// Short messages may use the memory limit of the process divided by this number.
const SHORT_SHARE_DIVISOR: usize = 6;
/// Interval at which a message that waits for memory tries to reserve it again. It is short compared
/// to the time that a long message takes to arrive.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The memory for the messages of all peers. Clones share it.
#[derive(Clone)]
pub struct MessageMemory {
    short: MemoryBudget,
    long: MemoryBudget,
}

impl MessageMemory {
    /// The memory for messages of a process with this memory limit.
    pub fn of_process(memory_limit_bytes: usize) -> MessageMemory {
        MessageMemory::with_shares(
            memory_limit_bytes / SHORT_SHARE_DIVISOR,
            memory_limit_bytes / LONG_SHARE_DIVISOR,
        )
    }

    /// Memory with the given shares for short and for long messages, in bytes.
    pub fn with_shares(short_bytes: usize, long_bytes: usize) -> MessageMemory {
        MessageMemory { short: MemoryBudget::new(short_bytes), long: MemoryBudget::new(long_bytes) }
    }

    /// The size of the share for long messages in bytes, free or not.
    pub fn long_capacity(&self) -> usize {
        self.long.capacity()
    }

    /// A reservation of no bytes, for a message that is about to grow.
    pub fn empty_reservation(&self) -> MessageReservation {
        MessageReservation { memory: self.clone(), share: Share::Short, reserved: None }
    }

    /// Reserves memory for a message of this length, or returns `None` if too little is free.
    pub fn try_reserve(&self, bytes: usize) -> Option<MessageReservation> {
        let mut reservation = self.empty_reservation();
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    fn share_for(&self, bytes: usize) -> Share {
        if bytes > MAX_SHORT_MESSAGE_BYTES { Share::Long } else { Share::Short }
    }

    fn budget(&self, share: Share) -> &MemoryBudget {
        match share {
            Share::Short => &self.short,
            Share::Long => &self.long,
        }
    }

    /// Reserves a whole message, with the share that it came from.
    fn reserve_whole(&self, bytes: usize) -> Option<(Share, MemoryReservation)> {
        let share = self.share_for(bytes);
        let from = |share: Share| Some((share, self.budget(share).try_reserve(bytes)?));
        from(share).or_else(|| from(Share::Long))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    Short,
    Long,
}

/// The memory that one message has reserved. It is released on drop.
pub struct MessageReservation {
    memory: MessageMemory,
    share: Share,
    reserved: Option<MemoryReservation>,
}

impl MessageReservation {
    /// The number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.reserved.as_ref().map_or(0, MemoryReservation::bytes)
    }

    /// Reserves as much as a message of `bytes` needs in all. Returns false, and leaves the
    /// reservation as it is, if too little is free.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes() {
            return true;
        }
        let keeps_share = self.share == Share::Long || self.memory.share_for(bytes) == Share::Short;
        let additional = bytes - self.bytes();
        if keeps_share
            && let Some(reserved) = &mut self.reserved
            && reserved.try_extend(additional)
        {
            return true;
        }
        let Some((share, reserved)) = self.memory.reserve_whole(bytes) else { return false };
        self.share = share;
        self.reserved = Some(reserved);
        true
    }

    /// Waits until [`MessageReservation::try_grow_to`] succeeds.
    pub async fn grow_to(&mut self, bytes: usize) {
        while !self.try_grow_to(bytes) {
            Timer::after(RETRY_INTERVAL).await;
        }
    }
}
