//! The plan of arrivals depends only on the experiment and its seed, and keeps the shares and rates
//! of the experiment.

use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::load::plan::{Arrival, ArrivalPlan, request_id};

fn plan(load: &str) -> Vec<Arrival> {
    let text = format!(
        "title='t'\nseconds=20\nseed=5\n[load]\nrate=1000\n{load}\n[[namespace]]\nname='a'\nshare=3\ntarget_ms=300\n\
         limit_ms=1000\nwork_ms=1\n[[namespace]]\nname='b'\ntarget_ms=300\nlimit_ms=1000\nwork_ms=1"
    );
    let experiment = Experiment::parse(&text).unwrap();
    ArrivalPlan::new(&experiment).collect()
}

#[test]
fn the_same_seed_gives_the_same_plan_with_the_stated_shares_and_rates() {
    let arrivals = plan("hot=[{at=10, for=5, share=0.5}]\nsurge=[{at=10, for=10, factor=2}]\nleave=0.1");
    assert_eq!(
        arrivals,
        plan("hot=[{at=10, for=5, share=0.5}]\nsurge=[{at=10, for=10, factor=2}]\nleave=0.1")
    );
    let count = |matches: &dyn Fn(&Arrival) -> bool| arrivals.iter().filter(|a| matches(a)).count();
    let early = count(&|a| a.at < 10_000_000);
    let (late, of_class_a) = (arrivals.len() - early, count(&|a| a.class == 0));
    assert!((9700..10300).contains(&early) && (19_500..20_500).contains(&late), "{early} {late}");
    assert!((0.74..0.76).contains(&(of_class_a as f64 / arrivals.len() as f64)));
    let hot_keys = count(&|a| a.key == 2000);
    assert!((4700..5300).contains(&hot_keys), "{hot_keys}");
    assert!((2700..3300).contains(&count(&|a| a.cancels_after.is_some())));
}

#[test]
fn ids_differ() {
    let ids: std::collections::HashSet<u64> = (0..10_000).map(|n| request_id(7, n)).collect();
    assert_eq!(ids.len(), 10_000);
}
