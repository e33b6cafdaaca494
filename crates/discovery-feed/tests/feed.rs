//! Persistence of a feed's list, and a watched file as its source.

mod helper;

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_discovery_feed::{Feed, FileSource};
use chalkwalk_membership::ListedEndpoint;
use chalkwalk_membership::persisted::PersistedList;
use chalkwalk_membership::reconcile::SourceKind;
use chalkwalk_time::{Span, Timestamp};
use helper::{engine, wait_until};
use std::path::PathBuf;

fn directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

fn endpoint(id: &str, port: u16, status: EndpointStatus) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "north".into(),
        kind: String::new(),
        cell: 0,
        weight_hundredths: 100,
        status,
        started_at: Timestamp::ZERO,
    }
}

/// The text of a list file with these servers, each given by its id and state.
fn list_file(header: &str, servers: &[(&str, &str)]) -> String {
    let entry = |(i, (id, state)): (usize, &(&str, &str))| {
        let addr = format!("127.0.0.1:{}", 4000 + i);
        format!("[[cache]]\nid = \"{id}\"\naddr = \"{addr}\"\nzone = \"north\"\nstate = \"{state}\"\n")
    };
    let entries: String = servers.iter().enumerate().map(entry).collect();
    format!("version = 1\n{header}{entries}[end]\n")
}

/// The ids of the endpoints in a feed's list, each with its status.
fn statuses(feed: &Feed) -> String {
    let status = |endpoint: &ListedEndpoint| format!("{}:{:?}", endpoint.id, endpoint.status);
    feed.endpoints().iter().map(status).collect::<Vec<_>>().join(" ")
}

#[test]
fn the_next_process_starts_with_the_persisted_list() {
    let directory = directory("persisted");
    let path = directory.join("list");
    let (engine, _) = engine();
    let feed = Feed::new(&engine, SourceKind::Revisioned, Some(path.clone()));
    feed.load_persisted();
    assert_eq!(statuses(&feed), "");
    let endpoints = [endpoint("a", 1, EndpointStatus::Ready), endpoint("b", 2, EndpointStatus::Draining)];
    feed.apply_list(7, endpoints.map(Into::into).to_vec()).unwrap();
    smol::block_on(engine.executor.run(async {
        engine.executor.spawn(feed.clone().persist_changes()).detach();
        wait_until("the list is written", || path.exists()).await;
    }));
    // No temporary file is left next to the list.
    assert_eq!(std::fs::read_dir(&directory).unwrap().count(), 1);

    let (engine, events) = helper::engine();
    let restored_feed = Feed::new(&engine, SourceKind::Revisioned, Some(path));
    restored_feed.load_persisted();
    assert_eq!((statuses(&restored_feed), restored_feed.revision()), ("a:Ready b:Draining".to_string(), 7));
    assert!(events.contains("persisted list loaded"));
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_persisted_list_that_is_broken_or_too_old_is_ignored() {
    let directory = directory("ignored");
    let path = directory.join("list");
    let (engine, events) = engine();
    let load = || {
        let feed = Feed::new(&engine, SourceKind::Revisioned, Some(path.clone()));
        feed.load_persisted();
        statuses(&feed)
    };
    let hours_old = |hours: u64| PersistedList {
        written_at: engine.clock.now() - Span::from_secs(3600 * hours),
        revision: 7,
        endpoints: vec![endpoint("a", 1, EndpointStatus::Ready)],
    };
    std::fs::write(&path, hours_old(25).to_text()).unwrap();
    assert_eq!((load().as_str(), events.count("persisted list ignored")), ("", 1));
    std::fs::write(&path, hours_old(0).to_text().replace("127", "128")).unwrap();
    assert_eq!((load().as_str(), events.count("persisted list ignored")), ("", 2));
    std::fs::write(&path, hours_old(2).to_text()).unwrap();
    assert_eq!((load().as_str(), events.count("persisted list is old")), ("a:Ready", 1));
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_version_of_a_file_is_applied_whole_or_not_at_all() {
    let directory = directory("file");
    let path = directory.join("list.toml");
    let (engine, events) = engine();
    let feed = Feed::new(&engine, SourceKind::Unordered, None);
    let source = FileSource::new(feed.clone(), &path);
    // Each version is renamed into place, as the source would report a partly written one as a
    // further error.
    let write = |text: String| {
        std::fs::write(path.with_extension("new"), text).unwrap();
        std::fs::rename(path.with_extension("new"), &path).unwrap();
    };
    smol::block_on(engine.executor.run(async {
        engine.executor.spawn(source.clone().run()).detach();
        wait_until("the missing file is reported", || events.contains("list source unavailable")).await;
        write(list_file("serial = 5\n", &[("a", "serving"), ("b", "serving")]));
        wait_until("the first version is applied", || statuses(&feed) == "a:Ready b:Ready").await;
        assert!(events.contains("list source available again"));
        // A version with two errors: each is logged on a line of its own, and the drain in that
        // version is not applied either.
        write(list_file("serial = 6\n", &[("a", "draining"), ("b", "tired"), ("c", "tired")]));
        wait_until("two errors are logged", || events.count("list ignored") == 2).await;
        assert_eq!(statuses(&feed), "a:Ready b:Ready");
        // A version with a lower serial number is rejected until an operator reloads the file.
        write(list_file("serial = 4\n", &[("a", "serving"), ("b", "draining")]));
        wait_until("the old version is rejected", || events.count("list ignored") == 3).await;
        assert_eq!(statuses(&feed), "a:Ready b:Ready");
        source.reload();
        wait_until("the old version is applied after a reload", || statuses(&feed) == "a:Ready b:Draining")
            .await;
    }));
    std::fs::remove_dir_all(&directory).unwrap();
}
