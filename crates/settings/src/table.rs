//! The settings that are read, each with its path in the platform's JSON, its name in the settings
//! map, and its kind.
//!
//! Neither paths nor names may change: the platform defines the paths, and captures store the
//! names.

/// How a setting is written in JSON and in the map.
#[derive(Clone, Copy)]
pub(crate) enum SettingKind {
    Number,
    /// A number that is not negative; a negative value of such a setting has no meaning.
    NonNegativeNumber,
    /// The longest time that something may last, in nanoseconds. Stored in the map as ticks,
    /// rounded down so that the time is never exceeded.
    Duration,
    /// A time limit, also rounded down. A value above 0 becomes at least one tick, because 0 would
    /// leave no time at all.
    TimeLimit,
    /// A time to wait, rounded up so that the wait is never shorter.
    Wait,
    /// A time to wait that must not be negative, also rounded up.
    NonNegativeWait,
    Flag,
    Text,
    /// What the weights in the endpoint list are, one of `WEIGHT_KINDS`.
    WeightKind,
}

/// What the weights in the endpoint list are, in this order: not given, sizes, approximate sizes,
/// or sizes that change with the load.
pub(crate) const WEIGHT_KINDS: [&str; 4] = ["off", "nominal", "rough", "live"];

/// One setting. `path` may name a field of a nested object, such as "rules.coldNs".
pub(crate) struct Setting {
    pub path: &'static str,
    pub name: &'static str,
    pub kind: SettingKind,
}

const fn setting(path: &'static str, name: &'static str, kind: SettingKind) -> Setting {
    Setting { path, name, kind }
}

pub(crate) const GLOBAL_SETTINGS: [Setting; 24] = [
    setting("position", "position", SettingKind::Number),
    setting("balancers", "proxies", SettingKind::Number),
    setting("excessUtility", "excess utility", SettingKind::Number),
    setting("utilityBasis", "utility basis", SettingKind::Text),
    setting("weightKind", "size kind", SettingKind::WeightKind),
    setting("ceilings.mostShots", "most shots", SettingKind::Number),
    setting("ceilings.secondCopies", "second copies", SettingKind::Flag),
    setting("ceilings.probes", "probes", SettingKind::Flag),
    setting("ceilings.peers", "peers", SettingKind::Flag),
    setting("ceilings.cancelling", "withdrawals", SettingKind::Flag),
    setting("ceilings.retryAfter", "return advice", SettingKind::Flag),
    setting("ceilings.maxRetryAfterNs", "longest stay away", SettingKind::Duration),
    setting("ceilings.connIdleNs", "idle time", SettingKind::Duration),
    setting("ceilings.connectTimeoutNs", "connect time", SettingKind::TimeLimit),
    setting("rules.drainGraceNs", "drain grace", SettingKind::Duration),
    setting("rules.askEveryNs", "ask time", SettingKind::Duration),
    setting("rules.startCapacity", "cold share", SettingKind::Number),
    setting("rules.coldNs", "cold time", SettingKind::Wait),
    setting("rules.fallMultiple", "fall multiple", SettingKind::Number),
    setting("rules.fallNs", "fall time", SettingKind::Duration),
    setting("rules.keyQuietNs", "key quiet", SettingKind::NonNegativeWait),
    setting("scoreParts.tail", "tail", SettingKind::NonNegativeNumber),
    setting("scoreParts.missAllowed", "miss allowed", SettingKind::NonNegativeNumber),
    setting("familyInfo.originFallMultiple", "origin fall multiple", SettingKind::Number),
];

pub(crate) const NAMESPACE_SETTINGS: [Setting; 9] = [
    setting("targetTimeNs", "target time", SettingKind::TimeLimit),
    setting("timeLimitNs", "time limit", SettingKind::TimeLimit),
    setting("utility", "utility", SettingKind::Number),
    setting("overdueUtility", "late utility", SettingKind::Number),
    setting("idempotency", "repeats", SettingKind::Text),
    setting("group", "group", SettingKind::Text),
    setting("dedupWindowNs", "window", SettingKind::Duration),
    setting("streaming", "streams", SettingKind::Flag),
    setting("keepOrder", "in order", SettingKind::Flag),
];

pub(crate) const TENANT_SETTINGS: [Setting; 2] = [
    setting("allowancePerS", "allowance", SettingKind::Number),
    setting("fraction", "share", SettingKind::Number),
];
