//! The platform's list: which servers there are. Starts from what was known, then the whole list and a watch. Single calls are
//! `call`'s, their times `terms`'.

use crate::call::{Call, Fault, Link, Said};
use crate::{address, terms};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_balancer::admission::Violation;
use chalkwalk_balancer::discovery::{OLDER_HEARD, called_in_time};
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::servers::ListedEndpoint;
use chalkwalk_settings::fields::{
    FieldResult, JsonObject, flag, integer, integer_or, list, object, size_hundredths, text, text_or,
};
use chalkwalk_sockets::wait_until;
use chalkwalk_time::{Span, Timestamp};
use serde_json::Value;
use slog::{info, warn};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::{FutureExt, pending};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// So many older answers in a row are the truth: the list has started again.
const OLD_ANSWERS: u32 = 3;
/// From then on what it says is taken, but no server is ready by it that was told to be off: it may have started from
/// an old state. After so long it is believed in that as well, longer than a deploy takes.
const DOUBTED: Span = Span::from_secs(60);

#[derive(Default)]
struct Held {
    version: u64,
    /// The list is as it was told at that version, and what changed since is all that is asked for: a whole list costs
    /// the service several times as much, and after a trouble all proxies ask at once.
    since: bool,
    older: u32,
    highest: u64,
    doubted: Option<Timestamp>, // since when its versions are below the highest
    /// The next call is answered at once, though nothing is newer: a process that takes over serves once it knows so.
    at_once: bool,
    /// The last answer made no sense.
    odd: bool,
    /// Calls so far; each has its number in the log.
    calls: u64,
    /// When the last of them began, and how long it could wait for news.
    called_at: Option<(Instant, Duration)>,
    /// When an answer was last taken.
    heard_at: Option<Instant>,
}

/// A state that this proxy does not know is none in which a server is to be asked.
fn status(state: &str) -> EndpointStatus {
    match state {
        "SERVING" => EndpointStatus::Ready,
        "DELETED" => EndpointStatus::Gone,
        _ => EndpointStatus::Draining,
    }
}

fn line(line: &Value) -> FieldResult<ListedEndpoint> {
    let e = object(line, "field servers")?;
    let word = |name: &str| text(e, name).map(str::to_string);
    Ok(ListedEndpoint {
        id: word("id")?,
        addr: address(text(e, "addr")?, "field addr")?,
        zone: word("zone")?,
        kind: text_or(e, "kind", "")?.to_string(),
        cell: integer_or(e, "cell", 0)?,
        size: size_hundredths(e, "weight")?,
        status: status(text(e, "state")?),
        born: Timestamp::ZERO + Span::from_millis(integer_or(e, "started_ms", 0)?),
    })
}

/// Where the list is asked from, which may move while the proxy serves.
pub struct DiscoveryAddress {
    at: Cell<SocketAddr>,
    moves: Sender<()>,
    moved: Receiver<()>,
}

impl DiscoveryAddress {
    pub fn new(at: SocketAddr) -> Rc<DiscoveryAddress> {
        let (moves, moved) = bounded(1);
        Rc::new(DiscoveryAddress { at: Cell::new(at), moves, moved })
    }

    pub fn address(&self) -> SocketAddr {
        self.at.get()
    }

    /// The list is elsewhere from now on, and asked at once.
    pub fn move_to(&self, at: SocketAddr) {
        if self.at.replace(at) != at {
            _ = self.moves.try_send(());
        }
    }
}

/// Tells the engine the list as this proxy last had it, and returns its version, if it names any server.
pub fn apply_last_known_list(engine: &Rc<Engine>, known: &Value) -> Option<u64> {
    let said = known.as_object()?;
    match take(engine, said, true, false).and_then(|()| integer(said, "version")) {
        Ok(version) => Some(version).filter(|_| list(said, "servers").is_ok_and(|lines| !lines.is_empty())),
        Err(fault) => {
            warn!(engine.log, "known list passed over"; "fault" => %fault);
            None
        }
    }
}

/// Tells the engine what a list says. Of one that is wrong anywhere, only what it says is off.
fn take(engine: &Rc<Engine>, said: &JsonObject, whole_list: bool, doubted: bool) -> FieldResult<()> {
    let lines: Vec<FieldResult<ListedEndpoint>> = list(said, "servers")?.iter().map(line).collect();
    if lines.iter().any(FieldResult::is_err) {
        take_off(engine, lines.iter().flatten());
    }
    let lines = lines.into_iter().collect::<FieldResult<Vec<_>>>()?;
    api::apply_endpoint_list(engine, &lines, whole_list, doubted);
    if engine.requests.borrow().no_server_ready() {
        warn!(engine.log, "no cache in service by the list"; "lines" => lines.len());
    }
    Ok(())
}

/// Takes of a list that is not believed otherwise what it says is draining or gone, where that is news: it was told, and the
/// next list that is believed has the last word. Not of a server that has started since.
fn take_off<'a>(engine: &Rc<Engine>, lines: impl Iterator<Item = &'a ListedEndpoint>) {
    let news = |line: &&ListedEndpoint| {
        line.status != EndpointStatus::Ready && engine.requests.borrow().servers.is_ready(line)
    };
    let off: Vec<ListedEndpoint> = lines.filter(news).cloned().collect();
    if !off.is_empty() {
        api::apply_endpoint_list(engine, &off, false, false);
    }
}

/// Watches whenever the balancer asks for it, until a call fails; the balancer hears of that and asks again. `known`: the
/// version of the list that was known at the start, from which the first call goes on. `at_once`: that one waits for no news.
pub async fn watch_endpoint_list(
    engine: Rc<Engine>,
    source: Rc<DiscoveryAddress>,
    known: Option<u64>,
    at_once: bool,
) {
    let version = known.unwrap_or(0);
    let mut held = Held { version, since: known.is_some(), highest: version, at_once, ..Held::default() };
    let mut chance = fastrand::Rng::with_seed(engine.config.seed);
    let mut first = true;
    loop {
        let wanted = async {
            engine.watch_requested().await;
            true
        };
        let moved = async { source.moved.recv().await.is_err() };
        // Without any list there is nothing to serve from, nor to wait for.
        let nothing = std::mem::take(&mut first) && known.is_none();
        if !(nothing || wanted.or(moved).await) {
            held.moved();
        }
        let lost = watch(&engine, &source, &mut held, &mut chance).await;
        engine.clear_watch_request();
        api::discovery_call_failed(&engine, lost.took);
        let unheard = held.heard_at.map(|at| at.elapsed().as_millis() as u64);
        warn!(engine.log, "discovery call failed";
            "call" => held.calls, "fault" => lost.fault, "took_ms" => lost.took.as_millis(),
            "version" => held.version, "unheard_ms" => unheard);
    }
}

/// Why calls are not made one after the other any more.
struct Lost {
    fault: String,
    took: Span,
}

impl Lost {
    fn by(call: &Call, fault: String) -> Lost {
        Lost { fault, took: call.took() }
    }
}

enum Came {
    Said(Said),
    /// Of the call that seemed silent, or of the one to the old address.
    Older(Said),
    Silent,
    Moved,
}

/// Calls again at once after each answer, until one fails, which it returns. A watch goes on for 200 ms after an answer, and
/// what changes in that time counts as told: whoever rested from it would send to servers that he was told are draining. So it
/// is after an answer that makes no sense as well, once in a row: then all of the list is asked for.
///
/// A call that seems silent is made anew, and heard until the new one is answered: it may have been slow. So is the one to the old
/// address where discovery has moved: what was about to be written there counts as told. A list that has moved is asked for all
/// it has, at once.
async fn watch(
    engine: &Rc<Engine>,
    source: &DiscoveryAddress,
    held: &mut Held,
    chance: &mut fastrand::Rng,
) -> Lost {
    let link = Link::default();
    let mut older: Option<Call> = None;
    let mut older_elsewhere = false;
    let mut newer = held.begin(engine, source, &link, chance);
    loop {
        let silent_at = newer.silent_at();
        let came = {
            let said = async { Came::Said((&mut newer.answer).await) };
            let of_older = async {
                match &mut older {
                    Some(call) => Came::Older((&mut call.answer).await),
                    None => pending().await,
                }
            };
            let over = async {
                Timer::at(silent_at).await;
                Came::Silent
            };
            let moved = async {
                match source.moved.recv().await {
                    Ok(()) => Came::Moved,
                    // Nobody moves it any more.
                    Err(_) => pending().await,
                }
            };
            said.or(of_older).or(moved).or(over).await
        };
        let odd = match came {
            Came::Said(Ok(body)) => hear(engine, held, &body).err().map(|error| error.to_string()),
            Came::Said(Err(fault @ Fault::CutShort)) => Some(fault.to_string()),
            // Only a service that has too much to do is surely the one that told this version; after any other fault the
            // whole list is asked for.
            Came::Said(Err(fault @ (Fault::Busy | Fault::Failed(_)))) => {
                held.since &= matches!(fault, Fault::Busy);
                // The older one may still bring what the newer did not; the rest after it is that much shorter.
                if let Some(call) = older.take()
                    && let Some(Ok(body)) =
                        wait_until(newer.begun + Duration::from(OLDER_HEARD), call.answer).await
                    && hear_older(engine, held, &body, older_elsewhere)
                {
                    newer = held.begin(engine, source, &link, chance);
                    continue;
                }
                return Lost::by(&newer, fault.to_string());
            }
            Came::Older(said) => {
                older = None;
                // Where it failed, the newer one is there.
                if let Ok(body) = said {
                    hear_older(engine, held, &body, older_elsewhere);
                }
                continue;
            }
            Came::Moved => {
                info!(engine.log, "discovery moved"; "address" => %source.at.get());
                held.moved();
                link.take();
                older = Some(std::mem::replace(&mut newer, held.begin(engine, source, &link, chance)));
                older_elsewhere = true;
                continue;
            }
            Came::Silent => {
                info!(engine.log, "discovery call silent, made anew"; "call" => newer.number);
                older_elsewhere = false;
                older = Some(std::mem::replace(&mut newer, held.begin(engine, source, &link, chance)));
                continue;
            }
        };
        older = None;
        if let Some(fault) = odd {
            let again = held.since && !held.odd;
            (held.since, held.odd) = (false, true);
            if !again {
                return Lost::by(&newer, fault);
            }
            warn!(engine.log, "list answer passed over"; "call" => newer.number, "fault" => fault);
            Timer::after(terms::at_once(chance)).await;
        }
        newer = held.begin(engine, source, &link, chance);
    }
}

impl Held {
    /// Makes the next call, and counts it where that is later than the term for changes allows.
    fn begin<'a>(
        &mut self,
        engine: &Engine,
        source: &'a DiscoveryAddress,
        link: &'a Link,
        chance: &mut fastrand::Rng,
    ) -> Call<'a> {
        self.calls += 1;
        let call = Call::begin(source, link, self.calls, self.next_call(chance));
        let before = self.called_at.replace((call.begun, call.wait));
        let in_time = before
            .is_none_or(|(before, wait)| called_in_time(Span::from(call.begun - before), Span::from(wait)));
        engine.violations.check(&engine.log, (!in_time).then_some(Violation::DiscoveryNotCalled));
        call
    }

    /// Which call comes next, and how long it may wait for news.
    fn next_call(&self, chance: &mut fastrand::Rng) -> (String, Duration) {
        let watch = if self.at_once { Duration::ZERO } else { terms::watch(chance) };
        match self.since {
            true => (format!("/discovery/hosts?index={}&wait={}", self.version, watch.as_millis()), watch),
            false => ("/discovery/hosts".to_string(), Duration::ZERO),
        }
    }

    /// The list is elsewhere from now on, which may have another history: whatever version it has is no older one, though
    /// what it says is doubted where that is below the highest.
    fn moved(&mut self) {
        (self.since, self.version, self.older) = (false, 0, 0);
    }
}

/// Takes the answer to a call beside which another was made; whether all of it was taken. The old address may have another history:
/// only what it says is off counts.
fn hear_older(engine: &Rc<Engine>, held: &mut Held, body: &[u8], elsewhere: bool) -> bool {
    let heard = match elsewhere {
        true => hear_what_is_off(engine, body),
        false => hear(engine, held, body),
    };
    if let Err(fault) = &heard {
        warn!(engine.log, "list answer passed over"; "fault" => %fault);
    }
    heard.is_ok() && !elsewhere
}

/// Takes of an answer only what it says is off.
fn hear_what_is_off(engine: &Rc<Engine>, body: &[u8]) -> FieldResult<()> {
    let said: Value = serde_json::from_slice(body).map_err(|e| format!("no JSON: {e}"))?;
    let lines = list(object(&said, "the list")?, "servers")?;
    take_off(engine, lines.iter().flat_map(line).collect::<Vec<_>>().iter());
    Ok(())
}

fn hear(engine: &Rc<Engine>, held: &mut Held, body: &[u8]) -> FieldResult<()> {
    let said: Value = serde_json::from_slice(body).map_err(|e| format!("no JSON: {e}"))?;
    let said = object(&said, "the list")?;
    let version = integer(said, "version")?;
    if version < held.version && held.older < OLD_ANSWERS {
        held.older += 1;
        hear_what_is_off(engine, body)?;
        return Err(format!("an old list, {version} after {}", held.version).into());
    }
    let now = engine.clock.now();
    let since = (version < held.highest).then(|| held.doubted.unwrap_or(now));
    let doubted = since.filter(|since| now < *since + DOUBTED);
    take(engine, said, flag(said, "full")?, doubted.is_some())?;
    engine.list_received();
    let highest = if since.is_some() && doubted.is_none() { version } else { held.highest.max(version) };
    let odd = held.odd && !held.since;
    (held.version, held.highest, held.doubted) = (version, highest, doubted);
    (held.since, held.older, held.at_once, held.odd) = (true, 0, false, odd);
    held.heard_at = Some(Instant::now());
    Ok(())
}
