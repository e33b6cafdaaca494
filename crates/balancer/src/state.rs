//! All that a balancer knows, as numbers and texts: taken out, and put into a balancer of the same house, it decides as before.
//! Nothing here decides, and what is worked out from the rest (rings, rules) is not in it.

use crate::balancer::Balancer;
use crate::plain::{
    Attempt, Chance, ClassHandle, EndpointStatus, Line, Request, RequestId, Server, Settings, Tally,
};
use chalkwalk_time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A balancer's state. Equal states decide alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub numbers: Vec<u64>,
    pub texts: Vec<String>,
}

/// Takes a state apart, from its beginning on.
struct Taking<'a> {
    numbers: std::slice::Iter<'a, u64>,
    texts: std::slice::Iter<'a, String>,
}

/// A part of a state: how it goes in and comes out.
trait Part: Sized {
    fn put(&self, to: &mut Snapshot);
    fn get(from: &mut Taking) -> Option<Self>;
}

impl Part for u64 {
    fn put(&self, to: &mut Snapshot) {
        to.numbers.push(*self);
    }
    fn get(from: &mut Taking) -> Option<u64> {
        from.numbers.next().copied()
    }
}

impl Part for String {
    fn put(&self, to: &mut Snapshot) {
        to.texts.push(self.clone());
    }
    fn get(from: &mut Taking) -> Option<String> {
        from.texts.next().cloned()
    }
}

macro_rules! as_word {
    ($($kind:ty: $to:expr, $of:expr;)*) => {$(
        impl Part for $kind {
            fn put(&self, to: &mut Snapshot) {
                to.numbers.push($to(*self));
            }
            fn get(from: &mut Taking) -> Option<$kind> {
                u64::get(from).and_then($of)
            }
        }
    )*};
}

as_word! {
    Timestamp: |at: Timestamp| at.ticks(), |n| Some(Timestamp::from_ticks(n));
    Span: |span: Span| span.ticks(), |n| Some(Span::from_ticks(n));
    usize: |n| n as u64, |n| usize::try_from(n).ok();
    u32: u64::from, |n| u32::try_from(n).ok();
    bool: u64::from, |n| (n < 2).then_some(n == 1);
    EndpointStatus: |s| s as u64, |n| [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone].get(n as usize).copied();
    RequestId: |request_id: RequestId| request_id.0, |n| Some(RequestId(n));
}

/// More of anything than these would be no balancer's.
const MOST: u64 = 1 << 24;

impl<T: Part> Part for Vec<T> {
    fn put(&self, to: &mut Snapshot) {
        self.len().put(to);
        self.iter().for_each(|part| part.put(to));
    }
    fn get(from: &mut Taking) -> Option<Vec<T>> {
        let len = u64::get(from).filter(|n| *n <= MOST)?;
        (0..len).map(|_| T::get(from)).collect()
    }
}

impl<T: Part> Part for Option<T> {
    fn put(&self, to: &mut Snapshot) {
        self.is_some().put(to);
        self.iter().for_each(|part| part.put(to));
    }
    fn get(from: &mut Taking) -> Option<Option<T>> {
        Some(if bool::get(from)? { Some(T::get(from)?) } else { None })
    }
}

impl<T: Part, const N: usize> Part for [T; N] {
    fn put(&self, to: &mut Snapshot) {
        self.iter().for_each(|part| part.put(to));
    }
    fn get(from: &mut Taking) -> Option<[T; N]> {
        let parts = (0..N).map(|_| T::get(from)).collect::<Option<Vec<T>>>()?;
        parts.try_into().ok()
    }
}

impl<A: Part, B: Part> Part for (A, B) {
    fn put(&self, to: &mut Snapshot) {
        self.0.put(to);
        self.1.put(to);
    }
    fn get(from: &mut Taking) -> Option<(A, B)> {
        Some((A::get(from)?, B::get(from)?))
    }
}

/// In order of the keys: the order of a hash table is no part of the state.
impl<T: Part> Part for HashMap<u64, T> {
    fn put(&self, to: &mut Snapshot) {
        self.len().put(to);
        let ordered: BTreeMap<&u64, &T> = self.iter().collect();
        for (key, part) in ordered {
            key.put(to);
            part.put(to);
        }
    }
    fn get(from: &mut Taking) -> Option<HashMap<u64, T>> {
        Some(Vec::<(u64, T)>::get(from)?.into_iter().collect())
    }
}

impl Part for HashSet<u64> {
    fn put(&self, to: &mut Snapshot) {
        let mut keys: Vec<u64> = self.iter().copied().collect();
        keys.sort_unstable();
        keys.put(to);
    }
    fn get(from: &mut Taking) -> Option<HashSet<u64>> {
        Some(Vec::get(from)?.into_iter().collect())
    }
}

macro_rules! fields {
    ($($kind:ident { $($field:ident),* $(,)? })*) => {$(
        impl Part for $kind {
            fn put(&self, to: &mut Snapshot) {
                let $kind { $($field),* } = self;
                $($field.put(to);)*
            }
            fn get(from: &mut Taking) -> Option<$kind> {
                $(let $field = Part::get(from)?;)*
                Some($kind { $($field),* })
            }
        }
    )*};
}

fields! {
    Line { first, behind, rests_until }
    Attempt { server, sent, company, out, may_have_run, bad, begun, opens, fresh }
    Server {
        id, zone, cell, size, held, part, status, born, out, flows, owes_since, answered, heard, hushed, doubt, left, linked, calls, stay,
        lately, refusals, seldom, room, credit,
    }
}

impl Part for Chance {
    fn put(&self, to: &mut Snapshot) {
        self.0.put(to);
    }
    fn get(from: &mut Taking) -> Option<Chance> {
        u64::get(from).map(Chance)
    }
}

impl Part for Tally {
    fn put(&self, to: &mut Snapshot) {
        self.counts().put(to);
    }
    fn get(from: &mut Taking) -> Option<Tally> {
        Part::get(from).map(Tally::of)
    }
}

/// The numbers of a request, without its rules, which are the platform's.
fn put_request(l: &Request, class: usize, to: &mut Snapshot) {
    let Request {
        rules: _,
        key,
        write,
        order,
        expires,
        useful_until,
        luck,
        attempts,
        cut,
        over,
        begun,
        waits,
        leads,
    } = l;
    class.put(to);
    (*key, *write).put(to);
    order.put(to);
    [*expires, *useful_until].put(to);
    luck.put(to);
    attempts.put(to);
    [*cut, *over, *begun, *waits, *leads].put(to);
}

fn get_request(settings: &Settings, from: &mut Taking) -> Option<Request> {
    let rules = ClassHandle::of(settings.classes.get(usize::get(from)?)?);
    let (key, write) = Part::get(from)?;
    let order = Part::get(from)?;
    let [expires, useful_until] = Part::get(from)?;
    let luck = Part::get(from)?;
    let attempts = Part::get(from)?;
    let [cut, over, begun, waits, leads] = Part::get(from)?;
    Some(Request {
        rules,
        key,
        write,
        order,
        expires,
        useful_until,
        luck,
        attempts,
        cut,
        over,
        begun,
        waits,
        leads,
    })
}

impl Balancer {
    /// All that it knows. Nothing while a request still has rules that a reload has replaced: soon after there is.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let mut to = Snapshot::default();
        let class = |l: &Request| self.settings.classes.iter().position(|rules| l.rules.is(rules));
        self.now.put(&mut to);
        [self.settings.proxies, self.pooled, self.taken, self.taken_lately].put(&mut to);
        self.salt.put(&mut to);
        self.faded.put(&mut to);
        self.refused.put(&mut to);
        (self.failed_calls, self.origin).put(&mut to);
        self.chance.put(&mut to);
        self.servers.put(&mut to);
        [self.admitted, self.links].put(&mut to);
        self.times.put(&mut to);
        self.fetches.put(&mut to);
        self.lines.put(&mut to);
        self.barred.clone().into_iter().collect::<Vec<(String, Timestamp)>>().put(&mut to);
        self.kept.put(&mut to);
        self.settings.classes.iter().for_each(|rules| rules.purse.counters().put(&mut to));
        self.requests.len().put(&mut to);
        let ordered: BTreeMap<&u64, &Request> = self.requests.iter().collect();
        for (request_id, l) in ordered {
            request_id.put(&mut to);
            put_request(l, class(l)?, &mut to);
        }
        Some(to)
    }

    /// A balancer of that house which knows all that another knew; nothing where the state is none of such a balancer's.
    pub fn from_snapshot(values: &BTreeMap<String, String>, state: &Snapshot) -> Option<Balancer> {
        let from = &mut Taking { numbers: state.numbers.iter(), texts: state.texts.iter() };
        let mut r = Balancer { settings: Settings::read(values), ..Balancer::default() };
        r.now = Part::get(from)?;
        [r.settings.proxies, r.pooled, r.taken, r.taken_lately] = Part::get(from)?;
        r.salt = Part::get(from)?;
        r.faded = Part::get(from)?;
        r.refused = Part::get(from)?;
        (r.failed_calls, r.origin) = Part::get(from)?;
        r.chance = Part::get(from)?;
        r.servers = Part::get(from)?;
        [r.admitted, r.links] = Part::get(from)?;
        r.times = Part::get(from)?;
        r.fetches = Part::get(from)?;
        r.lines = Part::get(from)?;
        r.barred = Vec::<(String, Timestamp)>::get(from)?.into_iter().collect();
        r.kept = Part::get(from)?;
        for rules in &r.settings.classes {
            rules.purse.restore(Part::get(from)?);
        }
        for _ in 0..u64::get(from).filter(|n| *n <= MOST)? {
            let request_id = Part::get(from)?;
            let request = get_request(&r.settings, from)?;
            r.requests.insert(request_id, request);
        }
        let servers = r.servers.len();
        let known = r.requests.values().flat_map(|l| &l.attempts).all(|s| s.server < servers);
        let good = from.numbers.next().is_none() && known && r.origin.is_none_or(|o| o < servers);
        good.then(|| {
            r.rings();
            r
        })
    }
}
