//! The etcd source against a fake endpoint on a socket: the list, the watch, a lost connection, and
//! this proxy's own key.

mod fake_etcd;
#[path = "../../discovery-feed/tests/helper/mod.rs"]
mod helper;

use chalkwalk_discovery_etcd::{Announcement, EtcdSource};
use chalkwalk_discovery_feed::Feed;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_membership::format::{ProxyRecord, SERVING};
use chalkwalk_membership::reconcile::SourceKind;
use fake_etcd::FakeEtcd;
use helper::{engine, wait_until};
use smol::LocalExecutor;

fn value(port: u16, state: &str) -> String {
    format!("{{\"v\":1,\"addr\":\"127.0.0.1:{port}\",\"zone\":\"north\",\"state\":\"{state}\"}}")
}

/// The ids of the endpoints in a feed's list, each with its status.
fn statuses(feed: &Feed) -> String {
    let endpoints = feed.endpoints();
    endpoints.iter().map(|endpoint| format!("{}:{:?} ", endpoint.id, endpoint.status)).collect()
}

#[test]
fn a_list_is_read_and_watched_and_the_watch_is_resumed_after_a_lost_connection() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let (engine, events) = engine();
    let etcd: &'static FakeEtcd<'static> = Box::leak(Box::new(FakeEtcd::new(executor)));
    etcd.write("/c/caches/a", Some(&value(1, "serving")));
    etcd.write("/c/caches/b", Some(&value(2, "draining")));
    etcd.write("/c/caches/broken", Some("{"));
    etcd.write("/c/proxies/q", Some(r#"{"v":1,"zone":"north","phase":"serving","listen":""}"#));
    let feed = Feed::new(&engine, SourceKind::Revisioned, None);
    let source = EtcdSource::new(&engine, feed.clone(), vec![etcd.addr], "/c/", None);
    executor.spawn(etcd.serve()).detach();
    let test = async {
        engine.executor.spawn(source.run()).detach();
        wait_until("the list is applied", || statuses(&feed) == "a:Ready b:Draining ").await;
        wait_until("the value that can't be parsed is logged", || events.count("list ignored") == 1).await;
        wait_until("the watch is open", || etcd.calls() == ["range at 0", "watch from 5"]).await;
        etcd.write("/c/caches/a", Some(&value(1, "draining")));
        wait_until("the drain is applied", || statuses(&feed) == "a:Draining b:Draining ").await;
        etcd.write("/c/caches/b", None);
        wait_until("the removal is applied", || statuses(&feed) == "a:Draining ").await;
        etcd.break_connection();
        wait_until("the lost connection is logged", || events.contains("list source unavailable")).await;
        wait_until("the watch is resumed", || etcd.calls().last().unwrap() == "watch from 7").await;
        etcd.write("/c/caches/a", Some(&value(1, "serving")));
        wait_until("the reinstatement is applied", || statuses(&feed) == "a:Ready ").await;
        assert!(events.contains("list source available again") && events.contains("etcd call failed"));
    };
    smol::block_on(executor.run(engine.executor.run(test)));
}

#[test]
fn the_own_key_is_kept_alive_under_a_lease_and_revoked_when_the_proxy_drains() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let (engine, events) = engine();
    let etcd: &'static FakeEtcd<'static> = Box::leak(Box::new(FakeEtcd::new(executor)));
    // A second serving proxy, and one that drains and is not counted.
    etcd.write("/c/proxies/q", Some(r#"{"v":1,"zone":"north","phase":"serving","listen":""}"#));
    etcd.write("/c/proxies/p", Some(r#"{"v":1,"zone":"north","phase":"serving","listen":""}"#));
    etcd.write("/c/proxies/r", Some(r#"{"v":1,"zone":"north","phase":"leaving","listen":""}"#));
    let feed = Feed::new(&engine, SourceKind::Revisioned, None);
    let record = ProxyRecord { zone: "north".into(), phase: SERVING.into(), listen: "127.0.0.1:9".into() };
    let announcement = Announcement::new(&engine, "/c/", record, 1);
    let source = EtcdSource::new(&engine, feed, vec![etcd.addr], "/c/", Some(announcement));
    executor.spawn(etcd.serve()).detach();
    let put =
        "put /c/proxies/p {\"v\":1,\"zone\":\"north\",\"phase\":\"serving\",\"listen\":\"127.0.0.1:9\"} 42";
    let test = async {
        engine.executor.spawn(source.run()).detach();
        wait_until("the proxy's key is written", || etcd.calls().iter().any(|call| call == put)).await;
        wait_until("keep-alives", || {
            etcd.calls().iter().filter(|call| *call == "keep alive 42").count() == 2
        })
        .await;
        assert_eq!(etcd.calls().iter().filter(|call| *call == "grant").count(), 1);
        assert_eq!(events.count("proxy count changed"), 1);
        engine.lifecycle.enter(Phase::Serving);
        engine.lifecycle.enter(Phase::Draining);
        wait_until("the lease is revoked", || etcd.calls().last().unwrap() == "revoke 42").await;
        assert!(events.contains("own lease revoked"));
    };
    smol::block_on(executor.run(engine.executor.run(test)));
}
