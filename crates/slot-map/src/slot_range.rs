//! Ranges of hash slots in the notation of the cluster specification: the first and the last slot,
//! both included.

/// How many hash slots a cluster has.
pub const SLOT_COUNT: u16 = 16384;

/// Hash slots from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRange {
    /// The lowest slot of the range.
    pub first: u16,
    /// The highest slot of the range.
    pub last: u16,
}

impl SlotRange {
    /// Every slot of a cluster.
    pub const ALL: SlotRange = SlotRange { first: 0, last: SLOT_COUNT - 1 };

    /// Whether a slot is in the range.
    pub fn contains(&self, slot: u16) -> bool {
        (self.first..=self.last).contains(&slot)
    }

    /// Parses `first-last` or a single slot. Returns `None` if the text is neither, if the range is
    /// reversed, or if it exceeds the last slot of a cluster.
    pub(crate) fn parse(text: &str) -> Option<SlotRange> {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let range = SlotRange { first: first.parse().ok()?, last: last.parse().ok()? };
        (range.first <= range.last && range.last < SLOT_COUNT).then_some(range)
    }
}

impl From<(u16, u16)> for SlotRange {
    fn from((first, last): (u16, u16)) -> SlotRange {
        SlotRange { first, last }
    }
}
