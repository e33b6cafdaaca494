//! Proxies of the testbed's own, to be measured beside: they speak the platform's wire and decide next to nothing. Each can break
//! one rule on purpose, so that it can be shown that the judge sees it.

mod endpoints;
mod proxy;
mod serve;

use crate::wire::Connection;
use endpoints::Endpoints;
use proxy::Proxy;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::Value;
use smol::future::or;
use smol::{Async, LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a baseline chooses a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Passes a request to the server that its key's number names, and tries nothing else: the floor of cost.
    Relay,
    /// Any ready server of its own zone, at random; another one after a failure.
    Random,
    /// The plain ring, without bound or exceptions; the next one after a failure.
    Ring,
}

/// Which rule a baseline breaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokenRule {
    /// None.
    Nothing,
    /// Closes the connection instead of answering, now and then.
    Lose,
    /// Answers twice, now and then.
    Twice,
    /// Sends a tagged request to another server after it was answered.
    Resend,
    /// Ignores drains.
    Drained,
    /// Answers with the value made for another.
    Swap,
    /// Holds refusals back.
    Hold,
}

impl Strategy {
    /// By its name on the command line.
    pub fn named(name: &str) -> Option<Strategy> {
        Some(match name {
            "relay" => Strategy::Relay,
            "random" => Strategy::Random,
            "ring" => Strategy::Ring,
            _ => return None,
        })
    }
}

impl BrokenRule {
    /// By its name on the command line.
    pub fn named(name: &str) -> Option<BrokenRule> {
        Some(match name {
            "lose" => BrokenRule::Lose,
            "twice" => BrokenRule::Twice,
            "resend" => BrokenRule::Resend,
            "drained" => BrokenRule::Drained,
            "swap" => BrokenRule::Swap,
            "hold" => BrokenRule::Hold,
            _ => return None,
        })
    }
}

/// Why a baseline could not run.
#[derive(Debug, thiserror::Error)]
pub enum BaselineError {
    /// Its configuration could not be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The configuration's path.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// Its configuration is no JSON.
    #[error("{path} is no JSON: {error}")]
    NoJson {
        /// The configuration's path.
        path: String,
        /// Why.
        error: serde_json::Error,
    },
    /// A field that has to be an address.
    #[error("field {0}: expected an address")]
    NoAddress(&'static str),
    /// It cannot listen.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// Where.
        addr: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// Anything else that the system refuses.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// After SIGTERM connections are still accepted for so long, ...
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// ... and open requests have so long to end.
const END_TIME: Duration = Duration::from_millis(2500);
/// How often it is looked whether they have.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// All clients connect at once after a restart.
const BACKLOG: i32 = 1024;

/// Runs one proxy until it gets a signal to end.
pub fn run(strategy: Strategy, broken: BrokenRule, config: &str) -> Result<(), BaselineError> {
    let config = read_config(config)?;
    let proxy = Rc::new(configured(strategy, broken, &config)?);
    proxy.apply_list(&config["known"]);
    let listener = listen(address(&config, "listen")?)?;
    let mut signals = async_signal::Signals::new([async_signal::Signal::Term, async_signal::Signal::Int])?;
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        executor.spawn(proxy.clone().follow_list()).detach();
        let accepting = async {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    executor.spawn(proxy.clone().serve(Connection::new(stream))).detach();
                }
            }
        };
        let terminated = async {
            use smol::stream::StreamExt;
            _ = signals.next().await;
            proxy.drain().await;
        };
        or(accepting, terminated).await;
    }));
    Ok(())
}

fn read_config(path: &str) -> Result<Value, BaselineError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| BaselineError::Unreadable { path: path.to_string(), error })?;
    serde_json::from_str(&text).map_err(|error| BaselineError::NoJson { path: path.to_string(), error })
}

fn address(config: &Value, name: &'static str) -> Result<SocketAddr, BaselineError> {
    let text = config.get(name).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).ok_or(BaselineError::NoAddress(name))
}

fn listen(addr: SocketAddr) -> Result<Async<TcpListener>, BaselineError> {
    let listener = TcpListener::bind(addr).map_err(|error| BaselineError::Listen { addr, error })?;
    _ = socket2::SockRef::from(&listener).listen(BACKLOG);
    Ok(Async::new(listener)?)
}

fn configured(strategy: Strategy, broken: BrokenRule, config: &Value) -> Result<Proxy, BaselineError> {
    let settings = &config["settings"];
    let classes = settings["namespaces"].as_array().cloned().unwrap_or_default();
    let is_replayable = |class: &&Value| class["idempotency"] == "free";
    let name = |class: &Value| class["name"].as_str().unwrap_or("").to_string();
    let seed = u64::from_str_radix(config["seed"].as_str().unwrap_or("1"), 16).unwrap_or(1);
    Ok(Proxy {
        strategy,
        broken,
        max_attempts: settings["ceilings"]["mostShots"].as_u64().unwrap_or(1) as usize,
        replayable: classes.iter().filter(is_replayable).map(name).collect(),
        list: address(config, "discovery")?,
        endpoints: RefCell::new(Endpoints::new(settings["az"].as_str().unwrap_or(""))),
        pool: RefCell::default(),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        count: Cell::new(0),
        last: RefCell::default(),
        accepting: Cell::new(true),
        in_flight: Cell::new(0),
    })
}

impl Proxy {
    /// Goes on for a while without being up, until what is open has ended.
    async fn drain(&self) {
        self.accepting.set(false);
        Timer::after(DRAIN_TIME).await;
        let end = Instant::now() + END_TIME;
        while self.in_flight.get() > 0 && Instant::now() < end {
            Timer::after(LOOK_AGAIN).await;
        }
    }
}
