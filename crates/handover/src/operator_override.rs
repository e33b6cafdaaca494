//! An operator's latest decision about a server or about the proxy.

use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

/// An operator's latest decision on whether a server or the proxy is disabled, and when it was
/// made. The default is the state before any decision.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OperatorOverride {
    /// When the decision was made: of two decisions, the later wins.
    #[serde(rename = "at")]
    pub decided_at: Timestamp,
    /// Whether the server is disabled, or the proxy is out of service.
    #[serde(rename = "out")]
    pub is_disabled: bool,
}

impl OperatorOverride {
    /// Returns a decision that replaces this one. Its time is later than this one's even if the
    /// clock was set back in between.
    pub(crate) fn replaced_by(self, is_disabled: bool, now: Timestamp) -> OperatorOverride {
        OperatorOverride { decided_at: now.max(self.decided_at + Span::from_ticks(1)), is_disabled }
    }
}
