//! A command over several slots, in parts of one slot each, and its one answer out of theirs. No I/O.

use crate::command::Words;
use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_resp::{FrameKind, ReadLimits, Reader, Writer, number};
use chalkwalk_time::Span;

/// How the answers of parts come together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gather {
    /// Values by key, in the order of the keys.
    Values,
    /// Numbers, added up.
    Sum,
    /// One word that all have to say.
    All,
}

/// The command of one part: its name, and its keys with what belongs to each.
pub fn part(words: &Words, keys: &[usize], step: usize) -> Words {
    let mut out = Writer::default();
    let own: Vec<&[u8]> = keys.iter().flat_map(|k| (0..step).map(move |i| words.get(k + i))).collect();
    out.array(1 + own.len());
    out.bulk(words.get(0));
    own.iter().for_each(|w| out.bulk(w));
    let bytes = out.take();
    let at = match Reader::new(ReadLimits::default()).next_frame(&bytes) {
        Ok(Some((frames, _))) => frames[1..].iter().map(|f| f.range.clone()).collect(),
        _ => Vec::new(),
    };
    Words { bytes, at }
}

/// The one answer. Each part has its answer and the places of its keys among all. A write of which a part has run, or may have,
/// is never deferred: a further try would run that part again.
pub fn gathered(
    parts: Vec<(Option<Response>, Vec<usize>)>,
    how: Gather,
    write: bool,
    out: &mut Writer,
) -> Option<ResponseStatus> {
    let status = |a: &Option<Response>| a.as_ref().map_or(ResponseStatus::Failed, |a| a.status);
    let ran = parts.iter().any(|(a, _)| status(a) == ResponseStatus::Served);
    let mut back_in: Option<Span> = None;
    let mut deferred = false;
    for (answer, _) in &parts {
        match status(answer) {
            ResponseStatus::Served => {}
            ResponseStatus::Rejected(when) => {
                deferred = true;
                back_in = back_in.max(when);
            }
            ResponseStatus::Failed => return Some(ResponseStatus::Failed),
        }
    }
    if deferred {
        return Some(if write && ran { ResponseStatus::Failed } else { ResponseStatus::Rejected(back_in) });
    }
    let total: usize = parts.iter().map(|(_, places)| places.len()).sum();
    let mut values: Vec<Option<Vec<u8>>> = vec![None; total];
    let mut sum = 0;
    for (answer, places) in parts {
        let body = answer.map_or(Vec::new(), |a| a.body);
        let Ok(Some((frames, _))) = Reader::new(ReadLimits::default()).next_frame(&body) else {
            return Some(ResponseStatus::Failed);
        };
        if matches!(frames[0].kind, FrameKind::Error | FrameKind::BulkError) {
            // The first error is the answer.
            out.raw(&body);
            return None;
        }
        match how {
            Gather::Values => {
                for (frame, place) in frames[1..].iter().zip(places) {
                    let held = frame.kind != FrameKind::Null;
                    values[place] = held.then(|| body[frame.range.clone()].to_vec());
                }
            }
            Gather::Sum => sum += number(&body[frames[0].range.clone()]).unwrap_or(0),
            Gather::All => {}
        }
    }
    match how {
        Gather::Values => {
            out.array(total);
            values.iter().for_each(|v| match v {
                Some(value) => out.bulk(value),
                None => out.null(),
            });
        }
        Gather::Sum => out.number(sum),
        Gather::All => out.simple("OK"),
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::command::tests::words;

    fn answer(status: ResponseStatus, body: &str) -> Option<Response> {
        Some(Response { body: body.into(), ..Response::empty(status) })
    }

    fn told(parts: Vec<(Option<Response>, Vec<usize>)>, how: Gather, write: bool) -> String {
        let mut out = Writer::default();
        match gathered(parts, how, write, &mut out) {
            Some(status) => format!("{status:?}"),
            None => String::from_utf8_lossy(out.as_bytes()).replace("\r\n", " "),
        }
    }

    #[test]
    fn parts_make_one_answer_and_a_write_that_ran_in_part_is_never_deferred() {
        let ok = |body| answer(ResponseStatus::Served, body);
        let later = || answer(ResponseStatus::Rejected(Some(Span::from_ticks(700))), "");
        let values = vec![(ok("*2\r\n$1\r\nc\r\n$-1\r\n"), vec![2, 0]), (ok("*1\r\n$1\r\nb\r\n"), vec![1])];
        assert_eq!(told(values, Gather::Values, false), "*3 $-1 $1 b $1 c ");
        assert_eq!(told(vec![(ok(":2\r\n"), vec![0, 1]), (ok(":1\r\n"), vec![2])], Gather::Sum, true), ":3 ");
        let deferred = || vec![(ok("+OK\r\n"), vec![0]), (later(), vec![1])];
        assert_eq!(told(deferred(), Gather::All, true), "Failed");
        assert_eq!(told(deferred(), Gather::All, false), "Rejected(Some(700))");
        assert_eq!(
            told(vec![(later(), vec![0]), (later(), vec![1])], Gather::All, true),
            "Rejected(Some(700))"
        );
        assert_eq!(told(vec![(None, vec![0]), (ok("+OK\r\n"), vec![1])], Gather::All, false), "Failed");
        assert_eq!(told(vec![(ok("-WRONGTYPE x\r\n"), vec![0])], Gather::Sum, true), "-WRONGTYPE x ");
        let sub = part(&words("MSET a 1 b 2 c 3"), &[1, 5], 2);
        assert_eq!(
            (0..sub.len()).map(|i| sub.get(i)).collect::<Vec<_>>(),
            [&b"MSET"[..], b"a", b"1", b"c", b"3"]
        );
    }
}
