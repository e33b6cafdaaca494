//! When attempts for a key were in flight at a proxy: a request that waits for another's fetch is not held back.

use super::RequestRecord;
use crate::clock::Micros;
use crate::evidence::Index;
use std::collections::HashMap;
use std::ops::Range;

/// The spans of all attempts, by proxy and key.
pub(super) struct AttemptSpans(HashMap<(Index, u64), Vec<Range<Micros>>>);

impl AttemptSpans {
    /// Of all attempts of a run.
    pub fn new(records: &[RequestRecord]) -> AttemptSpans {
        let mut spans: HashMap<(Index, u64), Vec<Range<Micros>>> = HashMap::new();
        for record in records {
            for attempt in &record.attempts {
                let span = attempt.started..attempt.end().unwrap_or(Micros::MAX);
                spans.entry((attempt.proxy, record.request.key)).or_default().push(span);
            }
        }
        for of_key in spans.values_mut() {
            of_key.sort_unstable_by_key(|span| (span.start, span.end));
        }
        AttemptSpans(spans)
    }

    /// The longest gap between two moments in which no attempt for the key was in flight.
    pub fn longest_gap(&self, proxy: Index, key: u64, from: Micros, to: Micros) -> Micros {
        let spans = self.0.get(&(proxy, key)).map_or(&[][..], Vec::as_slice);
        let mut covered = from;
        let mut longest = 0;
        for span in spans.iter().filter(|span| span.end > from && span.start < to) {
            longest = longest.max(span.start.saturating_sub(covered));
            covered = covered.max(span.end);
        }
        longest.max(to.saturating_sub(covered))
    }
}
