//! All that a balancer knows, as numbers and texts: loaded into a balancer with the same settings, it decides as before. Stored
//! in captures, so the order of the values never changes. What is computed from the rest (rings, settings) is not in it.
//!
//! Each part of the state implements [`Stored`], mostly by [`stored!`] beside its struct; `balancer/snapshot.rs` puts them in
//! order.

use crate::types::{EndpointStatus, RequestId};
use chalkwalk_time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A balancer's state. Equal states decide alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// All numbers, in the order of the state.
    pub numbers: Vec<u64>,
    /// All texts, in the order of the state.
    pub texts: Vec<String>,
}

/// Reads a snapshot from its beginning on.
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
    fn store(&self, to: &mut Snapshot);
    fn load(from: &mut Reader) -> Option<Self>;
}

impl Stored for u64 {
    fn store(&self, to: &mut Snapshot) {
        to.numbers.push(*self);
    }
    fn load(from: &mut Reader) -> Option<u64> {
        from.numbers.next().copied()
    }
}

impl Stored for String {
    fn store(&self, to: &mut Snapshot) {
        to.texts.push(self.clone());
    }
    fn load(from: &mut Reader) -> Option<String> {
        from.texts.next().cloned()
    }
}

macro_rules! stored_as_number {
    ($($kind:ty: $to:expr, $of:expr;)*) => {$(
        impl Stored for $kind {
            fn store(&self, to: &mut Snapshot) {
                to.numbers.push($to(*self));
            }
            fn load(from: &mut Reader) -> Option<$kind> {
                u64::load(from).and_then($of)
            }
        }
    )*};
}

stored_as_number! {
    Timestamp: |at: Timestamp| at.ticks(), |n| Some(Timestamp::from_ticks(n));
    Span: |span: Span| span.ticks(), |n| Some(Span::from_ticks(n));
    usize: |n| n as u64, |n| usize::try_from(n).ok();
    u32: u64::from, |n| u32::try_from(n).ok();
    bool: u64::from, |n| (n < 2).then_some(n == 1);
    EndpointStatus: |s| s as u64, |n| [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone].get(n as usize).copied();
    RequestId: |request_id: RequestId| request_id.0, |n| Some(RequestId(n));
}

/// No balancer holds more of anything.
pub(crate) const MOST_ITEMS: u64 = 1 << 24;

impl<T: Stored> Stored for Vec<T> {
    fn store(&self, to: &mut Snapshot) {
        self.len().store(to);
        self.iter().for_each(|part| part.store(to));
    }
    fn load(from: &mut Reader) -> Option<Vec<T>> {
        let len = u64::load(from).filter(|n| *n <= MOST_ITEMS)?;
        (0..len).map(|_| T::load(from)).collect()
    }
}

impl<T: Stored> Stored for Option<T> {
    fn store(&self, to: &mut Snapshot) {
        self.is_some().store(to);
        self.iter().for_each(|part| part.store(to));
    }
    fn load(from: &mut Reader) -> Option<Option<T>> {
        Some(if bool::load(from)? { Some(T::load(from)?) } else { None })
    }
}

impl<T: Stored, const N: usize> Stored for [T; N] {
    fn store(&self, to: &mut Snapshot) {
        self.iter().for_each(|part| part.store(to));
    }
    fn load(from: &mut Reader) -> Option<[T; N]> {
        let parts = (0..N).map(|_| T::load(from)).collect::<Option<Vec<T>>>()?;
        parts.try_into().ok()
    }
}

impl<A: Stored, B: Stored> Stored for (A, B) {
    fn store(&self, to: &mut Snapshot) {
        self.0.store(to);
        self.1.store(to);
    }
    fn load(from: &mut Reader) -> Option<(A, B)> {
        Some((A::load(from)?, B::load(from)?))
    }
}

/// In order of the keys: the order of a hash table is no part of the state.
impl<T: Stored> Stored for HashMap<u64, T> {
    fn store(&self, to: &mut Snapshot) {
        self.len().store(to);
        let ordered: BTreeMap<&u64, &T> = self.iter().collect();
        for (key, part) in ordered {
            key.store(to);
            part.store(to);
        }
    }
    fn load(from: &mut Reader) -> Option<HashMap<u64, T>> {
        Some(Vec::<(u64, T)>::load(from)?.into_iter().collect())
    }
}

impl Stored for HashSet<u64> {
    fn store(&self, to: &mut Snapshot) {
        let mut keys: Vec<u64> = self.iter().copied().collect();
        keys.sort_unstable();
        keys.store(to);
    }
    fn load(from: &mut Reader) -> Option<HashSet<u64>> {
        Some(Vec::load(from)?.into_iter().collect())
    }
}

/// Implements [`Stored`] for a struct by its fields, in the order in which they are named.
macro_rules! stored {
    ($($kind:ident { $($field:ident),* $(,)? })*) => {$(
        impl crate::snapshot::Stored for $kind {
            fn store(&self, to: &mut crate::snapshot::Snapshot) {
                let $kind { $($field),* } = self;
                $(crate::snapshot::Stored::store($field, to);)*
            }
            fn load(from: &mut crate::snapshot::Reader) -> Option<$kind> {
                $(let $field = crate::snapshot::Stored::load(from)?;)*
                Some($kind { $($field),* })
            }
        }
    )*};
}
pub(crate) use stored;
