//! Limits that the check accepts never exceed the platform's; others are rejected with the lines
//! to correct.

use chalkwalk_limits::{
    ClassOverrides, ClientRetries, DedupGroup, EffectiveLimit, Idempotency, LimitOverrides, LimitSource,
    Located, Namespace, PlatformLimits, RequestAttributes, Route, RouteMatch, UncheckedLimits, check,
};
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
        dedup_group: DedupGroup::All,
        dedup_window: Span::from_ticks(15_000),
        in_order: false,
    };
    PlatformLimits {
        max_attempts: 6,
        hedging: true,
        connect_timeout: Span::from_ticks(500),
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

fn overrides() -> impl Strategy<Value = LimitOverrides> {
    let line = 1usize..50;
    let span = |ticks: Option<Located<u64>>| ticks.map(|located| located.map(Span::from_ticks));
    let located = |range: std::ops::Range<u64>| of((range, 1usize..50).prop_map(|(v, l)| Located::new(v, l)));
    (
        (located(0..25_000), located(0..25_000), located(0..8), located(0..25_000)),
        (
            of((any::<bool>(), line).prop_map(|(v, l)| Located::new(v, l))),
            located(400..1100),
            located(0..6000),
        ),
        (located(0..9), located(0..1200)),
    )
        .prop_map(
            move |(
                (time_limit, latency_objective, max_attempts, attempt_timeout),
                (hedging, hedge_after_permille, retry_budget_permille),
                capacity,
            )| {
                let (max_in_flight, max_body_bytes) = capacity;
                LimitOverrides {
                    time_limit: span(time_limit),
                    latency_objective: span(latency_objective),
                    max_attempts,
                    attempt_timeout: span(attempt_timeout),
                    hedging,
                    hedge_after_permille,
                    retry_budget_permille,
                    max_in_flight,
                    max_body_bytes,
                }
            },
        )
}

fn namespace_name() -> impl Strategy<Value = Option<String>> {
    of(prop_oneof![Just("page"), Just("record"), Just("once")].prop_map(String::from))
}

fn unchecked_limits() -> impl Strategy<Value = UncheckedLimits> {
    let class = |name: &'static str| {
        overrides().prop_map(move |overrides| ClassOverrides {
            namespace: Located::new(name.to_string(), 60),
            overrides,
        })
    };
    let route = (of("/[ab]{0,2}"), namespace_name(), overrides());
    let clients = of((1u64..5, 500u64..9000));
    (overrides(), of(class("page")), of(class("record")), proptest::collection::vec(route, 0..3), clients)
        .prop_map(|(defaults, page, record, routes, clients)| UncheckedLimits {
            defaults,
            classes: page.into_iter().chain(record).collect(),
            routes: routes
                .into_iter()
                .enumerate()
                .map(|(i, (path_prefix, namespace, overrides))| Route {
                    name: format!("r{i}"),
                    line: 70 + i,
                    conditions: RouteMatch { path_prefix, namespace, ..RouteMatch::default() },
                    overrides,
                })
                .collect(),
            clients: clients.map(|(tries, max_amplification)| ClientRetries {
                tries: Located::new(tries, 90),
                max_amplification: Located::new(max_amplification, 91),
            }),
        })
}

/// The value of a limit that the operator's file sets, `None` for a limit of the platform.
fn operator_value<T: Copy>(limit: &EffectiveLimit<T>) -> Option<T> {
    (limit.source != LimitSource::Platform).then_some(limit.value)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn accepted_limits_keep_the_platforms_limits(unchecked in unchecked_limits()) {
        let platform_limits = platform_limits();
        let Ok(table) = check(&unchecked, &platform_limits) else { return Ok(()) };
        for class in table.classes() {
            let limits = &class.limits;
            let namespace = &platform_limits.namespaces[class.namespace];
            prop_assert!(limits.time_limit.value <= namespace.time_limit && limits.latency_objective.value <= limits.time_limit.value);
            prop_assert!(limits.max_attempts.value >= 1 && limits.max_attempts.value <= platform_limits.max_attempts);
            prop_assert!(limits.max_body_bytes.value <= platform_limits.max_body_bytes);
            prop_assert!(!limits.hedging.value || namespace.idempotency == Idempotency::Replayable);
            prop_assert!(limits.max_in_flight.value != Some(0));
            if let Some(timeout) = limits.attempt_timeout.value {
                let time_per_attempt = timeout + platform_limits.connect_timeout;
                prop_assert!(limits.max_attempts.value * time_per_attempt <= limits.time_limit.value);
                prop_assert!(
                    namespace.idempotency != Idempotency::Tagged
                        || (limits.max_attempts.value - 1) * time_per_attempt <= namespace.dedup_window
                );
            } else if namespace.idempotency == Idempotency::Tagged
                && operator_value(&limits.max_attempts).is_some()
            {
                prop_assert!(limits.max_attempts.value == 1 || limits.time_limit.value <= namespace.dedup_window);
            }
            if let Some(share) = limits.retry_budget_permille.value {
                prop_assert!(share <= (limits.max_attempts.value - 1) * 1000);
            }
            if let Some(clients) = unchecked.clients {
                let attempts = limits.retry_budget_permille.value.map_or(limits.max_attempts.value * 1000, |s| (1000 + s).min(limits.max_attempts.value * 1000));
                prop_assert!(attempts * clients.tries.value <= clients.max_amplification.value);
            }
        }
        // Each request gets a class of its own namespace.
        for namespace in 0..platform_limits.namespaces.len() {
            for path in ["/", "/a", "/ab", "/bb/c", ""] {
                let class = table.class_index(RequestAttributes { namespace, path, tenant: "", frontend: "" });
                prop_assert_eq!(table.classes()[class].namespace, namespace);
            }
        }
    }

    #[test]
    fn errors_name_a_line_of_the_file(unchecked in unchecked_limits()) {
        if let Err(errors) = check(&unchecked, &platform_limits()) {
            prop_assert!(!errors.is_empty() && errors.iter().all(|error| error.line > 0));
        }
    }
}

#[test]
fn an_empty_file_leaves_the_platforms_limits() {
    let table = check(&UncheckedLimits::default(), &platform_limits()).expect("an empty file");
    assert!(table.classes().iter().all(|class| class.limits.time_limit
        == EffectiveLimit { value: Span::from_ticks(20_000), source: LimitSource::Platform }));
}
