//! Frames into bytes, straight into one buffer.

use std::io::Write;

/// Bytes on their way out. `resp3` says how nulls and maps are written.
#[derive(Debug, Default)]
pub struct Writer {
    out: Vec<u8>,
    pub resp3: bool,
}

impl Writer {
    pub fn new(resp3: bool) -> Writer {
        Writer { out: Vec::new(), resp3 }
    }

    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    pub fn len(&self) -> usize {
        self.out.len()
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.out
    }

    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    fn head(&mut self, kind: u8, count: usize) {
        self.out.push(kind);
        _ = write!(self.out, "{count}\r\n");
    }

    pub fn array(&mut self, count: usize) {
        self.head(b'*', count);
    }

    /// Keys and values follow in turn; where maps are not known, as an array of both.
    pub fn map(&mut self, pairs: usize) {
        if self.resp3 { self.head(b'%', pairs) } else { self.head(b'*', 2 * pairs) }
    }

    pub fn bulk(&mut self, body: &[u8]) {
        self.head(b'$', body.len());
        self.out.extend_from_slice(body);
        self.out.extend_from_slice(b"\r\n");
    }

    pub fn null(&mut self) {
        self.out.extend_from_slice(if self.resp3 { b"_\r\n" } else { b"$-1\r\n" });
    }

    pub fn number(&mut self, n: i64) {
        _ = write!(self.out, ":{n}\r\n");
    }

    /// A line: what would end it is left out.
    pub fn simple(&mut self, text: &str) {
        self.out.push(b'+');
        self.line(text);
    }

    /// The first word is the error's code, as the dialect has it.
    pub fn error(&mut self, text: &str) {
        self.out.push(b'-');
        self.line(text);
    }

    fn line(&mut self, text: &str) {
        self.out.extend(text.bytes().filter(|b| !matches!(b, b'\r' | b'\n')));
        self.out.extend_from_slice(b"\r\n");
    }

    /// What is written already, as it stands.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    /// A command as servers take it.
    pub fn command(&mut self, words: &[&[u8]]) {
        self.array(words.len());
        words.iter().for_each(|w| self.bulk(w));
    }
}
