//! The replies to connection and cluster commands are exactly those that client libraries expect.

use super::Session;
use crate::settings::{ProxyNode, Settings, User, hash_secret};
use crate::test_support::arguments;
use chalkwalk_resp::Writer;
use chalkwalk_slot_map::SlotRange;
use expect_test::expect;
use std::net::SocketAddr;

fn settings() -> Settings {
    let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let instance = |name: &str, port, slots| ProxyNode {
        name: name.into(),
        addr: addr(port),
        slots: SlotRange::from(slots),
    };
    Settings {
        listen_addr: addr(6379),
        seeds: vec![],
        read_namespace: 0,
        write_namespace: 0,
        prefix_rules: vec![],
        allow_stale_reads: vec![],
        split_multi_slot: false,
        instances: vec![instance("p1", 6379, (0, 8191)), instance("p2", 6380, (8192, 16383))],
        users: vec![User { name: "lib".into(), secret_sha256: hash_secret(b"s3") }],
    }
}

#[test]
fn commands_that_client_libraries_send_on_connect_are_answered() {
    let settings = settings();
    let mut session = Session::new(7, "c".into(), &settings);
    let lines = [
        "HELLO 3",
        "AUTH lib wrong",
        "HELLO 4",
        "HELLO 2 AUTH lib s3 SETNAME a",
        "CLIENT GETNAME",
        "CLIENT ID",
        "SELECT 1",
        "PING",
        "PING x",
        "CLUSTER KEYSLOT foo",
        "CLUSTER SLOTS",
        "CLUSTER NODES",
        "COMMAND INFO get nope",
        "COMMAND COUNT",
        "HELLO 3",
        "CLUSTER WHAT",
        "READONLY",
        "QUIT",
    ];
    let replies = replies(&mut session, &settings, &lines);
    assert!(session.authenticated && session.closing && session.resp3);
    expect![[r#"
        HELLO 3: -NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time
        AUTH lib wrong: -WRONGPASS invalid username-password pair or user is disabled.
        HELLO 4: -NOPROTO unsupported protocol version
        HELLO 2 AUTH lib s3 SETNAME a: *14 $6 server $5 redis $7 version $5 7.0.0 $5 proto :2 $2 id :7 $4 mode $7 cluster $4 role $6 master $7 modules *0
        CLIENT GETNAME: $1 a
        CLIENT ID: :7
        SELECT 1: -ERR SELECT is not allowed in cluster mode
        PING: +PONG
        PING x: $1 x
        CLUSTER KEYSLOT foo: :12182
        CLUSTER SLOTS: *2 *3 :0 :8191 *3 $9 127.0.0.1 :6379 $40 78da5c19575dda0e26da45b69a5d0a30bff9c03e *3 :8192 :16383 *3 $9 127.0.0.1 :6380 $40 78d6f619575af6e59a9830886ea990f21ea99631
        CLUSTER NODES: $191 78da5c19575dda0e26da45b69a5d0a30bff9c03e 127.0.0.1:6379@0 myself,master - 0 0 1 connected 0-8191
        78d6f619575af6e59a9830886ea990f21ea99631 127.0.0.1:6380@0 master - 0 0 1 connected 8192-16383
        COMMAND INFO get nope: *2 *6 $3 get :2 *1 +readonly :1 :1 :1 $-1
        COMMAND COUNT: :9
        HELLO 3: %7 $6 server $5 redis $7 version $5 7.0.0 $5 proto :3 $2 id :7 $4 mode $7 cluster $4 role $6 master $7 modules *0
        CLUSTER WHAT: -ERR unknown subcommand 'what'. Try CLUSTER HELP.
        READONLY: +OK
        QUIT: +OK
    "#]].assert_eq(&replies);
}

/// The reply to each command, with spaces instead of line breaks.
fn replies(session: &mut Session, settings: &Settings, lines: &[&str]) -> String {
    let reply = |line: &&str| {
        let mut out = Writer::default();
        session.execute(&arguments(line), settings, &mut out);
        let text = String::from_utf8_lossy(out.as_bytes()).replace("\r\n", " ");
        format!("{line}: {}\n", text.trim_end())
    };
    lines.iter().map(reply).collect()
}

#[test]
fn every_subcommand_is_answered_in_both_versions_of_the_protocol() {
    let settings = settings();
    let mut session = Session::new(7, "peer".into(), &settings);
    let lines = [
        "AUTH",
        "AUTH s3",
        "AUTH lib s3 x",
        "HELLO",
        "HELLO 3 AUTH lib bad SETNAME a",
        "HELLO 3 AUTH lib",
        "HELLO 3 AUTH lib s3 FOO",
        "AUTH lib s3",
        "HELLO",
        "HELLO 2 SETNAME a\u{1}b",
        "HELLO 2 SETNAME",
        "CLIENT SETNAME bob",
        "CLIENT SETNAME \u{e9}",
        "CLIENT SETINFO lib-name x",
        "CLIENT INFO",
        "CLIENT KILL",
        "CLIENT",
        "ECHO x",
        "ECHO",
        "PING a b",
        "SELECT 0",
        "SELECT",
        "ASKING",
        "READWRITE",
        "INFO",
        "COMMAND",
        "COMMAND DOCS",
        "COMMAND X",
        "CLUSTER INFO",
        "CLUSTER MYID",
        "CLUSTER KEYSLOT",
        "CLUSTER SHARDS",
        "HELLO 3",
        "CLIENT INFO",
        "CLUSTER SHARDS",
        "COMMAND INFO mset nope",
        "COMMAND DOCS",
    ];
    expect![[r#"
        AUTH: -ERR wrong number of arguments for 'auth' command
        AUTH s3: -WRONGPASS invalid username-password pair or user is disabled.
        AUTH lib s3 x: -ERR wrong number of arguments for 'auth' command
        HELLO: -NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time
        HELLO 3 AUTH lib bad SETNAME a: -WRONGPASS invalid username-password pair or user is disabled.
        HELLO 3 AUTH lib: -ERR Syntax error in HELLO option
        HELLO 3 AUTH lib s3 FOO: -ERR Syntax error in HELLO option
        AUTH lib s3: +OK
        HELLO: *14 $6 server $5 redis $7 version $5 7.0.0 $5 proto :2 $2 id :7 $4 mode $7 cluster $4 role $6 master $7 modules *0
        HELLO 2 SETNAME ab: -ERR Client names cannot contain spaces, newlines or special characters.
        HELLO 2 SETNAME: -ERR Syntax error in HELLO option
        CLIENT SETNAME bob: +OK
        CLIENT SETNAME é: -ERR Client names cannot contain spaces, newlines or special characters.
        CLIENT SETINFO lib-name x: +OK
        CLIENT INFO: $40 id=7 addr=peer name=bob user=lib resp=2
        CLIENT KILL: -ERR unknown subcommand 'kill'. Try CLIENT HELP.
        CLIENT: -ERR unknown subcommand ''. Try CLIENT HELP.
        ECHO x: $1 x
        ECHO: -ERR wrong number of arguments for 'echo' command
        PING a b: -ERR wrong number of arguments for 'ping' command
        SELECT 0: +OK
        SELECT: -ERR wrong number of arguments for 'select' command
        ASKING: +OK
        READWRITE: +OK
        INFO: $81 # Server redis_version:7.0.0 redis_mode:cluster # Cluster cluster_enabled:1
        COMMAND: *9 *6 $3 get :2 *1 +readonly :1 :1 :1 *6 $3 set :-3 *1 +write :1 :1 :1 *6 $3 del :-2 *1 +write :1 :-1 :1 *6 $6 exists :-2 *1 +readonly :1 :-1 :1 *6 $6 expire :3 *1 +write :1 :1 :1 *6 $3 ttl :2 *1 +readonly :1 :1 :1 *6 $4 mget :-2 *1 +readonly :1 :-1 :1 *6 $4 mset :-3 *1 +write :1 :-1 :2 *6 $6 strlen :2 *1 +readonly :1 :1 :1
        COMMAND DOCS: *0
        COMMAND X: -ERR unknown subcommand 'x'. Try COMMAND HELP.
        CLUSTER INFO: $106 cluster_enabled:1 cluster_state:ok cluster_slots_assigned:16384 cluster_known_nodes:2 cluster_size:2
        CLUSTER MYID: $40 78da5c19575dda0e26da45b69a5d0a30bff9c03e
        CLUSTER KEYSLOT: -ERR unknown subcommand 'keyslot'. Try CLUSTER HELP.
        CLUSTER SHARDS: *2 *4 $5 slots *2 :0 :8191 $5 nodes *1 *14 $2 id $40 78da5c19575dda0e26da45b69a5d0a30bff9c03e $2 ip $9 127.0.0.1 $8 endpoint $9 127.0.0.1 $4 role $6 master $6 health $6 online $4 port :6379 $18 replication-offset :0 *4 $5 slots *2 :8192 :16383 $5 nodes *1 *14 $2 id $40 78d6f619575af6e59a9830886ea990f21ea99631 $2 ip $9 127.0.0.1 $8 endpoint $9 127.0.0.1 $4 role $6 master $6 health $6 online $4 port :6380 $18 replication-offset :0
        HELLO 3: %7 $6 server $5 redis $7 version $5 7.0.0 $5 proto :3 $2 id :7 $4 mode $7 cluster $4 role $6 master $7 modules *0
        CLIENT INFO: $40 id=7 addr=peer name=bob user=lib resp=3
        CLUSTER SHARDS: *2 %2 $5 slots *2 :0 :8191 $5 nodes *1 %7 $2 id $40 78da5c19575dda0e26da45b69a5d0a30bff9c03e $2 ip $9 127.0.0.1 $8 endpoint $9 127.0.0.1 $4 role $6 master $6 health $6 online $4 port :6379 $18 replication-offset :0 %2 $5 slots *2 :8192 :16383 $5 nodes *1 %7 $2 id $40 78d6f619575af6e59a9830886ea990f21ea99631 $2 ip $9 127.0.0.1 $8 endpoint $9 127.0.0.1 $4 role $6 master $6 health $6 online $4 port :6380 $18 replication-offset :0
        COMMAND INFO mset nope: *2 *6 $4 mset :-3 *1 +write :1 :-1 :2 _
        COMMAND DOCS: %0
    "#]].assert_eq(&replies(&mut session, &settings, &lines));
}

#[test]
fn without_users_and_instances_clients_need_no_secret_and_see_one_node() {
    let settings = Settings { users: vec![], instances: vec![], ..settings() };
    let mut session = Session::new(7, "peer".into(), &settings);
    let lines =
        ["AUTH s3", "HELLO 3 AUTH a b", "CLUSTER NODES", "CLUSTER SLOTS", "CLUSTER MYID", "CLUSTER INFO"];
    expect![[r#"
        AUTH s3: -ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?
        HELLO 3 AUTH a b: -ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?
        CLUSTER NODES: $98 aa93003048de4cf5011aecff310ed9925fa06bf0 127.0.0.1:6379@0 myself,master - 0 0 1 connected 0-16383
        CLUSTER SLOTS: *1 *3 :0 :16383 *3 $9 127.0.0.1 :6379 $40 aa93003048de4cf5011aecff310ed9925fa06bf0
        CLUSTER MYID: $40 aa93003048de4cf5011aecff310ed9925fa06bf0
        CLUSTER INFO: $106 cluster_enabled:1 cluster_state:ok cluster_slots_assigned:16384 cluster_known_nodes:1 cluster_size:1
    "#]].assert_eq(&replies(&mut session, &settings, &lines));
}
