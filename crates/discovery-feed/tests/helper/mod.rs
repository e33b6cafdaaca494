//! An engine without frontends that logs to memory, and a function that waits for a condition.

use chalkwalk_engine::config::EngineConfig;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::response::{BoxFuture, HealthCheck};
use chalkwalk_limits::PlatformLimits;
use chalkwalk_time::Span;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use smol::{Async, Timer};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The messages of the events that were logged.
#[derive(Clone, Default)]
pub struct Events(Arc<Mutex<Vec<String>>>);

impl Events {
    pub fn contains(&self, event: &str) -> bool {
        self.0.lock().unwrap().iter().any(|logged| logged == event)
    }

    pub fn count(&self, event: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|logged| *logged == event).count()
    }
}

impl Drain for Events {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

struct NoHealthCheck;

impl HealthCheck for NoHealthCheck {
    fn check<'a>(&'a self, _: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async { None })
    }
}

/// An engine with the zone `north`, and the events that it logs.
pub fn engine() -> (Rc<Engine>, Events) {
    let config = EngineConfig {
        name: "p".into(),
        seed: 1,
        settings: BTreeMap::new(),
        zones: vec!["north".into()],
        kinds: Vec::new(),
        platform_limits: PlatformLimits::default(),
        operator_limits: None,
        connect_timeout: Cell::new(Duration::from_secs(1)),
        idle_timeout: Duration::from_secs(1),
        drain_grace: Cell::new(Span::from_secs(1)),
        max_descriptors: 64,
        memory_limit_bytes: 1 << 20,
    };
    let events = Events::default();
    let log = Logger::root(events.clone(), o!());
    (Engine::new(config, Box::new(NoHealthCheck), log, None), events)
}

/// Waits until the condition holds, and panics after ten seconds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "not within ten seconds: {what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}
