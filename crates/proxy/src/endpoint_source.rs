//! Where the endpoint list comes from: the platform, or what the operator's file names.

use chalkwalk_config::{EtcdConfig, MembershipConfig, MembershipSource};
use chalkwalk_discovery::{self as discovery, DiscoveryAddress};
use chalkwalk_discovery_etcd::{Announcement, EtcdSource};
use chalkwalk_discovery_feed::{Feed, FileSource};
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_membership::format::{ProxyRecord, SERVING};
use chalkwalk_membership::reconcile::SourceKind;
use smol::Timer;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A proxy without a list is not to be used, but not for longer than this: a client is better rejected with a time to retry
/// after than not answered at all.
const MAX_WAIT_FOR_FEED: Duration = Duration::from_secs(5);

/// A new process waits for the platform's list for so long: the platform gives it 6 s to be ready, and the old process serves
/// meanwhile.
const MAX_WAIT_BESIDE_OLD_PROCESS: Duration = Duration::from_secs(4);

/// Where lists are pushed, the proxy counts as notified of what its own agent has from the first moment on: the agent's answer
/// takes some milliseconds, and if it has not answered for so long it has no list, as while the list service is down.
const MAX_WAIT_FOR_AGENT: Duration = Duration::from_millis(300);

/// How often the wait looks for the list.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How this process was started.
#[derive(Clone, Copy)]
pub struct StartContext {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The clients' listener is inherited: another process of this proxy may serve until this one can.
    pub is_inherited: bool,
}

/// The platform's list as the configuration has it.
pub struct PlatformList {
    /// Where it is polled.
    pub address: Option<SocketAddr>,
    /// The version that the configuration came with.
    pub known_version: Option<u64>,
}

/// The source of the endpoint list.
pub enum EndpointSource {
    Platform(Rc<DiscoveryAddress>),
    File { file: Rc<FileSource>, feed: Rc<Feed> },
    Etcd(Rc<Feed>),
}

impl EndpointSource {
    /// Follows the list from now on.
    pub fn follow(
        engine: &Rc<Engine>,
        platform: PlatformList,
        membership: Option<&MembershipConfig>,
        context: StartContext,
    ) -> EndpointSource {
        let Some(membership) = membership else {
            return EndpointSource::follow_platform(engine, platform, context);
        };
        let kind = match membership.source {
            MembershipSource::File(_) => SourceKind::Assembled,
            MembershipSource::Etcd(_) => SourceKind::Revisioned,
        };
        let feed = Feed::new(engine, kind, membership.persist_path.clone());
        feed.load_persisted();
        engine.executor.spawn(feed.clone().run_timers()).detach();
        engine.executor.spawn(feed.clone().persist_changes()).detach();
        match &membership.source {
            MembershipSource::File(path) => EndpointSource::follow_file(engine, feed, path),
            MembershipSource::Etcd(config) => EndpointSource::follow_etcd(engine, feed, config, context),
        }
    }

    fn follow_platform(engine: &Rc<Engine>, list: PlatformList, context: StartContext) -> EndpointSource {
        // The configuration was read with an address, unless there is a membership.
        let address = DiscoveryAddress::new(list.address.unwrap_or(context.listen));
        let watch = discovery::watch_endpoint_list(
            engine.clone(),
            address.clone(),
            list.known_version,
            context.is_inherited,
        );
        engine.executor.spawn(watch).detach();
        EndpointSource::Platform(address)
    }

    fn follow_file(engine: &Rc<Engine>, feed: Rc<Feed>, path: &Path) -> EndpointSource {
        let file = FileSource::new(feed.clone(), path);
        engine.executor.spawn(file.clone().follow()).detach();
        EndpointSource::File { file, feed }
    }

    fn follow_etcd(
        engine: &Rc<Engine>,
        feed: Rc<Feed>,
        config: &EtcdConfig,
        context: StartContext,
    ) -> EndpointSource {
        let announcement = config.count_proxies.then(|| {
            let zone = engine.config.zones.get(engine.classes.zone()).cloned().unwrap_or_default();
            let record = ProxyRecord { zone, phase: SERVING.into(), listen: context.listen.to_string() };
            Announcement::new(engine, &config.prefix, record, config.lease_s)
        });
        let endpoints = config.endpoints.clone();
        let source = EtcdSource::new(engine, feed.clone(), endpoints, &config.prefix, announcement);
        engine.executor.spawn(source.follow()).detach();
        EndpointSource::Etcd(feed)
    }

    /// The feed of a source that is not the platform.
    pub fn feed(&self) -> Option<Rc<Feed>> {
        match self {
            EndpointSource::Platform(_) => None,
            EndpointSource::File { feed, .. } | EndpointSource::Etcd(feed) => Some(feed.clone()),
        }
    }

    /// Whether the platform pushes its list to an agent of this proxy.
    pub fn is_pushed(&self, engine: &Engine) -> bool {
        let settings = engine.classes.platform_settings();
        let is_unwatched = settings.get("watched").is_some_and(|watched| watched == "0");
        matches!(self, EndpointSource::Platform(_)) && is_unwatched
    }

    /// The configuration was reloaded, with the platform's list at this address.
    pub fn reload(&self, address: Option<SocketAddr>) {
        match self {
            EndpointSource::Platform(current) => {
                if let Some(address) = address {
                    current.move_to(address);
                }
            }
            EndpointSource::File { file, .. } => file.reload(),
            EndpointSource::Etcd(_) => {}
        }
    }
}

/// Begins to serve once there is a list, or once it did not come in time. From a feed it waits for the first list; beside an
/// old process, for the platform's answer about the list that it was started with; where the platform pushes its list, for
/// that of its agent.
pub async fn enter_service(engine: &Engine, feed: Option<Rc<Feed>>, is_inherited: bool, is_pushed: bool) {
    let max_wait = match (&feed, is_inherited) {
        (Some(_), _) => MAX_WAIT_FOR_FEED,
        (None, true) => MAX_WAIT_BESIDE_OLD_PROCESS,
        (None, false) => MAX_WAIT_FOR_AGENT,
    };
    let has_list = || match &feed {
        Some(feed) => !feed.endpoints().is_empty(),
        None => !(is_inherited || is_pushed) || engine.has_received_list(),
    };
    let end = Instant::now() + max_wait;
    while !has_list() && Instant::now() < end {
        Timer::after(POLL_INTERVAL).await;
    }
    engine.lifecycle.enter(Phase::Serving);
}
