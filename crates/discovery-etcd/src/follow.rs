//! The machine on sockets: one endpoint after the other, a watch on each until it is lost.

use crate::announce::Announcement;
use crate::call::{Link, Stream};
use crate::machine::{Do, Key, Machine, News, PAGE};
use chalkwalk_discovery_feed::Feed;
use chalkwalk_engine::engine::Engine;
use chalkwalk_etcd_wire::{api, path};
use chalkwalk_membership::format::{LEAVING, parse_proxy, read_server};
use chalkwalk_membership::reconcile::Change;
use chalkwalk_sockets::within;
use slog::info;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A watch is asked how far it is so often, and lost if nothing came for twice that and a half: with the looks a second apart it
/// is lost 3 s after its last word, and the next endpoint has 3 s to tell what it missed.
const ASKED: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_millis(2500);
/// Proxies that are counted at most: more than any fleet has.
const MOST_PROXIES: usize = 20_000;

pub struct EtcdSource {
    feed: Rc<Feed>,
    endpoints: Vec<SocketAddr>,
    machine: RefCell<Machine>,
    announcement: Option<Announcement>,
    live: RefCell<BTreeSet<String>>,
    refused: Cell<bool>, // the last session ended with an old list
}

impl EtcdSource {
    pub fn new(
        engine: &Rc<Engine>,
        feed: Rc<Feed>,
        endpoints: Vec<SocketAddr>,
        prefix: &str,
        announcement: Option<Announcement>,
    ) -> Rc<EtcdSource> {
        let machine = RefCell::new(Machine::new(prefix, endpoints.len(), engine.config.seed));
        Rc::new(EtcdSource {
            feed,
            endpoints,
            machine,
            announcement,
            live: RefCell::default(),
            refused: Cell::new(false),
        })
    }

    /// Never ends.
    pub async fn follow(self: Rc<EtcdSource>) {
        let mut next = self.machine.borrow().start();
        loop {
            let Do::Connect { endpoint, after } = next else { return };
            Timer::after(Duration::from(after)).await;
            let addr = self.endpoints[endpoint];
            let begun = self.feed.engine.clock.now();
            let fault = match Link::open(&self.feed.engine.executor, addr).await {
                Ok(link) => self.session(link).await,
                Err(fault) => fault,
            };
            self.feed.lost(&format!("{addr}: {fault}"));
            let refused = self.refused.replace(false);
            let mut machine = self.machine.borrow_mut();
            let took = self.feed.engine.clock.now() - begun;
            next = if refused { machine.refused() } else { machine.failed(took) };
            if let Do::Connect { endpoint, after } = &next {
                let rest_ms = after.as_millis();
                info!(self.feed.engine.log, "etcd call failed"; "endpoint" => %addr, "fault" => fault, "took_ms" => took.as_millis(), "next" => %self.endpoints[*endpoint], "rest_ms" => rest_ms);
            }
        }
    }

    /// All that happens on one connection, until it is lost; says why.
    async fn session(&self, link: Link) -> String {
        let watching = self.watch(link.clone());
        let announcing = async {
            if let Some(own) = &self.announcement
                && let Err(fault) = own.hold(&link).await
            {
                return fault;
            }
            std::future::pending().await
        };
        smol::future::or(watching, announcing).await
    }

    async fn watch(&self, link: Link) -> String {
        let mut stream: Option<Watch> = None;
        let mut next = self.machine.borrow_mut().opened();
        loop {
            let step = match next {
                Do::Range { from, revision } => self.range(&link, from, revision).await,
                Do::Watch { from } => match self.open(&link, from).await {
                    Ok(open) => {
                        stream = Some(open);
                        Ok(Do::Listen)
                    }
                    Err(fault) => Err(fault),
                },
                Do::Listen => match &mut stream {
                    Some(stream) => self.listen(stream).await,
                    None => Err("no watch".into()),
                },
                Do::Connect { .. } => Err("no endpoint".into()),
            };
            match step {
                Ok(then) => next = then,
                Err(fault) => return fault,
            }
        }
    }

    async fn range(&self, link: &Link, from: Vec<u8>, revision: i64) -> Result<Do, String> {
        let (_, end) = self.machine.borrow().range();
        let ask = api::RangeRequest {
            key: from.into(),
            range_end: end.into(),
            limit: PAGE,
            revision,
            // By a majority: an endpoint that is behind does not answer out of its own.
            serializable: false,
        };
        let page = link.ask(path::RANGE, &ask).await?;
        let (news, then) = self.machine.borrow_mut().ranged(page)?;
        self.take(news)?;
        Ok(then)
    }

    async fn open(&self, link: &Link, from: i64) -> Result<Watch, String> {
        let (key, end) = self.machine.borrow().range();
        let create = api::WatchCreateRequest {
            key: key.into(),
            range_end: end.into(),
            start_revision: from,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        let mut stream = link.stream(path::WATCH).await?;
        let create = api::watch_request::RequestUnion::CreateRequest(create);
        stream.say(&api::WatchRequest { request_union: Some(create) }, false)?;
        Ok(Watch { stream, heard: Instant::now(), asked: Instant::now() })
    }

    async fn listen(&self, watch: &mut Watch) -> Result<Do, String> {
        let due = (watch.asked + ASKED).saturating_duration_since(Instant::now());
        match within(due, watch.stream.next::<api::WatchResponse>()).await {
            Some(said) => {
                let said = said?.ok_or("the watch ended")?;
                watch.heard = Instant::now();
                let (news, then) = self.machine.borrow_mut().heard(said)?;
                self.take(news)?;
                Ok(then)
            }
            None => {
                // After a standstill of this process nothing is heard late: what is there was read just now.
                if watch.heard + SILENCE < Instant::now() && watch.asked > watch.heard {
                    return Err("the watch is silent".into());
                }
                let ask = api::watch_request::RequestUnion::ProgressRequest(api::WatchProgressRequest {});
                watch.stream.say(&api::WatchRequest { request_union: Some(ask) }, false)?;
                watch.asked = Instant::now();
                Ok(Do::Listen)
            }
        }
    }

    fn take(&self, news: News) -> Result<(), String> {
        match news {
            News::Nothing => {}
            News::Reached(revision) => {
                self.feed.reached(revision);
                self.count();
            }
            News::Whole { revision, another, keys } => {
                if another {
                    self.feed.another_history();
                }
                self.live.borrow_mut().clear();
                let known = self.feed.endpoints();
                let mut lines = Vec::new();
                for (key, value) in keys {
                    match key {
                        Key::ServerIndex(id) => match read_server(&id, &value, &self.feed.known) {
                            Ok(line) => lines.push(line),
                            Err(fault) => {
                                self.feed.pass_over(&fault);
                                // What can't be read says nothing: it stays as it was.
                                lines.extend(known.iter().find(|l| l.id == id).cloned().map(|l| (l, false)));
                            }
                        },
                        Key::Proxy(name) => self.live(name, Some(&value)),
                    }
                }
                if let Err(fault) = self.feed.whole(revision, lines) {
                    self.refused.set(true);
                    return Err(fault);
                }
                self.machine.borrow_mut().taken(revision);
                self.count();
            }
            News::Changes(all) => {
                let mut changes: Vec<(u64, Change)> = Vec::with_capacity(all.len());
                for (revision, key, value) in all {
                    match (key, value) {
                        (Key::ServerIndex(id), Some(value)) => {
                            match read_server(&id, &value, &self.feed.known) {
                                Ok((line, back)) => changes.push((revision, Change::Put { line, back })),
                                Err(fault) => self.feed.pass_over(&fault),
                            }
                        }
                        (Key::ServerIndex(id), None) => changes.push((revision, Change::Gone(id))),
                        (Key::Proxy(name), value) => self.live(name, value.as_deref()),
                    }
                }
                if !changes.is_empty() {
                    self.feed.changes(changes);
                }
                self.count();
            }
        }
        Ok(())
    }

    /// A proxy's key was written, or is gone.
    fn live(&self, name: String, value: Option<&[u8]>) {
        let mut live = self.live.borrow_mut();
        match value.map(parse_proxy) {
            Some(Ok(instance)) if instance.phase != LEAVING && live.len() < MOST_PROXIES => {
                _ = live.insert(name)
            }
            Some(Err(fault)) => self.feed.pass_over(&format!("proxy {name}: {fault}")),
            _ => _ = live.remove(&name),
        }
    }

    fn count(&self) {
        if self.announcement.is_some() {
            self.feed.counted((self.live.borrow().len() as u64).max(1));
        }
    }
}

struct Watch {
    stream: Stream,
    heard: Instant,
    asked: Instant,
}
