//! The state of a balancer as numbers and texts. A balancer that loads it with the same settings
//! decides as the original would. Captures store it, so the order of the values never changes. What
//! is computed from other state (rings, settings) is left out.
//!
//! Each part of the state implements [`Stored`], mostly with [`stored!`] next to its struct;
//! `balancer/snapshot.rs` puts the parts in order.

use crate::types::{EndpointStatus, RequestId};
use chalkwalk_time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A balancer's state. Balancers with equal states make the same decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// All numbers, in the order of the state.
    pub numbers: Vec<u64>,
    /// All texts, in the order of the state.
    pub texts: Vec<String>,
}

/// Reads a snapshot from the beginning.
pub(crate) struct Reader<'a> {
    numbers: std::slice::Iter<'a, u64>,
    texts: std::slice::Iter<'a, String>,
}

impl Reader<'_> {
    pub fn new(snapshot: &Snapshot) -> Reader<'_> {
        Reader { numbers: snapshot.numbers.iter(), texts: snapshot.texts.iter() }
    }

    /// Whether no number is left.
    pub fn is_at_end(&self) -> bool {
        self.numbers.as_slice().is_empty()
    }
}

/// A part of the state that is stored in a snapshot.
pub(crate) trait Stored: Sized {
    fn store(&self, snapshot: &mut Snapshot);
    fn load(reader: &mut Reader) -> Option<Self>;
}

impl Stored for u64 {
    fn store(&self, snapshot: &mut Snapshot) {
        snapshot.numbers.push(*self);
    }
    fn load(reader: &mut Reader) -> Option<u64> {
        reader.numbers.next().copied()
    }
}

impl Stored for String {
    fn store(&self, snapshot: &mut Snapshot) {
        snapshot.texts.push(self.clone());
    }
    fn load(reader: &mut Reader) -> Option<String> {
        reader.texts.next().cloned()
    }
}

macro_rules! stored_as_number {
    ($($kind:ty: $to_number:expr, $from_number:expr;)*) => {$(
        impl Stored for $kind {
            fn store(&self, snapshot: &mut Snapshot) {
                snapshot.numbers.push($to_number(*self));
            }
            fn load(reader: &mut Reader) -> Option<$kind> {
                u64::load(reader).and_then($from_number)
            }
        }
    )*};
}

stored_as_number! {
    Timestamp: |timestamp: Timestamp| timestamp.ticks(), |n| Some(Timestamp::from_ticks(n));
    Span: |span: Span| span.ticks(), |n| Some(Span::from_ticks(n));
    usize: |n| n as u64, |n| usize::try_from(n).ok();
    u32: u64::from, |n| u32::try_from(n).ok();
    bool: u64::from, |n| (n < 2).then_some(n == 1);
    EndpointStatus: |status| status as u64, |n| [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone].get(n as usize).copied();
    RequestId: |request_id: RequestId| request_id.0, |n| Some(RequestId(n));
}

/// The upper bound for the length of a stored collection; no balancer holds more items of any kind.
pub(crate) const MAX_ITEMS: u64 = 1 << 24;

impl<T: Stored> Stored for Vec<T> {
    fn store(&self, snapshot: &mut Snapshot) {
        self.len().store(snapshot);
        self.iter().for_each(|item| item.store(snapshot));
    }
    fn load(reader: &mut Reader) -> Option<Vec<T>> {
        let len = u64::load(reader).filter(|n| *n <= MAX_ITEMS)?;
        (0..len).map(|_| T::load(reader)).collect()
    }
}

impl<T: Stored> Stored for Option<T> {
    fn store(&self, snapshot: &mut Snapshot) {
        self.is_some().store(snapshot);
        self.iter().for_each(|item| item.store(snapshot));
    }
    fn load(reader: &mut Reader) -> Option<Option<T>> {
        Some(if bool::load(reader)? { Some(T::load(reader)?) } else { None })
    }
}

impl<T: Stored, const N: usize> Stored for [T; N] {
    fn store(&self, snapshot: &mut Snapshot) {
        self.iter().for_each(|item| item.store(snapshot));
    }
    fn load(reader: &mut Reader) -> Option<[T; N]> {
        let items = (0..N).map(|_| T::load(reader)).collect::<Option<Vec<T>>>()?;
        items.try_into().ok()
    }
}

impl<A: Stored, B: Stored> Stored for (A, B) {
    fn store(&self, snapshot: &mut Snapshot) {
        self.0.store(snapshot);
        self.1.store(snapshot);
    }
    fn load(reader: &mut Reader) -> Option<(A, B)> {
        Some((A::load(reader)?, B::load(reader)?))
    }
}

/// Stored in the order of the keys, as the iteration order of a hash table is not part of the
/// state.
impl<T: Stored> Stored for HashMap<u64, T> {
    fn store(&self, snapshot: &mut Snapshot) {
        self.len().store(snapshot);
        let ordered: BTreeMap<&u64, &T> = self.iter().collect();
        for (key, item) in ordered {
            key.store(snapshot);
            item.store(snapshot);
        }
    }
    fn load(reader: &mut Reader) -> Option<HashMap<u64, T>> {
        Some(Vec::<(u64, T)>::load(reader)?.into_iter().collect())
    }
}

impl Stored for HashSet<u64> {
    fn store(&self, snapshot: &mut Snapshot) {
        let mut keys: Vec<u64> = self.iter().copied().collect();
        keys.sort_unstable();
        keys.store(snapshot);
    }
    fn load(reader: &mut Reader) -> Option<HashSet<u64>> {
        Some(Vec::load(reader)?.into_iter().collect())
    }
}

/// Implements [`Stored`] for a struct, field by field in the order given.
macro_rules! stored {
    ($($kind:ident { $($field:ident),* $(,)? })*) => {$(
        impl crate::snapshot::Stored for $kind {
            fn store(&self, snapshot: &mut crate::snapshot::Snapshot) {
                let $kind { $($field),* } = self;
                $(crate::snapshot::Stored::store($field, snapshot);)*
            }
            fn load(reader: &mut crate::snapshot::Reader) -> Option<$kind> {
                $(let $field = crate::snapshot::Stored::load(reader)?;)*
                Some($kind { $($field),* })
            }
        }
    )*};
}
pub(crate) use stored;
