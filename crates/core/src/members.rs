//! The caches as a list tells them, and the small indices that stand for them from here on.

pub use chalkwalk_membership::Line;
use chalkwalk_policy::{Cache, Entry, Router, Standing, Tenths};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a list has changed, by the caches' ids in order.
#[derive(Debug, Default, PartialEq)]
pub struct Changed {
    /// Draining or gone since.
    pub off: Vec<String>,
    /// In service since, or again.
    pub back: Vec<String>,
}

/// What the core itself needs of a cache.
struct Row {
    addr: SocketAddr,
    off_since: Option<Tenths>, // draining or gone, as told
    born: Tenths,
}

#[derive(Default)]
pub struct Members {
    rows: Vec<Row>,
    index: HashMap<String, Cache>,
    free: Vec<Cache>, // below the number of rows, and no cache's
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Members {
    pub fn new(zones: &[String], kinds: &[String]) -> Members {
        Members { zones: zones.to_vec(), kinds: kinds.to_vec(), ..Members::default() }
    }

    pub fn addr(&self, cache: Cache) -> Option<SocketAddr> {
        self.rows.get(cache).map(|row| row.addr)
    }

    /// The caches in service at these addresses, in that order.
    pub fn at(&self, addrs: &[SocketAddr]) -> Vec<Cache> {
        let at =
            |addr: &SocketAddr| self.rows.iter().position(|row| row.addr == *addr && row.off_since.is_none());
        addrs.iter().filter_map(at).collect()
    }

    /// Since when a cache is draining or gone, as told.
    pub fn off_since(&self, cache: Cache) -> Option<Tenths> {
        self.rows.get(cache)?.off_since
    }

    /// What is off by now and was not, and the other way round, after what was off before.
    pub fn changed(&self, was_off: &[Cache]) -> Changed {
        let mut changed = Changed::default();
        for (id, cache) in &self.index {
            match (was_off.binary_search(cache).is_ok(), self.off_since(*cache).is_some()) {
                (false, true) => changed.off.push(id.clone()),
                (true, false) => changed.back.push(id.clone()),
                _ => {}
            }
        }
        changed.off.sort_unstable();
        changed.back.sort_unstable();
        changed
    }

    /// The place of a cache, if it has one.
    pub fn place(&self, id: &str) -> Option<Cache> {
        self.index.get(id).copied()
    }

    /// Whether the cache of this line is in service as far as was told, and has not started since the line was true.
    pub fn serves(&self, line: &Line) -> bool {
        let row = self.place(&line.id).map(|cache| &self.rows[cache]);
        row.is_some_and(|row| row.off_since.is_none() && row.born <= line.born)
    }

    /// Caches that are off.
    pub fn off(&self) -> impl Iterator<Item = Cache> {
        self.rows.iter().enumerate().filter(|(_, row)| row.off_since.is_some()).map(|(cache, _)| cache)
    }

    /// Takes what a list says, and returns it by index for the router. Of a doubted one a cache is not ready that was told
    /// to be off and has not started since.
    pub fn take<'a>(
        &mut self,
        now: Tenths,
        lines: &'a [Line],
        whole_list: bool,
        doubted: bool,
    ) -> Vec<Entry<'a>> {
        let was_off: Vec<Option<Tenths>> = self.rows.iter().map(|row| row.off_since).collect();
        if whole_list {
            self.rows.iter_mut().for_each(|row| _ = row.off_since.get_or_insert(now));
        }
        let entry = |line: &'a Line| {
            let cache = self.row(&line.id, line.addr);
            let row = &mut self.rows[cache];
            let stays_off =
                doubted && was_off.get(cache).is_some_and(Option::is_some) && line.born <= row.born;
            let standing = if stays_off { Standing::Draining } else { line.standing };
            (row.addr, row.born) = (line.addr, line.born);
            let since = was_off.get(cache).copied().flatten().unwrap_or(now);
            row.off_since = (standing != Standing::Ready).then_some(since);
            let zone = self.zones.iter().position(|z| *z == line.zone).unwrap_or_else(|| {
                self.zones.push(line.zone.clone());
                self.zones.len() - 1
            });
            let kind = self.kinds.iter().position(|k| *k == line.kind).unwrap_or(usize::MAX);
            Entry {
                cache,
                id: &line.id,
                zone,
                kind,
                cell: line.cell,
                size: line.size,
                standing,
                born: line.born,
            }
        };
        lines.iter().map(entry).collect()
    }

    /// Forgets what is gone and done with, and uses its index again: ids are ever new.
    pub fn forget(&mut self, router: &Router) {
        let Members { index, free, .. } = self;
        index.retain(|_, cache| {
            let done = router.done_with(*cache);
            free.extend(done.then_some(*cache));
            !done
        });
        free.sort_unstable();
    }

    fn row(&mut self, id: &str, addr: SocketAddr) -> usize {
        if let Some(cache) = self.index.get(id) {
            return *cache;
        }
        let cache = self.free.pop().unwrap_or(self.rows.len());
        self.index.insert(id.to_string(), cache);
        let row = Row { addr, off_since: None, born: 0 };
        match self.rows.get_mut(cache) {
            Some(place) => *place = row,
            None => self.rows.push(row),
        }
        cache
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_place_of_a_cache_that_is_done_with_is_the_next_ones() {
        let mut members = Members::default();
        let mut places = Vec::new();
        for id in ["amber", "birch", "birch", "cedar", "delta"] {
            places.push(members.row(id, "127.0.0.1:3000".parse().unwrap()));
            if id == "cedar" {
                members.index.remove("birch");
                members.free.push(1);
            }
        }
        expect_test::expect!["[0, 1, 1, 2, 1] of 3"]
            .assert_eq(&format!("{places:?} of {}", members.rows.len()));
    }
}
