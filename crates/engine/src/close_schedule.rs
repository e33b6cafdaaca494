//! When client connections are closed once the proxy shuts down or is taken out of service: one
//! after the other, so that they do not all come to the other proxies at once.

#[cfg(test)]
mod tests;

use chalkwalk_time::{Span, Timestamp};

/// The time from the request to shut down to the last response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainWindow {
    pub started: Timestamp,
    /// When every response must be sent.
    pub response_deadline: Timestamp,
}

/// When one connection is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseTimes {
    /// From then on the next response says so.
    pub with_response: Timestamp,
    /// From then on it is closed though it is idle.
    pub when_idle: Timestamp,
}

impl CloseTimes {
    fn earlier_of(self, other: CloseTimes) -> CloseTimes {
        CloseTimes {
            with_response: self.with_response.min(other.with_response),
            when_idle: self.when_idle.min(other.when_idle),
        }
    }
}

/// The position of a connection among those that are closed one after the other, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosePosition(u64);

impl ClosePosition {
    /// The position of the connection that was accepted with this number, counted from the start.
    pub fn of_connection(number: u64) -> ClosePosition {
        // Steps of the golden section lie evenly spread, however many there are.
        ClosePosition(number * 618 % 1000)
    }

    /// So long after the first of all connections is closed, where the last is closed after a
    /// thousand of these.
    fn after(self, step: Span) -> Span {
        step * self.0
    }

    /// When a connection is closed, if it is. Where both reasons apply, the earlier times count.
    pub fn close_times(
        self,
        drain: Option<DrainWindow>,
        superseded: bool,
        out_of_service_since: Option<Timestamp>,
    ) -> Option<CloseTimes> {
        let by_drain = drain.map(|window| self.close_times_of_drain(window, superseded));
        let by_service = out_of_service_since.map(|since| self.close_times_out_of_service(since));
        match (by_drain, by_service) {
            (Some(drain), Some(service)) => Some(drain.earlier_of(service)),
            (drain, service) => drain.or(service),
        }
    }

    /// Shutting down, not before two thirds of the time that is left to the proxy, as a proxy that
    /// was restarted before may not be known as back yet, and not after five sixths, so that what
    /// is accepted until then is answered; in between one by one, not to flood the others. Where
    /// another process of this proxy has taken over, with responses within the first second: a
    /// client that connects again comes to that one, and a connection that is asked to close meets
    /// no request.
    fn close_times_of_drain(self, window: DrainWindow, superseded: bool) -> CloseTimes {
        let DrainWindow { started, response_deadline } = window;
        let late = started + (response_deadline - started) * (4000 + self.0) / 6000;
        let soon = started + self.after(Span::from_millis(1));
        CloseTimes { with_response: if superseded { soon } else { late }, when_idle: late }
    }

    /// Out of service, with responses within the first second, and idle within two: the load
    /// balancer in front has learned of it by then, and at four seconds none may be open that had a
    /// request in the last two.
    fn close_times_out_of_service(self, since: Timestamp) -> CloseTimes {
        let spread = self.after(Span::from_ticks(8));
        CloseTimes {
            with_response: since + Span::from_millis(200) + spread,
            when_idle: since + Span::from_secs(1) + spread,
        }
    }
}
