//! The calls of a capture made again to a module of now, and where it decides otherwise.

use crate::format::{CallBlock, CaptureItem, Decision, Event, RecordedCall, RecordedEndpoint, outcome};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, Snapshot};

/// Notes what the balancer wants.
#[derive(Default)]
struct DecisionLog(Vec<Decision>);

impl Effects for DecisionLog {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.0.push(Decision::StartAttempt { request_id: request_id.0, server, until, by });
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.0.push(Decision::CancelAttempt { request_id: request_id.0, attempt });
    }
    fn reject(&mut self, request_id: RequestId, back_in: Span) {
        self.0.push(Decision::Reject { request_id: request_id.0, back_in });
    }
    fn fail(&mut self, request_id: RequestId) {
        self.0.push(Decision::Fail(request_id.0));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.0.push(Decision::CheckHealth(server));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.0.push(Decision::SetTimer { token, after });
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Decision::WatchEndpoints);
    }
    fn log(&mut self, event: &str, server: &str) {
        self.0.push(Decision::Log { event: event.into(), server: server.into() });
    }
}

/// A call after which the balancer decides otherwise than it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Of all calls, from 0.
    pub call: u64,
    pub at: Timestamp,
    pub event: Event,
    pub recorded: Vec<Decision>,
    pub replayed: Vec<Decision>,
}

#[derive(Debug, Default)]
pub struct Replay {
    pub calls: u64,
    pub decisions: u64,
    /// Starts of the balancer in it, each replayed from there.
    pub starts: u64,
    /// Snapshots that a replay began with, and those that were held against it.
    pub resumed: u64,
    pub compared: u64,
    /// Calls that could not be replayed: before the first start, or behind a gap.
    pub skipped: u64,
    pub gaps: u64,
    pub first_difference: Option<Difference>,
    pub differences: u64,
    /// How many of them are of each kind: what was wanted first where the two part, and what is instead.
    pub difference_kinds: BTreeMap<String, u64>,
    pub from: Timestamp,
    pub to: Timestamp,
}

/// The kind of a decision, in a word.
fn kind(done: Option<&Decision>) -> &'static str {
    match done {
        None => "nothing",
        Some(Decision::StartAttempt { .. }) => "shot",
        Some(Decision::CancelAttempt { .. }) => "withdrawal",
        Some(Decision::Reject { .. }) => "deferral",
        Some(Decision::Fail(_)) => "abandonment",
        Some(Decision::CheckHealth(_)) => "probe",
        Some(Decision::ReleaseConnection(_)) => "given back",
        Some(Decision::SetTimer { .. }) => "wake",
        Some(Decision::WatchEndpoints) => "watch",
        Some(Decision::Log { .. }) => "log",
    }
}

/// Where two ways of deciding part first: the kinds there.
fn parting(was: &[Decision], is: &[Decision]) -> String {
    let at = was.iter().zip(is).take_while(|(a, b)| a == b).count();
    match (kind(was.get(at)), kind(is.get(at))) {
        (was, is) if was == is => format!("another {was}"),
        (was, is) => format!("{is} for {was}"),
    }
}

/// The items from the last snapshot before a call on, up to that call: all that it takes to see it again. Calls are numbered
/// from 0. Nothing where no snapshot or start stands before it.
pub fn excerpt(items: &[CaptureItem], until: u64) -> Option<Vec<CaptureItem>> {
    let (mut nth, mut from, mut kept) = (0, None, Vec::new());
    for item in items {
        let block = match item {
            CaptureItem::Calls(block) => block,
            CaptureItem::Gap(calls) => {
                kept.clear();
                (nth, from) = (nth + calls, None);
                continue;
            }
        };
        let (mut at, mut own) = (block.from, CallBlock { from: block.from, calls: Vec::new() });
        for call in &block.calls {
            at += call.after;
            if matches!(call.event, Event::Snapshot { .. } | Event::Start { .. }) {
                kept.clear();
                own = CallBlock { from: at, calls: Vec::new() };
                from = Some(nth);
            }
            let after = if own.calls.is_empty() && own.from == at { Span::ZERO } else { call.after };
            own.calls.push(RecordedCall { after, ..call.clone() });
            if nth == until {
                kept.push(CaptureItem::Calls(own));
                return from.map(|_| kept);
            }
            nth += 1;
        }
        kept.push(CaptureItem::Calls(own));
    }
    None
}

/// Replays items in their order. It goes on behind a difference: by then the two have parted, and more are likely to follow, up
/// to the next snapshot, from which the balancer goes on as it did.
pub fn replay<'a>(items: impl Iterator<Item = &'a CaptureItem>) -> Replay {
    let (mut replay, mut balancer) = (Replay::default(), None);
    let (mut call, mut parted) = (0, false);
    for item in items {
        let block = match item {
            CaptureItem::Calls(block) => block,
            CaptureItem::Gap(calls) => {
                // What the balancer was told meanwhile is not known: only a new start can be replayed.
                balancer = None;
                replay.gaps += 1;
                replay.skipped += calls;
                call += calls;
                continue;
            }
        };
        let mut at = block.from;
        if replay.from == Timestamp::ZERO {
            replay.from = at;
        }
        for one in &block.calls {
            at += one.after;
            replay.to = at;
            let mut notes = DecisionLog::default();
            if parted && matches!(one.event, Event::Snapshot { .. }) {
                (balancer, parted) = (None, false);
            }
            let running = balancer.is_some();
            match again(&mut balancer, at, one, &mut notes) {
                Some(()) => {
                    replay.calls += 1;
                    replay.decisions += one.decisions.len() as u64;
                    replay.starts += u64::from(matches!(one.event, Event::Start { .. }));
                    if matches!(one.event, Event::Snapshot { .. }) {
                        *(if running { &mut replay.compared } else { &mut replay.resumed }) += 1;
                    }
                    parted &= !matches!(one.event, Event::Start { .. });
                    if notes.0 != one.decisions {
                        replay.differences += 1;
                        *replay.difference_kinds.entry(parting(&one.decisions, &notes.0)).or_default() += 1;
                        parted = true;
                        replay.first_difference.get_or_insert_with(|| Difference {
                            call,
                            at,
                            event: one.event.clone(),
                            recorded: one.decisions.clone(),
                            replayed: notes.0,
                        });
                    }
                }
                None => replay.skipped += 1,
            }
            call += 1;
        }
    }
    replay
}

/// Makes one call; `None` where there is no module to make it to, or it makes no sense.
fn again(
    balancer: &mut Option<Balancer>,
    at: Timestamp,
    call: &RecordedCall,
    out: &mut DecisionLog,
) -> Option<()> {
    if let Event::Start { seed, settings } = &call.event {
        *balancer = Some(Balancer::new(*seed, settings, out));
        return Some(());
    }
    if let (Event::Snapshot { settings, words, texts }, None) = (&call.event, &balancer) {
        let state = Snapshot { words: words.clone(), texts: texts.clone() };
        *balancer = Some(Balancer::from_snapshot(settings, &state)?);
        return Some(());
    }
    let balancer = balancer.as_mut()?;
    balancer.advance_clock(at);
    match &call.event {
        Event::Start { .. } => {}
        // What was written down has to be what the calls so far have led to.
        Event::Snapshot { words, texts, .. } => {
            if balancer.snapshot() != Some(Snapshot { words: words.clone(), texts: texts.clone() }) {
                out.0.push(Decision::Log {
                    event: "another state than the snapshot's".into(),
                    server: String::new(),
                });
            }
        }
        Event::RequestAccepted { class, point, write, expires, order, .. } => {
            if *class >= balancer.class_count() {
                return None;
            }
            let request_id = balancer.accept_request_at(*class, *point, *write, *expires);
            if let Some(order) = order {
                balancer.restrict_to(request_id, order.clone());
            }
            balancer.route_request(request_id, out);
        }
        Event::AttemptEnded { request_id, attempt, outcome: number, took, finished, order } => {
            let request_id = RequestId(*request_id);
            if let Some(order) = order {
                balancer.restrict_to(request_id, order.clone());
            }
            balancer.attempt_ended(request_id, *attempt, outcome(*number)?, *took, *finished, out);
        }
        Event::TimerFired(token) => balancer.timer_fired(*token, out),
        Event::HealthCheckFinished { server, answered } => {
            balancer.health_check_finished(*server, *answered, out)
        }
        Event::EndpointsListed { whole, endpoints: recorded } => {
            let endpoints = recorded.iter().map(RecordedEndpoint::entry).collect::<Option<Vec<_>>>()?;
            match whole {
                true => balancer.replace_endpoints(&endpoints, out),
                false => balancer.update_endpoints(&endpoints, out),
            }
        }
        Event::DiscoveryLost => balancer.discovery_call_failed(Span::ZERO, out),
        Event::DiscoveryCallFailed { took } => balancer.discovery_call_failed(*took, out),
        Event::ClientLeft(request_id) => balancer.client_left(RequestId(*request_id), out),
        Event::SettingsChanged(settings) => balancer.apply_settings(settings),
        Event::LimitsRenewed { request_id, class, expires } => {
            if *class >= balancer.class_count() {
                return None;
            }
            balancer.renew_limits(RequestId(*request_id), *class, *expires, out);
        }
        Event::ProxyCount(proxies) => balancer.set_proxy_count(*proxies),
        Event::ServerDisabled { id, out: barred, at } => balancer.set_disabled(id, *barred, *at),
        Event::ResponseStarted { request_id, attempt } => {
            balancer.response_started(RequestId(*request_id), *attempt, out)
        }
    }
    Some(())
}
