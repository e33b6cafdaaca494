//! Replays one recorded event as a call into the balancer.

use crate::event::{Decision, Event, RecordedEndpoint};
use crate::outcome::outcome_from_number;
use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, Snapshot, StateChange};
use chalkwalk_time::{Span, Timestamp};

/// Replays one event and returns the balancer's decisions. A start or a snapshot creates the
/// balancer. Returns `None` if there is no balancer yet or the event is invalid.
pub(super) fn apply(balancer: &mut Option<Balancer>, now: Timestamp, event: &Event) -> Option<Vec<Decision>> {
    let mut log = DecisionLog::default();
    match (event, balancer.as_mut()) {
        (Event::Start { seed, settings }, _) => *balancer = Some(Balancer::new(*seed, settings, &mut log)),
        (Event::Snapshot { settings, words, texts }, None) => {
            let state = Snapshot { numbers: words.clone(), texts: texts.clone() };
            *balancer = Some(Balancer::from_snapshot(settings, &state)?);
        }
        (_, None) => return None,
        (_, Some(running)) => {
            running.advance_clock(now);
            apply_event(running, event, &mut log)?;
        }
    }
    Some(log.0)
}

/// Replays one event to an existing balancer. Returns `None` if the event is invalid.
fn apply_event(balancer: &mut Balancer, event: &Event, log: &mut DecisionLog) -> Option<()> {
    match event {
        Event::Start { .. } => {}
        Event::Snapshot { words, texts, .. } => compare_state(balancer, words, texts, log),
        Event::RequestAccepted { .. } | Event::LimitsRenewed { .. } => apply_in_class(balancer, event, log)?,
        Event::AttemptEnded { request_id, attempt, outcome, took, finished, order } => {
            let request_id = RequestId(*request_id);
            if let Some(order) = order {
                balancer.restrict_servers(request_id, order.clone());
            }
            balancer.attempt_ended(
                request_id,
                *attempt,
                outcome_from_number(*outcome)?,
                *took,
                *finished,
                log,
            );
        }
        Event::TimerFired(token) => balancer.timer_fired(*token, log),
        Event::HealthCheckFinished { server, answered } => {
            balancer.health_check_finished(*server, *answered, log)
        }
        Event::EndpointsListed { whole, endpoints } => apply_endpoints(balancer, *whole, endpoints, log)?,
        Event::DiscoveryLost => balancer.discovery_call_failed(Span::ZERO, log),
        Event::DiscoveryCallFailed { took } => balancer.discovery_call_failed(*took, log),
        Event::ClientLeft(request_id) => balancer.client_disconnected(RequestId(*request_id), log),
        Event::SettingsChanged(settings) => balancer.apply_settings(settings),
        Event::ProxyCount(proxies) => balancer.set_proxy_count(*proxies),
        Event::ServerDisabled { id, out, at } => balancer.set_disabled(id, *out, *at),
        Event::ResponseStarted { request_id, attempt } => {
            balancer.response_started(RequestId(*request_id), *attempt, log)
        }
    }
    Some(())
}

/// Replays an event that names a request class. Returns `None` if the balancer does not have the
/// class.
fn apply_in_class(balancer: &mut Balancer, event: &Event, log: &mut DecisionLog) -> Option<()> {
    match event {
        Event::RequestAccepted { class, point, write, expires, order, .. } => {
            let class = valid_class(balancer, *class)?;
            let request_id = balancer.accept_request_at(class, *point, *write, *expires);
            if let Some(order) = order {
                balancer.restrict_servers(request_id, order.clone());
            }
            balancer.route_request(request_id, log);
        }
        Event::LimitsRenewed { request_id, class, expires } => {
            let class = valid_class(balancer, *class)?;
            balancer.update_limits(RequestId(*request_id), class, *expires, log);
        }
        _ => {}
    }
    Some(())
}

fn valid_class(balancer: &Balancer, class: usize) -> Option<usize> {
    (class < balancer.class_count()).then_some(class)
}

fn apply_endpoints(
    balancer: &mut Balancer,
    whole: bool,
    endpoints: &[RecordedEndpoint],
    log: &mut DecisionLog,
) -> Option<()> {
    let endpoints = endpoints.iter().map(RecordedEndpoint::to_endpoint).collect::<Option<Vec<_>>>()?;
    if whole {
        balancer.replace_endpoints(&endpoints, log);
    } else {
        balancer.update_endpoints(&endpoints, log);
    }
    Some(())
}

/// Compares a recorded snapshot with the state that the replayed calls have led to. If they differ,
/// a log decision is added that no capture contains, so that the replay reports the call as a
/// difference.
fn compare_state(balancer: &Balancer, words: &[u64], texts: &[String], log: &mut DecisionLog) {
    let recorded = Snapshot { numbers: words.to_vec(), texts: texts.to_vec() };
    if balancer.snapshot() != Some(recorded) {
        log.0.push(Decision::Log {
            event: "replayed state differs from the recorded snapshot".into(),
            server: String::new(),
        });
    }
}

/// Collects the balancer's decisions during one call.
#[derive(Default)]
struct DecisionLog(Vec<Decision>);

impl Effects for DecisionLog {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        send_by: Timestamp,
    ) {
        self.0.push(Decision::StartAttempt {
            request_id: request_id.0,
            server,
            until: deadline,
            by: send_by,
        });
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
    fn report(&mut self, change: StateChange) {
        self.0.push(Decision::Log {
            event: change.stored_name().into(),
            server: change.server().unwrap_or_default().into(),
        });
    }
}
