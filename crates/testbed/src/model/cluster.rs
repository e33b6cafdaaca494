//! A cluster of servers that hold hash slots, over the day: who owns which block of slots, what is on its way, which replica
//! took over. Functions of time, worked out ahead from the experiment. The first half of the servers are primaries, the second
//! their replicas, one each, beside their primary's neighbour.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, FaultKind};

pub const SLOTS: u16 = 16384;
/// Slots move in blocks of 256.
pub const BLOCKS: usize = 64;
/// Of the time to the next move, the part in which a block is on its way.
const MIGRATION_PART: f64 = 0.8;
/// A replica takes over so long after its primary is gone: a node time-out and an election.
const FAILOVER_DELAY: Micros = 800_000;
/// A server that is back loads for so long before it answers.
const LOADING_TIME: Micros = SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Migration {
    from: Micros,
    until: Micros,
    to: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Cluster {
    pub primaries: usize,
    /// By block: owners and since when, in order.
    owners: Vec<Vec<(Micros, usize)>>,
    migrations: Vec<Vec<Migration>>,
    /// Moments at which the map changed: each is an epoch.
    changes: Vec<Micros>,
    loading: Vec<(usize, Micros, Micros)>,
    old_maps: Vec<(usize, std::ops::Range<Micros>, Micros)>,
}

/// What a server does with a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    Serves,
    Moved(usize),
    Ask(usize),
    TryAgain,
    Loading,
}

/// How one comes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Command {
    pub slot: u16,
    /// A number from 0 to 999 that is the key's own: keys of a block go over one after the other.
    pub rank: u64,
    pub asking: bool,
    pub readonly: bool,
    pub write: bool,
}

pub fn block_of(slot: u16) -> usize {
    usize::from(slot) * BLOCKS / usize::from(SLOTS)
}

impl Cluster {
    pub fn new(experiment: &Experiment) -> Cluster {
        let servers = experiment.world.servers;
        let primaries = servers.div_ceil(2);
        let first = |block: usize| vec![(0, block * primaries / BLOCKS)];
        let mut all = Cluster {
            primaries,
            owners: (0..BLOCKS).map(first).collect(),
            migrations: vec![Vec::new(); BLOCKS],
            ..Cluster::default()
        };
        // In order of time: a failover's owner is who had the block then.
        let mut actions: Vec<(Micros, usize, Option<Migration>)> = Vec::new();
        for t in experiment.faults.iter().map(|t| t.get_ref()) {
            let (at, span) = (micros(t.at), t.span());
            match t.kind {
                FaultKind::SlotsMove => {
                    let every = micros(t.every.unwrap_or(1.0)).max(1);
                    for n in 0..(span.end - span.start) / every {
                        let from = at + n * every;
                        let until = from + (every as f64 * MIGRATION_PART) as Micros;
                        // Steps of 37 pass through all of 64 blocks.
                        actions.push((
                            from,
                            n as usize * 37 % BLOCKS,
                            Some(Migration { from, until, to: 0 }),
                        ));
                    }
                }
                FaultKind::Failover => {
                    for server in experiment.targets(t) {
                        actions.push((at + FAILOVER_DELAY, server, None));
                        let back = at + micros(t.down.unwrap_or(1.0));
                        all.loading.push((server, back, back + LOADING_TIME));
                    }
                }
                FaultKind::Restarts => {
                    for server in experiment.targets(t) {
                        let back = at + micros(t.down.unwrap_or(1.0));
                        all.loading.push((server, back, back + LOADING_TIME));
                    }
                }
                FaultKind::OldMap => {
                    let by = micros(t.by.unwrap_or(1.0));
                    all.old_maps.extend(experiment.targets(t).into_iter().map(|s| (s, span.clone(), by)));
                }
                _ => {}
            }
        }
        actions.sort_by_key(|(at, which, _)| (*at, *which));
        for (at, which, migrations) in actions {
            match migrations {
                Some(migrations) => {
                    let owner = all.owner(which, at);
                    let to = (owner % primaries + 1) % primaries;
                    all.migrations[which].push(Migration { to, ..migrations });
                    all.owners[which].push((migrations.until, to));
                    all.changes.push(migrations.until);
                }
                None => {
                    let replica = if which < primaries { primaries + (which + 1) % primaries } else { which };
                    let replica = replica.min(servers - 1);
                    for block in 0..BLOCKS {
                        if all.owner(block, at) == which {
                            // What was on its way stays with who took over.
                            all.migrations[block].retain(|m| m.until <= at);
                            all.owners[block].retain(|(since, _)| *since <= at);
                            all.owners[block].push((at, replica));
                        }
                    }
                    all.changes.push(at);
                }
            }
        }
        all.changes.sort_unstable();
        all
    }

    fn owner(&self, block: usize, now: Micros) -> usize {
        let owners = &self.owners[block];
        let i = owners.partition_point(|(since, _)| *since <= now);
        owners[i.max(1) - 1].1
    }

    /// What a server believes to be the time, where its map is old.
    fn seen_by(&self, server: usize, now: Micros) -> Micros {
        let old = self.old_maps.iter().filter(|(s, span, _)| *s == server && span.contains(&now));
        now.saturating_sub(old.map(|(_, _, by)| *by).max().unwrap_or(0))
    }

    /// The replica of a primary, as long as it has not taken over.
    fn replica_of(&self, server: usize) -> Option<usize> {
        // Not in its primary's zone, where zones are dealt out in turn.
        let nth = server.checked_sub(self.primaries)?;
        Some((nth + self.primaries - 1) % self.primaries)
    }

    pub fn handle(&self, server: usize, now: Micros, command: Command) -> CommandOutcome {
        if self.loading.iter().any(|(s, from, until)| *s == server && (*from..*until).contains(&now)) {
            return CommandOutcome::Loading;
        }
        let block = block_of(command.slot);
        let now = self.seen_by(server, now);
        let owner = self.owner(block, now);
        let migration = self.migrations[block].iter().find(|m| (m.from..m.until).contains(&now));
        let migrated = |m: &Migration| (now - m.from) * 1000 / (m.until - m.from) > command.rank;
        match migration {
            Some(m) if owner == server && migrated(m) => return CommandOutcome::Ask(m.to),
            Some(m) if m.to == server && command.asking => {
                return if migrated(m) { CommandOutcome::Serves } else { CommandOutcome::TryAgain };
            }
            _ => {}
        }
        if owner == server {
            return CommandOutcome::Serves;
        }
        let replicates_owner = self.replica_of(server) == Some(owner) && command.readonly && !command.write;
        if replicates_owner { CommandOutcome::Serves } else { CommandOutcome::Moved(owner) }
    }

    /// What `CLUSTER NODES` says at a server, with addresses as who asks is to use them.
    pub fn nodes(
        &self,
        server: usize,
        now: Micros,
        servers: usize,
        addr: impl Fn(usize) -> String,
    ) -> String {
        let now = self.seen_by(server, now);
        let epoch = self.changes.partition_point(|at| *at <= now);
        let mut text = String::new();
        for node in 0..servers {
            let mut slots = String::new();
            let own: Vec<usize> = (0..BLOCKS).filter(|b| self.owner(*b, now) == node).collect();
            for block in &own {
                let each = usize::from(SLOTS) / BLOCKS;
                slots += &format!(" {}-{}", block * each, (block + 1) * each - 1);
            }
            let role = match self.replica_of(node).filter(|_| own.is_empty()) {
                Some(primary) => format!("slave node{primary:02}"),
                None => "master -".into(),
            };
            let me = if node == server { "myself," } else { "" };
            text +=
                &format!("node{node:02} {}@0 {me}{role} 0 0 {} connected{slots}\n", addr(node), epoch + 1);
        }
        text
    }
}
