//! How servers and proxies are written down outside the platform: as values under keys, and as a file. Version 1 of both.
//!
//! A value is a JSON object; a file is TOML or JSON with the same fields. Fields that are not known are passed over in values,
//! so that a newer writer does not stop older proxies, and refused in files, where they are a person's slip.

use crate::{ListedEndpoint, MOST_LINES};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{TICKS_PER_MILLISECOND, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

const VERSION: u64 = 1;
/// Of a value in bytes: some ten times what a line needs.
pub const LONGEST_VALUE: usize = 4096;
/// Of an id: it goes into keys, logs and 128 points each.
const LONGEST_ID: usize = 256;

/// One server as it is written down.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Written {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    id: String,
    addr: String,
    zone: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    kind: String,
    #[serde(default)]
    cell: u64,
    /// How much it does, to be compared with the others'.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    weight: f64,
    state: String,
    /// Unix time in milliseconds at which its process started; 0: long ago.
    #[serde(default)]
    started_ms: u64,
    /// In service again on purpose, though it was drained and has not started since.
    #[serde(default)]
    back: bool,
}

fn one() -> f64 {
    1.0
}

fn is_one(weight: &f64) -> bool {
    *weight == 1.0
}

pub const SERVING: &str = "serving";
pub const DRAINING: &str = "draining";

/// What the platform has names for.
#[derive(Clone, Debug, Default)]
pub struct AllowedNames {
    /// Any, where none is named.
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Written {
    pub fn of(line: &ListedEndpoint) -> Written {
        Written {
            id: line.id.clone(),
            addr: line.addr.to_string(),
            zone: line.zone.clone(),
            kind: line.kind.clone(),
            cell: line.cell,
            weight: line.size as f64 / 100.0,
            state: if line.status == EndpointStatus::Ready { SERVING } else { DRAINING }.into(),
            started_ms: line.born.ticks() / TICKS_PER_MILLISECOND,
            back: false,
        }
    }

    /// The line, and whether it is back on purpose; or what is wrong.
    fn read(self, known: &AllowedNames) -> Result<(ListedEndpoint, bool), String> {
        if self.id.is_empty() || self.id.len() > LONGEST_ID || self.id.contains(char::is_control) {
            return Err(format!("an id has 1 to {LONGEST_ID} bytes, and no control characters"));
        }
        let wrong = |what: &str, value: &str| Err(format!("{}: {what} \"{value}\"", self.id));
        let Ok(addr) = self.addr.parse() else {
            return wrong("addr is an address and a port, not", &self.addr);
        };
        let status = match self.state.as_str() {
            SERVING => EndpointStatus::Ready,
            DRAINING => EndpointStatus::Draining,
            other => return wrong("state is serving or draining, not", other),
        };
        if !known.zones.is_empty() && !known.zones.contains(&self.zone) {
            return wrong("the house has no zone", &self.zone);
        }
        if !self.kind.is_empty() && !known.kinds.is_empty() && !known.kinds.contains(&self.kind) {
            return wrong("the house has no kind", &self.kind);
        }
        let Some(born) = self.started_ms.checked_mul(TICKS_PER_MILLISECOND).filter(|b| *b < u64::MAX / 4)
        else {
            return wrong("started_ms is Unix time in milliseconds, not", &self.started_ms.to_string());
        };
        if !(0.01..=10_000.0).contains(&self.weight) {
            return wrong("weight is a number from 0.01 to 10000, not", &self.weight.to_string());
        }
        let (size, back) = ((self.weight * 100.0).round() as u64, self.back);
        let Written { id, zone, kind, cell, .. } = self;
        Ok((
            ListedEndpoint { id, addr, zone, kind, cell, size, status, born: Timestamp::from_ticks(born) },
            back,
        ))
    }
}

// ---- values under keys ----

#[derive(Deserialize, Serialize)]
struct Value<T> {
    v: u64,
    #[serde(flatten)]
    of: T,
}

/// The value of a server's key.
pub fn server_value(line: &ListedEndpoint) -> Vec<u8> {
    let of = Written { id: String::new(), ..Written::of(line) };
    serde_json::to_vec(&Value { v: VERSION, of }).unwrap_or_default()
}

/// What the value under a server's key says; the id is the key's.
pub fn read_server(id: &str, value: &[u8], known: &AllowedNames) -> Result<(ListedEndpoint, bool), String> {
    if value.len() > LONGEST_VALUE {
        return Err(format!("{id}: a value of {} bytes is above {LONGEST_VALUE}", value.len()));
    }
    let read: Value<Written> = serde_json::from_slice(value).map_err(|e| format!("{id}: {e}"))?;
    if read.v != VERSION {
        return Err(format!("{id}: version {} is not known, only {VERSION}", read.v));
    }
    Written { id: id.to_string(), ..read.of }.read(known)
}

/// What a proxy says of itself under its own key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProxyRecord {
    pub zone: String,
    /// `serving`, or `leaving` once it was told to end.
    pub phase: String,
    pub listen: String,
}

pub const LEAVING: &str = "leaving";

pub fn encode_proxy(instance: &ProxyRecord) -> Vec<u8> {
    serde_json::to_vec(&Value { v: VERSION, of: instance }).unwrap_or_default()
}

pub fn parse_proxy(value: &[u8]) -> Result<ProxyRecord, String> {
    if value.len() > LONGEST_VALUE {
        return Err(format!("a value of {} bytes is above {LONGEST_VALUE}", value.len()));
    }
    let read: Value<ProxyRecord> = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    Ok(read.of)
}

// ---- a file ----

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u64,
    /// The writer's own number; a lower one than before is an old file.
    #[serde(default)]
    serial: Option<u64>,
    #[serde(default)]
    checksum: Option<String>,
    #[serde(default, rename = "cache")]
    server: Vec<FileLine>,
    #[serde(default, rename = "end")]
    _end: Option<End>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct End {}

/// `Written`, where nothing unknown is passed over.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileLine {
    id: String,
    addr: String,
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u64,
    #[serde(default = "one")]
    weight: f64,
    state: String,
    #[serde(default)]
    started_ms: u64,
    #[serde(default)]
    back: bool,
}

/// A file that was taken.
#[derive(Debug)]
pub struct Read {
    pub serial: Option<u64>,
    pub lines: Vec<(ListedEndpoint, bool)>,
}

/// Faults that are told of one file; the rest is counted.
const TOLD: usize = 20;

/// Where the text that a checksum is of begins: behind the line that states it.
fn behind_checksum(text: &str) -> Option<&str> {
    let at = text.lines().map(|l| l.len() + 1).scan(0, |at, len| {
        let start = *at;
        *at += len;
        Some((start, *at))
    });
    let stated = |(start, end): &(usize, usize)| {
        let line = text.get(*start..end.saturating_sub(1)).unwrap_or("").trim_start();
        line.starts_with("checksum") || line.starts_with("\"checksum\"")
    };
    let (_, end) = at.into_iter().find(stated)?;
    text.get(end..).or(Some(""))
}

/// The checksum of a file's text behind the line that states it.
pub fn checksum(text: &str) -> String {
    format!("crc32:{:08x}", crc32fast::hash(behind_checksum(text).unwrap_or(text).as_bytes()))
}

/// Reads a file whole, or says all that is wrong with it, a line each.
pub fn read_file(text: &str, known: &AllowedNames) -> Result<Read, String> {
    let json = text.trim_start().starts_with('{');
    let file: File = if json {
        serde_json::from_str(text).map_err(|e| e.to_string())?
    } else {
        toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map_or(1, |s| text.as_bytes()[..s.start].iter().filter(|b| **b == b'\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?
    };
    if !json {
        // Much of a TOML file that is still being written reads well; JSON does not.
        let last = text.lines().map(str::trim).rfind(|l| !l.is_empty() && !l.starts_with('#'));
        if last != Some("[end]") {
            return Err("it does not end with [end]: it may have been cut short".into());
        }
    }
    if file.version != VERSION {
        return Err(format!("version {} is not known; this program reads version {VERSION}", file.version));
    }
    if let Some(stated) = &file.checksum
        && *stated != checksum(text)
    {
        return Err(format!("its checksum is {}, and {stated} is stated", checksum(text)));
    }
    if file.server.len() > MOST_LINES {
        return Err(format!("{} caches are above {MOST_LINES}", file.server.len()));
    }
    let (mut ids, mut addrs) = (BTreeSet::new(), BTreeSet::new());
    let (mut lines, mut faults) = (Vec::new(), Vec::new());
    for (i, c) in file.server.into_iter().enumerate() {
        let FileLine { id, addr, zone, kind, cell, weight, state, started_ms, back } = c;
        match (Written { id, addr, zone, kind, cell, weight, state, started_ms, back }).read(known) {
            Ok((line, back)) => {
                if !ids.insert(line.id.clone()) {
                    faults.push(format!("cache {}: the id {} is there twice", i + 1, line.id));
                }
                if !addrs.insert(line.addr) {
                    faults.push(format!("cache {}: the address {} is there twice", i + 1, line.addr));
                }
                lines.push((line, back));
            }
            Err(fault) => faults.push(format!("cache {}: {fault}", i + 1)),
        }
    }
    if faults.is_empty() {
        return Ok(Read { serial: file.serial, lines });
    }
    let more = faults.len().saturating_sub(TOLD);
    faults.truncate(TOLD);
    if more > 0 {
        faults.push(format!("and {more} more"));
    }
    Err(faults.join("\n"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const GOOD: &str = "version = 1\nserial = 7\n[[cache]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\nzone = \"n\"\nstate = \"serving\"\n\
        [[cache]]\nid = \"b\"\naddr = \"127.0.0.1:2\"\nzone = \"s\"\nstate = \"draining\"\nstarted_ms = 5\nback = true\n[end]\n";

    fn known() -> AllowedNames {
        AllowedNames { zones: vec!["n".into(), "s".into()], kinds: vec!["cache".into()] }
    }

    #[test]
    fn what_is_wrong_with_a_file_is_told_all_at_once() {
        let with = |from: &str, to: &str| GOOD.replace(from, to);
        let files = [
            GOOD.to_string(),
            with("version = 1", "version = 2"),
            with("zone = \"s\"", "zone = \"moon\"\nkind = \"kettle\""),
            with("\"b\"", "\"a\"").replace("127.0.0.1:2", "127.0.0.1:1"),
            with("draining", "tired").replace("127.0.0.1:1\"", "nowhere\""),
            with("state = \"serving\"", "staet = \"serving\""),
            with("[end]\n", ""),
            with("serial = 7", "checksum = \"crc32:00000000\""),
            with("id = \"a\"", "id = \"\""),
            "{\"version\": 1, \"cache\": [{\"id\": \"a\"".into(),
        ];
        let told = files.map(|f| match read_file(&f, &known()) {
            Ok(read) => format!("{:?}, {} caches\n", read.serial, read.lines.len()),
            Err(fault) => fault + "\n",
        });
        expect![[r#"
            Some(7), 2 caches
            version 2 is not known; this program reads version 1
            cache 2: b: the house has no zone "moon"
            cache 2: the id a is there twice
            cache 2: the address 127.0.0.1:1 is there twice
            cache 1: a: addr is an address and a port, not "nowhere"
            cache 2: b: state is serving or draining, not "tired"
            line 7: unknown field `staet`, expected one of `id`, `addr`, `zone`, `kind`, `cell`, `weight`, `state`, `started_ms`, `back`
            it does not end with [end]: it may have been cut short
            its checksum is crc32:9dcfd43f, and crc32:00000000 is stated
            cache 1: an id has 1 to 256 bytes, and no control characters
            EOF while parsing an object at line 1 column 35
        "#]]
        .assert_eq(&told.concat());
        let sealed = GOOD.replace("serial = 7", "checksum = \"\"");
        let sealed = sealed.replace("checksum = \"\"", &format!("checksum = \"{}\"", checksum(&sealed)));
        assert!(read_file(&sealed, &known()).is_ok());
        assert!(read_file(&sealed.replace("127.0.0.1:2", "127.0.0.1:3"), &known()).is_err());
    }

    #[test]
    fn a_file_that_is_cut_short_anywhere_is_refused() {
        let json = "{\"version\":1,\"cache\":[{\"id\":\"a\",\"addr\":\"127.0.0.1:1\",\"zone\":\"n\",\"state\":\"serving\"}]}";
        for text in [GOOD.trim_end(), json] {
            assert!(read_file(text, &known()).is_ok());
            let taken: Vec<usize> =
                (0..text.len()).filter(|n| read_file(&text[..*n], &known()).is_ok()).collect();
            assert_eq!(taken, [0usize; 0]);
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Whatever stands under a key or in a file, or whatever a good one is turned into, there is an answer and no panic.
        #[test]
        fn any_bytes_are_answered(noise in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..200, with in any::<u8>()) {
            _ = read_server("a", &noise, &known());
            _ = parse_proxy(&noise);
            let mut bytes = GOOD.as_bytes().to_vec();
            bytes[at % GOOD.len()] = with;
            for text in [String::from_utf8_lossy(&noise), String::from_utf8_lossy(&bytes)] {
                _ = read_file(&text, &known());
            }
        }

        #[test]
        fn what_is_written_under_a_key_reads_back(port in any::<u16>(), cell in any::<u64>(), size in 1u64..1_000_000, born in 0u64..1 << 50, off in any::<bool>()) {
            let status = if off { EndpointStatus::Draining } else { EndpointStatus::Ready };
            let addr = std::net::SocketAddr::from(([127, 0, 0, 1], port));
            let line = ListedEndpoint { id: "a/b".into(), addr, zone: "n".into(), kind: "cache".into(), cell, size, status, born: Timestamp::from_ticks(born * 10) };
            prop_assert_eq!(read_server("a/b", &server_value(&line), &known()), Ok((line, false)));
        }
    }
}
