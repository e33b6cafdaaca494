//! A cluster of servers that hold hash slots, over a run: who owns which block of slots, what migrates, which replica took over.
//! Functions of time, worked out ahead from the experiment. The first half of the servers are primaries, the second their
//! replicas, one each, beside their primary's neighbour.

mod build;

use crate::clock::Micros;
use std::ops::Range;

/// Hash slots, as the public specification has them.
pub const SLOTS: u16 = 16384;
/// Slots migrate in blocks of 256.
pub const BLOCKS: usize = 64;
/// Keys of a block migrate one after the other, by a rank below this.
pub const RANKS: u64 = 1000;

/// A block of slots is on its way to another primary.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Migration {
    from: Micros,
    until: Micros,
    to: usize,
}

/// A server owns a block from a moment on.
#[derive(Clone, Copy, Debug)]
struct Ownership {
    since: Micros,
    owner: usize,
}

/// A server that is back loads its data.
#[derive(Clone, Debug)]
struct Loading {
    server: usize,
    span: Range<Micros>,
}

/// A server's map is that of an earlier moment.
#[derive(Clone, Debug)]
struct StaleMap {
    server: usize,
    span: Range<Micros>,
    by: Micros,
}

/// The cluster's state at any moment.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    primaries: usize,
    /// By block, in order of time.
    owners: Vec<Vec<Ownership>>,
    /// By block.
    migrations: Vec<Vec<Migration>>,
    /// Moments at which the map changed: each is an epoch.
    changes: Vec<Micros>,
    loading: Vec<Loading>,
    stale_maps: Vec<StaleMap>,
}

/// What a server does with a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// Executes it.
    Serves,
    /// Redirects to the owner of its slot.
    Moved(usize),
    /// Redirects, for this command alone, to the server that its key has migrated to.
    Ask(usize),
    /// Refuses, as its key has not arrived.
    TryAgain,
    /// Refuses, as it loads its data.
    Loading,
}

/// What matters of a command.
#[derive(Clone, Copy, Debug, Default)]
pub struct Command {
    /// The slot of its key.
    pub slot: u16,
    /// A number below [`RANKS`] that is the key's own.
    pub rank: u64,
    /// Whether it came with ASKING.
    pub asking: bool,
    /// Whether its connection is READONLY.
    pub readonly: bool,
    /// Whether it writes.
    pub write: bool,
}

/// The block of a slot.
pub fn block_of(slot: u16) -> usize {
    usize::from(slot) * BLOCKS / usize::from(SLOTS)
}

impl Migration {
    /// Whether a key has arrived.
    fn has_moved(&self, rank: u64, now: Micros) -> bool {
        (now - self.from) * RANKS / (self.until - self.from) > rank
    }
}

impl Cluster {
    fn owner(&self, block: usize, now: Micros) -> usize {
        let owners = &self.owners[block];
        let i = owners.partition_point(|ownership| ownership.since <= now);
        owners[i.max(1) - 1].owner
    }

    /// The moment that a server's map is of.
    fn map_time(&self, server: usize, now: Micros) -> Micros {
        let stale = self.stale_maps.iter().filter(|map| map.server == server && map.span.contains(&now));
        now.saturating_sub(stale.map(|map| map.by).max().unwrap_or(0))
    }

    /// The primary that a server is the replica of, as long as it has not taken over.
    fn replica_of(&self, server: usize) -> Option<usize> {
        // Not in its primary's zone, where zones are dealt out in turn.
        let nth = server.checked_sub(self.primaries)?;
        Some((nth + self.primaries - 1) % self.primaries)
    }

    /// Whether a server loads its data.
    pub fn is_loading(&self, server: usize, now: Micros) -> bool {
        self.loading.iter().any(|loading| loading.server == server && loading.span.contains(&now))
    }

    /// What a server does with a command.
    pub fn handle(&self, server: usize, now: Micros, command: Command) -> CommandOutcome {
        if self.is_loading(server, now) {
            return CommandOutcome::Loading;
        }
        let block = block_of(command.slot);
        let now = self.map_time(server, now);
        let owner = self.owner(block, now);
        let migration = self.migrations[block].iter().find(|move_| (move_.from..move_.until).contains(&now));
        if let Some(migration) = migration {
            let moved = migration.has_moved(command.rank, now);
            if owner == server && moved {
                return CommandOutcome::Ask(migration.to);
            }
            if migration.to == server && command.asking {
                return if moved { CommandOutcome::Serves } else { CommandOutcome::TryAgain };
            }
        }
        let replicates = self.replica_of(server) == Some(owner) && command.readonly && !command.write;
        if owner == server || replicates { CommandOutcome::Serves } else { CommandOutcome::Moved(owner) }
    }

    /// A server's reply to `CLUSTER NODES`, with addresses as the caller is to use them.
    pub fn nodes(
        &self,
        server: usize,
        now: Micros,
        servers: usize,
        addr: impl Fn(usize) -> String,
    ) -> String {
        let now = self.map_time(server, now);
        let epoch = self.changes.partition_point(|at| *at <= now) + 1;
        let mut text = String::new();
        for node in 0..servers {
            let owned: Vec<usize> = (0..BLOCKS).filter(|block| self.owner(*block, now) == node).collect();
            let role = match self.replica_of(node).filter(|_| owned.is_empty()) {
                Some(primary) => format!("slave node{primary:02}"),
                None => "master -".into(),
            };
            let me = if node == server { "myself," } else { "" };
            let slots: String = owned.iter().map(|block| slots_of(*block)).collect();
            text += &format!("node{node:02} {}@0 {me}{role} 0 0 {epoch} connected{slots}\n", addr(node));
        }
        text
    }
}

/// The slots of a block as `CLUSTER NODES` has them.
fn slots_of(block: usize) -> String {
    let per_block = usize::from(SLOTS) / BLOCKS;
    format!(" {}-{}", block * per_block, (block + 1) * per_block - 1)
}
