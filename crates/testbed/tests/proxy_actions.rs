//! Faults of proxies become actions on single proxies.

use chalkwalk_testbed::experiment::{Experiment, FaultKind};
use chalkwalk_testbed::fleet::proxy_actions;

#[test]
fn a_restart_wave_is_one_action_per_proxy_and_kills_an_evenly_spread_share() {
    let text = "title='t'\nseconds=40\n[fleet]\nproxies=10\n[load]\nrate=1\n[[namespace]]\nname='a'\ntarget_ms=9\n\
                limit_ms=10\nwork_ms=1\n[[trouble]]\nkind='restart-wave'\nat=2\nevery=1.5\ndown=0.1\nkilled=0.3";
    let actions = proxy_actions(&Experiment::parse(text).unwrap());
    let killed: Vec<_> = actions
        .iter()
        .filter(|action| action.kind == FaultKind::ProxyKill)
        .map(|action| action.proxy)
        .collect();
    assert_eq!((actions.len(), actions[9].at, killed), (10, 15_500_000, vec![3, 6, 9]));
}
