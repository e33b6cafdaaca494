//! Whatever is accepted keeps the platform's settings; whatever breaks one is refused.

use chalkwalk_limits::*;
use chalkwalk_time::Span;
use proptest::option::of;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn platform_limits() -> PlatformLimits {
    let namespace = |name: &str, idempotency| Namespace {
        name: name.into(),
        time_limit: Span::from_ticks(20_000),
        latency_objective: Span::from_ticks(8_000),
        idempotency,
        dedup_window: Span::from_ticks(15_000),
    };
    PlatformLimits {
        max_attempts: 6,
        hedging: true,
        connect_time: Span::from_ticks(500),
        max_body_bytes: 1000,
        namespaces: vec![
            namespace("page", Idempotency::Replayable),
            namespace("record", Idempotency::Tagged),
            namespace("once", Idempotency::SingleUse),
        ],
        tenants: Vec::new(),
        frontends: Vec::new(),
    }
}

fn settings() -> impl Strategy<Value = LimitOverrides> {
    let line = 1usize..50;
    let span =
        |ticks: Option<Located<u64>>| ticks.map(|said| Located::new(Span::from_ticks(said.value), said.line));
    let said = |range: std::ops::Range<u64>| of((range, 1usize..50).prop_map(|(v, l)| Located::new(v, l)));
    (
        (said(0..25_000), said(0..25_000), said(0..8), said(0..25_000)),
        (of((any::<bool>(), line).prop_map(|(v, l)| Located::new(v, l))), said(400..1100), said(0..6000)),
        (said(0..9), said(0..1200)),
    )
        .prop_map(
            move |(
                (time_limit, latency_objective, max_attempts, attempt_timeout),
                (hedging, hedge_after, retry_budget),
                rest,
            )| {
                let (max_in_flight, max_body_bytes) = rest;
                LimitOverrides {
                    time_limit: span(time_limit),
                    latency_objective: span(latency_objective),
                    max_attempts,
                    attempt_timeout: span(attempt_timeout),
                    hedging,
                    hedge_after,
                    retry_budget,
                    max_in_flight,
                    max_body_bytes,
                }
            },
        )
}

fn name() -> impl Strategy<Value = Option<String>> {
    of(prop_oneof![Just("page"), Just("record"), Just("once")].prop_map(String::from))
}

fn draft() -> impl Strategy<Value = UncheckedLimits> {
    let class = |name: &'static str| settings().prop_map(move |s| (Located::new(name.to_string(), 60), s));
    let route = (of("/[ab]{0,2}"), name(), settings());
    let clients = of((1u64..5, 500u64..9000));
    (settings(), of(class("page")), of(class("record")), proptest::collection::vec(route, 0..3), clients)
        .prop_map(|(defaults, page, record, routes, clients)| UncheckedLimits {
            defaults,
            classes: page.into_iter().chain(record).collect(),
            routes: routes
                .into_iter()
                .enumerate()
                .map(|(i, (path, namespace, settings))| Route {
                    name: format!("r{i}"),
                    line: 70 + i,
                    when: RouteMatch { path, namespace, ..RouteMatch::default() },
                    settings,
                })
                .collect(),
            clients: clients.map(|(tries, most)| ClientRetries {
                tries: Located::new(tries, 90),
                amplification: Located::new(most, 91),
            }),
        })
}

/// What somebody set, as against what the platform has anyway.
fn set<T: Copy>(limit: &Effective<T>) -> Option<T> {
    (limit.source != LimitSource::Platform).then_some(limit.value)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn what_is_accepted_keeps_the_rules(draft in draft()) {
        let platform_limits = platform_limits();
        let Ok(table) = check(&draft, &platform_limits) else { return Ok(()) };
        for class in table.classes() {
            let (l, ns) = (&class.limits, &platform_limits.namespaces[class.namespace]);
            prop_assert!(l.time_limit.value <= ns.time_limit && l.latency_objective.value <= l.time_limit.value);
            prop_assert!(l.max_attempts.value >= 1 && l.max_attempts.value <= platform_limits.max_attempts);
            prop_assert!(l.max_body_bytes.value <= platform_limits.max_body_bytes);
            prop_assert!(!l.hedging.value || ns.idempotency == Idempotency::Replayable);
            prop_assert!(l.max_in_flight.value != Some(0));
            if let Some(wait) = l.attempt_timeout.value {
                let each = wait + platform_limits.connect_time;
                prop_assert!(l.max_attempts.value * each <= l.time_limit.value);
                prop_assert!(ns.idempotency != Idempotency::Tagged || (l.max_attempts.value - 1) * each <= ns.dedup_window);
            } else if ns.idempotency == Idempotency::Tagged && set(&l.max_attempts).is_some() {
                prop_assert!(l.max_attempts.value == 1 || l.time_limit.value <= ns.dedup_window);
            }
            if let Some(share) = l.retry_budget.value {
                prop_assert!(share <= (l.max_attempts.value - 1) * 1000);
            }
            if let Some(clients) = draft.clients {
                let attempts = l.retry_budget.value.map_or(l.max_attempts.value * 1000, |s| (1000 + s).min(l.max_attempts.value * 1000));
                prop_assert!(attempts * clients.tries.value <= clients.amplification.value);
            }
        }
        // Each request has a class, of its own namespace.
        for namespace in 0..platform_limits.namespaces.len() {
            for path in ["/", "/a", "/ab", "/bb/c", ""] {
                let class = table.find(RequestAttributes { namespace, path, tenant: "", frontend: "" });
                prop_assert_eq!(table.classes()[class].namespace, namespace);
            }
        }
    }

    #[test]
    fn faults_name_a_line_that_somebody_wrote(draft in draft()) {
        if let Err(faults) = check(&draft, &platform_limits()) {
            prop_assert!(!faults.is_empty() && faults.iter().all(|f| f.line > 0));
        }
    }
}

#[test]
fn nothing_said_changes_nothing() {
    let table = check(&UncheckedLimits::default(), &platform_limits()).expect("an empty file");
    assert!(table.classes().iter().all(|c| c.limits.time_limit
        == Effective { value: Span::from_ticks(20_000), source: LimitSource::Platform }));
}
