//! Reads whole messages from a stream of bytes.

use crate::parse::{ParsedFrame, announced_end, parse_frame};
use crate::{Frame, ProtocolError, ReadLimits};

/// Reads whole messages from the start of a buffer. While a message is incomplete, the reader keeps
/// the frames that it has parsed, so that no frame is parsed twice.
#[derive(Debug)]
pub struct Reader {
    limits: ReadLimits,
    /// The frames of the current message that have been parsed.
    frames: Vec<Frame>,
    /// The number of elements that each incomplete aggregate still lacks, the outermost aggregate
    /// first.
    open_aggregates: Vec<usize>,
    /// The length of the parsed frames, from the start of the buffer.
    parsed_bytes: usize,
    /// The length of the current message, as far as its parsed frames and the next one announce it.
    announced_bytes: usize,
}

impl Reader {
    /// Creates a reader at the start of a message.
    pub fn new(limits: ReadLimits) -> Reader {
        Reader {
            limits,
            frames: Vec::new(),
            open_aggregates: Vec::new(),
            parsed_bytes: 0,
            announced_bytes: 0,
        }
    }

    /// Returns the frames of the message at the start of the buffer, and the length of the message
    /// in bytes; `None` while the message is incomplete. After `None`, the next call has to pass
    /// the same bytes, with further ones appended. After an error the reader can't be used again.
    pub fn next_message(&mut self, buf: &[u8]) -> Result<Option<(Vec<Frame>, usize)>, ProtocolError> {
        loop {
            if buf.len() > self.limits.max_message_bytes && self.parsed_bytes >= self.limits.max_message_bytes
            {
                return Err(ProtocolError::MessageTooLong);
            }
            let Some(ParsedFrame { frame, end }) = parse_frame(buf, self.parsed_bytes, &self.limits)? else {
                if buf.len() - self.parsed_bytes > self.limits.max_bulk_bytes + self.limits.max_line_bytes {
                    return Err(ProtocolError::MessageTooLong);
                }
                self.announced_bytes = announced_end(buf, self.parsed_bytes, &self.limits);
                return Ok(None);
            };
            self.parsed_bytes = end;
            self.push(frame)?;
            if self.open_aggregates.is_empty() {
                let len = std::mem::take(&mut self.parsed_bytes);
                self.announced_bytes = 0;
                return Ok(Some((std::mem::take(&mut self.frames), len)));
            }
        }
    }

    /// The length that the current message will have at least; 0 if nothing of it has been read.
    pub fn announced_bytes(&self) -> usize {
        self.announced_bytes
    }

    /// The number of frames of the current message that have been parsed.
    pub fn parsed_frames(&self) -> usize {
        self.frames.len()
    }

    /// Appends a frame. An aggregate with elements becomes the innermost incomplete aggregate. Any
    /// other frame is an element of that aggregate and closes the aggregates that it completes.
    fn push(&mut self, frame: Frame) -> Result<(), ProtocolError> {
        let children = frame.children;
        self.frames.push(frame);
        if self.frames.len() > self.limits.max_frames {
            return Err(ProtocolError::TooManyFrames);
        }
        if children > 0 {
            if self.open_aggregates.len() >= self.limits.max_depth {
                return Err(ProtocolError::TooDeep);
            }
            self.open_aggregates.push(children);
            return Ok(());
        }
        while let Some(missing_frames) = self.open_aggregates.last_mut() {
            *missing_frames -= 1;
            if *missing_frames > 0 {
                break;
            }
            self.open_aggregates.pop();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
