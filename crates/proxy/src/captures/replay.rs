//! The `capture replay` command: replays the recorded calls to the balancer, and reports where its
//! decisions differ from the recorded ones.

use super::segment::{Segment, format_seconds, read_segments};
use crate::error::CaptureFileError;
use chalkwalk_capture::{Difference, Replay, replay};
use std::fmt::Write;
use std::path::PathBuf;

/// The text that a replay prints, and whether all decisions were identical to the recorded ones.
pub struct ReplayReport {
    pub text: String,
    pub is_identical: bool,
}

/// Replays the segments of each instance separately.
pub fn replay_all(paths: &[PathBuf]) -> Result<ReplayReport, CaptureFileError> {
    let mut report = ReplayReport { text: String::new(), is_identical: true };
    let segments = read_segments(paths, &mut report.text)?;
    let mut instances: Vec<&str> = segments.iter().map(Segment::instance).collect();
    instances.dedup();
    for instance in instances {
        let instance_segments = segments.iter().filter(|segment| segment.instance() == instance);
        let replayed = replay(instance_segments.flat_map(|segment| &segment.items));
        report.is_identical &= replayed.differing_calls == 0;
        report.text += &summary(instance, &replayed);
        if let Some(difference) = &replayed.first_difference {
            report.text += &first_difference(difference);
        }
    }
    Ok(report)
}

fn summary(instance: &str, replayed: &Replay) -> String {
    let Replay {
        calls,
        decisions,
        start_count,
        resumed_snapshots,
        compared_snapshots,
        differing_calls,
        skipped_calls,
        gap_count,
        ..
    } = replayed;
    let mut text = format!(
        "{instance}: {calls} calls with {decisions} decisions replayed, from {start_count} starts and \
         {resumed_snapshots} snapshots, {compared_snapshots} snapshots compared; {differing_calls} differ, \
         {skipped_calls} calls skipped, {gap_count} gaps\n"
    );
    for (kind, count) in &replayed.difference_kinds {
        _ = writeln!(text, "  {count} times {kind}");
    }
    text
}

fn first_difference(difference: &Difference) -> String {
    let Difference { call_number, called_at, event, recorded, replayed } = difference;
    format!(
        "first at call {call_number}, {}: event {event:?}\n  decided {recorded:?}\n  and now {replayed:?}\n",
        format_seconds(*called_at)
    )
}
