//! The list as it was last known, for a start without any source: written down whole with a checksum, and judged by its age.

use crate::ListedEndpoint;
use crate::format::{AllowedNames, read_server, server_value};
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

const MARK: &str = "chalkwalk list 1 ";
const HOUR: Span = Span::from_secs(3_600);
/// Most of a fleet is still where it was an hour ago. After a day a deploy has been over all of it: to send there is worse
/// than to say that nothing is known.
const YOUNG: Span = HOUR;
const TOO_OLD: Span = HOUR.times(24);

/// What is written down.
#[derive(Debug, PartialEq)]
pub struct PersistedList {
    /// Unix time.
    pub at: Timestamp,
    pub revision: u64,
    pub lines: Vec<ListedEndpoint>,
}

#[derive(Deserialize, Serialize)]
struct Body {
    at: Timestamp,
    revision: u64,
    lines: Vec<(String, String)>,
}

/// How old a kept list is, in what it is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    Young,
    /// Used until a source says something, and told to be old.
    Old,
    TooOld,
}

impl PersistedList {
    /// A list from the future is as old as can be: one of the two clocks is wrong.
    pub fn age(&self, now: Timestamp) -> Age {
        match now.checked_since(self.at) {
            Some(age) if age <= YOUNG => Age::Young,
            Some(age) if age <= TOO_OLD => Age::Old,
            _ => Age::TooOld,
        }
    }

    pub fn to_text(&self) -> String {
        let line =
            |l: &ListedEndpoint| (l.id.clone(), String::from_utf8(server_value(l)).unwrap_or_default());
        let body =
            Body { at: self.at, revision: self.revision, lines: self.lines.iter().map(line).collect() };
        let body = serde_json::to_string(&body).unwrap_or_default();
        format!("{MARK}{:08x}\n{body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// What a text says, or why it can't be used.
    pub fn parse(text: &str, known: &AllowedNames) -> Result<PersistedList, String> {
        let (head, body) = text.split_once('\n').ok_or("no list, or cut short")?;
        let sum = head.strip_prefix(MARK).ok_or("no list of a form that is known")?;
        let body = body.strip_suffix('\n').ok_or("cut short")?;
        if sum != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
            return Err("its checksum is another".into());
        }
        let body: Body = serde_json::from_str(body).map_err(|e| e.to_string())?;
        let line = |(id, value): &(String, String)| Ok(read_server(id, value.as_bytes(), known)?.0);
        let lines = body.lines.iter().map(line).collect::<Result<_, String>>()?;
        Ok(PersistedList { at: body.at, revision: body.revision, lines })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalkwalk_balancer::EndpointStatus;

    #[test]
    fn a_list_reads_back_and_not_where_any_byte_is_missing_or_another() {
        let line = |id: &str, status| ListedEndpoint {
            id: id.into(),
            addr: "127.0.0.1:3000".parse().unwrap(),
            zone: "n".into(),
            kind: String::new(),
            cell: 3,
            size: 150,
            status,
            born: Timestamp::from_ticks(170),
        };
        let lines = vec![line("a", EndpointStatus::Ready), line("b \"c\"", EndpointStatus::Draining)];
        let kept = PersistedList { at: Timestamp::ZERO + 100 * HOUR, revision: 9, lines };
        let (text, known) = (kept.to_text(), AllowedNames::default());
        assert_eq!(PersistedList::parse(&text, &known), Ok(PersistedList::parse(&text, &known).unwrap()));
        assert_eq!(PersistedList::parse(&text, &known).as_ref(), Ok(&kept));
        for at in 0..text.len() {
            assert!(PersistedList::parse(&text[..at], &known).is_err());
            let mut other = text.clone().into_bytes();
            other[at] ^= 1;
            assert!(PersistedList::parse(&String::from_utf8(other).unwrap(), &known).is_err(), "{at}");
        }
        let ages = [99, 100, 101, 102, 124, 125].map(|h| kept.age(Timestamp::ZERO + h * HOUR));
        assert_eq!(ages, [Age::TooOld, Age::Young, Age::Young, Age::Old, Age::Old, Age::TooOld]);
    }
}
