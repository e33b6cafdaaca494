//! The smallest part of a capture that still shows one call.

use crate::event::{CallBlock, CaptureItem, Event, RecordedCall};
use chalkwalk_time::Span;

/// The items from the last snapshot or start before a call up to that call: all that a replay needs to make it again. Calls are
/// numbered from 0. `None` where no snapshot or start stands before it.
pub fn excerpt(items: &[CaptureItem], until: u64) -> Option<Vec<CaptureItem>> {
    let mut number = 0;
    let mut has_start = false;
    let mut selected = Vec::new();
    for item in items {
        let block = match item {
            CaptureItem::Calls(block) => block,
            CaptureItem::Gap(calls) => {
                selected.clear();
                has_start = false;
                number += calls;
                continue;
            }
        };
        let mut at = block.from;
        let mut part = CallBlock { from: at, calls: Vec::new() };
        for call in &block.calls {
            at += call.after;
            if matches!(call.event, Event::Snapshot { .. } | Event::Start { .. }) {
                selected.clear();
                part = CallBlock { from: at, calls: Vec::new() };
                has_start = true;
            }
            let after = if part.calls.is_empty() && part.from == at { Span::ZERO } else { call.after };
            part.calls.push(RecordedCall { after, ..call.clone() });
            if number == until {
                selected.push(CaptureItem::Calls(part));
                return has_start.then_some(selected);
            }
            number += 1;
        }
        selected.push(CaptureItem::Calls(part));
    }
    None
}
