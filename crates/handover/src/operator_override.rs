//! What an operator decided last about a server or about the proxy.

use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

/// The last decision of an operator on a matter, and when it was made. The default is the state before any decision.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OperatorOverride {
    /// When it was made: of two, the later wins.
    pub at: Timestamp,
    /// Whether the server is disabled, or the proxy out of service.
    pub out: bool,
}

impl OperatorOverride {
    /// A decision that replaces this one. It is later than this one also where the clock was set back in between.
    pub(crate) fn replaced_by(self, out: bool, now: Timestamp) -> OperatorOverride {
        OperatorOverride { at: now.max(self.at + Span::from_ticks(1)), out }
    }
}
