//! The slot map: the owner and the replicas of each slot, stored by slot ranges.

use crate::node::Node;
use crate::slot_range::{SLOT_COUNT, SlotRange};
use crate::view::ClusterView;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of `MOVED` redirections kept until the next view. Each redirection requests a
/// poll for a new view, so further ones need not be kept.
const MAX_MOVED_SLOTS: usize = 1024;

/// A range of slots with one owner.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotAssignment {
    /// The range of slots.
    pub slots: SlotRange,
    /// The node that owns them.
    pub owner: SocketAddr,
    /// The owner's replicas, which may lag behind the owner.
    pub replicas: Vec<SocketAddr>,
    /// The configuration epoch of the owner's claim.
    epoch: u64,
}

/// A view is older than one that was applied before, because the node that sent it was partitioned
/// from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("outdated view of the cluster: its epoch is {epoch}, and epoch {applied_epoch} was applied before")]
pub struct OutdatedView {
    /// The newest epoch in the view.
    pub epoch: u64,
    /// The newest epoch that was applied before.
    pub applied_epoch: u64,
}

/// The owner and the replicas of each slot, as far as views and redirections have reported them.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    /// The assignments by first slot. They don't overlap; there may be gaps between them.
    assignments: Vec<SlotAssignment>,
    /// The targets of `MOVED` redirections since the last view, by slot.
    moved_slots: BTreeMap<u16, SocketAddr>,
    /// The newest epoch of the views applied so far.
    applied_epoch: u64,
}

impl SlotMap {
    /// The assignments reported by views, in the order of their slots, without the redirections
    /// since the last view.
    pub fn assignments(&self) -> &[SlotAssignment] {
        &self.assignments
    }

    fn assignment(&self, slot: u16) -> Option<&SlotAssignment> {
        let index = self.assignments.partition_point(|assignment| assignment.slots.last < slot);
        self.assignments.get(index).filter(|assignment| assignment.slots.contains(slot))
    }

    /// The servers that may serve a slot: the owner, then the replicas in their order in the view.
    /// Empty for a slot without an owner.
    pub fn servers_for(&self, slot: u16) -> impl Iterator<Item = SocketAddr> {
        let assignment = self.assignment(slot);
        let moved = self.moved_slots.get(&slot).copied();
        // The replicas are those of the former owner, and may not hold a slot that has moved.
        let owner = moved.or(assignment.map(|assignment| assignment.owner));
        let replicas =
            assignment.filter(|_| moved.is_none()).map_or(&[][..], |assignment| &assignment.replicas);
        owner.into_iter().chain(replicas.iter().copied())
    }

    /// The server that owns a slot, if one is known.
    pub fn owner(&self, slot: u16) -> Option<SocketAddr> {
        self.servers_for(slot).next()
    }

    /// Applies a `MOVED` redirection, which is newer than the map: the server that sent it has
    /// given the slot away, or the map was outdated when the request was sent. Returns whether the
    /// map had a different owner.
    pub fn apply_moved(&mut self, slot: u16, target: SocketAddr) -> bool {
        if slot >= SLOT_COUNT || self.owner(slot) == Some(target) {
            return false;
        }
        if self.moved_slots.len() < MAX_MOVED_SLOTS || self.moved_slots.contains_key(&slot) {
            self.moved_slots.insert(slot, target);
        }
        true
    }

    /// Applies a view, slot by slot. An outdated view, which a partitioned node reports, is
    /// rejected with an error and changes nothing. A slot that no node claims keeps its owner while
    /// the owner is live, as the slot may be in migration.
    pub fn apply_view(&mut self, view: &ClusterView) -> Result<(), OutdatedView> {
        let epoch = view.newest_epoch();
        if epoch < self.applied_epoch {
            return Err(OutdatedView { epoch, applied_epoch: self.applied_epoch });
        }
        self.assignments = self.merge(view);
        self.applied_epoch = epoch;
        // The view replaces the redirections received before it, except for slots to which it
        // assigns no owner.
        let mut moved_slots = std::mem::take(&mut self.moved_slots);
        moved_slots.retain(|slot, target| view.is_live(*target) && self.assignment(*slot).is_none());
        self.moved_slots = moved_slots;
        Ok(())
    }

    /// The assignments after a view: the claims in the view, and for unclaimed slots the previous
    /// assignment.
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
            let retained = || {
                let assignment = self.assignment(slot).filter(|assignment| view.is_live(assignment.owner))?;
                Some(SlotAssignment { slots: SlotRange { first: slot, last: slot }, ..assignment.clone() })
            };
            let Some(next) = claimed.or_else(retained) else { continue };
            match merged.last_mut() {
                Some(previous) if previous.is_continued_by(&next) => previous.slots.last = slot,
                _ => merged.push(next),
            }
        }
        merged
    }
}

impl SlotAssignment {
    /// Whether `next` begins right after these slots and assigns its slots to the same nodes by the
    /// same claim.
    fn is_continued_by(&self, next: &SlotAssignment) -> bool {
        self.slots.last + 1 == next.slots.first
            && self.owner == next.owner
            && self.replicas == next.replicas
            && self.epoch == next.epoch
    }
}

/// For each slot, the node whose claim takes precedence.
fn winning_claims(view: &ClusterView) -> Vec<Option<&Node>> {
    let mut claims: Vec<Option<&Node>> = vec![None; usize::from(SLOT_COUNT)];
    for node in view.live_owners() {
        for range in &node.slots {
            for claim in &mut claims[usize::from(range.first)..=usize::from(range.last)] {
                if claim.is_none_or(|other| takes_precedence(node, other)) {
                    *claim = Some(node);
                }
            }
        }
    }
    claims
}

/// Whether the claim of `node` on a slot takes precedence over that of `other`. The higher epoch
/// does, by the rule that the nodes themselves follow; for equal epochs the lower node id does.
fn takes_precedence(node: &Node, other: &Node) -> bool {
    (Reverse(node.epoch), &node.id) < (Reverse(other.epoch), &other.id)
}
