//! One event of a capture, made again as a call into the balancer.

use crate::event::{Decision, Event, RecordedEndpoint};
use crate::outcome::outcome_of_number;
use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, Snapshot, StateChange};
use chalkwalk_time::{Span, Timestamp};

/// Makes one call, and returns what the balancer decides; `None` where there is no balancer to call, or the event is invalid.
pub(super) fn apply(balancer: &mut Option<Balancer>, at: Timestamp, event: &Event) -> Option<Vec<Decision>> {
    let mut log = DecisionLog::default();
    match (event, balancer.as_mut()) {
        (Event::Start { seed, settings }, _) => *balancer = Some(Balancer::new(*seed, settings, &mut log)),
        (Event::Snapshot { settings, words, texts }, None) => {
            let state = Snapshot { numbers: words.clone(), texts: texts.clone() };
            *balancer = Some(Balancer::from_snapshot(settings, &state)?);
        }
        (_, None) => return None,
        (_, Some(running)) => {
            running.advance_clock(at);
            call(running, event, &mut log)?;
        }
    }
    Some(log.0)
}

/// Makes one call to a balancer that runs.
fn call(balancer: &mut Balancer, event: &Event, log: &mut DecisionLog) -> Option<()> {
    match event {
        Event::Start { .. } => {}
        Event::Snapshot { words, texts, .. } => compare_state(balancer, words, texts, log),
        Event::RequestAccepted { .. } | Event::LimitsRenewed { .. } => admit(balancer, event, log)?,
        Event::AttemptEnded { request_id, attempt, outcome, took, finished, order } => {
            let request_id = RequestId(*request_id);
            if let Some(order) = order {
                balancer.restrict_to(request_id, order.clone());
            }
            balancer.attempt_ended(request_id, *attempt, outcome_of_number(*outcome)?, *took, *finished, log);
        }
        Event::TimerFired(token) => balancer.timer_fired(*token, log),
        Event::HealthCheckFinished { server, answered } => {
            balancer.health_check_finished(*server, *answered, log)
        }
        Event::EndpointsListed { whole, endpoints } => list_endpoints(balancer, *whole, endpoints, log)?,
        Event::DiscoveryLost => balancer.discovery_call_failed(Span::ZERO, log),
        Event::DiscoveryCallFailed { took } => balancer.discovery_call_failed(*took, log),
        Event::ClientLeft(request_id) => balancer.client_left(RequestId(*request_id), log),
        Event::SettingsChanged(settings) => balancer.apply_settings(settings),
        Event::ProxyCount(proxies) => balancer.set_proxy_count(*proxies),
        Event::ServerDisabled { id, out, at } => balancer.set_disabled(id, *out, *at),
        Event::ResponseStarted { request_id, attempt } => {
            balancer.response_started(RequestId(*request_id), *attempt, log)
        }
    }
    Some(())
}

/// The events that name a class of requests: one that the balancer does not have is invalid.
fn admit(balancer: &mut Balancer, event: &Event, log: &mut DecisionLog) -> Option<()> {
    match event {
        Event::RequestAccepted { class, point, write, expires, order, .. } => {
            let class = known_class(balancer, *class)?;
            let request_id = balancer.accept_request_at(class, *point, *write, *expires);
            if let Some(order) = order {
                balancer.restrict_to(request_id, order.clone());
            }
            balancer.route_request(request_id, log);
        }
        Event::LimitsRenewed { request_id, class, expires } => {
            let class = known_class(balancer, *class)?;
            balancer.renew_limits(RequestId(*request_id), class, *expires, log);
        }
        _ => {}
    }
    Some(())
}

fn known_class(balancer: &Balancer, class: usize) -> Option<usize> {
    (class < balancer.class_count()).then_some(class)
}

fn list_endpoints(
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

/// The recorded state has to be what the calls so far have led to. A difference shows as a decision that no capture holds.
fn compare_state(balancer: &Balancer, words: &[u64], texts: &[String], log: &mut DecisionLog) {
    let recorded = Snapshot { numbers: words.to_vec(), texts: texts.to_vec() };
    if balancer.snapshot() != Some(recorded) {
        log.0
            .push(Decision::Log { event: "another state than the snapshot's".into(), server: String::new() });
    }
}

/// Collects what the balancer decides.
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
    fn report(&mut self, change: StateChange) {
        self.0.push(Decision::Log {
            event: change.stored_name().into(),
            server: change.server().unwrap_or_default().into(),
        });
    }
}
