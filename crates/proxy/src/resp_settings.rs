//! Converts the RESP section of the operator's file to the settings of the RESP frontend.

use chalkwalk_config::{KeyPrefix, ProxyInstance, RespConfig, RespUser};
use chalkwalk_resp_frontend::{PrefixRule, ProxyNode, Settings, User};

/// The settings of the RESP frontend of a proxy with `namespace_count` namespaces.
pub fn resp_settings(config: &RespConfig, namespace_count: usize) -> Settings {
    Settings {
        listen_addr: config.listen,
        seeds: config.seeds.clone(),
        read_namespace: config.read_namespace,
        write_namespace: config.write_namespace,
        prefix_rules: config.prefixes.iter().map(prefix_rule).collect(),
        allow_stale_reads: (0..namespace_count).map(|index| config.stale_reads.contains(&index)).collect(),
        split_multi_slot: config.split_multi_slot,
        instances: config.instances.iter().map(instance).collect(),
        users: config.users.iter().map(user).collect(),
    }
}

fn prefix_rule(config: &KeyPrefix) -> PrefixRule {
    PrefixRule {
        prefix: config.prefix.clone(),
        read_namespace: config.read_namespace,
        write_namespace: config.write_namespace,
    }
}

fn instance(config: &ProxyInstance) -> ProxyNode {
    ProxyNode { name: config.name.clone(), addr: config.address, slots: config.slots.into() }
}

fn user(config: &RespUser) -> User {
    User { name: config.name.clone(), secret_sha256: config.secret_sha256 }
}
