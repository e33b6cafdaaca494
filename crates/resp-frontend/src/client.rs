//! One client as this door knows it, and the commands that are answered here. No I/O: words in, bytes out.

use crate::command::{TABLE, Words};
use crate::settings::Settings;
use chalkwalk_resp::{SLOTS, Writer, slot_of};
use chalkwalk_slot_map::SlotRange;
use std::net::SocketAddr;

/// What drivers take for the server's own; the dialect has no other name for "at least version 7".
const VERSION: &str = "7.0.0";
/// Names that clients give their connections are bounded, as the dialect has them without spaces.
const LONGEST_NAME: usize = 128;

#[derive(Debug, Default)]
pub struct Client {
    pub id: u64,
    pub peer: String,
    pub name: String,
    pub user: String,
    pub known: bool,
    pub resp3: bool,
    pub over: bool,
}

fn hex(id: &str) -> String {
    // Forty characters, as node ids have: the same for a name wherever it is told.
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    let mut out = String::new();
    for round in 0..3u8 {
        for b in id.bytes().chain([round]) {
            hash = (hash ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        }
        out += &format!("{hash:016x}");
    }
    out.truncate(40);
    out
}

/// The instances as clients are told of them: this one alone where none are named.
fn instances(settings: &Settings) -> Vec<(String, SocketAddr, SlotRange)> {
    if settings.instances.is_empty() {
        return vec![(hex("self"), settings.listen, SlotRange::ALL)];
    }
    settings.instances.iter().map(|i| (hex(&i.name), i.addr, i.slots)).collect()
}

impl Client {
    pub fn new(id: u64, peer: String, settings: &Settings) -> Client {
        Client { id, peer, known: settings.users.is_empty(), ..Client::default() }
    }

    /// Whether a command may be taken before its sender has said who they are.
    pub fn may(&self, name: &str) -> bool {
        self.known || matches!(name, "AUTH" | "HELLO" | "QUIT")
    }

    /// Answers one of the door's own commands.
    pub fn own(&mut self, words: &Words, settings: &Settings, out: &mut Writer) {
        out.resp3 = self.resp3;
        let name = words.name(0);
        let sub = words.name(1);
        match (name.as_str(), words.len()) {
            ("PING", 1) => out.simple("PONG"),
            ("PING" | "ECHO", 2) => out.bulk(words.get(1)),
            ("QUIT", _) => {
                self.over = true;
                out.simple("OK");
            }
            ("HELLO", _) => self.hello(words, settings, out),
            ("AUTH", 2) => _ = self.auth(b"default", words.get(1), settings, out),
            ("AUTH", 3) => _ = self.auth(words.get(1), words.get(2), settings, out),
            ("SELECT", 2) if words.get(1) == b"0" => out.simple("OK"),
            ("SELECT", 2) => out.error("ERR SELECT is not allowed in cluster mode"),
            // Which reads replicas may answer is the operator's word, by namespace.
            ("READONLY" | "READWRITE", 1) => out.simple("OK"),
            // Slots are on their way among servers, never among instances.
            ("ASKING", 1) => out.simple("OK"),
            ("CLIENT", _) => self.client(&sub, words, out),
            ("COMMAND", _) => command(&sub, words, out),
            ("CLUSTER", _) => cluster(&sub, words, settings, out),
            ("INFO", _) => {
                out.bulk(format!("# Server\r\nredis_version:{VERSION}\r\nredis_mode:cluster\r\n# Cluster\r\ncluster_enabled:1\r\n").as_bytes());
            }
            _ => out.error(&format!("ERR wrong number of arguments for '{}' command", name.to_lowercase())),
        }
    }

    fn auth(&mut self, name: &[u8], secret: &[u8], settings: &Settings, out: &mut Writer) -> bool {
        if settings.users.is_empty() {
            out.error("ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?");
            return false;
        }
        if settings.authenticates(name, secret) {
            (self.known, self.user) = (true, String::from_utf8_lossy(name).to_string());
            out.simple("OK");
        } else {
            out.error("WRONGPASS invalid username-password pair or user is disabled.");
        }
        self.known
    }

    /// `HELLO [version [AUTH name secret] [SETNAME name]]`
    fn hello(&mut self, words: &Words, settings: &Settings, out: &mut Writer) {
        let mut resp3 = self.resp3;
        match words.get(1) {
            b"" => {}
            b"2" => resp3 = false,
            b"3" => resp3 = true,
            _ => return out.error("NOPROTO unsupported protocol version"),
        }
        let mut i = 2;
        while i < words.len() {
            match (words.name(i).as_str(), words.len() - i) {
                ("AUTH", 3..) => {
                    let mut told = Writer::default();
                    if !self.auth(words.get(i + 1), words.get(i + 2), settings, &mut told) {
                        return out.raw(told.as_bytes());
                    }
                    i += 3;
                }
                ("SETNAME", 2..) => {
                    if !self.set_name(words.get(i + 1)) {
                        return out.error(
                            "ERR Client names cannot contain spaces, newlines or special characters.",
                        );
                    }
                    i += 2;
                }
                _ => return out.error("ERR Syntax error in HELLO option"),
            }
        }
        if !self.known {
            return out.error("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time");
        }
        self.resp3 = resp3;
        out.resp3 = resp3;
        out.map(7);
        for (name, value) in [("server", "redis"), ("version", VERSION)] {
            out.bulk(name.as_bytes());
            out.bulk(value.as_bytes());
        }
        out.bulk(b"proto");
        out.number(if resp3 { 3 } else { 2 });
        out.bulk(b"id");
        out.number(self.id as i64);
        for (name, value) in [("mode", "cluster"), ("role", "master")] {
            out.bulk(name.as_bytes());
            out.bulk(value.as_bytes());
        }
        out.bulk(b"modules");
        out.array(0);
    }

    fn set_name(&mut self, name: &[u8]) -> bool {
        let good = name.len() <= LONGEST_NAME && name.iter().all(|b| (b'!'..=b'~').contains(b));
        if good {
            self.name = String::from_utf8_lossy(name).to_string();
        }
        good
    }

    fn client(&mut self, sub: &str, words: &Words, out: &mut Writer) {
        match (sub, words.len()) {
            ("ID", 2) => out.number(self.id as i64),
            ("GETNAME", 2) => out.bulk(self.name.as_bytes()),
            ("SETNAME", 3) if self.set_name(words.get(2)) => out.simple("OK"),
            ("SETNAME", 3) => {
                out.error("ERR Client names cannot contain spaces, newlines or special characters.");
            }
            // What libraries say of themselves.
            ("SETINFO", 4) => out.simple("OK"),
            ("INFO", 2) => {
                let resp = if self.resp3 { 3 } else { 2 };
                out.bulk(
                    format!(
                        "id={} addr={} name={} user={} resp={resp}\n",
                        self.id, self.peer, self.name, self.user
                    )
                    .as_bytes(),
                );
            }
            _ => out.error(&unknown_sub("CLIENT", sub)),
        }
    }
}

fn unknown_sub(name: &str, sub: &str) -> String {
    let shown: String = sub.chars().take(64).filter(|c| !c.is_control()).collect();
    format!("ERR unknown subcommand '{}'. Try {name} HELP.", shown.to_lowercase())
}

/// `COMMAND` as drivers ask it at connect: the table, its length, or rows of it.
fn command(sub: &str, words: &Words, out: &mut Writer) {
    let row = |row: &crate::command::Row, out: &mut Writer| {
        let (first, last, step) = row.keys;
        let last = if last == usize::MAX { first as i64 } else { -1 - last as i64 };
        out.array(6);
        out.bulk(row.name.to_lowercase().as_bytes());
        out.number(row.arity);
        out.array(1);
        out.simple(if row.write { "write" } else { "readonly" });
        out.number(first as i64);
        out.number(last);
        out.number(step as i64);
    };
    match sub {
        "" => {
            out.array(TABLE.len());
            TABLE.iter().for_each(|r| row(r, out));
        }
        "COUNT" => out.number(TABLE.len() as i64),
        "INFO" => {
            out.array(words.len() - 2);
            for i in 2..words.len() {
                match TABLE.iter().find(|r| r.name == words.name(i)) {
                    Some(r) => row(r, out),
                    None => out.null(),
                }
            }
        }
        "DOCS" => out.map(0),
        _ => out.error(&unknown_sub("COMMAND", sub)),
    }
}

fn cluster(sub: &str, words: &Words, settings: &Settings, out: &mut Writer) {
    let all = instances(settings);
    let own = all.iter().find(|i| i.1 == settings.listen).or(all.first());
    match (sub, words.len()) {
        ("KEYSLOT", 3) => out.number(i64::from(slot_of(words.get(2)))),
        ("MYID", 2) => out.bulk(own.map_or("", |i| &i.0).as_bytes()),
        ("INFO", 2) => {
            out.bulk(
                format!(
                    "cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOTS}\r\ncluster_known_nodes:{}\r\ncluster_size:{}\r\n",
                    all.len(),
                    all.len()
                )
                .as_bytes(),
            );
        }
        ("SLOTS", 2) => {
            out.array(all.len());
            for (id, addr, SlotRange { first, last }) in &all {
                out.array(3);
                out.number(i64::from(*first));
                out.number(i64::from(*last));
                out.array(3);
                out.bulk(addr.ip().to_string().as_bytes());
                out.number(i64::from(addr.port()));
                out.bulk(id.as_bytes());
            }
        }
        ("SHARDS", 2) => {
            out.array(all.len());
            for (id, addr, SlotRange { first, last }) in &all {
                out.map(2);
                out.bulk(b"slots");
                out.array(2);
                out.number(i64::from(*first));
                out.number(i64::from(*last));
                out.bulk(b"nodes");
                out.array(1);
                out.map(7);
                let words = [
                    ("id", id.clone()),
                    ("ip", addr.ip().to_string()),
                    ("endpoint", addr.ip().to_string()),
                    ("role", "master".into()),
                    ("health", "online".into()),
                ];
                for (name, value) in words {
                    out.bulk(name.as_bytes());
                    out.bulk(value.as_bytes());
                }
                out.bulk(b"port");
                out.number(i64::from(addr.port()));
                out.bulk(b"replication-offset");
                out.number(0);
            }
        }
        ("NODES", 2) => {
            let mut text = String::new();
            for (id, addr, SlotRange { first, last }) in &all {
                let me = if *addr == settings.listen { "myself," } else { "" };
                text += &format!("{id} {addr}@0 {me}master - 0 0 1 connected {first}-{last}\n");
            }
            out.bulk(text.as_bytes());
        }
        _ => out.error(&unknown_sub("CLUSTER", sub)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::{Instance, User, hash_secret};
    use expect_test::expect;

    fn settings() -> Settings {
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let instance = |name: &str, port, slots| Instance {
            name: name.into(),
            addr: addr(port),
            slots: SlotRange::from(slots),
        };
        Settings {
            listen: addr(6379),
            seeds: vec![],
            read_class: 0,
            write_class: 0,
            prefixes: vec![],
            stale_reads: vec![],
            split_multi_slot: false,
            instances: vec![instance("p1", 6379, (0, 8191)), instance("p2", 6380, (8192, 16383))],
            users: vec![User { name: "lib".into(), secret_sha256: hash_secret(b"s3") }],
        }
    }

    #[test]
    fn connections_are_made_as_drivers_make_them() {
        let (settings, mut client) = (settings(), Client::new(7, "c".into(), &settings()));
        let mut told = String::new();
        for line in [
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
        ] {
            let words = crate::command::tests::words(line);
            let mut out = Writer::default();
            client.own(&words, &settings, &mut out);
            told += &format!(
                "{line}: {}\n",
                String::from_utf8_lossy(out.as_bytes()).replace("\r\n", " ").trim_end()
            );
        }
        assert!(client.known && client.over && client.resp3);
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
        "#]].assert_eq(&told);
    }

    /// What each command is answered with, line breaks as spaces.
    fn replies(client: &mut Client, settings: &Settings, lines: &[&str]) -> String {
        let reply = |line: &&str| {
            let mut out = Writer::default();
            client.own(&crate::command::tests::words(line), settings, &mut out);
            let text = String::from_utf8_lossy(out.as_bytes()).replace("\r\n", " ");
            format!("{line}: {}\n", text.trim_end())
        };
        lines.iter().map(reply).collect()
    }

    #[test]
    fn every_subcommand_is_answered_in_both_versions_of_the_protocol() {
        let settings = settings();
        let mut client = Client::new(7, "peer".into(), &settings);
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
        "#]].assert_eq(&replies(&mut client, &settings, &lines));
    }

    #[test]
    fn without_users_and_instances_clients_need_no_secret_and_see_one_node() {
        let settings = Settings { users: vec![], instances: vec![], ..settings() };
        let mut client = Client::new(7, "peer".into(), &settings);
        let lines =
            ["AUTH s3", "HELLO 3 AUTH a b", "CLUSTER NODES", "CLUSTER SLOTS", "CLUSTER MYID", "CLUSTER INFO"];
        expect![[r#"
            AUTH s3: -ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?
            HELLO 3 AUTH a b: -ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?
            CLUSTER NODES: $98 aa93003048de4cf5011aecff310ed9925fa06bf0 127.0.0.1:6379@0 myself,master - 0 0 1 connected 0-16383
            CLUSTER SLOTS: *1 *3 :0 :16383 *3 $9 127.0.0.1 :6379 $40 aa93003048de4cf5011aecff310ed9925fa06bf0
            CLUSTER MYID: $40 aa93003048de4cf5011aecff310ed9925fa06bf0
            CLUSTER INFO: $106 cluster_enabled:1 cluster_state:ok cluster_slots_assigned:16384 cluster_known_nodes:1 cluster_size:1
        "#]].assert_eq(&replies(&mut client, &settings, &lines));
    }
}
