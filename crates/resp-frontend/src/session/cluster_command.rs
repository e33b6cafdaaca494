//! `CLUSTER`: the fleet is presented as a cluster whose nodes are the proxy instances, so that
//! client libraries send each key to the instance that serves its slot.

use super::cluster_node::{ClusterNode, cluster_nodes};
use super::reply_parts::{number_field, text_field, unknown_subcommand};
use crate::arguments::Arguments;
use crate::settings::Settings;
use chalkwalk_resp::{Writer, slot_of};
use chalkwalk_slot_map::SLOT_COUNT;

/// Writes the reply to `CLUSTER subcommand ...`.
pub fn reply(arguments: &Arguments, settings: &Settings, out: &mut Writer) {
    let subcommand = arguments.keyword(1);
    let nodes = cluster_nodes(settings);
    match (subcommand.as_str(), arguments.len()) {
        ("KEYSLOT", 3) => out.integer(i64::from(slot_of(arguments.get(2)))),
        ("MYID", 2) => write_my_id(&nodes, out),
        ("INFO", 2) => write_info(&nodes, out),
        ("SLOTS", 2) => write_slots(&nodes, out),
        ("SHARDS", 2) => write_shards(&nodes, out),
        ("NODES", 2) => write_node_lines(&nodes, out),
        _ => unknown_subcommand("CLUSTER", &subcommand, out),
    }
}

/// Writes the node id of this instance, or of the first instance if this one is not in the list.
fn write_my_id(nodes: &[ClusterNode], out: &mut Writer) {
    let own = nodes.iter().find(|node| node.is_self).or(nodes.first());
    out.bulk_string(own.map_or("", |node| &node.id).as_bytes());
}

fn write_info(nodes: &[ClusterNode], out: &mut Writer) {
    let count = nodes.len();
    let state = format!("cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOT_COUNT}\r\n");
    let size = format!("cluster_known_nodes:{count}\r\ncluster_size:{count}\r\n");
    out.bulk_string(format!("{state}{size}").as_bytes());
}

/// Writes for each range of slots its first slot, its last slot and its only node.
fn write_slots(nodes: &[ClusterNode], out: &mut Writer) {
    const RANGE_FIELDS: usize = 3;
    const NODE_FIELDS: usize = 3;
    out.array_header(nodes.len());
    for node in nodes {
        out.array_header(RANGE_FIELDS);
        out.integer(i64::from(node.slots.first));
        out.integer(i64::from(node.slots.last));
        out.array_header(NODE_FIELDS);
        out.bulk_string(node.addr.ip().to_string().as_bytes());
        out.integer(i64::from(node.addr.port()));
        out.bulk_string(node.id.as_bytes());
    }
}

/// Writes for each shard its slots and its only node.
fn write_shards(nodes: &[ClusterNode], out: &mut Writer) {
    const SHARD_FIELDS: usize = 2;
    const RANGE_ENDS: usize = 2;
    const SHARD_NODES: usize = 1;
    out.array_header(nodes.len());
    for node in nodes {
        out.map_header(SHARD_FIELDS);
        out.bulk_string(b"slots");
        out.array_header(RANGE_ENDS);
        out.integer(i64::from(node.slots.first));
        out.integer(i64::from(node.slots.last));
        out.bulk_string(b"nodes");
        out.array_header(SHARD_NODES);
        write_shard_node(node, out);
    }
}

fn write_shard_node(node: &ClusterNode, out: &mut Writer) {
    const FIELDS: usize = 7;
    let ip = node.addr.ip().to_string();
    out.map_header(FIELDS);
    text_field("id", &node.id, out);
    text_field("ip", &ip, out);
    text_field("endpoint", &ip, out);
    text_field("role", "master", out);
    text_field("health", "online", out);
    number_field("port", i64::from(node.addr.port()), out);
    number_field("replication-offset", 0, out);
}

/// Writes one line per node: `id addr@bus flags master ping pong epoch link slots`.
fn write_node_lines(nodes: &[ClusterNode], out: &mut Writer) {
    let mut text = String::new();
    for ClusterNode { id, addr, slots, is_self } in nodes {
        let myself = if *is_self { "myself," } else { "" };
        let range = format!("{}-{}", slots.first, slots.last);
        text += &format!("{id} {addr}@0 {myself}master - 0 0 1 connected {range}\n");
    }
    out.bulk_string(text.as_bytes());
}
