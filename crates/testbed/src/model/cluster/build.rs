//! Derives the cluster's state over a run from an experiment's faults.

use super::{BLOCK_COUNT, Cluster, Loading, Migration, Ownership, StaleMap};
use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::experiment::{Experiment, Fault, FaultKind};

/// Duration of a block's migration, as a share of the interval between two migrations.
const MIGRATION_SHARE: f64 = 0.8;
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
enum OwnershipChange {
    Migrate { block: usize, start: Micros, end: Micros },
    FailOver { server: usize, at: Micros },
}

impl OwnershipChange {
    /// Sort key in which changes are applied: the time, then the block or server.
    fn order(&self) -> (Micros, usize) {
        match self {
            OwnershipChange::Migrate { block, start, .. } => (*start, *block),
            OwnershipChange::FailOver { server, at } => (*at, *server),
        }
    }
}

impl Cluster {
    /// Computes the cluster's state over the run of an experiment.
    pub fn new(experiment: &Experiment) -> Cluster {
        let servers = experiment.world.servers;
        let primaries = servers.div_ceil(2);
        let first_owner = |block: usize| vec![Ownership { since: 0, owner: block * primaries / BLOCK_COUNT }];
        let mut cluster = Cluster {
            primaries,
            owners: (0..BLOCK_COUNT).map(first_owner).collect(),
            migrations: vec![Vec::new(); BLOCK_COUNT],
            ..Cluster::default()
        };
        let mut changes: Vec<OwnershipChange> = Vec::new();
        for fault in experiment.faults_in_order() {
            changes.extend(cluster.apply(experiment, fault));
        }
        // Changes are applied in order of time, because a failover affects the blocks that the
        // server owns at that time.
        changes.sort_by_key(OwnershipChange::order);
        for change in changes {
            match change {
                OwnershipChange::Migrate { block, start, end } => cluster.migrate(block, start, end),
                OwnershipChange::FailOver { server, at } => cluster.fail_over(server, at, servers),
            }
        }
        cluster.epoch_starts.sort_unstable();
        cluster
    }

    /// Records what a fault does to single servers, and returns the changes of owners that it
    /// causes.
    fn apply(&mut self, experiment: &Experiment, fault: &Fault) -> Vec<OwnershipChange> {
        let target_servers = experiment.target_servers(fault);
        let at = micros_from_seconds(fault.at);
        match fault.kind {
            FaultKind::SlotsMove => migrations(fault),
            FaultKind::Failover => {
                self.add_loading(fault, &target_servers);
                let fail_over = |server| OwnershipChange::FailOver { server, at: at + FAILOVER_DELAY };
                target_servers.into_iter().map(fail_over).collect()
            }
            FaultKind::Restarts => {
                self.add_loading(fault, &target_servers);
                Vec::new()
            }
            FaultKind::OldMap => {
                let lag = micros_from_seconds(fault.by.unwrap_or(DEFAULT_SECONDS));
                let stale_map = |server| StaleMap { server, span: fault.active_time(), lag };
                self.stale_maps.extend(target_servers.into_iter().map(stale_map));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn add_loading(&mut self, fault: &Fault, servers: &[usize]) {
        let returns =
            micros_from_seconds(fault.at) + micros_from_seconds(fault.down.unwrap_or(DEFAULT_SECONDS));
        let loading = |server: &usize| Loading { server: *server, span: returns..returns + LOADING_TIME };
        self.loading.extend(servers.iter().map(loading));
    }

    /// Migrates a block to the next primary.
    fn migrate(&mut self, block: usize, start: Micros, end: Micros) {
        let owner = self.owner(block, start);
        let target = (owner % self.primaries + 1) % self.primaries;
        self.migrations[block].push(Migration { start, end, target });
        self.owners[block].push(Ownership { since: end, owner: target });
        self.epoch_starts.push(end);
    }

    /// Gives all blocks of a server to its replica.
    fn fail_over(&mut self, server: usize, at: Micros, servers: usize) {
        let is_primary = server < self.primaries;
        let replica = if is_primary { self.primaries + (server + 1) % self.primaries } else { server };
        let replica = replica.min(servers - 1);
        for block in 0..BLOCK_COUNT {
            if self.owner(block, at) == server {
                // A migration in progress is abandoned: the block stays with the replica that took
                // over.
                self.migrations[block].retain(|migration| migration.end <= at);
                self.owners[block].retain(|ownership| ownership.since <= at);
                self.owners[block].push(Ownership { since: at, owner: replica });
            }
        }
        self.epoch_starts.push(at);
    }
}

/// The migrations of a fault: one block per interval, for as long as the fault lasts.
fn migrations(fault: &Fault) -> Vec<OwnershipChange> {
    let span = fault.active_time();
    let interval = micros_from_seconds(fault.every.unwrap_or(DEFAULT_SECONDS)).max(1);
    let migration = |n: u64| {
        let start = span.start + n * interval;
        let end = start + (interval as f64 * MIGRATION_SHARE) as Micros;
        OwnershipChange::Migrate { block: n as usize * BLOCK_STEP % BLOCK_COUNT, start, end }
    };
    (0..(span.end - span.start) / interval).map(migration).collect()
}
