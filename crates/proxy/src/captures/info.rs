//! The `capture info` command: summarizes each segment.

use super::segment::{Segment, format_seconds, read_segments};
use crate::error::CaptureFileError;
use chalkwalk_capture::{CaptureItem, Event};
use chalkwalk_time::Timestamp;
use std::path::PathBuf;

/// Returns a line for each segment.
pub fn info(paths: &[PathBuf]) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    for segment in read_segments(paths, &mut text)? {
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
        format_seconds(first),
        format_seconds(last),
        bytes = segment.bytes,
    )
}
