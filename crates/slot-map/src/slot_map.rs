//! The slot map: which node owns each slot, held as ranges, and its replicas.

use crate::node::Node;
use crate::slot_range::{SLOT_COUNT, SlotRange};
use crate::view::ClusterView;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Redirections that are held until the next view; a cluster that has moved more slots is polled
/// for one anyway.
const MAX_MOVED: usize = 1024;

/// A range of slots with one owner.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotAssignment {
    /// The slots.
    pub slots: SlotRange,
    /// The node that owns them.
    pub owner: SocketAddr,
    /// The owner's replicas, which may lag behind it.
    pub replicas: Vec<SocketAddr>,
    /// The configuration epoch of the owner's claim.
    epoch: u64,
}

/// A view that is older than one that was applied before: the node that sent it was cut off from
/// the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an old view, epoch {epoch} after {applied}")]
pub struct OutdatedView {
    /// The newest epoch in the view.
    pub epoch: u64,
    /// The newest epoch that was applied before.
    pub applied: u64,
}

/// The owner and the replicas of each slot, as far as views and redirections have reported them.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    /// By their first slots; they don't overlap, and there may be gaps.
    assignments: Vec<SlotAssignment>,
    /// The targets of `MOVED` redirections since the last view, by slot.
    moved: BTreeMap<u16, SocketAddr>,
    /// The newest epoch of the views so far.
    epoch: u64,
}

impl SlotMap {
    /// The ranges that views have assigned, in order. Redirections since the last view are not
    /// among them.
    pub fn assignments(&self) -> &[SlotAssignment] {
        &self.assignments
    }

    fn assignment(&self, slot: u16) -> Option<&SlotAssignment> {
        let index = self.assignments.partition_point(|assignment| assignment.slots.last < slot);
        self.assignments.get(index).filter(|assignment| assignment.slots.contains(slot))
    }

    /// The servers that may serve a slot: its owner, then its replicas, in order. Empty for a slot
    /// without an owner.
    pub fn servers_for(&self, slot: u16) -> impl Iterator<Item = SocketAddr> {
        let assignment = self.assignment(slot);
        let moved = self.moved.get(&slot).copied();
        // Replicas are the former owner's: they may know nothing of a slot that has moved.
        let owner = moved.or(assignment.map(|assignment| assignment.owner));
        let replicas =
            assignment.filter(|_| moved.is_none()).map_or(&[][..], |assignment| &assignment.replicas);
        owner.into_iter().chain(replicas.iter().copied())
    }

    /// The server that owns a slot, if any is known.
    pub fn owner(&self, slot: u16) -> Option<SocketAddr> {
        self.servers_for(slot).next()
    }

    /// Applies a `MOVED` redirection. The server that sent it knows better: it was the owner, or
    /// the request was sent by an outdated map. Returns whether the owner was another before.
    pub fn apply_moved(&mut self, slot: u16, to: SocketAddr) -> bool {
        if slot >= SLOT_COUNT || self.owner(slot) == Some(to) {
            return false;
        }
        if self.moved.len() < MAX_MOVED || self.moved.contains_key(&slot) {
            self.moved.insert(slot, to);
        }
        true
    }

    /// Applies a view, slot by slot. A node that was cut off reports an old view, which is an error
    /// and changes nothing. A slot that nobody claims keeps its owner while that one is live: the
    /// slot may be in migration.
    pub fn apply_view(&mut self, view: &ClusterView) -> Result<(), OutdatedView> {
        let epoch = view.newest_epoch();
        if epoch < self.epoch {
            return Err(OutdatedView { epoch, applied: self.epoch });
        }
        self.assignments = self.merge(view);
        self.epoch = epoch;
        // A view is newer than the redirections before it, except for slots that it leaves without
        // an owner.
        let mut moved = std::mem::take(&mut self.moved);
        moved.retain(|slot, to| view.is_live(*to) && self.assignment(*slot).is_none());
        self.moved = moved;
        Ok(())
    }

    /// The assignments after a view: its claims, and for slots without one the assignment before.
    fn merge(&self, view: &ClusterView) -> Vec<SlotAssignment> {
        let claims = winning_claims(view);
        let mut merged: Vec<SlotAssignment> = Vec::new();
        for slot in 0..SLOT_COUNT {
            let claimed = claims[usize::from(slot)].map(|owner| SlotAssignment {
                slots: SlotRange { first: slot, last: slot },
                owner: owner.addr,
                replicas: view.live_replicas(owner),
                epoch: owner.epoch,
            });
            let before = || {
                let assignment = self.assignment(slot).filter(|before| view.is_live(before.owner))?;
                Some(SlotAssignment { slots: SlotRange { first: slot, last: slot }, ..assignment.clone() })
            };
            let Some(next) = claimed.or_else(before) else { continue };
            match merged.last_mut() {
                Some(last) if last.continues_in(&next) => last.slots.last = slot,
                _ => merged.push(next),
            }
        }
        merged
    }
}

impl SlotAssignment {
    /// Whether the next slots follow at once and are assigned to the same nodes by the same claim.
    fn continues_in(&self, next: &SlotAssignment) -> bool {
        self.slots.last + 1 == next.slots.first
            && self.owner == next.owner
            && self.replicas == next.replicas
            && self.epoch == next.epoch
    }
}

/// The node whose claim on each slot wins, by slot.
fn winning_claims(view: &ClusterView) -> Vec<Option<&Node>> {
    let mut claims: Vec<Option<&Node>> = vec![None; usize::from(SLOT_COUNT)];
    for node in view.live_owners() {
        for range in &node.slots {
            for claim in &mut claims[usize::from(range.first)..=usize::from(range.last)] {
                if claim.is_none_or(|other| outranks(node, other)) {
                    *claim = Some(node);
                }
            }
        }
    }
    claims
}

/// Of two nodes that claim a slot the higher epoch wins, as among the nodes themselves; of equal
/// ones the lower id.
fn outranks(node: &Node, other: &Node) -> bool {
    (Reverse(node.epoch), &node.id) < (Reverse(other.epoch), &other.id)
}
