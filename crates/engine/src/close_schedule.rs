//! Schedules when client connections are closed after the proxy starts to shut down or is taken out
//! of service. The closes are spread over time, so that the clients do not all reconnect to the
//! other proxies at once.

#[cfg(test)]
mod tests;

use chalkwalk_time::{Span, Timestamp};

/// The time from the shutdown request to the last response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainWindow {
    /// When the shutdown was requested.
    pub started_at: Timestamp,
    /// When every response must have been sent.
    pub response_deadline: Timestamp,
}

/// When one connection is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseTimes {
    /// From this time on, the next response announces the close.
    pub announce_from: Timestamp,
    /// From this time on, the connection is closed even if it is idle.
    pub close_idle_from: Timestamp,
}

impl CloseTimes {
    fn earlier_of(self, other: CloseTimes) -> CloseTimes {
        CloseTimes {
            announce_from: self.announce_from.min(other.announce_from),
            close_idle_from: self.close_idle_from.min(other.close_idle_from),
        }
    }
}

/// The position of a connection in the order of closing, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosePosition(u64);

impl ClosePosition {
    /// The position of the `number`-th connection accepted since the start.
    pub fn of_connection(number: u64) -> ClosePosition {
        // Steps of the golden ratio, 0.618 of the range, spread any number of connections evenly.
        ClosePosition(number * 618 % 1000)
    }

    /// The delay between the close of the first connection and the close of this one. The last
    /// connection is closed a thousand steps after the first.
    fn offset(self, step: Span) -> Span {
        step * self.0
    }

    /// When the connection is closed, if at all. If the proxy is both shutting down and out of
    /// service, the earlier times are used.
    pub fn close_times(
        self,
        drain_window: Option<DrainWindow>,
        superseded: bool,
        out_of_service_since: Option<Timestamp>,
    ) -> Option<CloseTimes> {
        let drain_times = drain_window.map(|window| self.close_times_of_drain(window, superseded));
        let out_of_service_times = out_of_service_since.map(|since| self.close_times_out_of_service(since));
        match (drain_times, out_of_service_times) {
            (Some(drain), Some(out_of_service)) => Some(drain.earlier_of(out_of_service)),
            (drain, out_of_service) => drain.or(out_of_service),
        }
    }

    /// The close times during shutdown. Closing starts after two thirds of the drain window,
    /// because a proxy that was restarted before this one may not be detected as available again
    /// earlier, and ends after five sixths, so that requests accepted until then are still
    /// answered. Between the two, connections are closed one by one to avoid a surge of reconnects
    /// at the other proxies. If another process of this proxy has taken over, responses announce
    /// the close within the first second: a client that reconnects reaches that process, and a
    /// client that is told to close sends no request into the closing connection.
    fn close_times_of_drain(self, window: DrainWindow, superseded: bool) -> CloseTimes {
        let DrainWindow { started_at, response_deadline } = window;
        let near_deadline = started_at + (response_deadline - started_at) * (4000 + self.0) / 6000;
        let within_first_second = started_at + self.offset(Span::from_millis(1));
        CloseTimes {
            announce_from: if superseded { within_first_second } else { near_deadline },
            close_idle_from: near_deadline,
        }
    }

    /// The close times out of service: responses announce the close within the first second, and
    /// idle connections are closed within two. The load balancer in front has detected the change
    /// by then, and after four seconds no connection may be open that carried a request in the last
    /// two seconds.
    fn close_times_out_of_service(self, since: Timestamp) -> CloseTimes {
        let spread = self.offset(Span::from_ticks(8));
        CloseTimes {
            announce_from: since + Span::from_millis(200) + spread,
            close_idle_from: since + Span::from_secs(1) + spread,
        }
    }
}
