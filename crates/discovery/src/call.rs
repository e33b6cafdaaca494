//! One call to discovery, from its connection to the whole answer.

use crate::list::DiscoveryAddress;
use crate::terms;
use chalkwalk_balancer::discovery::GIVE_UP_CONNECTING;
use chalkwalk_http1::{self as http1, ResponseReader};
use chalkwalk_sockets::{is_idle, within};
use chalkwalk_time::Span;
use smol::Async;
use std::cell::Cell;
use std::net::TcpStream;
use std::pin::Pin;
use std::time::{Duration, Instant};

/// The longest list: 400 bytes a line hold ten thousand servers.
const LONGEST: usize = 4 << 20;
/// A connection that is kept from one call to the next.
pub type Link = Cell<Option<Async<TcpStream>>>;

/// Why a call brought nothing.
pub enum Fault {
    /// The service has too much to do.
    Busy,
    Failed(String),
    /// It answered, and broke off: what was told by it is not known.
    CutShort,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Busy => write!(f, "answered 503"),
            Fault::Failed(fault) => write!(f, "{fault}"),
            Fault::CutShort => write!(f, "an answer cut short"),
        }
    }
}

pub type Said = Result<Vec<u8>, Fault>;

/// A call under way, until the answer's body is there.
type Calling<'a> = Pin<Box<dyn Future<Output = Said> + 'a>>;

/// A call under way.
pub struct Call<'a> {
    pub number: u64,
    pub begun: Instant,
    /// How long it may wait for news.
    pub wait: Duration,
    pub answer: Calling<'a>,
}

impl<'a> Call<'a> {
    pub fn begin(
        source: &'a DiscoveryAddress,
        link: &'a Link,
        number: u64,
        (target, wait): (String, Duration),
    ) -> Call<'a> {
        let answer = async move {
            let said = within(terms::over(wait), call(source, link, &target)).await;
            said.unwrap_or_else(|| Err(Fault::Failed("no answer in time".into())))
        };
        Call { number, begun: Instant::now(), wait, answer: Box::pin(answer) }
    }

    /// From when on it is taken for silent.
    pub fn silent_at(&self) -> Instant {
        self.begun + terms::silent(self.wait)
    }

    /// How long it has taken by now.
    pub fn took(&self) -> Span {
        Span::from(self.begun.elapsed())
    }
}

/// One call; where a kept link turns out to be closed meanwhile, on a new one.
async fn call(source: &DiscoveryAddress, link: &Link, target: &str) -> Said {
    if let Some(kept) = link.take().filter(is_idle)
        && let Ok(said) = ask(source, kept, link, target).await
    {
        return said;
    }
    // A machine that is cut off never answers; one that is there does so sooner than it lets a call wait.
    let stream =
        within(Duration::from(GIVE_UP_CONNECTING), Async::<TcpStream>::connect(source.address())).await;
    let stream = stream.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = stream.map_err(|e| Fault::Failed(format!("no connection: {e}")))?;
    ask(source, stream, link, target).await.map_err(Fault::Failed)?
}

/// What the list says, or an `Err` outside if it said nothing.
async fn ask(
    source: &DiscoveryAddress,
    open: Async<TcpStream>,
    link: &Link,
    target: &str,
) -> Result<Said, String> {
    http1::send_get(&open, source.address(), target).await.map_err(|e| format!("not written: {e}"))?;
    let mut answer = ResponseReader::start(&open).await.map_err(|_| "no answer".to_string())?;
    match answer.message.status {
        200 => {}
        503 => return Ok(Err(Fault::Busy)),
        other => return Ok(Err(Fault::Failed(format!("answered {other}")))),
    }
    let mut body = Vec::new();
    loop {
        match answer.next_part(&open).await {
            Ok(Some(part)) if body.len() + part.len() <= LONGEST => body.extend(part),
            Ok(Some(_)) => return Ok(Err(Fault::Failed(format!("a list of over {LONGEST} bytes")))),
            Ok(None) => break,
            Err(_) => return Ok(Err(Fault::CutShort)),
        }
    }
    if answer.is_reusable() {
        link.set(Some(open));
    }
    Ok(Ok(body))
}
