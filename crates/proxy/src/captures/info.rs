//! What each segment holds.

use super::segment::{Segment, read_segments, seconds};
use crate::error::CaptureFileError;
use chalkwalk_capture::{CaptureItem, Event};
use chalkwalk_time::Timestamp;
use std::path::PathBuf;

/// A line for each segment.
pub fn info(named: &[PathBuf]) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    for segment in read_segments(named, &mut text)? {
        text += &summary(&segment);
    }
    Ok(text)
}

fn summary(segment: &Segment) -> String {
    let is_request = |event: &Event| matches!(event, Event::RequestAccepted { .. });
    let calls = segment.calls().count();
    let requests = segment.calls().filter(|(_, call)| is_request(&call.event)).count();
    let gaps = segment.items.iter().filter(|item| matches!(item, CaptureItem::Gap(_))).count();
    let first = segment.calls().next().map_or(Timestamp::ZERO, |(at, _)| at);
    let last = segment.calls().last().map_or(Timestamp::ZERO, |(at, _)| at);
    format!(
        "{}: {bytes} bytes, {calls} calls, {requests} requests ({:.1} bytes each), {gaps} gaps, from {} to {}\n",
        segment.path.display(),
        segment.bytes as f64 / requests.max(1) as f64,
        seconds(first),
        seconds(last),
        bytes = segment.bytes,
    )
}
