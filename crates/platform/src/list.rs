//! The platform's list: which caches there are. Starts from what was known, then the whole list and a watch.

use crate::address;
use chalkwalk_core::core::Core;
use chalkwalk_core::flow;
use chalkwalk_core::members::Line;
use chalkwalk_house::fields::{Object, Read, flag, list, object, size, text, text_or, whole, whole_or};
use chalkwalk_http1 as http1;
use chalkwalk_net::{quiet, within};
use chalkwalk_policy::{Standing, Tenths};
use serde_json::Value;
use slog::warn;
use smol::Async;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a watch may wait: half of the 20 s in the protocol's example, so that one that has gone silent is
/// noticed while the list is still young.
const WATCH: Duration = Duration::from_secs(10);
/// How long a call may take beside. The list is one small service for all, and works through its calls in turn: where it
/// is asked for more than it can do, whoever is let in waits as long as it allows (2 s). A call given up before is work
/// done for nobody, and each of a hundred proxies asks again: so twice that.
const CALL: Duration = Duration::from_secs(4);
/// The longest list: 400 bytes a line hold ten thousand caches.
const LONGEST: usize = 4 << 20;
/// So many older answers in a row are the truth: the list has started again.
const OLD_ANSWERS: u32 = 3;
/// From then on what it says is taken, but no cache is ready by it that was told to be off: it may have started from
/// an old state. After so long it is believed in that as well, longer than a deploy takes.
const DOUBTED: Tenths = 600_000;

#[derive(Default)]
struct Held {
    version: u64,
    /// The list is as it was told at that version, and what changed since is all that is asked for: a whole list costs
    /// the service several times as much, and after a trouble all proxies ask at once.
    since: bool,
    older: u32,
    highest: u64,
    doubted: Option<Tenths>, // since when its versions are below the highest
    /// The next call is answered at once, though nothing is newer: a process that takes over serves once it knows so.
    at_once: bool,
}

fn standing(state: &str) -> Read<Standing> {
    match state {
        "SERVING" => Ok(Standing::Ready),
        "DRAINING" => Ok(Standing::Draining),
        "DELETED" => Ok(Standing::Gone),
        other => Err(format!("field state: expected a state of a cache, got \"{other}\"")),
    }
}

fn line(line: &Value) -> Read<Line> {
    let e = object(line, "field servers")?;
    let word = |name: &str| text(e, name).map(str::to_string);
    Ok(Line {
        id: word("id")?,
        addr: address(text(e, "addr")?, "field addr")?,
        zone: word("zone")?,
        kind: text_or(e, "kind", "")?.to_string(),
        cell: whole_or(e, "cell", 0)?,
        size: size(e, "weight")?,
        standing: standing(text(e, "state")?)?,
        born: whole_or(e, "started_ms", 0)? * 10,
    })
}

/// Where the list is asked from, which may move while the proxy serves.
pub struct Source {
    at: Cell<SocketAddr>,
    moves: Sender<()>,
    moved: Receiver<()>,
}

impl Source {
    pub fn new(at: SocketAddr) -> Rc<Source> {
        let (moves, moved) = bounded(1);
        Rc::new(Source { at: Cell::new(at), moves, moved })
    }

    /// The list is elsewhere from now on, and asked at once.
    pub fn move_to(&self, at: SocketAddr) {
        if self.at.replace(at) != at {
            _ = self.moves.try_send(());
        }
    }
}

/// Tells the core the list as this proxy last had it, and returns its version, if it names any cache.
pub fn known(core: &Rc<Core>, known: &Value) -> Option<u64> {
    let said = known.as_object()?;
    match take(core, said, true, false).and_then(|()| whole(said, "version")) {
        Ok(version) => Some(version).filter(|_| list(said, "servers").is_ok_and(|lines| !lines.is_empty())),
        Err(fault) => {
            warn!(core.log, "known list passed over"; "fault" => fault);
            None
        }
    }
}

/// Tells the core what a list says; nothing of one that is wrong anywhere.
fn take(core: &Rc<Core>, said: &Object, whole_list: bool, doubted: bool) -> Read<()> {
    let lines = list(said, "servers")?.iter().map(line).collect::<Read<Vec<_>>>()?;
    flow::listed(core, &lines, whole_list, doubted);
    Ok(())
}

/// Watches whenever the router asks for it, until a call fails; the router hears of that and asks again. `known`: the
/// version of the list that was known at the start, from which the first call goes on. `at_once`: that one waits for no news.
pub async fn follow(core: Rc<Core>, source: Rc<Source>, known: Option<u64>, at_once: bool) {
    let version = known.unwrap_or(0);
    let mut held = Held { version, since: known.is_some(), highest: version, at_once, ..Held::default() };
    let mut first = true;
    loop {
        let wanted = async {
            core.list_wanted().await;
            true
        };
        let moved = async { source.moved.recv().await.is_err() };
        // Without any list there is nothing to serve from, nor to wait for.
        let nothing = std::mem::take(&mut first) && known.is_none();
        held.since &= nothing || wanted.or(moved).await;
        let fault = loop {
            // A list that has moved is asked for all it has, at once: the old address may still hold a watch open.
            let over = async { Some(watch(&core, &source, &mut held).await) };
            let elsewhere = async { source.moved.recv().await.err().map(|e| e.to_string()) };
            if let Some(fault) = over.or(elsewhere).await {
                break fault;
            }
            held.since = false; // another service may have another history
        };
        core.list_had();
        flow::list_lost(&core);
        warn!(core.log, "list call failed"; "fault" => fault);
    }
}

/// Calls again at once after each answer, until one fails, which it returns. A watch goes on for 200 ms after an answer, and
/// what changes in that time counts as told: whoever rested from it would send to caches that he was told are draining.
async fn watch(core: &Rc<Core>, source: &Source, held: &mut Held) -> String {
    let mut link = None;
    loop {
        let (target, wait) = held.next_call();
        let said = within(wait + CALL, call(source, &mut link, &target)).await;
        let said = said.unwrap_or_else(|| Err("no answer in time".into()));
        // Only a service that has too much to do is surely the one that told this version; any other fault, and an old
        // answer, has the whole list asked for.
        held.since = matches!(&said, Err(fault) if held.since && fault == BUSY);
        if let Err(fault) = said.and_then(|said| hear(core, held, &said)) {
            return fault;
        }
    }
}

/// What a call that was turned away says in the log.
const BUSY: &str = "answered 503";

impl Held {
    /// Which call comes next, and how long it may wait for news.
    fn next_call(&self) -> (String, Duration) {
        let watch = if self.at_once { Duration::ZERO } else { WATCH };
        match self.since {
            true => (format!("/discovery/hosts?index={}&wait={}", self.version, watch.as_millis()), watch),
            false => ("/discovery/hosts".to_string(), Duration::ZERO),
        }
    }
}

fn hear(core: &Rc<Core>, held: &mut Held, said: &Value) -> Read<()> {
    let said = object(said, "the list")?;
    let version = whole(said, "version")?;
    if version < held.version && held.older < OLD_ANSWERS {
        held.older += 1;
        return Err(format!("an old list, {version} after {}", held.version));
    }
    let now = core.clock.now();
    let since = (version < held.highest).then(|| held.doubted.unwrap_or(now));
    let doubted = since.filter(|since| now < since + DOUBTED);
    take(core, said, flag(said, "full")?, doubted.is_some())?;
    core.list_heard();
    let highest = if since.is_some() && doubted.is_none() { version } else { held.highest.max(version) };
    *held = Held { version, since: true, older: 0, highest, doubted, at_once: false };
    Ok(())
}

/// One call; where a kept link turns out to be closed meanwhile, on a new one.
async fn call(source: &Source, link: &mut Option<Async<TcpStream>>, target: &str) -> Read<Value> {
    if let Some(kept) = link.take().filter(quiet)
        && let Ok(said) = ask(source, kept, link, target).await
    {
        return said;
    }
    let stream = Async::<TcpStream>::connect(source.at.get()).await;
    let stream = stream.map_err(|e| format!("no connection: {e}"))?;
    ask(source, stream, link, target).await?
}

/// What the list says, or an `Err` outside if it said nothing whole.
async fn ask(
    source: &Source,
    open: Async<TcpStream>,
    link: &mut Option<Async<TcpStream>>,
    target: &str,
) -> Read<Read<Value>> {
    let answer = http1::get(&open, source.at.get(), target, LONGEST).await?;
    match answer.status {
        200 => {}
        503 => return Ok(Err(BUSY.into())),
        other => return Ok(Err(format!("answered {other}"))),
    }
    if !answer.close {
        *link = Some(open);
    }
    let said = serde_json::from_slice(answer.part(&answer.body));
    Ok(said.map_err(|e| format!("no JSON: {e}")))
}
