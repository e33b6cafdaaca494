//! Encodes messages into one buffer.

use std::io::Write;

/// Appends encoded frames to a buffer, in the protocol version of the peer.
#[derive(Debug, Default)]
pub struct Writer {
    buf: Vec<u8>,
    /// Whether the frames are encoded in RESP3, which has types of its own for nulls and maps.
    pub resp3: bool,
}

impl Writer {
    /// Creates a writer with an empty buffer.
    pub fn new(resp3: bool) -> Writer {
        Writer { buf: Vec::new(), resp3 }
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// The length of the buffer in bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// The bytes written so far.
    pub fn as_bytes(&self) -> &[u8] {
        &self.buf
    }

    /// Returns the bytes written so far and empties the buffer.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buf)
    }

    /// Writes the line that begins a frame: the byte for its type, and its length or element count.
    fn write_header(&mut self, marker: u8, count: usize) {
        self.buf.push(marker);
        // Writing to a `Vec` never fails.
        _ = write!(self.buf, "{count}\r\n");
    }

    /// Begins an array; the caller then writes `count` elements.
    pub fn array_header(&mut self, count: usize) {
        self.write_header(b'*', count);
    }

    /// Begins a map; the caller then writes `pairs` keys, each followed by its value. RESP2 has no
    /// maps: the keys and values become the elements of an array.
    pub fn map_header(&mut self, pairs: usize) {
        if self.resp3 { self.write_header(b'%', pairs) } else { self.write_header(b'*', 2 * pairs) }
    }

    /// Writes a bulk string.
    pub fn bulk_string(&mut self, body: &[u8]) {
        self.write_header(b'$', body.len());
        self.buf.extend_from_slice(body);
        self.buf.extend_from_slice(b"\r\n");
    }

    /// Writes a null, which in RESP2 is a bulk string of length -1.
    pub fn null(&mut self) {
        self.buf.extend_from_slice(if self.resp3 { b"_\r\n" } else { b"$-1\r\n" });
    }

    /// Writes an integer.
    pub fn integer(&mut self, n: i64) {
        _ = write!(self.buf, ":{n}\r\n");
    }

    /// Writes a simple string. Line breaks in the text are left out, as they would end the string.
    pub fn simple_string(&mut self, text: &str) {
        self.buf.push(b'+');
        self.write_line(text);
    }

    /// Writes an error. By convention the first word of the text is the error code. Line breaks in
    /// the text are left out.
    pub fn error(&mut self, text: &str) {
        self.buf.push(b'-');
        self.write_line(text);
    }

    fn write_line(&mut self, text: &str) {
        self.buf.extend(text.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
        self.buf.extend_from_slice(b"\r\n");
    }

    /// Appends bytes that are already encoded.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Writes a command in the form that servers accept: an array of bulk strings.
    pub fn command(&mut self, arguments: &[&[u8]]) {
        self.array_header(arguments.len());
        arguments.iter().for_each(|argument| self.bulk_string(argument));
    }
}
