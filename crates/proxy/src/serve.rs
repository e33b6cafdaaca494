//! Runs one proxy in this process: assembles its parts, serves, and handles signals.

use crate::endpoint_source::{EndpointSource, PlatformList, StartContext, enter_service};
use crate::error::StartError;
use crate::listeners::{self, ClientListener};
use crate::operators::Operators;
use crate::reload::{FixedSettings, reload};
use crate::resp_settings::resp_settings;
use crate::shared_ids::IdFiles;
use crate::startup::{StartupFiles, StartupSettings};
use async_signal::{Signal, Signals};
use chalkwalk_admin as admin;
use chalkwalk_capture::{CaptureWriter, Recorder, Retention};
use chalkwalk_config::CaptureConfig;
use chalkwalk_discovery::{StartupConfig, apply_last_known_list};
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::response::HealthCheck;
use chalkwalk_engine::{background, shutdown};
use chalkwalk_http_frontend as http;
use chalkwalk_resp_frontend as resp_frontend;
use slog::{Logger, info, warn};
use smol::stream::StreamExt;
use smol::{Async, Task, Timer};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Installs handlers for the signals that end the process or reload its configuration.
pub fn signals() -> Result<Signals, StartError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)
}

/// Serves until a signal ends the process.
pub fn run(
    files: StartupFiles,
    settings: StartupSettings,
    log: Logger,
    signals: Signals,
    listener: ClientListener,
) -> Result<(), StartError> {
    let sockets = Sockets::open(&settings, listener)?;
    let StartupSettings { config, membership, resp, capture } = settings;
    let StartupConfig {
        listen_address,
        discovery_address,
        last_known_list,
        namespaces,
        engine_config: mut config,
        field_paths,
        ..
    } = config;
    config.max_descriptors = config.max_descriptors.saturating_sub(sockets.reserved_descriptors());
    let capture_writer = open_capture(capture.as_ref(), &config.name)?;
    let record_keys = capture.as_ref().is_some_and(|capture| capture.record_keys);
    let recorder = capture_writer.as_ref().map(|writer| Recorder::new(writer.sink(), record_keys));
    // All servers speak the same protocol, which is also used to check their health.
    let health_check: Box<dyn HealthCheck> = if resp.is_some() {
        Box::new(resp_frontend::PingHealthCheck)
    } else {
        Box::new(http::HttpHealthCheck)
    };
    let engine = Engine::new(config, health_check, log, recorder);
    let fixed = FixedSettings { membership, resp, capture, field_paths };
    let context = StartContext { listen_address, is_inherited: sockets.is_inherited };
    smol::block_on(engine.executor.run(async {
        spawn_background_tasks(&engine);
        let known_version = apply_last_known_list(&engine, &last_known_list);
        let platform = PlatformList { address: discovery_address, known_version };
        let proxy = Proxy::start(engine.clone(), &fixed, platform, namespaces, sockets, context);
        proxy.handle_signals(signals, &files, &fixed).await;
        proxy.shut_down().await;
    }));
    if let Some(writer) = capture_writer {
        writer.close();
    }
    Ok(())
}

/// All listening sockets of the proxy.
struct Sockets {
    client_listener: Async<TcpListener>,
    /// Whether other processes of this proxy accept on the clients' socket too.
    is_inherited: bool,
    resp_listener: Option<Async<TcpListener>>,
    admin_listener: Option<Async<TcpListener>>,
}

impl Sockets {
    fn open(settings: &StartupSettings, listener: ClientListener) -> Result<Sockets, StartError> {
        Ok(Sockets {
            client_listener: Async::new(listener.socket).map_err(StartError::Listen)?,
            is_inherited: listener.is_inherited,
            resp_listener: listeners::bind(settings.resp.as_ref().map(|resp| resp.listen))?,
            admin_listener: listeners::bind(settings.config.admin_address)?,
        })
    }

    /// The number of descriptors that requests can't use: those for operators' calls, and the
    /// second descriptor of an inherited socket.
    fn reserved_descriptors(&self) -> usize {
        let for_operators = if self.admin_listener.is_some() { admin::MAX_DESCRIPTORS } else { 0 };
        for_operators + usize::from(self.is_inherited)
    }
}

fn open_capture(config: Option<&CaptureConfig>, proxy: &str) -> Result<Option<CaptureWriter>, StartError> {
    let Some(config) = config else { return Ok(None) };
    let retention = Retention {
        folder: config.directory.clone(),
        segment_bytes: config.segment_bytes,
        max_bytes: config.max_bytes,
    };
    Ok(Some(CaptureWriter::open(retention, proxy)?))
}

fn spawn_background_tasks(engine: &Rc<Engine>) {
    let heartbeat_engine = engine.clone();
    engine.executor.spawn(async move { heartbeat_engine.clock.run_heartbeat().await }).detach();
    engine.executor.spawn(background::run_timers(engine.clone())).detach();
    engine.executor.spawn(background::run_pool_sweeps(engine.clone())).detach();
}

/// The parts of a running proxy.
struct Proxy {
    engine: Rc<Engine>,
    /// `None` if the servers themselves report their slots over RESP.
    endpoint_source: Option<EndpointSource>,
    frontend: Rc<http::Frontend>,
    operators: Option<Rc<Operators>>,
    accept_task: Task<()>,
}

impl Proxy {
    fn start(
        engine: Rc<Engine>,
        fixed: &FixedSettings,
        platform: PlatformList,
        namespaces: Vec<String>,
        sockets: Sockets,
        context: StartContext,
    ) -> Proxy {
        let membership = fixed.membership.as_ref();
        let discovers_by_resp = fixed.resp.is_some() && membership.is_none() && platform.address.is_none();
        let endpoint_source =
            (!discovers_by_resp).then(|| EndpointSource::follow(&engine, platform, membership, context));
        if let (Some(config), Some(listener)) = (&fixed.resp, sockets.resp_listener) {
            let settings = resp_settings(config, engine.classes.namespace_names().len());
            start_resp_frontend(&engine, settings, discovers_by_resp, listener);
        }
        // Servers that speak RESP can't be called over HTTP. The HTTP frontend then has no
        // namespaces, and only reports whether the proxy is up.
        let namespaces = if fixed.resp.is_some() { Vec::new() } else { namespaces };
        let frontend = http::Frontend::new(engine.clone(), namespaces);
        let shared_ids = context.is_inherited.then(|| share_ids(&engine, &frontend)).flatten();
        let is_pushed = endpoint_source.as_ref().is_some_and(|source| source.is_pushed(&engine));
        let adopts_drains = matches!(&endpoint_source, Some(EndpointSource::Platform(_)));
        let operators =
            sockets.admin_listener.map(|listener| Operators::start(&engine, listener, adopts_drains));
        let feed = endpoint_source.as_ref().and_then(EndpointSource::feed);
        let serving_engine = engine.clone();
        let serving = async move {
            if let Some(shared_ids) = shared_ids {
                shared_ids.wait_until_found().await;
            }
            enter_service(&serving_engine, feed, context.is_inherited, is_pushed).await;
            info!(serving_engine.log, "serving"; "listen" => %context.listen_address);
        };
        let accept_task = accept_clients(
            engine.clone(),
            frontend.clone(),
            sockets.client_listener,
            context.is_inherited,
            serving,
        );
        let accept_task = engine.executor.spawn(accept_task);
        Proxy { engine, endpoint_source, frontend, operators, accept_task }
    }

    /// Reloads the configuration on SIGHUP, until another signal ends the process.
    async fn handle_signals(&self, mut signals: Signals, files: &StartupFiles, fixed: &FixedSettings) {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    reload(&self.engine, &self.frontend, files, self.endpoint_source.as_ref(), fixed);
                }
                Some(Ok(_)) => return,
                None | Some(Err(_)) => _ = Timer::after(Duration::from_secs(1)).await,
            }
        }
    }

    async fn shut_down(self) {
        let signalled_at = self.engine.clock.now();
        // Reads the peers' records now, so that the shutdown knows whether another process has
        // taken over.
        if let Some(operators) = &self.operators {
            operators.sync_with_peers_at_shutdown().await;
        }
        shutdown::run(&self.engine, self.accept_task, signalled_at).await;
        self.engine.stop_capture();
    }
}

/// Shares the ids of requests with the other processes that accept on the same listener, if there is
/// a folder for their files.
fn share_ids(engine: &Rc<Engine>, frontend: &http::Frontend) -> Option<Rc<IdFiles>> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    match IdFiles::start(engine, folder.into()) {
        Ok(files) => {
            frontend.share_ids(files.clone());
            Some(files)
        }
        Err(error) => {
            warn!(engine.log, "ids not shared with other processes"; "fault" => %error);
            None
        }
    }
}

fn start_resp_frontend(
    engine: &Rc<Engine>,
    settings: resp_frontend::Settings,
    discovers_servers: bool,
    listener: Async<TcpListener>,
) {
    let frontend = resp_frontend::Frontend::new(engine, settings, discovers_servers);
    resp_frontend::apply_seed_endpoints(&frontend);
    engine.executor.spawn(resp_frontend::poll_slot_map(frontend.clone())).detach();
    engine.executor.spawn(resp_frontend::accept_clients(frontend, listener)).detach();
}

/// Accepts clients. If another process may be accepting on the same listener, this process starts
/// to accept only once it can serve: `serving` completes when the process has the endpoint list, or
/// when the time limit for receiving the list has passed.
async fn accept_clients(
    engine: Rc<Engine>,
    frontend: Rc<http::Frontend>,
    listener: Async<TcpListener>,
    is_inherited: bool,
    serving: impl Future<Output = ()>,
) {
    if is_inherited {
        serving.await;
        http::accept_connections(frontend, listener).await;
    } else {
        let accept_task = engine.executor.spawn(http::accept_connections(frontend, listener));
        serving.await;
        accept_task.await;
    }
}
