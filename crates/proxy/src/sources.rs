//! Where the list comes from: the platform, or what the operator's file names.

use chalkwalk_config::{MembershipConfig, MembershipSource};
use chalkwalk_discovery::{self as platform, DiscoveryAddress};
use chalkwalk_discovery_etcd::{Announcement, EtcdSource};
use chalkwalk_discovery_feed::{Feed, FileSource};
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_membership::format::{ProxyRecord, SERVING};
use chalkwalk_membership::reconcile::SourceKind;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A proxy that has no list yet is not to be used, but not for longer: clients are better told to return than not at all.
const FIRST_LIST: Duration = Duration::from_secs(5);
/// A new process waits for the list for so long: the platform gives it 6 s to be ready, and the old one serves meanwhile.
const LIST_HEARD: Duration = Duration::from_secs(4);
/// Where lists are pushed, what the proxy's own agent has counts as told from the first moment on: its answer takes some
/// milliseconds, and where it says nothing for so long it has nothing to say, as while the list is down.
const OWN_AGENT: Duration = Duration::from_millis(300);
const LOOK: Duration = Duration::from_millis(10);

pub enum List {
    Platform(Rc<DiscoveryAddress>),
    File(Rc<FileSource>, Rc<Feed>),
    Etcd(Rc<Feed>),
}

impl List {
    /// Follows it from now on. `at_once`: another process of this proxy serves until this one has heard it.
    pub fn follow(
        engine: &Rc<Engine>,
        (at, known): (Option<SocketAddr>, Option<u64>),
        from: Option<&MembershipConfig>,
        (listen, at_once): (SocketAddr, bool),
    ) -> List {
        let Some(from) = from else {
            // The configuration was read with one of the two.
            let source = DiscoveryAddress::new(at.unwrap_or(listen));
            engine
                .executor
                .spawn(platform::watch_endpoint_list(engine.clone(), source.clone(), known, at_once))
                .detach();
            return List::Platform(source);
        };
        let trust = match from.source {
            MembershipSource::File(_) => SourceKind::Assembled,
            MembershipSource::Etcd(_) => SourceKind::Revisioned,
        };
        let feed = Feed::new(engine, trust, from.persist_path.clone());
        feed.load_persisted();
        engine.executor.spawn(feed.clone().run_timers()).detach();
        engine.executor.spawn(feed.clone().persist_changes()).detach();
        match &from.source {
            MembershipSource::File(path) => {
                let file = FileSource::new(feed.clone(), path);
                engine.executor.spawn(file.clone().follow()).detach();
                List::File(file, feed)
            }
            MembershipSource::Etcd(etcd) => {
                let own = etcd.count_proxies.then(|| {
                    let zone = engine.config.zones.get(engine.classes.zone()).cloned().unwrap_or_default();
                    let instance = ProxyRecord { zone, phase: SERVING.into(), listen: listen.to_string() };
                    Announcement::new(engine, &etcd.prefix, instance, etcd.lease_s)
                });
                let etcd = EtcdSource::new(engine, feed.clone(), etcd.endpoints.clone(), &etcd.prefix, own);
                engine.executor.spawn(etcd.follow()).detach();
                List::Etcd(feed)
            }
        }
    }

    /// To be used once there is a list, or where it does not come in time: from a feed the first, and where another process
    /// serves meanwhile, the platform's word on what it was given; where the platform pushes it, what its agent has.
    pub async fn serve(engine: &Engine, feed: Option<Rc<Feed>>, (handed, pushed): (bool, bool)) {
        let end = Instant::now()
            + match (&feed, handed) {
                (Some(_), _) => FIRST_LIST,
                (None, true) => LIST_HEARD,
                (None, false) => OWN_AGENT,
            };
        let there = || match &feed {
            Some(feed) => !feed.endpoints().is_empty(),
            None => !(handed || pushed) || engine.has_received_list(),
        };
        while !there() && Instant::now() < end {
            Timer::after(LOOK).await;
        }
        engine.lifecycle.enter(Phase::Serving);
    }

    pub fn feed(&self) -> Option<Rc<Feed>> {
        match self {
            List::Platform(_) => None,
            List::File(_, feed) | List::Etcd(feed) => Some(feed.clone()),
        }
    }

    /// The configuration was read again, with the list where it is now.
    pub fn read_again(&self, at: Option<SocketAddr>) {
        match self {
            List::Platform(source) => at.into_iter().for_each(|at| source.move_to(at)),
            List::File(file, _) => file.reload(),
            List::Etcd(_) => {}
        }
    }
}
