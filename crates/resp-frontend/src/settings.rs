//! What an operator sets for this frontend: who may connect, how keys map to request classes, and
//! what clients see of the fleet.

use chalkwalk_slot_map::SlotRange;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

/// The request classes of keys that begin with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixRule {
    /// What such keys begin with.
    pub prefix: String,
    /// The class of commands that read, by its index in the settings.
    pub read_class: usize,
    /// The class of commands that write.
    pub write_class: usize,
}

/// An instance of the fleet, as clients see it: as a node of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name, from which its node id is derived.
    pub name: String,
    /// Where clients reach it.
    pub addr: SocketAddr,
    /// The slots that it answers for.
    pub slots: SlotRange,
}

/// Somebody who may authenticate.
#[derive(Clone, Debug, PartialEq)]
pub struct User {
    /// The name that `AUTH` and `HELLO` send.
    pub name: String,
    /// SHA-256 of the secret; the secret itself is never stored.
    pub secret_sha256: [u8; 32],
}

/// The settings of this frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address that clients connect to, by which this instance finds itself among `instances`.
    pub listen: SocketAddr,
    /// Servers that are polled for the slot map first.
    pub seeds: Vec<SocketAddr>,
    /// The class of reads of keys without a prefix rule, by its index in the settings.
    pub read_class: usize,
    /// The class of writes of keys without a prefix rule.
    pub write_class: usize,
    /// Rules by key prefix; the first that matches applies.
    pub prefixes: Vec<PrefixRule>,
    /// Whether replicas may answer a class's reads, by class.
    pub stale_reads: Vec<bool>,
    /// Whether commands with keys in several slots are split into one command a slot.
    pub split_multi_slot: bool,
    /// The instances that clients see; none: this one alone, for all slots.
    pub instances: Vec<Instance>,
    /// Who may connect; none: no authentication.
    pub users: Vec<User>,
}

/// The hash that is stored of a secret.
pub fn hash_secret(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

impl Settings {
    /// The request class of a command on a key: by the key's prefix, and by whether the command
    /// writes.
    pub fn class_of(&self, key: &[u8], write: bool) -> usize {
        let rule = self.prefixes.iter().find(|rule| key.starts_with(rule.prefix.as_bytes()));
        match (rule, write) {
            (Some(rule), false) => rule.read_class,
            (Some(rule), true) => rule.write_class,
            (None, false) => self.read_class,
            (None, true) => self.write_class,
        }
    }

    /// Whether a name and a secret belong together. The check takes the same time for any name and
    /// any secret: every user is compared, in constant time.
    pub fn authenticates(&self, name: &[u8], secret: &[u8]) -> bool {
        let secret_hash = hash_secret(secret);
        let name_hash = hash_secret(name);
        self.users.iter().fold(false, |authenticated, user| {
            let same_name = hash_secret(user.name.as_bytes()).ct_eq(&name_hash);
            let same_secret = user.secret_sha256.ct_eq(&secret_hash);
            authenticated | bool::from(same_secret & same_name)
        })
    }

    /// The instance that answers for a slot: this one if it does, else the first that does.
    pub fn instance_of(&self, slot: u16) -> Option<&Instance> {
        let mut candidates = self.instances.iter().filter(|instance| instance.slots.contains(slot));
        let own = candidates.clone().find(|instance| instance.addr == self.listen);
        own.or_else(|| candidates.next())
    }
}
