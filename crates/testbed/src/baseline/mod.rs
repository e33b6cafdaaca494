//! Baseline proxies: simple proxies of the testbed to compare a measured proxy with. They speak the
//! platform's protocol and make almost no routing decisions. Each can break one rule on purpose, so
//! that a test can show that the oracle detects it.

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

/// How a baseline proxy chooses a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Passes each request to the server chosen by its key's hash and does not retry; only a miss
    /// is followed by an attempt at the origin. This is the lowest possible cost per request.
    Relay,
    /// A random ready server in the proxy's zone; another random one after a failure.
    Random,
    /// Consistent hashing on a plain ring, without a load bound or any other deviation from the
    /// ring's order; the next server on
    /// the ring after a failure.
    Ring,
}

/// Which rule a baseline proxy breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokenRule {
    /// No rule.
    NoRule,
    /// Closes the connection instead of answering, for some of the requests.
    DropAnswer,
    /// Answers some of the requests twice.
    AnswerTwice,
    /// Sends a tagged request to another server after answering it.
    ResendAnswered,
    /// Keeps sending requests to draining servers.
    IgnoreDrains,
    /// Answers some of the requests with the value of another request.
    SwapValues,
    /// Delays the answers that refuse a request.
    DelayRefusals,
}

impl Strategy {
    /// The strategy with that name on the command line.
    pub fn from_name(name: &str) -> Option<Strategy> {
        Some(match name {
            "relay" => Strategy::Relay,
            "random" => Strategy::Random,
            "ring" => Strategy::Ring,
            _ => return None,
        })
    }
}

impl BrokenRule {
    /// The rule that the argument of `--break` names.
    pub fn from_name(name: &str) -> Option<BrokenRule> {
        Some(match name {
            "lose" => BrokenRule::DropAnswer,
            "twice" => BrokenRule::AnswerTwice,
            "resend" => BrokenRule::ResendAnswered,
            "drained" => BrokenRule::IgnoreDrains,
            "swap" => BrokenRule::SwapValues,
            "hold" => BrokenRule::DelayRefusals,
            _ => return None,
        })
    }
}

/// Why a baseline proxy could not run.
#[derive(Debug, thiserror::Error)]
pub enum BaselineError {
    /// The configuration file could not be read.
    #[error("cannot read the configuration file {path}: {error}")]
    ReadConfig {
        /// Path of the configuration file.
        path: String,
        /// The cause.
        error: io::Error,
    },
    /// The configuration file is not valid JSON.
    #[error("configuration file {path} is not valid JSON: {error}")]
    InvalidJson {
        /// Path of the configuration file.
        path: String,
        /// The cause.
        error: serde_json::Error,
    },
    /// A field of the configuration, by name, is missing or is not an IP address and port.
    #[error("configuration field {0} is missing or is not an IP address and port")]
    InvalidAddress(&'static str),
    /// The proxy cannot listen on its address.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The configured listen address.
        addr: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// Any other I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How long the proxy still accepts connections after SIGTERM.
const ACCEPT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// How long requests in flight may take to end after `ACCEPT_TIME_AFTER_SIGTERM` has passed.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often the proxy checks whether requests are still in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The listen backlog: large, as all clients connect at once after a restart.
const LISTEN_BACKLOG: i32 = 1024;

/// Runs one proxy until it gets SIGTERM or SIGINT, and drains it.
pub fn run(strategy: Strategy, broken_rule: BrokenRule, config: &str) -> Result<(), BaselineError> {
    let config = read_config(config)?;
    let proxy = Rc::new(new_proxy(strategy, broken_rule, &config)?);
    proxy.apply_list(&config["known"]);
    let listener = listen(address_field(&config, "listen")?)?;
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
        .map_err(|error| BaselineError::ReadConfig { path: path.to_string(), error })?;
    serde_json::from_str(&text).map_err(|error| BaselineError::InvalidJson { path: path.to_string(), error })
}

fn address_field(config: &Value, name: &'static str) -> Result<SocketAddr, BaselineError> {
    let text = config.get(name).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).ok_or(BaselineError::InvalidAddress(name))
}

fn listen(addr: SocketAddr) -> Result<Async<TcpListener>, BaselineError> {
    let listener = TcpListener::bind(addr).map_err(|error| BaselineError::Listen { addr, error })?;
    _ = socket2::SockRef::from(&listener).listen(LISTEN_BACKLOG);
    Ok(Async::new(listener)?)
}

fn new_proxy(strategy: Strategy, broken_rule: BrokenRule, config: &Value) -> Result<Proxy, BaselineError> {
    let settings = &config["settings"];
    let classes = settings["namespaces"].as_array().cloned().unwrap_or_default();
    let is_replayable = |class: &&Value| class["idempotency"] == "free";
    let name = |class: &Value| class["name"].as_str().unwrap_or("").to_string();
    let seed = u64::from_str_radix(config["seed"].as_str().unwrap_or("1"), 16).unwrap_or(1);
    Ok(Proxy {
        strategy,
        broken_rule,
        max_attempts: settings["ceilings"]["mostShots"].as_u64().unwrap_or(1) as usize,
        replayable_classes: classes.iter().filter(is_replayable).map(name).collect(),
        list_addr: address_field(config, "discovery")?,
        endpoints: RefCell::new(Endpoints::new(settings["az"].as_str().unwrap_or(""))),
        pool: RefCell::default(),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        request_count: Cell::new(0),
        last_value: RefCell::default(),
        accepting: Cell::new(true),
        in_flight: Cell::new(0),
    })
}

impl Proxy {
    /// Reports not ready but keeps serving, until the requests in flight have ended or timed out.
    async fn drain(&self) {
        self.accepting.set(false);
        Timer::after(ACCEPT_TIME_AFTER_SIGTERM).await;
        let deadline = Instant::now() + IN_FLIGHT_TIMEOUT;
        while self.in_flight.get() > 0 && Instant::now() < deadline {
            Timer::after(IN_FLIGHT_POLL_INTERVAL).await;
        }
    }
}
