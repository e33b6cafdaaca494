//! Limits the number of servers to which connections are held. Protects servers that are short of
//! capacity for connections from hundreds of proxies that each want a connection to all of them.
//! When connections are refused, the limit drops to the number of servers connected; it rises by
//! one server every four seconds, and by two for each new connection that is accepted.
//!
//! Inputs: which attempts found no connection.

/// One server in the unit of limits, which is a hundredth of a server.
const ONE_SERVER: u64 = 100;
/// The value of a limit that limits nothing.
const UNLIMITED: u64 = 1 << 30;
/// The increase of a limit per second: one server every four seconds.
const INCREASE_PER_SECOND: u64 = ONE_SERVER / 4;
/// If a larger share of the last attempts was refused, in ten-thousandths, connections count as
/// scarce. The value is about two of the last 32 attempts, more than a single dead server causes
/// before it is ejected.
const SCARCITY_THRESHOLD: u64 = 600;

/// The zone groups: servers of the proxy's own zone and servers of other zones have separate
/// limits.
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

/// The limits on how many servers of each group connections may be held to.
pub(crate) struct ConnectionLimits {
    /// The share of the last attempts at servers, about 32, that found no connection, in
    /// ten-thousandths.
    refused_share: u64,
    /// In hundredths of a server, by `ZoneGroup`.
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

    /// Whether a connection to one more server may be opened if `connected` servers are connected.
    pub fn may_open(&self, group: ZoneGroup, connected: u64) -> bool {
        connected * ONE_SERVER + ONE_SERVER <= self.limits[group as usize]
    }

    /// Records whether an attempt at a server was refused a connection.
    pub fn record(&mut self, refused: bool) {
        self.refused_share = (self.refused_share * 31 + if refused { 10_000 } else { 0 }) / 32;
    }

    /// Whether connections are refused for lack of capacity, and not just by a server that died.
    pub fn is_scarce(&self) -> bool {
        self.refused_share > SCARCITY_THRESHOLD
    }

    /// Lowers the limit to the number of connected servers; called when a server had no capacity
    /// for a connection.
    pub fn lower(&mut self, group: ZoneGroup, connected: u64) {
        let limit = &mut self.limits[group as usize];
        *limit = (*limit).min(ONE_SERVER * connected.max(1));
    }

    /// Raises the limit after a new connection was accepted.
    pub fn raise(&mut self, group: ZoneGroup) {
        let limit = &mut self.limits[group as usize];
        *limit = (*limit + 2 * ONE_SERVER).min(UNLIMITED);
    }

    /// Raises the limits; called once a second.
    pub fn recover(&mut self) {
        self.limits = self.limits.map(|limit| (limit + INCREASE_PER_SECOND).min(UNLIMITED));
    }
}
