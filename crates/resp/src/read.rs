//! Whole messages out of a stream of bytes.

use crate::parse::{Parsed, parse_frame};
use crate::{Frame, ProtocolError, ReadLimits};

/// Reads whole messages off the start of a buffer. Frames of a message that is not whole yet are
/// not parsed again.
#[derive(Debug)]
pub struct Reader {
    limits: ReadLimits,
    /// The message's frames so far.
    frames: Vec<Frame>,
    /// How many frames each open aggregate still lacks, the outermost first.
    open_aggregates: Vec<usize>,
    /// The bytes of the buffer that the frames take up.
    parsed: usize,
}

impl Reader {
    /// A reader at the start of a message.
    pub fn new(limits: ReadLimits) -> Reader {
        Reader { limits, frames: Vec::new(), open_aggregates: Vec::new(), parsed: 0 }
    }

    /// The frames of the message at the start of the buffer, and its length in bytes; `None` until
    /// it is whole. The buffer has to begin with the same bytes as the last time. After an error
    /// nothing more can be read.
    pub fn next_frame(&mut self, buf: &[u8]) -> Result<Option<(Vec<Frame>, usize)>, ProtocolError> {
        loop {
            if buf.len() > self.limits.max_total && self.parsed >= self.limits.max_total {
                return Err(ProtocolError::TooLong);
            }
            let Some(Parsed { frame, end }) = parse_frame(buf, self.parsed, &self.limits)? else {
                if buf.len() - self.parsed > self.limits.max_bulk + self.limits.max_line {
                    return Err(ProtocolError::TooLong);
                }
                return Ok(None);
            };
            self.parsed = end;
            self.push(frame)?;
            if self.open_aggregates.is_empty() {
                let len = std::mem::take(&mut self.parsed);
                return Ok(Some((std::mem::take(&mut self.frames), len)));
            }
        }
    }

    /// Appends a frame, opens it if it is an aggregate with children, and closes the aggregates
    /// that it completes.
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
        while let Some(missing) = self.open_aggregates.last_mut() {
            *missing -= 1;
            if *missing > 0 {
                break;
            }
            self.open_aggregates.pop();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
