//! The settings that are read: each one's path on the wire, its name in the settings map, and its
//! kind.
//!
//! Paths are the platform's and names are stored in captures: neither may change.

/// How a setting is written on the wire and in the map.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Number,
    /// A number from 0 on: nothing sensible is meant by one below.
    NonNegativeNumber,
    /// Nanoseconds, in the map as whole ticks rounded down: what may be done for so long must not
    /// last longer.
    Duration,
    /// A time by which clients are answered: rounded down as well, but one tick at the least where
    /// it is above 0, as 0 is none.
    TimeLimit,
    /// A time that has to be waited: rounded up, so that the wait is never shorter.
    Wait,
    /// The same, from 0 on.
    NonNegativeWait,
    Flag,
    Text,
    /// What the list's weights are, one of `WEIGHT_KINDS`.
    Weights,
}

/// None, a size, about a size, or a size that moves with load.
pub(crate) const WEIGHT_KINDS: [&str; 4] = ["off", "nominal", "rough", "live"];

/// One setting. `path` may name a field of a nested object, as in "rules.coldNs".
pub(crate) struct Setting {
    pub path: &'static str,
    pub name: &'static str,
    pub kind: Kind,
}

const fn setting(path: &'static str, name: &'static str, kind: Kind) -> Setting {
    Setting { path, name, kind }
}

pub(crate) const GLOBAL: [Setting; 24] = [
    setting("position", "position", Kind::Number),
    setting("balancers", "proxies", Kind::Number),
    setting("excessUtility", "excess utility", Kind::Number),
    setting("utilityBasis", "utility basis", Kind::Text),
    setting("weightKind", "size kind", Kind::Weights),
    setting("ceilings.mostShots", "most shots", Kind::Number),
    setting("ceilings.secondCopies", "second copies", Kind::Flag),
    setting("ceilings.probes", "probes", Kind::Flag),
    setting("ceilings.peers", "peers", Kind::Flag),
    setting("ceilings.cancelling", "withdrawals", Kind::Flag),
    setting("ceilings.retryAfter", "return advice", Kind::Flag),
    setting("ceilings.maxRetryAfterNs", "longest stay away", Kind::Duration),
    setting("ceilings.connIdleNs", "idle time", Kind::Duration),
    setting("ceilings.connectTimeoutNs", "connect time", Kind::TimeLimit),
    setting("rules.drainGraceNs", "drain grace", Kind::Duration),
    setting("rules.askEveryNs", "ask time", Kind::Duration),
    setting("rules.startCapacity", "cold share", Kind::Number),
    setting("rules.coldNs", "cold time", Kind::Wait),
    setting("rules.fallMultiple", "fall multiple", Kind::Number),
    setting("rules.fallNs", "fall time", Kind::Duration),
    setting("rules.keyQuietNs", "key quiet", Kind::NonNegativeWait),
    setting("scoreParts.tail", "tail", Kind::NonNegativeNumber),
    setting("scoreParts.missAllowed", "miss allowed", Kind::NonNegativeNumber),
    setting("familyInfo.originFallMultiple", "origin fall multiple", Kind::Number),
];

pub(crate) const OF_NAMESPACE: [Setting; 9] = [
    setting("targetTimeNs", "target time", Kind::TimeLimit),
    setting("timeLimitNs", "time limit", Kind::TimeLimit),
    setting("utility", "utility", Kind::Number),
    setting("overdueUtility", "late utility", Kind::Number),
    setting("idempotency", "repeats", Kind::Text),
    setting("group", "group", Kind::Text),
    setting("dedupWindowNs", "window", Kind::Duration),
    setting("streaming", "streams", Kind::Flag),
    setting("keepOrder", "in order", Kind::Flag),
];

pub(crate) const OF_TENANT: [Setting; 2] =
    [setting("allowancePerS", "allowance", Kind::Number), setting("fraction", "share", Kind::Number)];
