//! The `capture show` command: prints all events and decisions of one request.

use super::segment::{format_seconds, read_segments};
use crate::error::CaptureFileError;
use chalkwalk_capture::{Decision, Event};
use std::fmt::Write;
use std::path::PathBuf;

/// Returns the events and decisions of a request, in order.
pub fn show(paths: &[PathBuf], request_id: u64) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    let mut request_numbers = RequestNumbers::default();
    for segment in read_segments(paths, &mut text)? {
        for (at, call) in segment.calls() {
            let is_own_event = request_numbers.request_id_of(&call.event) == Some(request_id);
            let is_own_decision = |decision: &&Decision| decision.request_id() == Some(request_id);
            let decisions: Vec<&Decision> = call.decisions.iter().filter(is_own_decision).collect();
            if !is_own_event && decisions.is_empty() {
                continue;
            }
            _ = writeln!(text, "{}  event {:?}", format_seconds(at), call.event);
            for decision in decisions {
                _ = writeln!(text, "{:>16}  {decision:?}", "");
            }
        }
    }
    Ok(text)
}

/// Numbers requests in the order of their acceptance, from 0 at each start of the balancer.
#[derive(Default)]
struct RequestNumbers {
    accepted: u64,
}

impl RequestNumbers {
    /// The id of the request that an event concerns. Must be called for every event, in order.
    fn request_id_of(&mut self, event: &Event) -> Option<u64> {
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
