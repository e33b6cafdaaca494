//! One proxy from the first phase to the last: what it is made of, and the signals it hears.

use crate::given::{Given, Read};
use crate::operators::Operators;
use crate::sources::List;
use async_signal::{Signal, Signals};
use chalkwalk_admin as console;
use chalkwalk_capture::{CaptureWriter, Recorder, Retention};
use chalkwalk_config::{CaptureConfig, MembershipConfig, RespConfig};
use chalkwalk_discovery::{self as platform, FieldPaths, StartupConfig};
use chalkwalk_discovery_feed::Feed;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::response::HealthCheck;
use chalkwalk_engine::{api, background, shutdown};
use chalkwalk_http_frontend as http;
use chalkwalk_resp_frontend as resp_frontend;
use slog::{Logger, info, warn};
use smol::stream::StreamExt;
use smol::{Async, Timer};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The signals that are heard from now on.
pub fn signals() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("cannot hear signals: {e}"))
}

/// Serves until it is told to end. `handed`: the listener is the platform's, and other processes of this proxy have it too.
pub fn run(
    given: Given,
    read: Read,
    log: Logger,
    mut signals: Signals,
    (listener, handed): (TcpListener, bool),
) -> Result<(), String> {
    let Read { rules, membership, resp, capture } = read;
    let StartupConfig {
        listen,
        admin_address: console,
        list_address: list,
        last_known_list: known,
        namespaces,
        engine: mut rules,
        fields: shape,
    } = rules;
    // Places that no request can take.
    let own = if console.is_some() { console::MAX_DESCRIPTORS } else { 0 } + usize::from(handed);
    rules.descriptors = rules.descriptors.saturating_sub(own);
    let listener = Async::new(listener).map_err(|e| format!("cannot listen: {e}"))?;
    let resp_listener = resp.as_ref().map(|r| {
        let bound = TcpListener::bind(r.listen);
        bound.and_then(Async::new).map_err(|e| format!("cannot listen on {}: {e}", r.listen))
    });
    let resp_listener = resp_listener.transpose()?;
    let console_listener = console.map(|at| {
        let bound = TcpListener::bind(at).and_then(Async::new);
        bound.map_err(|e| format!("cannot listen on {at}: {e}"))
    });
    let console_listener = console_listener.transpose()?;
    // Servers speak one protocol, by which they are probed.
    let probe: Box<dyn HealthCheck> =
        if resp.is_some() { Box::new(resp_frontend::Ping) } else { Box::new(http::AliveCheck) };
    let writer = capture.as_ref().map(|c| {
        let keep =
            Retention { folder: c.folder.clone(), segment_bytes: c.segment_bytes, max_bytes: c.max_bytes };
        CaptureWriter::open(keep, &rules.name).map(|writer| (writer, c.keys))
    });
    let writer = writer.transpose().map_err(|e| format!("cannot capture: {e}"))?;
    let recorder = writer.as_ref().map(|(writer, keys)| Recorder::new(writer.sink(), *keys));
    let engine = Engine::new(rules, probe, log, recorder);
    smol::block_on(engine.executor.run(async {
        let beating = engine.clone();
        engine.executor.spawn(async move { beating.clock.run_heartbeat().await }).detach();
        engine.executor.spawn(background::run_timers(engine.clone())).detach();
        engine.executor.spawn(background::run_pool_sweeps(engine.clone())).detach();
        let known = platform::apply_last_known_list(&engine, &known);
        let of_servers = resp.is_some() && membership.is_none() && list.is_none();
        let list = if of_servers {
            None
        } else {
            Some(List::follow(&engine, (list, known), membership.as_ref(), (listen, handed)))
        };
        if let (Some(resp), Some(resp_listener)) = (&resp, resp_listener) {
            let door = resp_frontend::Frontend::new(
                &engine,
                settings(resp, engine.classes.namespace_names().len()),
                of_servers,
            );
            resp_frontend::list_seeds(&door);
            engine.executor.spawn(resp_frontend::follow_slot_map(door.clone())).detach();
            engine.executor.spawn(resp_frontend::accept_clients(door, resp_listener)).detach();
        }
        // Servers that speak RESP can't be asked over HTTP: there its door has no namespace, and only says how the proxy is.
        let namespaces = if resp.is_some() { Vec::new() } else { namespaces };
        let door = http::Frontend::new(engine.clone(), namespaces);
        let feed = list.as_ref().and_then(List::feed);
        let pushed = matches!(list, Some(List::Platform(_)))
            && engine.classes.platform_settings().get("watched").is_some_and(|watched| watched == "0");
        let operators = console_listener.map(|listener| Operators::start(&engine, listener));
        let accepting = engine.executor.spawn(open_doors(
            engine.clone(),
            door.clone(),
            listener,
            feed,
            (handed, pushed, listen),
        ));
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    let was = Was { membership: &membership, resp: &resp, capture: &capture, shape: &shape };
                    reread(&engine, &door, &given, list.as_ref(), was);
                }
                Some(Ok(_)) => break,
                None | Some(Err(_)) => _ = Timer::after(Duration::from_secs(1)).await,
            }
        }
        let told = engine.clock.now();
        // Whether another process has taken over is known as of this moment.
        if let Some(operators) = &operators {
            operators.read_soon().await;
        }
        shutdown::run(&engine, accepting, told).await;
        engine.stop_capture();
    }));
    if let Some((writer, _)) = writer {
        writer.close();
    }
    Ok(())
}

/// Takes clients. Where another process may be taking them, not before this one can serve them: it has heard the list, or has
/// waited for it for as long as it may.
async fn open_doors(
    engine: Rc<Engine>,
    door: Rc<http::Frontend>,
    listener: Async<TcpListener>,
    feed: Option<Rc<Feed>>,
    (handed, pushed, listen): (bool, bool, SocketAddr),
) {
    let serves = async {
        List::serve(&engine, feed, (handed, pushed)).await;
        info!(engine.log, "serving"; "listen" => %listen);
    };
    if handed {
        serves.await;
        http::accept(door, listener).await;
    } else {
        let accepting = engine.executor.spawn(http::accept(door, listener));
        serves.await;
        accepting.await;
    }
}

/// What was said at the start, and takes a restart to be changed.
struct Was<'a> {
    membership: &'a Option<MembershipConfig>,
    resp: &'a Option<RespConfig>,
    capture: &'a Option<CaptureConfig>,
    shape: &'a FieldPaths,
}

/// What indices at work stand for, by the platform's names.
const SETTLED: [&str; 7] = ["zones", "zone", "kinds", "origin kind", "through", "watched", "tenants"];

/// Why what was read can't be taken without a restart, if it can't.
fn needs_restart(engine: &Engine, read: &Read, was: &Was) -> Option<String> {
    let Read { rules, membership, resp, capture } = read;
    if let Some(field) = was.shape.first_missing_in(&rules.fields) {
        return Some(format!("field {field}: missing, and was there at the start"));
    }
    if membership != was.membership || resp != was.resp || capture != was.capture {
        return Some("its membership, RESP door or capture is another, which needs a restart".into());
    }
    let said = engine.classes.platform_settings();
    let other = SETTLED.iter().find(|name| said.get(**name) != rules.engine.settings.get(**name));
    if let Some(name) = other {
        return Some(format!("its {name} are others, which needs a restart"));
    }
    if rules.engine.zones != engine.config.zones || rules.engine.kinds != engine.config.kinds {
        return Some("its zones or kinds are others, which needs a restart".into());
    }
    // The RESP door knows namespaces by their places.
    let renamed = rules.namespaces != engine.classes.namespace_names();
    (resp.is_some() && renamed).then(|| "its namespaces are others, which needs a restart with RESP".into())
}

/// Reads both files again, and takes both or neither: settings of the platform, limits of the operator, where the list is. All
/// else stays as it was at the start. What the configuration knows of servers is as old as the file, and what the list has
/// told since is newer.
fn reread(engine: &Rc<Engine>, door: &http::Frontend, given: &Given, list: Option<&List>, was: Was) {
    let read = given.read().and_then(|read| match needs_restart(engine, &read, &was) {
        Some(fault) => Err(fault),
        None => Ok(read),
    });
    match read {
        Ok(Read { rules, resp, .. }) => {
            let at = rules.list_address.map_or_else(|| "-".to_string(), |at| at.to_string());
            let new = rules.engine.settings != engine.classes.platform_settings();
            info!(engine.log, "configuration read again"; "list" => at, "settings" => if new { "new" } else { "as before" });
            if let Some(list) = list {
                list.read_again(rules.list_address);
            }
            if new {
                if resp.is_none() {
                    door.set_namespaces(rules.namespaces);
                }
                api::apply_settings(engine, rules.engine);
            } else if given.operator.is_some() {
                api::set_limits(engine, rules.engine.limits);
            }
        }
        // A line for each fault, as they are read one by one.
        Err(faults) => {
            for fault in faults.lines() {
                warn!(engine.log, "new configuration passed over"; "fault" => fault);
            }
        }
    }
}

/// The RESP door's settings, as the door has them.
fn settings(resp: &RespConfig, namespaces: usize) -> resp_frontend::Settings {
    let prefix = |key: &chalkwalk_config::KeyPrefix| resp_frontend::PrefixRule {
        prefix: key.prefix.clone(),
        read_class: key.namespace,
        write_class: key.write_namespace,
    };
    let instance = |proxy: &chalkwalk_config::ProxyInstance| resp_frontend::Instance {
        name: proxy.name.clone(),
        addr: proxy.address,
        slots: proxy.slots.into(),
    };
    let user = |user: &chalkwalk_config::RespUser| resp_frontend::User {
        name: user.name.clone(),
        secret_sha256: user.secret,
    };
    resp_frontend::Settings {
        listen: resp.listen,
        seeds: resp.seeds.clone(),
        read_class: resp.namespace,
        write_class: resp.write_namespace,
        prefixes: resp.prefixes.iter().map(prefix).collect(),
        stale_reads: (0..namespaces).map(|ns| resp.stale_reads.contains(&ns)).collect(),
        split_multi_slot: resp.split,
        instances: resp.instances.iter().map(instance).collect(),
        users: resp.users.iter().map(user).collect(),
    }
}
