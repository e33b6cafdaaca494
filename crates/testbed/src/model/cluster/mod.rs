//! A cluster of servers that hold hash slots, over a run: which server owns which block of slots,
//! which blocks migrate, and which replicas take over. All of it is computed in advance from the
//! experiment, as functions of time. The first half of the servers are primaries, the second half
//! are their replicas, one for each primary. A replica's position in the second half is that of its
//! primary's successor in the first.

mod build;

use crate::clock::Micros;
use std::ops::Range;

/// Number of hash slots, as in the public cluster specification.
pub const SLOT_COUNT: u16 = 16384;
/// Number of blocks in which slots migrate: 256 slots per block.
pub const BLOCK_COUNT: usize = 64;
/// Number of ranks. The keys of a block migrate in order of their rank, which is below this number.
pub const RANK_COUNT: u64 = 1000;

/// The migration of a block to another primary.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Migration {
    start: Micros,
    end: Micros,
    target: usize,
}

/// The owner of a block from a point in time on.
#[derive(Clone, Copy, Debug)]
struct Ownership {
    since: Micros,
    owner: usize,
}

/// A span in which a restarted server loads its data.
#[derive(Clone, Debug)]
struct Loading {
    server: usize,
    span: Range<Micros>,
}

/// A span in which a server uses an outdated slot map.
#[derive(Clone, Debug)]
struct StaleMap {
    server: usize,
    span: Range<Micros>,
    lag: Micros,
}

/// The cluster's state over a run.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    primaries: usize,
    /// Indexed by block; each list is in order of time.
    owners: Vec<Vec<Ownership>>,
    /// Indexed by block.
    migrations: Vec<Vec<Migration>>,
    /// Times at which the slot map changes; each starts a new epoch.
    epoch_starts: Vec<Micros>,
    loading: Vec<Loading>,
    stale_maps: Vec<StaleMap>,
}

/// How a server handles a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// It executes the command.
    Execute,
    /// It redirects the client to the owner of the slot.
    Moved(usize),
    /// It redirects the client, for this command only, to the server that the key has migrated to.
    Ask(usize),
    /// It rejects the command because the key has not arrived yet.
    TryAgain,
    /// It rejects the command because it is still loading its data.
    Loading,
}

/// The properties of a command on which its outcome depends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Command {
    /// The slot of its key.
    pub slot: u16,
    /// The key's rank, below [`RANK_COUNT`]: its position in a migration.
    pub rank: u64,
    /// Whether an ASKING command preceded it.
    pub asking: bool,
    /// Whether READONLY was sent on its connection.
    pub readonly: bool,
    /// Whether it is a write.
    pub is_write: bool,
}

/// The block that a slot belongs to.
pub fn block_of(slot: u16) -> usize {
    usize::from(slot) * BLOCK_COUNT / usize::from(SLOT_COUNT)
}

impl Migration {
    /// Whether a key has already moved to the migration's target.
    fn has_moved(&self, rank: u64, now: Micros) -> bool {
        (now - self.start) * RANK_COUNT / (self.end - self.start) > rank
    }
}

impl Cluster {
    fn owner(&self, block: usize, now: Micros) -> usize {
        let owners = &self.owners[block];
        let count = owners.partition_point(|ownership| ownership.since <= now);
        owners[count.max(1) - 1].owner
    }

    /// The time whose slot map a server uses: earlier than now where its map is stale.
    fn map_time(&self, server: usize, now: Micros) -> Micros {
        let stale = self.stale_maps.iter().filter(|map| map.server == server && map.span.contains(&now));
        now.saturating_sub(stale.map(|map| map.lag).max().unwrap_or(0))
    }

    /// The primary whose replica a server is, if it is a replica. Failovers are not taken into
    /// account.
    fn replica_of(&self, server: usize) -> Option<usize> {
        // Zones are assigned to servers in turn, so the shift by one places a replica in another
        // zone than its primary.
        let nth = server.checked_sub(self.primaries)?;
        Some((nth + self.primaries - 1) % self.primaries)
    }

    /// Whether a server is loading its data.
    pub fn is_loading(&self, server: usize, now: Micros) -> bool {
        self.loading.iter().any(|loading| loading.server == server && loading.span.contains(&now))
    }

    /// Decides how a server handles a command.
    pub fn handle(&self, server: usize, now: Micros, command: Command) -> CommandOutcome {
        if self.is_loading(server, now) {
            return CommandOutcome::Loading;
        }
        let block = block_of(command.slot);
        let now = self.map_time(server, now);
        let owner = self.owner(block, now);
        let migration =
            self.migrations[block].iter().find(|migration| (migration.start..migration.end).contains(&now));
        if let Some(migration) = migration {
            let moved = migration.has_moved(command.rank, now);
            if owner == server && moved {
                return CommandOutcome::Ask(migration.target);
            }
            if migration.target == server && command.asking {
                return if moved { CommandOutcome::Execute } else { CommandOutcome::TryAgain };
            }
        }
        let serves_replica_read =
            self.replica_of(server) == Some(owner) && command.readonly && !command.is_write;
        if owner == server || serves_replica_read {
            CommandOutcome::Execute
        } else {
            CommandOutcome::Moved(owner)
        }
    }

    /// A server's reply to `CLUSTER NODES`; `addr` returns the address at which the caller reaches
    /// a node.
    pub fn nodes_reply(
        &self,
        server: usize,
        now: Micros,
        servers: usize,
        addr: impl Fn(usize) -> String,
    ) -> String {
        let now = self.map_time(server, now);
        let epoch = self.epoch_starts.partition_point(|at| *at <= now) + 1;
        let mut text = String::new();
        for node in 0..servers {
            let owned: Vec<usize> =
                (0..BLOCK_COUNT).filter(|block| self.owner(*block, now) == node).collect();
            let role = match self.replica_of(node).filter(|_| owned.is_empty()) {
                Some(primary) => format!("slave node{primary:02}"),
                None => "master -".into(),
            };
            let flags = if node == server { "myself," } else { "" };
            let slots: String = owned.iter().map(|block| slots_of(*block)).collect();
            text += &format!("node{node:02} {}@0 {flags}{role} 0 0 {epoch} connected{slots}\n", addr(node));
        }
        text
    }
}

/// The slot range of a block in the format of `CLUSTER NODES`.
fn slots_of(block: usize) -> String {
    let per_block = usize::from(SLOT_COUNT) / BLOCK_COUNT;
    format!(" {}-{}", block * per_block, (block + 1) * per_block - 1)
}
