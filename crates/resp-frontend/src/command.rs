//! What a command is: its name, its keys, and whether it is for servers at all. No I/O.

use crate::parts::Gather;
use chalkwalk_resp::slot_of;
use std::ops::Range;

/// A command as it came: its bytes, and where its words stand in them.
#[derive(Debug)]
pub struct Words {
    pub bytes: Vec<u8>,
    pub at: Vec<Range<usize>>,
}

impl Words {
    pub fn len(&self) -> usize {
        self.at.len()
    }

    pub fn get(&self, i: usize) -> &[u8] {
        self.at.get(i).map_or(&[], |at| &self.bytes[at.clone()])
    }

    /// A word in upper case, as names and options are not told apart by case.
    pub fn name(&self, i: usize) -> String {
        String::from_utf8_lossy(self.get(i)).to_ascii_uppercase()
    }
}

/// One that goes to servers.
pub struct Row {
    pub name: &'static str,
    /// Words, the name included; below zero at least so many.
    pub arity: i64,
    pub write: bool,
    /// The first key, the last from the end (0: the last word is it), and the step between.
    pub keys: (usize, usize, usize),
    /// From which word on there are options, which are checked.
    options: Option<usize>,
    /// How its answer comes together where its keys are asked for apart.
    pub gather: Option<Gather>,
}

const fn row(name: &'static str, arity: i64, write: bool, keys: (usize, usize, usize)) -> Row {
    Row { name, arity, write, keys, options: None, gather: None }
}

const ONE: (usize, usize, usize) = (1, usize::MAX, 1);
const ALL: (usize, usize, usize) = (1, 0, 1);

/// By the public command reference.
pub const TABLE: [Row; 9] = [
    row("GET", 2, false, ONE),
    Row { options: Some(3), ..row("SET", -3, true, ONE) },
    Row { gather: Some(Gather::Sum), ..row("DEL", -2, true, ALL) },
    Row { gather: Some(Gather::Sum), ..row("EXISTS", -2, false, ALL) },
    row("EXPIRE", 3, true, ONE),
    row("TTL", 2, false, ONE),
    Row { gather: Some(Gather::Values), ..row("MGET", -2, false, ALL) },
    Row { gather: Some(Gather::All), ..row("MSET", -3, true, (1, 0, 2)) },
    row("STRLEN", 2, false, ONE),
];

/// Slots that one command may touch: a reading list has some dozens of covers.
const MOST_PARTS: usize = 64;

/// One that this door answers itself: connection and cluster commands.
pub const OWN: [&str; 13] = [
    "PING",
    "ECHO",
    "QUIT",
    "HELLO",
    "AUTH",
    "SELECT",
    "CLIENT",
    "COMMAND",
    "CLUSTER",
    "READONLY",
    "READWRITE",
    "ASKING",
    "INFO",
];

/// What is to be done with a command.
#[derive(Debug, PartialEq)]
pub enum Way {
    Own,
    /// For servers: its keys by their places, all in one slot.
    Request {
        write: bool,
        keys: Vec<usize>,
        slot: u16,
    },
    /// For servers, in parts: each with the places of its keys among all, and their slot.
    Split {
        write: bool,
        gather: Gather,
        step: usize,
        parts: Vec<(u16, Vec<usize>)>,
    },
    /// The dialect's error.
    Refused(String),
}

/// `split`: whether keys of several slots are taken in parts.
pub fn way(words: &Words, split: bool) -> Way {
    let name = words.name(0);
    if OWN.contains(&name.as_str()) {
        return Way::Own;
    }
    let Some(row) = TABLE.iter().find(|row| row.name == name) else {
        let shown: String = name.chars().take(64).filter(|c| !c.is_control()).collect();
        return Way::Refused(format!("ERR unknown command '{}'", shown.to_lowercase()));
    };
    let count = words.len() as i64;
    let fits = if row.arity < 0 { count >= -row.arity } else { count == row.arity };
    let (first, last, step) = row.keys;
    let last = if last == usize::MAX { first } else { words.len() - 1 - last.min(words.len() - 1) };
    if !fits || (step == 2 && words.len().is_multiple_of(2)) {
        return Way::Refused(format!(
            "ERR wrong number of arguments for '{}' command",
            row.name.to_lowercase()
        ));
    }
    if let Some(fault) = row.options.and_then(|from| options(words, from)) {
        return Way::Refused(fault.into());
    }
    let keys: Vec<usize> = (first..=last).step_by(step).collect();
    let slot = slot_of(words.get(first));
    if keys.iter().any(|key| slot_of(words.get(*key)) != slot) {
        if let Some(gather) = row.gather.filter(|_| split) {
            let mut parts: Vec<(u16, Vec<usize>)> = Vec::new();
            for key in &keys {
                let slot = slot_of(words.get(*key));
                match parts.iter_mut().find(|(of, _)| *of == slot) {
                    Some((_, own)) => own.push(*key),
                    None => parts.push((slot, vec![*key])),
                }
            }
            if parts.len() > MOST_PARTS {
                return Way::Refused(format!("ERR the keys are in more than {MOST_PARTS} slots"));
            }
            return Way::Split { write: row.write, gather, step, parts };
        }
        return Way::Refused("CROSSSLOT Keys in request don't hash to the same slot".into());
    }
    Way::Request { write: row.write, keys, slot }
}

/// What is wrong with the options of a SET: an expiry of seconds or milliseconds, and a condition, each once.
fn options(words: &Words, from: usize) -> Option<&'static str> {
    let (mut expiry, mut condition, mut i) = (false, false, from);
    while i < words.len() {
        match words.name(i).as_str() {
            "EX" | "PX" if !expiry => {
                let time = std::str::from_utf8(words.get(i + 1)).ok().and_then(|t| t.parse::<i64>().ok());
                match time {
                    Some(time) if time > 0 => {}
                    Some(_) => return Some("ERR invalid expire time in 'set' command"),
                    None if i + 1 < words.len() => {
                        return Some("ERR value is not an integer or out of range");
                    }
                    None => return Some("ERR syntax error"),
                }
                (expiry, i) = (true, i + 1);
            }
            "NX" | "XX" if !condition => condition = true,
            _ => return Some("ERR syntax error"),
        }
        i += 1;
    }
    None
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use expect_test::expect;

    pub(crate) fn words(line: &str) -> Words {
        let (mut bytes, mut at) = (Vec::new(), Vec::new());
        for word in line.split(' ').filter(|w| !w.is_empty()) {
            at.push(bytes.len()..bytes.len() + word.len());
            bytes.extend_from_slice(word.as_bytes());
        }
        Words { bytes, at }
    }

    #[test]
    fn commands_are_sorted_and_wrong_ones_get_the_dialects_errors() {
        let lines = [
            "get a",
            "GET a b",
            "set a 1",
            "set a 1 ex 5 nx",
            "set a 1 ex",
            "set a 1 px x",
            "set a 1 ex 0",
            "set a 1 nx xx",
            "set a 1 keepttl",
            "del a b",
            "mget split1 split2 {split1}3",
            "del {a}1 {a}2",
            "mget {x}a {x}b {x}c",
            "mset {x}a 1 {x}b 2",
            "mset {x}a 1 {x}b",
            "mset",
            "ttl a",
            "expire a",
            "flushall",
            "ping",
            "cluster slots",
        ];
        let told: String =
            lines.iter().map(|l| format!("{l}: {:?}\n", way(&words(l), l.contains("split")))).collect();
        expect![[r#"
            get a: Request { write: false, keys: [1], slot: 15495 }
            GET a b: Refused("ERR wrong number of arguments for 'get' command")
            set a 1: Request { write: true, keys: [1], slot: 15495 }
            set a 1 ex 5 nx: Request { write: true, keys: [1], slot: 15495 }
            set a 1 ex: Refused("ERR syntax error")
            set a 1 px x: Refused("ERR value is not an integer or out of range")
            set a 1 ex 0: Refused("ERR invalid expire time in 'set' command")
            set a 1 nx xx: Refused("ERR syntax error")
            set a 1 keepttl: Refused("ERR syntax error")
            del a b: Refused("CROSSSLOT Keys in request don't hash to the same slot")
            mget split1 split2 {split1}3: Split { write: false, gather: Values, step: 1, parts: [(9999, [1, 3]), (5996, [2])] }
            del {a}1 {a}2: Request { write: true, keys: [1, 2], slot: 15495 }
            mget {x}a {x}b {x}c: Request { write: false, keys: [1, 2, 3], slot: 16287 }
            mset {x}a 1 {x}b 2: Request { write: true, keys: [1, 3], slot: 16287 }
            mset {x}a 1 {x}b: Refused("ERR wrong number of arguments for 'mset' command")
            mset: Refused("ERR wrong number of arguments for 'mset' command")
            ttl a: Request { write: false, keys: [1], slot: 15495 }
            expire a: Refused("ERR wrong number of arguments for 'expire' command")
            flushall: Refused("ERR unknown command 'flushall'")
            ping: Own
            cluster slots: Own
        "#]]
        .assert_eq(&told);
    }
}
