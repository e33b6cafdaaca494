//! The RESP frontend: its addresses, and which namespaces keys are of.

use crate::lines::Errors;
use crate::schema::{InstanceFields, PrefixFields, RespFields, UserFields};
use chalkwalk_limits::PlatformLimits;
use std::net::SocketAddr;
use toml::Spanned;

/// The RESP frontend. Namespaces are by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct RespConfig {
    /// Where clients connect to.
    pub listen: SocketAddr,
    /// Servers that the slot map is first read from.
    pub seeds: Vec<SocketAddr>,
    /// The namespace of keys without a prefix of their own.
    pub namespace: usize,
    /// The same, for commands that write.
    pub write_namespace: usize,
    /// Namespaces by prefix.
    pub prefixes: Vec<KeyPrefix>,
    /// Namespaces that may be read from replicas.
    pub stale_reads: Vec<usize>,
    /// Whether commands with several keys are split by server.
    pub split: bool,
    /// The proxies that clients see as the cluster's nodes.
    pub instances: Vec<ProxyInstance>,
    /// Who may connect.
    pub users: Vec<RespUser>,
}

/// The namespaces of keys with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyPrefix {
    /// What the keys begin with.
    pub prefix: String,
    /// Their namespace.
    pub namespace: usize,
    /// The same, for commands that write.
    pub write_namespace: usize,
}

/// A proxy as clients see it: a node of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyInstance {
    /// The node's name.
    pub name: String,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// The first and the last hash slot that it answers for.
    pub slots: (u16, u16),
}

/// A user of the RESP frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct RespUser {
    /// The name.
    pub name: String,
    /// SHA-256 of the secret.
    pub secret: [u8; 32],
}

/// Hash slots of the protocol, by its public specification.
const SLOTS: u16 = 16384;
const ALL_SLOTS: (u16, u16) = (0, SLOTS - 1);
/// The most instances that clients may see, and the most seeds: as many as a slot map has nodes.
const MAX_INSTANCES: usize = 4096;

/// Where it is not as it should be, the errors say so and the result is of no use.
pub(crate) fn read(
    section: &Spanned<RespFields>,
    platform_limits: &PlatformLimits,
    errors: &mut Errors,
) -> RespConfig {
    let fields = section.get_ref();
    let mut reader = Reader { platform_limits, errors };
    let config = RespConfig {
        listen: reader.address(&fields.listen),
        seeds: fields.seeds.iter().map(|seed| reader.address(seed)).collect(),
        namespace: reader.namespace(&fields.namespace),
        write_namespace: reader.write_namespace(&fields.write_namespace, &fields.namespace),
        prefixes: fields.prefixes.iter().map(|prefix| reader.prefix(prefix)).collect(),
        stale_reads: fields.stale_reads.iter().map(|namespace| reader.namespace(namespace)).collect(),
        split: fields.split,
        instances: fields.instances.iter().map(|instance| reader.instance(instance)).collect(),
        users: fields.users.iter().map(|user| reader.user(user)).collect(),
    };
    check_counts(&config, section, errors);
    if !config.instances.is_empty() {
        check_instances(&config, section, errors);
    }
    config
}

fn check_counts(config: &RespConfig, section: &Spanned<RespFields>, errors: &mut Errors) {
    let seeds = config.seeds.len();
    if seeds == 0 || seeds > MAX_INSTANCES || config.instances.len() > MAX_INSTANCES {
        let message = format!("resp needs 1 to {MAX_INSTANCES} seeds, and has as many instances at the most");
        errors.add(section, message);
    }
}

/// Clients have to find a node for every slot, and this proxy among them.
fn check_instances(config: &RespConfig, section: &Spanned<RespFields>, errors: &mut Errors) {
    let answered = |slot: &u16| {
        config.instances.iter().any(|instance| (instance.slots.0..=instance.slots.1).contains(slot))
    };
    if let Some(slot) = (0..SLOTS).find(|slot| !answered(slot)) {
        errors.add(section, format!("no instance answers for slot {slot}"));
    }
    if !config.instances.iter().any(|instance| instance.address == config.listen) {
        errors.add(section, "no instance is at the address that this one listens on");
    }
}

/// Reads values. In place of one that can't be read it returns a default, so that the errors of all
/// others are found as well.
struct Reader<'a, 'text> {
    platform_limits: &'a PlatformLimits,
    errors: &'a mut Errors<'text>,
}

impl Reader<'_, '_> {
    fn address(&mut self, field: &Spanned<String>) -> SocketAddr {
        field.get_ref().parse().unwrap_or_else(|_| {
            self.errors.add(field, format!("\"{}\" is no address with a port", field.get_ref()));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn namespace(&mut self, field: &Spanned<String>) -> usize {
        let name = field.get_ref();
        let number = self.platform_limits.namespaces.iter().position(|namespace| namespace.name == *name);
        number.unwrap_or_else(|| {
            self.errors.add(field, format!("\"{name}\" is no namespace of the platform"));
            0
        })
    }

    fn write_namespace(&mut self, field: &Option<Spanned<String>>, of_reads: &Spanned<String>) -> usize {
        self.namespace(field.as_ref().unwrap_or(of_reads))
    }

    fn prefix(&mut self, fields: &PrefixFields) -> KeyPrefix {
        KeyPrefix {
            prefix: fields.prefix.clone(),
            namespace: self.namespace(&fields.namespace),
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
            self.errors.add(field, format!("slots are FIRST-LAST, from 0 to {}", SLOTS - 1));
            (0, 0)
        })
    }

    fn user(&mut self, fields: &UserFields) -> RespUser {
        let secret = parse_sha256(fields.secret.get_ref()).unwrap_or_else(|| {
            let message = "a secret is written as sha256: and 64 hexadecimal digits";
            self.errors.add(&fields.secret, message);
            [0; 32]
        });
        RespUser { name: fields.name.clone(), secret }
    }
}

fn parse_slots(text: &str) -> Option<(u16, u16)> {
    let (first, last) = text.split_once('-')?;
    let first: u16 = first.parse().ok()?;
    let last: u16 = last.parse().ok()?;
    (first <= last && last < SLOTS).then_some((first, last))
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let digits = text.strip_prefix("sha256:").filter(|digits| digits.len() == 64 && digits.is_ascii())?;
    let mut hash = [0; 32];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}
