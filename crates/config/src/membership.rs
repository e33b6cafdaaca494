//! Where the endpoint list comes from, if not from the platform.

use crate::lines::Errors;
use crate::schema::MembershipFields;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use toml::Spanned;

/// Where the endpoint list comes from, instead of the platform's.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// What it is read from.
    pub source: MembershipSource,
    /// Where the list is persisted on disk, if it is.
    pub persist_path: Option<PathBuf>,
}

/// What the endpoint list is read from.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipSource {
    /// A file.
    File(PathBuf),
    /// An etcd cluster.
    Etcd(EtcdConfig),
}

/// An etcd cluster, and what this proxy writes there itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EtcdConfig {
    /// The cluster's members.
    pub endpoints: Vec<SocketAddr>,
    /// Of every key, with `/` at its end.
    pub prefix: String,
    /// How long a proxy that is silent still counts, in seconds.
    pub lease_s: u64,
    /// Whether proxies are counted by it.
    pub count_proxies: bool,
}

/// Five endpoints are etcd's largest advised cluster; some more while one is moved.
const MAX_ENDPOINTS: usize = 9;
/// Below three seconds a busy machine loses its lease; above a minute a dead proxy counts too long.
const LEASES_S: RangeInclusive<u64> = 3..=60;
const DEFAULT_LEASE_S: u64 = 10;
const DEFAULT_PREFIX: &str = "/chalkwalk/";

/// Where it is not as it should be, the errors say so and the result is of no use.
pub(crate) fn read(section: &Spanned<MembershipFields>, errors: &mut Errors) -> MembershipConfig {
    let fields = section.get_ref();
    // What concerns etcd is checked for other sources as well: it may be misspelt before it is
    // misplaced.
    let etcd = EtcdConfig {
        endpoints: endpoints(fields, errors),
        prefix: prefix(section, errors),
        lease_s: lease(section, errors),
        count_proxies: fields.count_proxies,
    };
    let source = match fields.source.get_ref().as_str() {
        "file" => file_source(section, errors),
        "etcd" => etcd_source(section, etcd, errors),
        other => {
            errors.add(&fields.source, format!("there is no source \"{other}\", only file and etcd"));
            MembershipSource::File(PathBuf::new())
        }
    };
    MembershipConfig { source, persist_path: fields.persist_path.clone() }
}

fn file_source(section: &Spanned<MembershipFields>, errors: &mut Errors) -> MembershipSource {
    let fields = section.get_ref();
    if !fields.endpoints.is_empty() || fields.prefix.is_some() || fields.count_proxies {
        errors.add(section, "endpoints, prefix and count are for the source \"etcd\"");
    }
    if fields.file.is_none() {
        errors.add(section, "the source \"file\" needs a file");
    }
    MembershipSource::File(fields.file.clone().unwrap_or_default())
}

fn etcd_source(
    section: &Spanned<MembershipFields>,
    etcd: EtcdConfig,
    errors: &mut Errors,
) -> MembershipSource {
    let fields = section.get_ref();
    if fields.endpoints.is_empty() || fields.endpoints.len() > MAX_ENDPOINTS {
        errors.add(section, format!("the source \"etcd\" needs 1 to {MAX_ENDPOINTS} endpoints"));
    }
    if fields.file.is_some() {
        errors.add(section, "file is for the source \"file\"");
    }
    MembershipSource::Etcd(etcd)
}

fn endpoints(fields: &MembershipFields, errors: &mut Errors) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for endpoint in &fields.endpoints {
        match endpoint.get_ref().parse() {
            Ok(address) => addresses.push(address),
            Err(_) => errors.add(endpoint, format!("\"{}\" is no address with a port", endpoint.get_ref())),
        }
    }
    addresses
}

fn prefix(section: &Spanned<MembershipFields>, errors: &mut Errors) -> String {
    let Some(field) = &section.get_ref().prefix else { return DEFAULT_PREFIX.to_string() };
    let mut prefix = field.get_ref().clone();
    if !prefix.starts_with('/') || !prefix.is_ascii() {
        errors.add(field, "a prefix is ASCII and begins with /");
    }
    if !prefix.ends_with('/') {
        prefix.push('/');
    }
    prefix
}

fn lease(section: &Spanned<MembershipFields>, errors: &mut Errors) -> u64 {
    let Some(field) = &section.get_ref().lease_s else { return DEFAULT_LEASE_S };
    let lease = *field.get_ref();
    if !LEASES_S.contains(&lease) {
        errors.add(field, format!("lease_s is from {} to {}", LEASES_S.start(), LEASES_S.end()));
    }
    lease
}
