//! The calls of captures made again, and where the balancer decides otherwise.

use super::segment::{Segment, read_segments, seconds};
use crate::error::CaptureFileError;
use chalkwalk_capture::{Difference, Replay, replay};
use std::fmt::Write;
use std::path::PathBuf;

/// What a replay prints, and whether every call was decided the same.
pub struct ReplayReport {
    pub text: String,
    pub same: bool,
}

/// Replays the segments of each instance by themselves.
pub fn replay_all(named: &[PathBuf]) -> Result<ReplayReport, CaptureFileError> {
    let mut report = ReplayReport { text: String::new(), same: true };
    let segments = read_segments(named, &mut report.text)?;
    let mut instances: Vec<&str> = segments.iter().map(Segment::instance).collect();
    instances.dedup();
    for instance in instances {
        let own = segments.iter().filter(|segment| segment.instance() == instance);
        let replayed = replay(own.flat_map(|segment| &segment.items));
        report.same &= replayed.differences == 0;
        report.text += &summary(instance, &replayed);
        if let Some(difference) = &replayed.first_difference {
            report.text += &first_difference(difference);
        }
    }
    Ok(report)
}

fn summary(instance: &str, replayed: &Replay) -> String {
    let Replay { calls, decisions, starts, resumed, compared, differences, skipped, gaps, .. } = replayed;
    let mut text = format!(
        "{instance}: {calls} calls with {decisions} decisions replayed, from {starts} starts and {resumed} snapshots, \
         {compared} snapshots compared; {differences} differ, {skipped} calls skipped, {gaps} gaps\n"
    );
    for (kind, count) in &replayed.difference_kinds {
        _ = writeln!(text, "  {count} times {kind}");
    }
    text
}

fn first_difference(difference: &Difference) -> String {
    let Difference { call, at, event, recorded, replayed } = difference;
    format!(
        "first at call {call}, {}: event {event:?}\n  decided {recorded:?}\n  and now {replayed:?}\n",
        seconds(*at)
    )
}
