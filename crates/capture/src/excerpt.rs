//! Cuts a capture down to the smallest part from which one call can be replayed.

use crate::event::{CallBlock, CaptureItem, Event, RecordedCall};
use chalkwalk_time::Span;

/// Returns the items from the last snapshot or start of the balancer up to and including one call:
/// all that a replay of the call needs. Calls are numbered from 0, and calls lost in a gap count.
/// Returns `None` if the capture does not hold the call, or if neither a snapshot nor a start
/// precedes it without a gap.
pub fn excerpt(items: &[CaptureItem], call_number: u64) -> Option<Vec<CaptureItem>> {
    let mut next_number = 0;
    let mut has_start = false;
    let mut selected = Vec::new();
    for item in items {
        let block = match item {
            CaptureItem::Calls(block) => block,
            CaptureItem::Gap(calls) => {
                selected.clear();
                has_start = false;
                next_number += calls;
                continue;
            }
        };
        let mut call_time = block.from;
        let mut selected_block = CallBlock { from: call_time, calls: Vec::new() };
        for call in &block.calls {
            call_time += call.after;
            if matches!(call.event, Event::Snapshot { .. } | Event::Start { .. }) {
                selected.clear();
                selected_block = CallBlock { from: call_time, calls: Vec::new() };
                has_start = true;
            }
            let after = if selected_block.calls.is_empty() && selected_block.from == call_time {
                Span::ZERO
            } else {
                call.after
            };
            selected_block.calls.push(RecordedCall { after, ..call.clone() });
            if next_number == call_number {
                selected.push(CaptureItem::Calls(selected_block));
                return has_start.then_some(selected);
            }
            next_number += 1;
        }
        selected.push(CaptureItem::Calls(selected_block));
    }
    None
}
