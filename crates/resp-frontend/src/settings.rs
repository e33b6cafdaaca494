//! What an operator sets of this door.

use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

/// Keys that begin so are of a namespace.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixRule {
    pub prefix: String,
    pub namespace: usize,
    /// Of commands that write.
    pub writes: usize,
}

/// An instance of the fleet, as clients are told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub name: String,
    pub addr: SocketAddr,
    /// The slots that it answers for, ends included.
    pub slots: (u16, u16),
}

#[derive(Clone, Debug, PartialEq)]
pub struct User {
    pub name: String,
    /// SHA-256 of the secret.
    pub secret: [u8; 32],
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Servers that are asked for the map first.
    pub seeds: Vec<SocketAddr>,
    /// Of keys with no prefix of their own, by its number.
    pub namespace: usize,
    pub writes: usize,
    /// The first that matches holds.
    pub prefixes: Vec<PrefixRule>,
    /// Whose reads replicas may answer, by namespace.
    pub stale: Vec<bool>,
    /// Whether commands over several slots are taken in parts.
    pub split: bool,
    /// None: this one alone, for all slots.
    pub instances: Vec<Instance>,
    /// None: nobody has to say who they are.
    pub users: Vec<User>,
}

/// What a secret is kept as.
pub fn hash_secret(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

impl Settings {
    /// By the key's prefix, and by whether the command writes.
    pub fn namespace_of(&self, key: &[u8], write: bool) -> usize {
        let own = self.prefixes.iter().find(|p| key.starts_with(p.prefix.as_bytes()));
        let (reads, writes) = own.map_or((self.namespace, self.writes), |p| (p.namespace, p.writes));
        if write { writes } else { reads }
    }

    /// Whether somebody is who they say. It takes as long whoever is asked for, and whatever of the secret is right.
    pub fn knows(&self, name: &[u8], secret: &[u8]) -> bool {
        let told = hash_secret(secret);
        self.users.iter().fold(false, |known, user| {
            let same = user.secret.ct_eq(&told) & hash_secret(user.name.as_bytes()).ct_eq(&hash_secret(name));
            known | bool::from(same)
        })
    }

    /// Who answers for a slot, and whether that is this one.
    pub fn instance_of(&self, slot: u16) -> Option<&Instance> {
        let own = self.instances.iter().find(|i| i.addr == self.listen && within(i, slot));
        own.or_else(|| self.instances.iter().find(|i| within(i, slot)))
    }
}

fn within(instance: &Instance, slot: u16) -> bool {
    (instance.slots.0..=instance.slots.1).contains(&slot)
}
