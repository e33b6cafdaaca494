//! The source of the endpoint list: the platform, or a source that the operator's file names.

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

/// How long a new proxy waits for its first list before it serves without one. A proxy without a
/// list should get no clients, but rejecting a client and telling it when to retry is better than
/// not answering it at all.
const MAX_WAIT_FOR_FEED: Duration = Duration::from_secs(5);

/// How long a new process waits for the platform's list while the old process still serves. The
/// platform gives the new process 6 s to become ready.
const MAX_WAIT_DURING_UPGRADE: Duration = Duration::from_secs(4);

/// How long a proxy waits for the first list from its agent, where the platform pushes lists to
/// agents. The proxy is expected to know its agent's list from the start. An agent that has a list
/// answers within milliseconds; one that hasn't answered after this time has no list, for example
/// because the list service is down.
const MAX_WAIT_FOR_AGENT: Duration = Duration::from_millis(300);

/// How often the wait for the list checks whether the list has arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How this process was started.
#[derive(Clone, Copy)]
pub struct StartContext {
    /// The address that clients connect to.
    pub listen_address: SocketAddr,
    /// Whether the clients' listener is inherited. If so, another process of this proxy may be
    /// serving until this process is ready.
    pub is_inherited: bool,
}

/// The platform's endpoint list, as the configuration describes it.
pub struct PlatformList {
    /// The address at which the list is polled.
    pub address: Option<SocketAddr>,
    /// The version of the list that the configuration came with.
    pub known_version: Option<u64>,
}

/// The source of the endpoint list.
pub enum EndpointSource {
    Platform(Rc<DiscoveryAddress>),
    File { file: Rc<FileSource>, feed: Rc<Feed> },
    Etcd(Rc<Feed>),
}

impl EndpointSource {
    /// Starts to follow the list.
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
            MembershipSource::File(_) => SourceKind::Unordered,
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
        // Without a membership, a configuration that lacks the list's address is rejected at
        // startup.
        let address = DiscoveryAddress::new(list.address.unwrap_or(context.listen_address));
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
        engine.executor.spawn(file.clone().run()).detach();
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
            let record =
                ProxyRecord { zone, phase: SERVING.into(), listen: context.listen_address.to_string() };
            Announcement::new(engine, &config.prefix, record, config.lease_s)
        });
        let endpoints = config.endpoints.clone();
        let source = EtcdSource::new(engine, feed.clone(), endpoints, &config.prefix, announcement);
        engine.executor.spawn(source.run()).detach();
        EndpointSource::Etcd(feed)
    }

    /// The feed, if the source isn't the platform.
    pub fn feed(&self) -> Option<Rc<Feed>> {
        match self {
            EndpointSource::Platform(_) => None,
            EndpointSource::File { feed, .. } | EndpointSource::Etcd(feed) => Some(feed.clone()),
        }
    }

    /// Whether the platform pushes its list to an agent of this proxy, instead of the proxy polling
    /// it.
    pub fn is_pushed(&self, engine: &Engine) -> bool {
        matches!(self, EndpointSource::Platform(_)) && engine.classes.is_list_pushed()
    }

    /// Applies a reloaded configuration. `address` is the address of the platform's list in it.
    pub fn reload(&self, address: Option<SocketAddr>) {
        match self {
            EndpointSource::Platform(current) => {
                if let Some(address) = address {
                    current.set_address(address);
                }
            }
            EndpointSource::File { file, .. } => file.reload(),
            EndpointSource::Etcd(_) => {}
        }
    }
}

/// Enters the serving phase once the endpoint list has arrived or the wait for it has timed out.
/// With a feed, the process waits for the feed's first list. During an upgrade, it waits for the
/// platform's answer about the list that it was started with; where the platform pushes its list,
/// for the agent's list. Otherwise it does not wait.
pub async fn enter_service(engine: &Engine, feed: Option<Rc<Feed>>, is_inherited: bool, is_pushed: bool) {
    let max_wait = match (&feed, is_inherited) {
        (Some(_), _) => MAX_WAIT_FOR_FEED,
        (None, true) => MAX_WAIT_DURING_UPGRADE,
        (None, false) => MAX_WAIT_FOR_AGENT,
    };
    let has_list = || match &feed {
        Some(feed) => !feed.endpoints().is_empty(),
        None => !(is_inherited || is_pushed) || engine.has_received_list(),
    };
    let deadline = Instant::now() + max_wait;
    while !has_list() && Instant::now() < deadline {
        Timer::after(POLL_INTERVAL).await;
    }
    engine.lifecycle.enter(Phase::Serving);
}
