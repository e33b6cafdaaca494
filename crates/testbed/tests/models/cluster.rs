//! Migrations of hash slots, failovers to replicas, and stale slot maps.

use chalkwalk_testbed::clock::micros_from_seconds;
use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::model::cluster::{Cluster, Command, CommandOutcome};

#[test]
fn slots_migrate_replicas_take_over_and_a_stale_map_is_outdated() {
    let text = "title='t'\nseconds=40\nworld={caches=4}\nfleet={door='resp'}\nload={rate=1}\n[[namespace]]\nname='a'\ntarget_ms=9\n\
        limit_ms=10\nwork_ms=1\n[[trouble]]\nkind='slots-move'\nat=2\nfor=2\nevery=2\n[[trouble]]\nkind='failover'\nat=10\n\
        down=5\ncaches=[0]\n[[trouble]]\nkind='old-map'\nat=20\nfor=5\nby=15\ncaches=[1]";
    let cluster = Cluster::new(&Experiment::parse(text).unwrap());
    let command = |rank| Command { slot: 5, rank, ..Command::default() };
    let handle = |server, s: f64, command| cluster.handle(server, micros_from_seconds(s), command);
    assert_eq!(
        (handle(0, 1.0, command(0)), handle(1, 1.0, command(0))),
        (CommandOutcome::Execute, CommandOutcome::Moved(0))
    );
    assert_eq!(
        (handle(0, 2.8, command(100)), handle(0, 2.8, command(900))),
        (CommandOutcome::Ask(1), CommandOutcome::Execute)
    );
    let asking = Command { asking: true, ..command(100) };
    assert_eq!(
        (handle(1, 2.8, asking), handle(1, 2.8, command(100))),
        (CommandOutcome::Execute, CommandOutcome::Moved(0))
    );
    assert_eq!(
        (handle(1, 3.7, command(900)), handle(0, 3.7, command(0))),
        (CommandOutcome::Execute, CommandOutcome::Moved(1))
    );
    // Block 1 belongs to node 0 at first; node 0's replica is node 3.
    let other = Command { slot: 300, ..Command::default() };
    assert_eq!(
        (handle(3, 9.0, other), handle(3, 9.0, Command { readonly: true, ..other })),
        (CommandOutcome::Moved(0), CommandOutcome::Execute)
    );
    assert_eq!(
        (handle(3, 10.9, other), handle(0, 15.5, other), handle(0, 16.5, other)),
        (CommandOutcome::Execute, CommandOutcome::Loading, CommandOutcome::Moved(3))
    );
    assert_eq!(
        (handle(1, 21.0, other), handle(1, 26.0, other)),
        (CommandOutcome::Moved(0), CommandOutcome::Moved(3))
    );
    let nodes = cluster.nodes_reply(2, micros_from_seconds(11.0), 4, |n| format!("h:{n}"));
    let heads: Vec<&str> = nodes.lines().map(|l| l.split(" connected").next().unwrap()).collect();
    assert_eq!(
        heads,
        [
            "node00 h:0@0 master - 0 0 3",
            "node01 h:1@0 master - 0 0 3",
            "node02 h:2@0 myself,slave node01 0 0 3",
            "node03 h:3@0 master - 0 0 3"
        ]
    );
}
