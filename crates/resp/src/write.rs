//! Messages into bytes, straight into one buffer.

use std::io::Write;

/// Appends frames to a buffer, in the version of the protocol that the peer speaks.
#[derive(Debug, Default)]
pub struct Writer {
    out: Vec<u8>,
    /// Whether RESP3 is written; it has types of its own for nulls and maps.
    pub resp3: bool,
}

impl Writer {
    /// An empty buffer.
    pub fn new(resp3: bool) -> Writer {
        Writer { out: Vec::new(), resp3 }
    }

    /// Whether nothing is written yet.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    /// How many bytes are written.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// What is written.
    pub fn as_bytes(&self) -> &[u8] {
        &self.out
    }

    /// Takes what is written out of the buffer.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// The line that begins a frame: its type, and its length or count.
    fn frame_start(&mut self, marker: u8, count: usize) {
        self.out.push(marker);
        // A Vec takes any write.
        _ = write!(self.out, "{count}\r\n");
    }

    /// Begins an array; so many frames have to follow.
    pub fn array(&mut self, count: usize) {
        self.frame_start(b'*', count);
    }

    /// Begins a map; keys and values have to follow in turn. RESP2 has no maps and gets an array of
    /// both.
    pub fn map(&mut self, pairs: usize) {
        if self.resp3 { self.frame_start(b'%', pairs) } else { self.frame_start(b'*', 2 * pairs) }
    }

    /// A bulk string.
    pub fn bulk(&mut self, body: &[u8]) {
        self.frame_start(b'$', body.len());
        self.out.extend_from_slice(body);
        self.out.extend_from_slice(b"\r\n");
    }

    /// No value; RESP2 writes it as a bulk string of length -1.
    pub fn null(&mut self) {
        self.out.extend_from_slice(if self.resp3 { b"_\r\n" } else { b"$-1\r\n" });
    }

    /// An integer.
    pub fn number(&mut self, n: i64) {
        _ = write!(self.out, ":{n}\r\n");
    }

    /// A line of text. Line breaks in it are left out, as they would end it.
    pub fn simple(&mut self, text: &str) {
        self.out.push(b'+');
        self.line(text);
    }

    /// An error; its first word is its code, by the dialect's convention. Line breaks are left out.
    pub fn error(&mut self, text: &str) {
        self.out.push(b'-');
        self.line(text);
    }

    fn line(&mut self, text: &str) {
        self.out.extend(text.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
        self.out.extend_from_slice(b"\r\n");
    }

    /// Bytes that are encoded already.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    /// A command in the form that servers accept: an array of bulk strings.
    pub fn command(&mut self, arguments: &[&[u8]]) {
        self.array(arguments.len());
        arguments.iter().for_each(|argument| self.bulk(argument));
    }
}
