//! Decides to how many servers connections are held. Guards servers short of capacity for connections against hundreds of
//! proxies that each want one at all: no more are held than were found, one more is tried every four seconds, and two more
//! where that is let in.
//!
//! Inputs: which attempts found no connection.

/// Hundredths of a server: limits are kept in these.
const ONE_SERVER: u64 = 100;
/// No limit at all.
const UNLIMITED: u64 = 1 << 30;
/// Every four seconds one more.
const INCREASE_PER_SECOND: u64 = ONE_SERVER / 4;
/// Two of the last 32 attempts, in ten-thousandths, are more than one server that died, which is ejected.
const SCARCITY_THRESHOLD: u64 = 600;

/// The servers of the own zone and those of others have limits of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneGroup {
    Own,
    Others,
}

impl ZoneGroup {
    pub fn of(zone: usize, own_zone: usize) -> ZoneGroup {
        if zone == own_zone { ZoneGroup::Own } else { ZoneGroup::Others }
    }
}

/// To how many servers of each group connections may be held.
pub(crate) struct ConnectionLimits {
    /// Ten-thousandths of the last attempts at servers, about 32, that found no connection.
    refused_share: u64,
    /// Hundredths of servers, by `ZoneGroup`.
    limits: [u64; 2],
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits { refused_share: 0, limits: [UNLIMITED; 2] }
    }
}

impl ConnectionLimits {
    pub fn restored(refused_share: u64, limits: [u64; 2]) -> ConnectionLimits {
        ConnectionLimits { refused_share, limits }
    }

    pub fn refused_share(&self) -> u64 {
        self.refused_share
    }

    pub fn limits(&self) -> [u64; 2] {
        self.limits
    }

    /// Whether a connection to one more server may be opened beside those to so many.
    pub fn may_open(&self, group: ZoneGroup, connected: u64) -> bool {
        connected * ONE_SERVER + ONE_SERVER <= self.limits[group as usize]
    }

    /// An attempt at a server found a connection, or none.
    pub fn record(&mut self, refused: bool) {
        self.refused_share = (self.refused_share * 31 + if refused { 10_000 } else { 0 }) / 32;
    }

    /// Connections are refused for lack of capacity, and not by a server that died.
    pub fn is_scarce(&self) -> bool {
        self.refused_share > SCARCITY_THRESHOLD
    }

    /// A server had no capacity for a connection: no more are held than to so many.
    pub fn lower(&mut self, group: ZoneGroup, connected: u64) {
        let limit = &mut self.limits[group as usize];
        *limit = (*limit).min(ONE_SERVER * connected.max(1));
    }

    /// A connection that was opened was let in.
    pub fn raise(&mut self, group: ZoneGroup) {
        let limit = &mut self.limits[group as usize];
        *limit = (*limit + 2 * ONE_SERVER).min(UNLIMITED);
    }

    /// A second has passed.
    pub fn recover(&mut self) {
        self.limits = self.limits.map(|limit| (limit + INCREASE_PER_SECOND).min(UNLIMITED));
    }
}
