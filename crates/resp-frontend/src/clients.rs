//! Clients' connections: commands are taken as they come, their attempts do not wait for each other, and answers go out in order.

use crate::client::Client;
use crate::command::{Way as Kind, Words, way};
use crate::frontend::Frontend;
use crate::parts::{Gather, gathered, part};
use crate::request::RespRequest;
use chalkwalk_balancer::RequestId;
use chalkwalk_balancer::admission::may_start;
use chalkwalk_engine::api;
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_engine::engine::{ClientConnection, Engine};
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_engine::response::{Response, ResponseStatus};
use chalkwalk_limits::RequestAttributes;
use chalkwalk_resp::{Frame, FrameKind, ProtocolError, ReadLimits, Reader, Writer};
use chalkwalk_slot_map::RequestRoute;
use chalkwalk_sockets::{read_more, within, write_all};
use chalkwalk_time::TICKS_PER_MILLISECOND;
use slog::warn;
use smol::channel::{Receiver, Sender, bounded, unbounded};
use smol::future::FutureExt;
use smol::lock::Semaphore;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// After an accept that failed, as it does when no descriptor is left: short beside any time limit.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Requests of one connection that are open at once; later commands wait unread. As many as a server is first taken to have
/// room for, so that a pipeline alone is no reason to turn its commands away.
const MOST_OPEN: usize = 8;
/// Answers of one connection that wait for an earlier one.
const MOST_IN_ORDER: usize = 128;
/// Answers of one connection that wait to be read, in bytes; beyond that no further command is taken.
const MOST_WAITING: usize = 256 << 10;
/// A client that does not read what it asked for is closed after so long.
const STALLED: Duration = Duration::from_secs(10);
/// From its first byte to a whole command.
const COMMAND: Duration = Duration::from_secs(3);
/// Without a command in between. Drivers keep pools; idle ones go sooner where places are short.
const IDLE: Duration = Duration::from_secs(300);

/// Takes connections until the proxy empties.
pub async fn accept_clients(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    let engine = &frontend.engine;
    let over = async { engine.lifecycle.reached(Phase::Finishing).await };
    let taking = async {
        let mut failing = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    let (permit, taken) = engine.budget.acquire_for_client().await;
                    _ = stream.get_ref().set_nodelay(true);
                    let serving =
                        serve(frontend.clone(), stream, permit, taken, ClientConnection::new(engine));
                    engine.executor.spawn(serving).detach();
                }
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(engine.log, "cannot accept"; "fault" => %e);
                    }
                    engine.budget.close_idle();
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    over.or(taking).await;
}

/// An answer in its place.
enum Pending {
    Ready(Vec<u8>),
    Open(Open),
    /// In parts, each with the places of its keys among all.
    Parts(Vec<(Open, Vec<usize>)>, Gather, bool),
    /// The last: the connection ends with it.
    Last(Vec<u8>),
}

/// A pending answer, and its place among those that wait for earlier ones.
type Placed = (Pending, Permit);

/// A request that is open for a client. Where the client goes, so does what is still to be sent for it.
struct Open {
    frontend: Rc<Frontend>,
    request_id: RequestId,
    answer: Receiver<Response>,
    answered: Rc<Cell<bool>>,
    resp3: bool,
}

impl Open {
    async fn answer(&self) -> Option<Response> {
        let answer = self.answer.recv().await.ok();
        if matches!(answer, Some(Response { status: ResponseStatus::Rejected(_), .. })) {
            // Perhaps nobody may serve it by an old map.
            self.frontend.want_map();
        }
        answer
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.answered.get() {
            api::client_left(&self.frontend.engine, self.request_id);
        }
    }
}

/// A command that is taken, as later ones of its key have to know it.
struct Earlier {
    key: String,
    write: bool,
    done: Receiver<()>,
}

/// Told to close, as others need its place.
async fn closed_for_others(engine: &Engine, used: bool) {
    let (close, told) = bounded(1);
    let turn = engine.budget.mark_idle(close, used);
    struct Idle<'a>(&'a Engine, chalkwalk_engine::budget::IdleTicket);
    impl Drop for Idle<'_> {
        fn drop(&mut self) {
            self.0.budget.mark_busy(self.1);
        }
    }
    let _idle = Idle(engine, turn);
    _ = told.recv().await;
}

async fn serve(
    frontend: Rc<Frontend>,
    stream: Async<TcpStream>,
    _permit: Permit,
    taken: bool,
    open: ClientConnection,
) {
    // Bounded by places, not by the channel: that would hold room for all of them on every idle connection.
    let (into, out) = unbounded::<Placed>();
    let waiting = Rc::new(Cell::new(0));
    let reading = async {
        let mut reading = Reading::new(&frontend, &stream, waiting.clone());
        reading.run(&open, taken, into).await;
        // What was taken is still answered.
        std::future::pending().await
    };
    write(&stream, out, &waiting).or(reading).await;
}

/// Writes answers in order, as many at once as there are. Ends with the last, or where the client does not read.
async fn write(stream: &Async<TcpStream>, out: Receiver<Placed>, waiting: &Cell<usize>) {
    let mut next: Option<Placed> = None;
    loop {
        let Some((first, place)) = (match next.take() {
            Some(first) => Some(first),
            None => out.recv().await.ok(),
        }) else {
            return;
        };
        let (mut bytes, mut last) = answered(first).await;
        // Places are given back once their answers are written.
        let mut places = vec![place];
        while !last && bytes.len() < MOST_WAITING {
            match out.try_recv() {
                Ok((pending, place)) if !pending.is_here() => {
                    next = Some((pending, place));
                    break;
                }
                Ok((pending, place)) => {
                    let (more, over) = answered(pending).await;
                    bytes.extend(more);
                    places.push(place);
                    last = over;
                }
                Err(_) => break,
            }
        }
        waiting.set(bytes.len());
        let written = within(STALLED, write_all(stream, &[&bytes])).await;
        waiting.set(0);
        if last || !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

impl Pending {
    /// Whether it can be written without a wait.
    fn is_here(&self) -> bool {
        match self {
            Pending::Ready(_) | Pending::Last(_) => true,
            Pending::Open(open) => !open.answer.is_empty(),
            Pending::Parts(parts, ..) => parts.iter().all(|(open, _)| !open.answer.is_empty()),
        }
    }
}

async fn answered(pending: Pending) -> (Vec<u8>, bool) {
    match pending {
        Pending::Ready(bytes) => (bytes, false),
        Pending::Last(bytes) => (bytes, true),
        Pending::Open(open) => (worded(open.answer().await, open.resp3), false),
        Pending::Parts(parts, how, write) => {
            let resp3 = parts.first().is_some_and(|(open, _)| open.resp3);
            let mut answers = Vec::with_capacity(parts.len());
            for (open, places) in parts {
                answers.push((open.answer().await, places));
            }
            let mut out = Writer::new(resp3);
            match gathered(answers, how, write, &mut out) {
                None => (out.take(), false),
                Some(status) => (worded(Some(Response::empty(status)), resp3), false),
            }
        }
    }
}

/// The final answer in the dialect's words.
fn worded(answer: Option<Response>, resp3: bool) -> Vec<u8> {
    let mut out = Writer::new(resp3);
    match answer {
        Some(Response { status: ResponseStatus::Served, body, .. }) => match body.as_slice() {
            // Servers are spoken to in the second version of the protocol.
            b"$-1\r\n" | b"*-1\r\n" if resp3 => out.null(),
            _ => return body,
        },
        Some(Response { status: ResponseStatus::Rejected(back_in), .. }) => {
            // Drivers try again by themselves for this code.
            let when = back_in.map_or(String::new(), |t| {
                format!(", come back in {} ms", t.ticks().div_ceil(TICKS_PER_MILLISECOND))
            });
            out.error(&format!("TRYAGAIN deferred{when}"));
        }
        Some(Response { status: ResponseStatus::Failed, .. }) => out.error("ERR abandoned: it may have run"),
        None => out.error("ERR abandoned"),
    }
    out.take()
}

struct Reading<'a> {
    frontend: &'a Rc<Frontend>,
    stream: &'a Async<TcpStream>,
    client: Client,
    earlier: VecDeque<Earlier>,
    places: Arc<Semaphore>,
    waiting: Rc<Cell<usize>>,
}

impl<'a> Reading<'a> {
    fn new(
        frontend: &'a Rc<Frontend>,
        stream: &'a Async<TcpStream>,
        waiting: Rc<Cell<usize>>,
    ) -> Reading<'a> {
        let id = frontend.clients.get() + 1;
        frontend.clients.set(id);
        let peer = stream.get_ref().peer_addr().map_or(String::new(), |a| a.to_string());
        let client = Client::new(id, peer, &frontend.settings);
        Reading {
            frontend,
            stream,
            client,
            earlier: VecDeque::new(),
            places: Arc::new(Semaphore::new(MOST_OPEN)),
            waiting,
        }
    }

    /// Reads and takes commands until the client ends, is wrong, or its turn to go has come.
    async fn run(&mut self, open: &ClientConnection, taken: bool, into: Sender<Placed>) {
        let in_order = Arc::new(Semaphore::new(MOST_IN_ORDER));
        let engine = &self.frontend.engine;
        let mut reader = Reader::new(ReadLimits::default());
        let (mut buf, mut start, mut used) = (Vec::new(), 0, false);
        loop {
            match command(&mut reader, &buf[start..]) {
                Ok(Some((words, len))) => {
                    start += len;
                    used = true;
                    let Some(words) = words else { continue };
                    let pending = if taken { self.take(words).await } else { turned_away() };
                    let last = matches!(pending, Pending::Last(_));
                    let place = in_order.acquire_arc().await;
                    if into.send((pending, place)).await.is_err() || last {
                        return;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    let mut out = Writer::default();
                    out.error(&format!("ERR Protocol error: {error}"));
                    _ = into.send((Pending::Last(out.take()), in_order.acquire_arc().await)).await;
                    return;
                }
            }
            buf.drain(..start);
            start = 0;
            if open.must_close() && buf.is_empty() {
                // Between two commands, with what was taken still answered.
                _ = into.send((Pending::Last(Vec::new()), in_order.acquire_arc().await)).await;
                return;
            }
            let limit = if buf.is_empty() { IDLE } else { COMMAND };
            // Nothing of it is on its way: each pending answer holds a part of this.
            let idle = buf.is_empty() && Arc::strong_count(&in_order) == 1;
            let reading = async {
                if buf.is_empty() {
                    // Who is idle holds no buffer.
                    buf = Vec::new();
                    _ = self.stream.readable().await;
                }
                read_more(self.stream, &mut buf).await.unwrap_or(0) > 0
            };
            let gone = async {
                let told = async { closed_for_others(engine, used).await };
                let turn = async { open.close_due().await };
                match idle {
                    true => told.or(turn).await,
                    false => std::future::pending().await,
                }
                false
            };
            if !within(limit, reading.or(gone)).await.unwrap_or(false) {
                if idle || buf.is_empty() {
                    _ = into.send((Pending::Last(Vec::new()), in_order.acquire_arc().await)).await;
                }
                return;
            }
        }
    }

    /// Takes one command.
    async fn take(&mut self, words: Words) -> Pending {
        // No more than a client reads.
        while self.waiting.get() >= MOST_WAITING {
            Timer::after(ACCEPT_AGAIN).await;
        }
        let name = words.name(0);
        let mut out = Writer::new(self.client.resp3);
        if !self.client.may(&name) {
            out.error("NOAUTH Authentication required.");
            return Pending::Ready(out.take());
        }
        let settings = &self.frontend.settings;
        let elsewhere = |slot: u16| {
            let other = settings.instance_of(slot).filter(|i| i.addr != settings.listen);
            other.map(|other| format!("MOVED {slot} {}", other.addr))
        };
        let (write, keys, slot) = match way(&words, settings.split_multi_slot) {
            Kind::Own => {
                self.client.own(&words, &self.frontend.settings, &mut out);
                return if self.client.over { Pending::Last(out.take()) } else { Pending::Ready(out.take()) };
            }
            Kind::Refused(fault) => {
                out.error(&fault);
                return Pending::Ready(out.take());
            }
            Kind::Request { write, keys, slot } => (write, keys, slot),
            Kind::Split { write, gather, step, parts } => {
                if let Some(moved) = parts.iter().find_map(|(slot, _)| elsewhere(*slot)) {
                    out.error(&moved);
                    return Pending::Ready(out.take());
                }
                let mut all: Vec<usize> = parts.iter().flat_map(|(_, keys)| keys.clone()).collect();
                all.sort_unstable();
                let mut opens = Vec::with_capacity(parts.len());
                for (slot, keys) in parts {
                    let places = keys.iter().map(|k| all.partition_point(|a| a < k)).collect();
                    let own = names(&words, &keys);
                    match self.open(part(&words, &keys, step), own, (write, slot)).await {
                        Ok(open) => opens.push((open, places)),
                        Err(fault) => {
                            out.error(fault);
                            return Pending::Ready(out.take());
                        }
                    }
                }
                return Pending::Parts(opens, gather, write);
            }
        };
        if let Some(moved) = elsewhere(slot) {
            out.error(&moved);
            return Pending::Ready(out.take());
        }
        let named = names(&words, &keys);
        match self.open(words, named, (write, slot)).await {
            Ok(open) => Pending::Open(open),
            Err(fault) => {
                out.error(fault);
                Pending::Ready(out.take())
            }
        }
    }

    /// Takes one request once its turn on its keys has come, and there is a place for it.
    async fn open(
        &mut self,
        command: Words,
        own: Vec<String>,
        (write, slot): (bool, u16),
    ) -> Result<Open, &'static str> {
        self.in_order(&own, write).await;
        let permit = self.places.acquire_arc().await;
        let (open, done) = self.request(command, &own, (write, slot), permit)?;
        let earlier = own.into_iter().map(|key| Earlier { key, write, done: done.clone() });
        self.earlier.extend(earlier);
        Ok(open)
    }

    /// Waits for earlier commands of the same connection on the same keys, where one of the two writes: a client that writes
    /// and then reads has to find what it wrote.
    async fn in_order(&mut self, keys: &[String], write: bool) {
        self.earlier.retain(|e| !e.done.is_closed());
        let before = |e: &&Earlier| (e.write || write) && keys.contains(&e.key);
        let waits: Vec<Receiver<()>> = self.earlier.iter().filter(before).map(|e| e.done.clone()).collect();
        for done in waits {
            _ = done.recv().await;
        }
    }

    fn request(
        &self,
        words: Words,
        keys: &[String],
        (write, slot): (bool, u16),
        permit: Permit,
    ) -> Result<(Open, Receiver<()>), &'static str> {
        let (frontend, engine) = (self.frontend, &self.frontend.engine);
        let ns = frontend.settings.class_of(keys[0].as_bytes(), write);
        let place = RequestAttributes {
            namespace: ns,
            path: &keys[0],
            tenant: &self.client.user,
            frontend: crate::FRONTEND_NAME,
        };
        let ClassLimits { class, time_limit, longest_body } = engine.classes.find(place);
        if words.bytes.len() as u64 > longest_body.max(64) {
            return Err("ERR the command is longer than its class allows");
        }
        let taken = engine.clock.earliest_arrival();
        // One whose time is over is deferred by the balancer, at once.
        let expires =
            may_start(engine.clock.now(), taken + time_limit, engine.response_deadline()).unwrap_or(taken);
        let stale = !write && frontend.settings.stale_reads.get(ns) == Some(&true);
        let command = (words.bytes.first() != Some(&b'*')).then(|| {
            let mut out = Writer::default();
            let all: Vec<&[u8]> = (0..words.len()).map(|i| words.get(i)).collect();
            out.command(&all);
            out.take()
        });
        let ask = Rc::new(RespRequest {
            frontend: frontend.clone(),
            words,
            command,
            key: keys[0].clone(),
            ns,
            class,
            write,
            user: self.client.user.clone(),
            taken,
            expires,
            way: RefCell::new(RequestRoute::new(slot, stale)),
            begun: RefCell::default(),
        });
        let (request_id, answer) = api::accept_request(engine, ask);
        // It is done for the connection once it is answered, whenever the answer is read.
        let (done, told): (Sender<()>, Receiver<()>) = bounded(1);
        let (here, answered_here) = bounded(1);
        let answered = Rc::new(Cell::new(false));
        let by = answered.clone();
        engine
            .executor
            .spawn(async move {
                if let Ok(answer) = answer.recv().await {
                    by.set(true);
                    _ = here.try_send(answer);
                }
                drop((permit, done));
            })
            .detach();
        let open = Open {
            frontend: frontend.clone(),
            request_id,
            answer: answered_here,
            answered,
            resp3: self.client.resp3,
        };
        Ok((open, told))
    }
}

/// Keys as texts, by which they are told apart and hashed.
fn names(words: &Words, keys: &[usize]) -> Vec<String> {
    keys.iter().map(|k| String::from_utf8_lossy(words.get(*k)).to_string()).collect()
}

fn turned_away() -> Pending {
    let mut out = Writer::default();
    out.error("TRYAGAIN deferred, no place for this connection");
    Pending::Last(out.take())
}

/// A whole command off the start of the buffer, with its length: an array of bulk strings, or a line of words. No words where it
/// is empty.
fn command(reader: &mut Reader, buf: &[u8]) -> Result<Option<(Option<Words>, usize)>, ProtocolError> {
    match buf.first() {
        None => Ok(None),
        Some(b'*') => {
            let Some((frames, len)) = reader.next_frame(buf)? else { return Ok(None) };
            let bulk = |f: &Frame| (f.kind == FrameKind::Bulk).then(|| f.range.clone());
            let at: Option<Vec<_>> = frames[1..].iter().map(bulk).collect();
            let at = at.ok_or(ProtocolError::ExpectedBulkStrings)?;
            let words = (!at.is_empty()).then(|| Words { bytes: buf[..len].to_vec(), at });
            Ok(Some((words, len)))
        }
        Some(_) => inline(buf),
    }
}

/// A line of words, as a person types it.
fn inline(buf: &[u8]) -> Result<Option<(Option<Words>, usize)>, ProtocolError> {
    let most = ReadLimits::default().max_line;
    let Some(end) = buf.iter().take(most).position(|b| *b == b'\n') else {
        return if buf.len() >= most { Err(ProtocolError::InlineTooLong) } else { Ok(None) };
    };
    let line = buf[..end].strip_suffix(b"\r").unwrap_or(&buf[..end]);
    let mut at = Vec::new();
    let mut from = None;
    for (i, b) in line.iter().chain([&b' ']).enumerate() {
        match (b.is_ascii_whitespace(), from) {
            (false, None) => from = Some(i),
            (true, Some(start)) => {
                at.push(start..i);
                from = None;
            }
            _ => {}
        }
    }
    let words = (!at.is_empty()).then(|| Words { bytes: line.to_vec(), at });
    Ok(Some((words, end + 1)))
}
