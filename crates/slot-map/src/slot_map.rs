//! The slot map: which node owns each slot, kept as ranges, and its replicas.

use crate::SlotRange;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const SLOT_COUNT: u16 = 16384;

/// A node as the cluster itself tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub id: String,
    pub addr: SocketAddr,
    pub failed: bool,
    /// The id of the node that it is a replica of.
    pub replica_of: Option<String>,
    /// A higher one is the newer word on the slots that it claims.
    pub epoch: u64,
    pub slots: Vec<SlotRange>,
}

/// What one node says of the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    pub nodes: Vec<Node>,
}

/// Of lines that are read at the most: the specification advises a thousand nodes.
const MAX_NODES: usize = 4096;

impl ClusterView {
    /// Reads what `CLUSTER NODES` answers. `from` is who says it: it may not know its own address.
    pub fn read(text: &str, from: SocketAddr) -> Result<ClusterView, String> {
        let mut nodes = Vec::new();
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
            if nodes.len() == MAX_NODES {
                return Err(format!("more than {MAX_NODES} nodes"));
            }
            if let Some(node) = node(line, from)? {
                nodes.push(node);
            }
        }
        if nodes.is_empty() { Err("no node".into()) } else { Ok(ClusterView { nodes }) }
    }
}

/// `id addr@bus[,host] flags master ping pong epoch link slot...`; none for a node without an address.
fn node(line: &str, from: SocketAddr) -> Result<Option<Node>, String> {
    let wrong = |what: &str| format!("a node without {what}: {}", line.chars().take(80).collect::<String>());
    let words: Vec<&str> = line.split(' ').collect();
    let [id, addr, flags, master, _, _, epoch, _, rest @ ..] = words.as_slice() else {
        return Err(wrong("its eight fields"));
    };
    let has = |flag: &str| flags.split(',').any(|f| f == flag);
    if has("noaddr") || has("handshake") {
        return Ok(None);
    }
    let addr = addr.split(['@', ',']).next().unwrap_or("");
    let addr = match addr.strip_prefix(':') {
        Some(port) => port.parse().ok().map(|port| SocketAddr::new(from.ip(), port)),
        None => addr.parse().ok(),
    };
    let addr = addr.ok_or_else(|| wrong("an address"))?;
    let mut slots = Vec::new();
    // Slots that are on their route stand in brackets: those are still where they were.
    for word in rest.iter().filter(|w| !w.starts_with('[') && !w.is_empty()) {
        slots.push(SlotRange::parse(word).ok_or_else(|| wrong("slots that make sense"))?);
    }
    let replica_of = has("slave").then(|| master.to_string());
    let epoch = epoch.parse().map_err(|_| wrong("an epoch"))?;
    Ok(Some(Node { id: id.to_string(), addr, failed: has("fail"), replica_of, epoch, slots }))
}

/// A stretch of slots with one owner.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotAssignment {
    pub first: u16,
    pub last: u16,
    pub owner: SocketAddr,
    pub replicas: Vec<SocketAddr>,
    epoch: u64,
}

/// What is believed.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    /// By their first slots; they don't overlap, and there may be gaps.
    parts: Vec<SlotAssignment>,
    /// What redirections have told since the last view, by slot.
    moved: BTreeMap<u16, SocketAddr>,
    newest: u64,
}

/// So many redirections are kept until a view comes; a cluster that has moved more is asked for one anyway.
const MAX_MOVED: usize = 1024;

impl SlotMap {
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.moved.is_empty()
    }

    pub fn assignments(&self) -> &[SlotAssignment] {
        &self.parts
    }

    fn part(&self, slot: u16) -> Option<&SlotAssignment> {
        let i = self.parts.partition_point(|p| p.last < slot);
        self.parts.get(i).filter(|p| p.first <= slot)
    }

    /// Who may serve a slot: its owner, then its replicas, in order. Nobody for a slot that nobody owns.
    pub fn servers_for(&self, slot: u16) -> impl Iterator<Item = SocketAddr> {
        let part = self.part(slot);
        let moved = self.moved.get(&slot).copied();
        // Replicas are the former owner's: they may know nothing of a slot that has moved.
        let owner = moved.or(part.map(|p| p.owner));
        let replicas = part.filter(|_| moved.is_none()).map_or(&[][..], |p| &p.replicas);
        owner.into_iter().chain(replicas.iter().copied())
    }

    pub fn owner(&self, slot: u16) -> Option<SocketAddr> {
        self.servers_for(slot).next()
    }

    /// A server has said that a slot is elsewhere now: it knows, as it was the owner, or it was asked by an old map. Whether
    /// that is news.
    pub fn apply_moved(&mut self, slot: u16, to: SocketAddr) -> bool {
        if slot >= SLOT_COUNT || self.owner(slot) == Some(to) {
            return false;
        }
        if self.moved.len() < MAX_MOVED || self.moved.contains_key(&slot) {
            self.moved.insert(slot, to);
        }
        true
    }

    /// Takes what a node says, slot by slot by the newer epoch: a node that was cut off tells an old view, and of its slots only
    /// those are taken that nobody has claimed since. A slot that nobody claims keeps its owner, as far as that one is still
    /// there: it may be on its route. An error says why nothing was taken.
    pub fn apply_view(&mut self, view: &ClusterView) -> Result<(), String> {
        let newest = view.nodes.iter().map(|n| n.epoch).max().unwrap_or(0);
        if newest < self.newest {
            return Err(format!("an old view, epoch {newest} after {}", self.newest));
        }
        let mut claims: Vec<(u16, u16, &Node)> = Vec::new();
        for node in view.nodes.iter().filter(|n| n.replica_of.is_none() && !n.failed) {
            claims.extend(node.slots.iter().map(|range| (range.first, range.last, node)));
        }
        let mut owners: Vec<Option<&Node>> = vec![None; usize::from(SLOT_COUNT)];
        for (first, last, node) in claims {
            for owner in &mut owners[usize::from(first)..=usize::from(last)] {
                // Two that claim a slot: the higher epoch has it, as among the nodes themselves; of two alike the lower id.
                let key = |n: &Node| (std::cmp::Reverse(n.epoch), n.id.clone());
                if owner.is_none_or(|other| key(node) < key(other)) {
                    *owner = Some(node);
                }
            }
        }
        let there = |addr: SocketAddr| view.nodes.iter().any(|n| n.addr == addr && !n.failed);
        let mut parts: Vec<SlotAssignment> = Vec::new();
        for slot in 0..SLOT_COUNT {
            let old =
                || self.part(slot).filter(|p| there(p.owner)).map(|p| (p.owner, p.epoch, p.replicas.clone()));
            let claimed = owners[usize::from(slot)].map(|n| {
                let of = |r: &&Node| r.replica_of.as_ref() == Some(&n.id) && !r.failed;
                (n.addr, n.epoch, view.nodes.iter().filter(of).map(|r| r.addr).collect::<Vec<_>>())
            });
            let Some((owner, epoch, replicas)) = claimed.or_else(old) else { continue };
            match parts.last_mut() {
                Some(p)
                    if p.last + 1 == slot
                        && p.owner == owner
                        && p.replicas == replicas
                        && p.epoch == epoch =>
                {
                    p.last = slot;
                }
                _ => parts.push(SlotAssignment { first: slot, last: slot, owner, replicas, epoch }),
            }
        }
        self.parts = parts;
        self.newest = newest;
        // A view tells more than a redirection did, but of slots that nobody claims.
        let mut moved = std::mem::take(&mut self.moved);
        moved.retain(|slot, to| there(*to) && self.part(*slot).is_none());
        self.moved = moved;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    fn told(map: &SlotMap) -> String {
        let part = |p: &SlotAssignment| {
            let replicas: Vec<String> = p.replicas.iter().map(|r| r.port().to_string()).collect();
            format!("{}-{} {} [{}]\n", p.first, p.last, p.owner.port(), replicas.join(" "))
        };
        map.parts.iter().map(part).collect()
    }

    fn view(text: &str) -> Result<ClusterView, String> {
        ClusterView::read(text, "127.0.0.1:7000".parse().unwrap())
    }

    const THREE: &str = "a 127.0.0.1:7000@17000,host myself,master - 0 0 1 connected 0-5460 [100->-b]\n\
        b 127.0.0.1:7001@17001 master - 0 0 2 connected 5461-10922\nc :7002@17002 master - 0 0 3 connected 10923-16383\n\
        d 127.0.0.1:7003@17003 slave b 0 0 2 connected\ne :0@0 master,noaddr - 0 0 0 disconnected\n";

    #[test]
    fn a_view_is_read_and_two_owners_and_gaps_are_settled() {
        let mut map = SlotMap::default();
        map.apply_view(&view(THREE).unwrap()).unwrap();
        let first = told(&map);
        // b has failed and d took over; c claims a slot of a's too by its higher epoch; a gap stays with who had it.
        let after = "a 127.0.0.1:7000@1 master - 0 0 1 connected 0-5000\nb 127.0.0.1:7001@1 master,fail - 0 0 2 connected\n\
            c 127.0.0.1:7002@1 master - 0 0 3 connected 10923-16383 77\nd 127.0.0.1:7003@1 master - 0 0 4 connected 5461-10922";
        map.apply_view(&view(after).unwrap()).unwrap();
        let old = map.apply_view(&view(THREE).unwrap());
        expect![[r#"
            0-5460 7000 []
            5461-10922 7001 [7003]
            10923-16383 7002 []

            0-76 7000 []
            77-77 7002 []
            78-5460 7000 []
            5461-10922 7003 []
            10923-16383 7002 []
            Err("an old view, epoch 3 after 4")"#]]
        .assert_eq(&format!("{first}\n{}{old:?}", told(&map)));
    }

    #[test]
    fn a_redirection_holds_until_a_view_says_more() {
        let to: SocketAddr = "127.0.0.1:7002".parse().unwrap();
        let mut map = SlotMap::default();
        assert!(map.apply_moved(5, to) && !map.apply_moved(5, to) && map.owner(6).is_none());
        map.apply_view(&view(THREE).unwrap()).unwrap();
        assert!(map.apply_moved(6000, to) && !map.apply_moved(16384, to));
        assert_eq!(map.servers_for(6000).collect::<Vec<_>>(), [to]);
        assert_eq!(map.servers_for(6001).map(|a| a.port()).collect::<Vec<_>>(), [7001, 7003]);
        map.apply_view(&view(THREE).unwrap()).unwrap();
        assert_eq!(map.owner(6000).map(|a| a.port()), Some(7001));
    }

    #[test]
    fn nonsense_is_refused() {
        for odd in [
            "",
            "x",
            "a b c d e f g h",
            "a 127.0.0.1:1@1 master - 0 0 1 connected 9-3",
            "a 1:1 m - 0 0 x c 16384",
        ] {
            assert!(view(odd).is_err(), "{odd}");
        }
    }
}
