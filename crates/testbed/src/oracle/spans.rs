//! When attempts for a key were in flight at a proxy. A request may wait for an attempt that
//! another request made for the same key, and its refusal is not late in that time.

use super::RequestRecord;
use crate::clock::Micros;
use crate::evidence::NodeIndex;
use std::collections::HashMap;
use std::ops::Range;

/// The time spans of all attempts, by proxy and key.
pub(super) struct AttemptSpans(HashMap<(NodeIndex, u64), Vec<Range<Micros>>>);

impl AttemptSpans {
    /// The spans of all attempts of a run.
    pub fn new(records: &[RequestRecord]) -> AttemptSpans {
        let mut spans: HashMap<(NodeIndex, u64), Vec<Range<Micros>>> = HashMap::new();
        for record in records {
            for attempt in &record.attempts {
                let span = attempt.started_at..attempt.end().unwrap_or(Micros::MAX);
                spans.entry((attempt.proxy, record.request.key)).or_default().push(span);
            }
        }
        for key_spans in spans.values_mut() {
            key_spans.sort_unstable_by_key(|span| (span.start, span.end));
        }
        AttemptSpans(spans)
    }

    /// The longest time, between `from` and `to`, in which no attempt for the key was in flight.
    pub fn longest_gap(&self, proxy: NodeIndex, key: u64, from: Micros, to: Micros) -> Micros {
        let spans = self.0.get(&(proxy, key)).map_or(&[][..], Vec::as_slice);
        let mut covered_until = from;
        let mut longest = 0;
        for span in spans.iter().filter(|span| span.end > from && span.start < to) {
            longest = longest.max(span.start.saturating_sub(covered_until));
            covered_until = covered_until.max(span.end);
        }
        longest.max(to.saturating_sub(covered_until))
    }
}
