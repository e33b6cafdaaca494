//! Derives the cluster's state over a run from an experiment's faults.

use super::{BLOCKS, Cluster, Loading, Migration, Ownership, StaleMap};
use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, Fault, FaultKind};

/// Duration of a block's migration, as a share of the interval between two migrations.
const MIGRATION_PART: f64 = 0.8;
/// Distance between successive migrating blocks. 37 has no common factor with 64, so the steps
/// reach all 64 blocks.
const BLOCK_STEP: usize = 37;
/// Time from the loss of a primary until its replica takes over: a node timeout and an election.
const FAILOVER_DELAY: Micros = 800_000;
/// Time for which a restarted server loads its data before it answers.
const LOADING_TIME: Micros = SECOND;
/// Fallback for a duration that a kind of fault requires; the experiment's check has already
/// rejected a fault without it.
const DEFAULT_SECONDS: f64 = 1.0;

/// A scheduled change of the owner of one or more blocks.
enum Change {
    Migrate { block: usize, from: Micros, until: Micros },
    FailOver { server: usize, at: Micros },
}

impl Change {
    /// Sort key in which changes are applied: the time, then the block or server.
    fn order(&self) -> (Micros, usize) {
        match self {
            Change::Migrate { block, from, .. } => (*from, *block),
            Change::FailOver { server, at } => (*at, *server),
        }
    }
}

impl Cluster {
    /// Computes the cluster's state over the run of an experiment.
    pub fn new(experiment: &Experiment) -> Cluster {
        let servers = experiment.world.servers;
        let primaries = servers.div_ceil(2);
        let first_owner = |block: usize| vec![Ownership { since: 0, owner: block * primaries / BLOCKS }];
        let mut cluster = Cluster {
            primaries,
            owners: (0..BLOCKS).map(first_owner).collect(),
            migrations: vec![Vec::new(); BLOCKS],
            ..Cluster::default()
        };
        let mut changes: Vec<Change> = Vec::new();
        for fault in experiment.each_fault() {
            changes.extend(cluster.apply(experiment, fault));
        }
        // Changes are applied in order of time, because a failover affects the blocks that the
        // server owns at that time.
        changes.sort_by_key(Change::order);
        for change in changes {
            match change {
                Change::Migrate { block, from, until } => cluster.migrate(block, from, until),
                Change::FailOver { server, at } => cluster.fail_over(server, at, servers),
            }
        }
        cluster.changes.sort_unstable();
        cluster
    }

    /// Records what a fault does to single servers, and returns the changes of owners that it
    /// causes.
    fn apply(&mut self, experiment: &Experiment, fault: &Fault) -> Vec<Change> {
        let targets = experiment.targets(fault);
        let at = micros(fault.at);
        match fault.kind {
            FaultKind::SlotsMove => migrations(fault),
            FaultKind::Failover => {
                self.load_on_return(fault, &targets);
                let fail_over = |server| Change::FailOver { server, at: at + FAILOVER_DELAY };
                targets.into_iter().map(fail_over).collect()
            }
            FaultKind::Restarts => {
                self.load_on_return(fault, &targets);
                Vec::new()
            }
            FaultKind::OldMap => {
                let by = micros(fault.by.unwrap_or(DEFAULT_SECONDS));
                let stale = |server| StaleMap { server, span: fault.span(), by };
                self.stale_maps.extend(targets.into_iter().map(stale));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn load_on_return(&mut self, fault: &Fault, servers: &[usize]) {
        let back = micros(fault.at) + micros(fault.down.unwrap_or(DEFAULT_SECONDS));
        let loading = |server: &usize| Loading { server: *server, span: back..back + LOADING_TIME };
        self.loading.extend(servers.iter().map(loading));
    }

    /// Migrates a block to the next primary.
    fn migrate(&mut self, block: usize, from: Micros, until: Micros) {
        let owner = self.owner(block, from);
        let to = (owner % self.primaries + 1) % self.primaries;
        self.migrations[block].push(Migration { from, until, to });
        self.owners[block].push(Ownership { since: until, owner: to });
        self.changes.push(until);
    }

    /// Gives all blocks of a server to its replica.
    fn fail_over(&mut self, server: usize, at: Micros, servers: usize) {
        let is_primary = server < self.primaries;
        let replica = if is_primary { self.primaries + (server + 1) % self.primaries } else { server };
        let replica = replica.min(servers - 1);
        for block in 0..BLOCKS {
            if self.owner(block, at) == server {
                // A migration in progress is abandoned: the block stays with the replica that took
                // over.
                self.migrations[block].retain(|migration| migration.until <= at);
                self.owners[block].retain(|ownership| ownership.since <= at);
                self.owners[block].push(Ownership { since: at, owner: replica });
            }
        }
        self.changes.push(at);
    }
}

/// The migrations of a fault: one block per interval, for as long as the fault lasts.
fn migrations(fault: &Fault) -> Vec<Change> {
    let span = fault.span();
    let every = micros(fault.every.unwrap_or(DEFAULT_SECONDS)).max(1);
    let migration = |n: u64| {
        let from = span.start + n * every;
        let until = from + (every as f64 * MIGRATION_PART) as Micros;
        Change::Migrate { block: n as usize * BLOCK_STEP % BLOCKS, from, until }
    };
    (0..(span.end - span.start) / every).map(migration).collect()
}
