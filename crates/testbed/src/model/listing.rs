//! The platform's list: versions, the whole of it, and what changed since one.

use crate::clock::Micros;
use crate::model::course::{Notice, SERVING};

/// What the list says of one cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub cache: usize,
    pub state: &'static str,
    pub born: Micros,
}

pub struct Listing {
    notices: Vec<Notice>,
    caches: usize,
}

/// Every list begins with one version before its first change.
pub const FIRST: u64 = 1;

impl Listing {
    /// The origin is listed as the cache after the last.
    pub fn new(caches: usize, notices: Vec<Notice>) -> Listing {
        Listing { notices, caches }
    }

    pub fn version(&self, now: Micros) -> u64 {
        FIRST + self.notices.partition_point(|n| n.told <= now) as u64
    }

    /// The whole list as of a version, without those that are gone.
    pub fn whole(&self, version: u64) -> Vec<Line> {
        let mut lines: Vec<Line> =
            (0..=self.caches).map(|cache| Line { cache, state: SERVING, born: 0 }).collect();
        for n in self.notices.iter().take((version - FIRST) as usize) {
            let born = if n.state == SERVING { n.born } else { lines[n.cache].born };
            lines[n.cache] = Line { cache: n.cache, state: n.state, born };
        }
        lines.retain(|l| l.state != crate::model::course::DELETED);
        lines
    }

    /// What changed after one version, up to another, in order.
    pub fn since(&self, version: u64, to: u64) -> Vec<Line> {
        let part = (version.max(FIRST) - FIRST) as usize..(to - FIRST) as usize;
        let line = |n: &Notice| Line { cache: n.cache, state: n.state, born: n.born };
        self.notices.get(part).unwrap_or(&[]).iter().map(line).collect()
    }

    /// When there will be something newer.
    pub fn next(&self, version: u64) -> Option<Micros> {
        self.notices.get((version.max(FIRST) - FIRST) as usize).map(|n| n.told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::course::{DELETED, DRAINING};

    #[test]
    fn the_whole_list_and_its_changes_tell_the_same() {
        let notice = |told, cache, state, born| Notice { told, cache, state, born };
        let notices = vec![notice(5, 0, DRAINING, 0), notice(7, 0, DELETED, 0), notice(9, 0, SERVING, 8)];
        let list = Listing::new(1, notices);
        let states = |lines: Vec<Line>| lines.iter().map(|l| (l.cache, l.state, l.born)).collect::<Vec<_>>();
        assert_eq!([4, 5, 8, 9].map(|at| list.version(at)), [1, 2, 3, 4]);
        assert_eq!(states(list.whole(1)), [(0, SERVING, 0), (1, SERVING, 0)]);
        assert_eq!(states(list.whole(3)), [(1, SERVING, 0)]);
        assert_eq!(states(list.whole(4)), [(0, SERVING, 8), (1, SERVING, 0)]);
        assert_eq!(states(list.since(2, 4)), [(0, DELETED, 0), (0, SERVING, 8)]);
        assert_eq!((list.next(1), list.next(4), list.since(9, 4).len()), (Some(5), None, 0));
    }
}
