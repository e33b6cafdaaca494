//! Reads the configuration of the RESP frontend: its addresses, and the namespaces of keys.

use crate::lines::ErrorList;
use crate::schema::{InstanceFields, PrefixFields, RespFields, UserFields};
use chalkwalk_limits::PlatformLimits;
use std::net::SocketAddr;
use toml::Spanned;

/// Configuration of the RESP frontend. Namespaces are given by their index in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct RespConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The servers from which the slot map is first read.
    pub seeds: Vec<SocketAddr>,
    /// The namespace of keys that none of `prefixes` matches.
    pub read_namespace: usize,
    /// The namespace of these keys for commands that write.
    pub write_namespace: usize,
    /// The namespaces of keys with certain prefixes.
    pub prefixes: Vec<KeyPrefix>,
    /// The namespaces whose keys may be read from replicas.
    pub stale_reads: Vec<usize>,
    /// Whether commands with several keys are split into one command per server.
    pub split_multi_slot: bool,
    /// The proxies that clients see as the cluster's nodes.
    pub instances: Vec<ProxyInstance>,
    /// The users that may connect.
    pub users: Vec<RespUser>,
}

/// The namespaces of the keys with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyPrefix {
    /// The prefix of the keys.
    pub prefix: String,
    /// The namespace of these keys.
    pub read_namespace: usize,
    /// The namespace of these keys for commands that write.
    pub write_namespace: usize,
}

/// A proxy, which clients see as a node of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyInstance {
    /// The node's name.
    pub name: String,
    /// The address at which clients reach the node.
    pub address: SocketAddr,
    /// The first and the last hash slot that the node serves.
    pub slots: (u16, u16),
}

/// A user of the RESP frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct RespUser {
    /// The user's name.
    pub name: String,
    /// The SHA-256 hash of the user's secret.
    pub secret_sha256: [u8; 32],
}

/// Number of hash slots, from the public specification of the protocol.
const SLOT_COUNT: u16 = 16384;
const ALL_SLOTS: (u16, u16) = (0, SLOT_COUNT - 1);
/// Maximum number of instances and of seeds: the maximum number of nodes in a slot map.
const MAX_NODES: usize = 4096;

/// Reads the section. If it is invalid, the problems are added to `errors` and the result must not
/// be used.
pub(crate) fn read(
    section: &Spanned<RespFields>,
    platform_limits: &PlatformLimits,
    errors: &mut ErrorList,
) -> RespConfig {
    let fields = section.get_ref();
    let mut reader = FieldReader { platform_limits, errors };
    let config = RespConfig {
        listen: reader.address(&fields.listen),
        seeds: fields.seeds.iter().map(|seed| reader.address(seed)).collect(),
        read_namespace: reader.namespace(&fields.namespace),
        write_namespace: reader.write_namespace(&fields.write_namespace, &fields.namespace),
        prefixes: fields.prefixes.iter().map(|prefix| reader.prefix(prefix)).collect(),
        stale_reads: fields.stale_reads.iter().map(|namespace| reader.namespace(namespace)).collect(),
        split_multi_slot: fields.split,
        instances: fields.instances.iter().map(|instance| reader.instance(instance)).collect(),
        users: fields.users.iter().map(|user| reader.user(user)).collect(),
    };
    check_counts(&config, section, errors);
    if !config.instances.is_empty() {
        check_instances(&config, section, errors);
    }
    config
}

fn check_counts(config: &RespConfig, section: &Spanned<RespFields>, errors: &mut ErrorList) {
    let seeds = config.seeds.len();
    if seeds == 0 || seeds > MAX_NODES || config.instances.len() > MAX_NODES {
        let message = format!("resp needs 1 to {MAX_NODES} seeds and at most {MAX_NODES} instances");
        errors.add(section, message);
    }
}

/// Checks that clients find a node for every slot, and that this proxy is one of the nodes.
fn check_instances(config: &RespConfig, section: &Spanned<RespFields>, errors: &mut ErrorList) {
    let is_covered = |slot: &u16| {
        config.instances.iter().any(|instance| (instance.slots.0..=instance.slots.1).contains(slot))
    };
    if let Some(slot) = (0..SLOT_COUNT).find(|slot| !is_covered(slot)) {
        errors.add(section, format!("no instance covers slot {slot}"));
    }
    if !config.instances.iter().any(|instance| instance.address == config.listen) {
        errors.add(section, "no instance has the address that this proxy listens on");
    }
}

/// Reads values. For a value that cannot be read it returns a default, so that the errors of all
/// other values are found as well.
struct FieldReader<'a, 'text> {
    platform_limits: &'a PlatformLimits,
    errors: &'a mut ErrorList<'text>,
}

impl FieldReader<'_, '_> {
    fn address(&mut self, field: &Spanned<String>) -> SocketAddr {
        field.get_ref().parse().unwrap_or_else(|_| {
            self.errors.add(field, format!("\"{}\" is not an IP:port address", field.get_ref()));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn namespace(&mut self, field: &Spanned<String>) -> usize {
        let name = field.get_ref();
        let number = self.platform_limits.namespaces.iter().position(|namespace| namespace.name == *name);
        number.unwrap_or_else(|| {
            self.errors.add(field, format!("\"{name}\" is not a namespace of the platform"));
            0
        })
    }

    fn write_namespace(
        &mut self,
        field: &Option<Spanned<String>>,
        read_namespace: &Spanned<String>,
    ) -> usize {
        self.namespace(field.as_ref().unwrap_or(read_namespace))
    }

    fn prefix(&mut self, fields: &PrefixFields) -> KeyPrefix {
        KeyPrefix {
            prefix: fields.prefix.clone(),
            read_namespace: self.namespace(&fields.namespace),
            write_namespace: self.write_namespace(&fields.write_namespace, &fields.namespace),
        }
    }

    fn instance(&mut self, fields: &InstanceFields) -> ProxyInstance {
        ProxyInstance {
            name: fields.name.clone(),
            address: self.address(&fields.address),
            slots: fields.slots.as_ref().map_or(ALL_SLOTS, |slots| self.slots(slots)),
        }
    }

    fn slots(&mut self, field: &Spanned<String>) -> (u16, u16) {
        parse_slots(field.get_ref()).unwrap_or_else(|| {
            self.errors.add(field, format!("slots must be FIRST-LAST, both from 0 to {}", SLOT_COUNT - 1));
            (0, 0)
        })
    }

    fn user(&mut self, fields: &UserFields) -> RespUser {
        let secret_sha256 = parse_sha256(fields.secret.get_ref()).unwrap_or_else(|| {
            let message = "secret must be sha256: followed by 64 hexadecimal digits";
            self.errors.add(&fields.secret, message);
            [0; 32]
        });
        RespUser { name: fields.name.clone(), secret_sha256 }
    }
}

fn parse_slots(text: &str) -> Option<(u16, u16)> {
    let (first, last) = text.split_once('-')?;
    let first: u16 = first.parse().ok()?;
    let last: u16 = last.parse().ok()?;
    (first <= last && last < SLOT_COUNT).then_some((first, last))
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let digits = text.strip_prefix("sha256:").filter(|digits| digits.len() == 64 && digits.is_ascii())?;
    let mut hash = [0; 32];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}
