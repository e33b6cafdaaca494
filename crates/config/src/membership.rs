//! Reads the source of the endpoint list, if it is not the platform.

use crate::lines::ErrorList;
use crate::schema::MembershipFields;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use toml::Spanned;

/// The source of the endpoint list, which replaces the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// What the list is read from.
    pub source: MembershipSource,
    /// The file in which the last list is persisted, if it is.
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
    /// The prefix of every key, ending with `/`.
    pub prefix: String,
    /// Duration of the proxy's lease in seconds: how long a proxy is still counted after it stops
    /// renewing the lease.
    pub lease_s: u64,
    /// Whether proxies are counted by their leases in etcd.
    pub count_proxies: bool,
}

/// The largest cluster that etcd recommends has five members; it may have some more while members
/// are being replaced.
const MAX_ENDPOINTS: usize = 9;
/// With less than three seconds, a busy machine loses its lease; with more than a minute, a dead
/// proxy is counted for too long.
const LEASE_RANGE_S: RangeInclusive<u64> = 3..=60;
const DEFAULT_LEASE_S: u64 = 10;
const DEFAULT_PREFIX: &str = "/chalkwalk/";

/// Reads the section. If it is invalid, the problems are added to `errors` and the result must not
/// be used.
pub(crate) fn read(section: &Spanned<MembershipFields>, errors: &mut ErrorList) -> MembershipConfig {
    let fields = section.get_ref();
    // The fields for etcd are checked for other sources as well, so that an invalid value is
    // reported even where the field does not belong.
    let etcd = EtcdConfig {
        endpoints: endpoints(fields, errors),
        prefix: prefix(section, errors),
        lease_s: lease_s(section, errors),
        count_proxies: fields.count_proxies,
    };
    let source = match fields.source.get_ref().as_str() {
        "file" => file_source(section, errors),
        "etcd" => etcd_source(section, etcd, errors),
        other => {
            errors.add(&fields.source, format!("unknown source \"{other}\", expected file or etcd"));
            MembershipSource::File(PathBuf::new())
        }
    };
    MembershipConfig { source, persist_path: fields.persist_path.clone() }
}

fn file_source(section: &Spanned<MembershipFields>, errors: &mut ErrorList) -> MembershipSource {
    let fields = section.get_ref();
    if !fields.endpoints.is_empty() || fields.prefix.is_some() || fields.count_proxies {
        errors.add(section, "endpoints, prefix and count apply only to the source \"etcd\"");
    }
    if fields.file.is_none() {
        errors.add(section, "the source \"file\" needs the key file");
    }
    MembershipSource::File(fields.file.clone().unwrap_or_default())
}

fn etcd_source(
    section: &Spanned<MembershipFields>,
    etcd: EtcdConfig,
    errors: &mut ErrorList,
) -> MembershipSource {
    let fields = section.get_ref();
    if fields.endpoints.is_empty() || fields.endpoints.len() > MAX_ENDPOINTS {
        errors.add(section, format!("the source \"etcd\" needs 1 to {MAX_ENDPOINTS} endpoints"));
    }
    if fields.file.is_some() {
        errors.add(section, "file applies only to the source \"file\"");
    }
    MembershipSource::Etcd(etcd)
}

fn endpoints(fields: &MembershipFields, errors: &mut ErrorList) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for endpoint in &fields.endpoints {
        match endpoint.get_ref().parse() {
            Ok(address) => addresses.push(address),
            Err(_) => errors.add(endpoint, format!("\"{}\" is not an IP:port address", endpoint.get_ref())),
        }
    }
    addresses
}

fn prefix(section: &Spanned<MembershipFields>, errors: &mut ErrorList) -> String {
    let Some(field) = &section.get_ref().prefix else { return DEFAULT_PREFIX.to_string() };
    let mut prefix = field.get_ref().clone();
    if !prefix.starts_with('/') || !prefix.is_ascii() {
        errors.add(field, "prefix must be ASCII and begin with /");
    }
    if !prefix.ends_with('/') {
        prefix.push('/');
    }
    prefix
}

fn lease_s(section: &Spanned<MembershipFields>, errors: &mut ErrorList) -> u64 {
    let Some(field) = &section.get_ref().lease_s else { return DEFAULT_LEASE_S };
    let lease_s = *field.get_ref();
    if !LEASE_RANGE_S.contains(&lease_s) {
        errors.add(
            field,
            format!("lease_s must be from {} to {} seconds", LEASE_RANGE_S.start(), LEASE_RANGE_S.end()),
        );
    }
    lease_s
}
