//! All that concerns one request.

use super::segment::{read_segments, seconds};
use crate::error::CaptureFileError;
use chalkwalk_capture::{Decision, Event};
use std::fmt::Write;
use std::path::PathBuf;

/// The events and decisions of a request, in order.
pub fn show(named: &[PathBuf], request: u64) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    let mut numbers = RequestNumbers::default();
    for segment in read_segments(named, &mut text)? {
        for (at, call) in segment.calls() {
            let is_own_event = numbers.request_of(&call.event) == Some(request);
            let concerns = |decision: &&Decision| decision.request_id() == Some(request);
            let decisions: Vec<&Decision> = call.decisions.iter().filter(concerns).collect();
            if !is_own_event && decisions.is_empty() {
                continue;
            }
            _ = writeln!(text, "{}  event {:?}", seconds(at), call.event);
            for decision in decisions {
                _ = writeln!(text, "{:>16}  {decision:?}", "");
            }
        }
    }
    Ok(text)
}

/// Requests are numbered as they are accepted, from each start of the balancer.
#[derive(Default)]
struct RequestNumbers {
    accepted: u64,
}

impl RequestNumbers {
    /// The request that an event is about. Every event has to be passed, in order.
    fn request_of(&mut self, event: &Event) -> Option<u64> {
        match event {
            Event::Start { .. } => {
                self.accepted = 0;
                None
            }
            Event::RequestAccepted { .. } => {
                let number = self.accepted;
                self.accepted += 1;
                Some(number)
            }
            other => other.request_id(),
        }
    }
}
