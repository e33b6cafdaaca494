//! The settings of this frontend: the users that may connect, the namespaces of keys, and the
//! instances that are reported to clients.

use chalkwalk_slot_map::SlotRange;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

/// The namespaces of the keys that begin with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixRule {
    /// The prefix of the keys.
    pub prefix: String,
    /// The index of the namespace of commands that read these keys.
    pub read_namespace: usize,
    /// The index of the namespace of commands that write these keys.
    pub write_namespace: usize,
}

/// A proxy instance of the fleet, which clients see as a node of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyNode {
    /// The name of the instance, from which its node id is derived.
    pub name: String,
    /// The address that clients connect to.
    pub addr: SocketAddr,
    /// The slots that the instance serves.
    pub slots: SlotRange,
}

/// A user that may authenticate.
#[derive(Clone, Debug, PartialEq)]
pub struct User {
    /// The name in `AUTH` and `HELLO`.
    pub name: String,
    /// The SHA-256 hash of the secret. The secret itself is never stored.
    pub secret_sha256: [u8; 32],
}

/// The settings of this frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address that clients connect to. This process is the instance with this address in
    /// `instances`.
    pub listen_addr: SocketAddr,
    /// The servers that are polled for the first slot map, and later in rotation with the owners of
    /// slots.
    pub seeds: Vec<SocketAddr>,
    /// The index of the namespace for reads of keys without a prefix rule.
    pub read_namespace: usize,
    /// The index of the namespace for writes to keys without a prefix rule.
    pub write_namespace: usize,
    /// The rules by key prefix. The first rule that matches a key applies.
    pub prefix_rules: Vec<PrefixRule>,
    /// For each namespace, whether replicas may answer its reads.
    pub allow_stale_reads: Vec<bool>,
    /// Whether commands with keys in several slots are split into one command per slot.
    pub split_multi_slot: bool,
    /// The instances that clients see. If empty, clients see only this instance, with all slots.
    pub instances: Vec<ProxyNode>,
    /// The users that may authenticate. If empty, clients need no authentication.
    pub users: Vec<User>,
}

/// The hash under which a secret is stored.
pub fn hash_secret(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

impl Settings {
    /// The index of the namespace of a command on a key. It depends on the key's prefix, and on
    /// whether the command writes.
    pub fn namespace_of(&self, key: &[u8], write: bool) -> usize {
        let rule = self.prefix_rules.iter().find(|rule| key.starts_with(rule.prefix.as_bytes()));
        match (rule, write) {
            (Some(rule), false) => rule.read_namespace,
            (Some(rule), true) => rule.write_namespace,
            (None, false) => self.read_namespace,
            (None, true) => self.write_namespace,
        }
    }

    /// Whether replicas may answer a read of keys in these namespaces: each of them has to allow it.
    pub fn replicas_may_answer(&self, namespaces: &[usize]) -> bool {
        namespaces.iter().all(|namespace| self.allow_stale_reads.get(*namespace) == Some(&true))
    }

    /// Whether `secret` is the secret of the user `name`. The check compares every user in constant
    /// time, so that its duration does not depend on whether the name or the secret is right.
    pub fn authenticates(&self, name: &[u8], secret: &[u8]) -> bool {
        let secret_hash = hash_secret(secret);
        let name_hash = hash_secret(name);
        self.users.iter().fold(false, |authenticated, user| {
            let same_name = hash_secret(user.name.as_bytes()).ct_eq(&name_hash);
            let same_secret = user.secret_sha256.ct_eq(&secret_hash);
            authenticated | bool::from(same_secret & same_name)
        })
    }

    /// The instance that serves a slot: this one if it serves the slot, else the first one that
    /// does.
    pub fn instance_of(&self, slot: u16) -> Option<&ProxyNode> {
        let mut serving = self.instances.iter().filter(|instance| instance.slots.contains(slot));
        let own = serving.clone().find(|instance| instance.addr == self.listen_addr);
        own.or_else(|| serving.next())
    }
}
