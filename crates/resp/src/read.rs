//! Frames out of bytes. Bulk bodies stay where they came: a frame is a list of places in the buffer.

use crate::ProtocolError;
use std::ops::Range;

/// What is read at the most.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Of one bulk string, in bytes.
    pub max_bulk: usize,
    /// Of all frames in one, the aggregates included.
    pub max_frames: usize,
    /// Of aggregates within each other.
    pub max_depth: usize,
    /// Of a line that is no bulk string, inline commands included, in bytes.
    pub max_line: usize,
    /// Of a whole frame, in bytes.
    pub max_total: usize,
}

impl Default for ReadLimits {
    /// Bulk strings as long as a request's answer may be, a thousand keys with their values, and lines as long as the dialect's own
    /// errors get.
    fn default() -> ReadLimits {
        ReadLimits { max_bulk: 1 << 20, max_frames: 4096, max_depth: 8, max_line: 8192, max_total: 4 << 20 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    Simple,
    Error,
    Number,
    Bulk,
    Null,
    Array,
    Map,
    Set,
    Push,
    Boolean,
    Double,
    BigNumber,
    BulkError,
    Verbatim,
}

/// One frame of a whole one, in the order in which they stand. What is within an aggregate follows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub kind: FrameKind,
    /// Its text or body, in the buffer.
    pub range: Range<usize>,
    /// How many frames an aggregate has directly within it; a map's keys and values both count.
    pub children: usize,
}

/// Reads whole frames off the start of a buffer. What was read of one that is not whole yet is not read again.
#[derive(Debug)]
pub struct Reader {
    bounds: ReadLimits,
    frames: Vec<Frame>,
    /// How many are still to come, by depth.
    open: Vec<usize>,
    read: usize, // bytes of the buffer
}

impl Reader {
    pub fn new(bounds: ReadLimits) -> Reader {
        Reader { bounds, frames: Vec::new(), open: Vec::new(), read: 0 }
    }

    /// The whole frame at the start of the buffer, with its length in bytes; `None` until it is there. The buffer has to begin
    /// where it did the last time. After a fault nothing more can be read.
    pub fn next_frame(&mut self, buf: &[u8]) -> Result<Option<(Vec<Frame>, usize)>, ProtocolError> {
        loop {
            if buf.len().max(self.read) > self.bounds.max_total && self.read >= self.bounds.max_total {
                return Err(ProtocolError::TooLong);
            }
            let Some((frame, end)) = self.one(buf)? else {
                if buf.len() - self.read > self.bounds.max_bulk + self.bounds.max_line {
                    return Err(ProtocolError::TooLong);
                }
                return Ok(None);
            };
            self.read = end;
            let children = frame.children;
            self.frames.push(frame);
            if self.frames.len() > self.bounds.max_frames {
                return Err(ProtocolError::TooManyFrames);
            }
            if children > 0 {
                if self.open.len() >= self.bounds.max_depth {
                    return Err(ProtocolError::TooDeep);
                }
                self.open.push(children);
                continue;
            }
            while let Some(left) = self.open.last_mut() {
                *left -= 1;
                if *left > 0 {
                    break;
                }
                self.open.pop();
            }
            if self.open.is_empty() {
                let end = std::mem::take(&mut self.read);
                return Ok(Some((std::mem::take(&mut self.frames), end)));
            }
        }
    }

    /// The next line, without its end, and where the next thing begins.
    fn line(&self, buf: &[u8], from: usize) -> Result<Option<(Range<usize>, usize)>, ProtocolError> {
        let rest = &buf[from..];
        let most = rest.len().min(self.bounds.max_line + 2);
        match rest[..most].windows(2).position(|w| w == b"\r\n") {
            Some(len) => Ok(Some((from..from + len, from + len + 2))),
            None if rest.len() > self.bounds.max_line + 2 => Err(ProtocolError::LineTooLong),
            None => Ok(None),
        }
    }

    fn one(&self, buf: &[u8]) -> Result<Option<(Frame, usize)>, ProtocolError> {
        let Some(first) = buf.get(self.read) else { return Ok(None) };
        let Some((line, next)) = self.line(buf, self.read + 1)? else { return Ok(None) };
        let text = &buf[line.clone()];
        let flat = |kind| Ok(Some((Frame { kind, range: line.clone(), children: 0 }, next)));
        match first {
            b'+' => flat(FrameKind::Simple),
            b'-' => flat(FrameKind::Error),
            b':' => number(text).ok_or(ProtocolError::InvalidNumber).and_then(|_| flat(FrameKind::Number)),
            b'_' if text.is_empty() => flat(FrameKind::Null),
            b'#' if matches!(text, b"t" | b"f") => flat(FrameKind::Boolean),
            b',' => flat(FrameKind::Double),
            b'(' => flat(FrameKind::BigNumber),
            b'$' | b'!' | b'=' => {
                let kind = match first {
                    b'$' => FrameKind::Bulk,
                    b'!' => FrameKind::BulkError,
                    _ => FrameKind::Verbatim,
                };
                self.bulk(buf, kind, text, next)
            }
            b'*' => self.aggregate(FrameKind::Array, text, line, next, 1),
            b'%' => self.aggregate(FrameKind::Map, text, line, next, 2),
            b'~' => self.aggregate(FrameKind::Set, text, line, next, 1),
            b'>' => self.aggregate(FrameKind::Push, text, line, next, 1),
            _ => Err(ProtocolError::UnknownType),
        }
    }

    fn bulk(
        &self,
        buf: &[u8],
        kind: FrameKind,
        text: &[u8],
        next: usize,
    ) -> Result<Option<(Frame, usize)>, ProtocolError> {
        let len = number(text).ok_or(ProtocolError::InvalidLength)?;
        if len == -1 && kind == FrameKind::Bulk {
            return Ok(Some((Frame { kind: FrameKind::Null, range: next..next, children: 0 }, next)));
        }
        let len = usize::try_from(len).map_err(|_| ProtocolError::InvalidLength)?;
        if len > self.bounds.max_bulk {
            return Err(ProtocolError::BulkTooLong);
        }
        let end = next + len;
        match buf.get(end..end + 2) {
            Some(b"\r\n") => Ok(Some((Frame { kind, range: next..end, children: 0 }, end + 2))),
            Some(_) => Err(ProtocolError::LengthMismatch),
            None => Ok(None),
        }
    }

    fn aggregate(
        &self,
        kind: FrameKind,
        text: &[u8],
        line: Range<usize>,
        next: usize,
        each: usize,
    ) -> Result<Option<(Frame, usize)>, ProtocolError> {
        let count = number(text).ok_or(ProtocolError::InvalidCount)?;
        if count == -1 && kind == FrameKind::Array {
            return Ok(Some((Frame { kind: FrameKind::Null, range: next..next, children: 0 }, next)));
        }
        let children = usize::try_from(count)
            .ok()
            .and_then(|n| n.checked_mul(each))
            .ok_or(ProtocolError::InvalidCount)?;
        if children > self.bounds.max_frames {
            return Err(ProtocolError::TooManyFrames);
        }
        Ok(Some((Frame { kind, range: line, children }, next)))
    }
}

/// A whole number as the wire has it.
pub fn number(text: &[u8]) -> Option<i64> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    // The longest that fit; `parse` would take a plus sign and more.
    if digits.is_empty() || digits.len() > 19 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Writer;
    use expect_test::expect;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn told(text: &[u8]) -> String {
        match Reader::new(ReadLimits {
            max_bulk: 20,
            max_frames: 6,
            max_depth: 2,
            max_line: 30,
            max_total: 200,
        })
        .next_frame(text)
        {
            Ok(Some((frames, len))) => {
                let one = |f: &Frame| format!("{:?}({})", f.kind, text[f.range.clone()].escape_ascii());
                format!("{} in {len}\n", frames.iter().map(one).collect::<Vec<_>>().join(" "))
            }
            Ok(None) => "more\n".into(),
            Err(error) => format!("{error}\n"),
        }
    }

    #[test]
    fn every_type_is_read_and_what_is_out_of_bounds_refused() {
        let all = [
            "+OK\r\n",
            "-ERR no\r\n",
            ":-12\r\n",
            "$3\r\na\r\n\r\n",
            "$-1\r\n",
            "*-1\r\n",
            "_\r\n",
            "#t\r\n",
            ",1.5\r\n",
            "(123\r\n",
            "!3\r\nERR\r\n",
            "=5\r\ntxt:a\r\n",
            "*2\r\n$1\r\na\r\n*1\r\n:1\r\n",
            "%1\r\n+a\r\n:1\r\n",
            "~1\r\n:1\r\n",
            ">1\r\n+x\r\n",
            "*0\r\n+next",
            "*2\r\n:1\r\n",
            // And nonsense.
            "$21\r\n",
            "*7\r\n",
            "*1\r\n*1\r\n*1\r\n:1\r\n",
            "$2\r\nabc\r\n",
            "$x\r\n",
            ":1.5\r\n",
            "?\r\n",
            "*-2\r\n",
            "%9223372036854775807\r\n",
            "+aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            "#x\r\n",
        ];
        let said: String = all.iter().map(|text| told(text.as_bytes())).collect();
        expect![[r#"
            Simple(OK) in 5
            Error(ERR no) in 9
            Number(-12) in 6
            Bulk(a\r\n) in 9
            Null() in 5
            Null() in 5
            Null() in 3
            Boolean(t) in 4
            Double(1.5) in 6
            BigNumber(123) in 6
            BulkError(ERR) in 9
            Verbatim(txt:a) in 11
            Array(2) Bulk(a) Array(1) Number(1) in 19
            Map(1) Simple(a) Number(1) in 12
            Set(1) Number(1) in 8
            Push(1) Simple(x) in 8
            Array(0) in 4
            more
            too long a bulk string
            too many parts
            too deep
            a bulk string of another length
            no length
            no number
            no such type
            no count
            too many parts
            too long a line
            no such type
        "#]]
        .assert_eq(&said);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

        /// Any split of the bytes gives the same frames.
        #[test]
        fn any_split_gives_the_same_values(
            values in proptest::collection::vec(proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..12), 0..5), 1..6),
            cuts in proptest::collection::vec(1usize..9, 0..60),
        ) {
            let mut all = Writer::default();
            for value in &values {
                all.array(value.len());
                value.iter().for_each(|v| all.bulk(v));
            }
            let bytes = all.take();
            let (mut reader, mut buf, mut rest) = (Reader::new(ReadLimits::default()), Vec::new(), &bytes[..]);
            let mut seen: Vec<Vec<Vec<u8>>> = Vec::new();
            for cut in cuts.into_iter().chain([usize::MAX]) {
                let (now, later) = rest.split_at(cut.min(rest.len()));
                rest = later;
                buf.extend_from_slice(now);
                while let Some((frames, len)) = reader.next_frame(&buf).unwrap() {
                    seen.push(frames[1..].iter().map(|f| buf[f.range.clone()].to_vec()).collect());
                    buf.drain(..len);
                }
            }
            prop_assert_eq!(seen, values);
        }

        /// Any bytes are read, waited for or refused: no panic, and no more frames are held than are allowed.
        #[test]
        fn noise_is_answered(noise in proptest::collection::vec(prop_oneof![Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'-'), any::<u8>()], 0..200)) {
            let mut reader = Reader::new(ReadLimits { max_bulk: 50, max_frames: 10, max_depth: 3, max_line: 20, max_total: 100 });
            let mut from = 0;
            while let Ok(Some((frames, len))) = reader.next_frame(&noise[from..]) {
                prop_assert!(len > 0 && frames.len() <= 10);
                from += len;
            }
            prop_assert!(reader.frames.len() <= 11);
        }
    }
}
