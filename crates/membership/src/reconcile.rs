//! What a source says, reconciled with what it said before. A state machine without I/O: each call says what the core is to be
//! told and what the log is to say, and `due` when to call `tick`.

use crate::{ListedEndpoint, MOST_LINES};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// So many older answers in a row are the truth: the source has started again, or was restored.
const OLD_ANSWERS: u32 = 3;
/// From then on what it says is taken, but nothing that is off comes back by it, and nothing goes because it is missing.
/// After so long it is believed in that as well, longer than a deploy takes.
const DOUBTED: Span = Span::from_secs(60);
/// More than half of the servers gone unannounced within so long is more likely a fault of the list, or of the leases behind
/// it, than of the servers. It is believed after as long as an operator needs to look, or a source to mend itself.
const SHORT_WITHIN: Span = Span::from_secs(10);
const SHORT_FOR: Span = Span::from_secs(30);
/// Of fewer servers than these no half says anything.
const FEW: usize = 3;
/// Returns within so long that are taken at once; further ones wait, and longer each time: a server that flaps would move its
/// keys each time, and comes back cold.
const FLAPS: u32 = 3;
const FLAPS_WITHIN: Span = Span::from_secs(60);
const FLAP_HELD: Span = Span::from_secs(5);
/// Five seconds doubled so often are 80.
const FLAP_DOUBLINGS: u32 = 4;
/// What is gone is remembered so long, that no old list brings it back: ten times what an old one is doubted.
const REMEMBERED: Span = Span::from_secs(600);

/// Whether what a source says last is newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// Revisions order it, so a drain may be taken back by what comes later.
    Revisioned,
    /// Somebody puts it together (a file): what still lists a drained server may not have heard of the drain. It is back
    /// with a new start, or where it says that it is back on purpose.
    Assembled,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// `back`: on purpose, though it was drained and has not started since.
    Put {
        line: ListedEndpoint,
        back: bool,
    },
    Gone(String),
}

/// For the log: what happened, and to which server, or none.
pub type Note = (&'static str, String);

/// What the core is told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub lines: Vec<ListedEndpoint>,
    /// The first word of this source: whatever else was known is void.
    pub whole: bool,
    pub notes: Vec<Note>,
}

impl Told {
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && !self.whole && self.notes.is_empty()
    }
}

#[derive(Debug)]
struct Row {
    /// What the source says of it, or said last.
    line: ListedEndpoint,
    listed: bool,
    back: bool,
    told: Option<ListedEndpoint>,
    /// The start that was announced to be draining.
    drained: Option<Timestamp>,
    /// The start with which it was off, whether announced or missing.
    off: Option<Timestamp>,
    /// Not listed any more though in service: since when, and until when it is kept.
    lost: Option<(Timestamp, Timestamp)>,
    gone_since: Timestamp,
    returns: u32,
    returns_since: Timestamp,
    held_until: Timestamp, // 0: it is not held
    refused: bool,         // it was said that it stays off
}

impl Row {
    fn new(line: ListedEndpoint) -> Row {
        Row {
            line,
            listed: true,
            back: false,
            told: None,
            drained: None,
            off: None,
            lost: None,
            gone_since: Timestamp::ZERO,
            returns: 0,
            returns_since: Timestamp::ZERO,
            held_until: Timestamp::ZERO,
            refused: false,
        }
    }

    fn status(&self) -> Option<EndpointStatus> {
        self.told.as_ref().map(|line| line.status)
    }

    fn serving(&self) -> bool {
        self.status() == Some(EndpointStatus::Ready)
    }

    /// Listed as in service: at once, unless it comes back too often.
    fn returned(&mut self, now: Timestamp, notes: &mut Vec<Note>) -> EndpointStatus {
        if self.status().is_none() || self.serving() {
            return EndpointStatus::Ready;
        }
        if self.held_until == Timestamp::ZERO {
            if now >= self.returns_since + FLAPS_WITHIN {
                (self.returns, self.returns_since) = (0, now);
            }
            self.returns += 1;
            if self.returns > FLAPS {
                let longer = (self.returns - FLAPS - 1).min(FLAP_DOUBLINGS);
                self.held_until = now + FLAP_HELD * (1 << longer);
                // It counts as flapping until it was steady for a while after that.
                self.returns_since = self.held_until;
                notes.push(("comes back again and again, held for a while", self.line.id.clone()));
            }
        }
        if now < self.held_until {
            return EndpointStatus::Draining;
        }
        (self.held_until, self.drained, self.off) = (Timestamp::ZERO, None, None);
        EndpointStatus::Ready
    }

    /// How the core is to see it.
    fn worked_out(&mut self, now: Timestamp, stays_off: bool, notes: &mut Vec<Note>) -> EndpointStatus {
        let on = self.listed && self.line.status == EndpointStatus::Ready && !stays_off;
        if stays_off && !self.refused {
            notes.push(("listed as in service, and stays drained", self.line.id.clone()));
        }
        self.refused = stays_off;
        if !on {
            self.held_until = Timestamp::ZERO;
        }
        match self.lost {
            _ if on => self.returned(now, notes),
            _ if stays_off => EndpointStatus::Draining,
            Some((_, until)) if now < until => EndpointStatus::Ready,
            _ if self.listed => self.line.status,
            _ => EndpointStatus::Gone,
        }
    }
}

#[derive(Debug)]
pub struct Reconciler {
    trust: SourceKind,
    rows: BTreeMap<String, Row>,
    begun: bool,
    revision: u64,
    highest: u64,
    older: u32,
    doubted: Option<Timestamp>, // since when its revisions are below the highest, or of another history
    another: bool,              // the history is another than before: no revision ends the doubt
}

impl Reconciler {
    pub fn new(trust: SourceKind) -> Reconciler {
        Reconciler {
            trust,
            rows: BTreeMap::new(),
            begun: false,
            revision: 0,
            highest: 0,
            older: 0,
            doubted: None,
            another: false,
        }
    }

    /// The source's history is another from now on, as where a cluster was restored from a backup: its revisions say nothing
    /// beside the earlier ones, and its list is doubted for a while.
    pub fn another_history(&mut self, now: Timestamp) {
        if self.begun {
            (self.revision, self.highest, self.older) = (0, 0, 0);
            (self.doubted, self.another) = (Some(now), true);
        }
    }

    /// As of which revision it has the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The list as of a revision. An error is a plain sentence, and nothing of it was taken.
    pub fn whole(
        &mut self,
        now: Timestamp,
        revision: u64,
        lines: Vec<(ListedEndpoint, bool)>,
    ) -> Result<Told, String> {
        if lines.len() > MOST_LINES {
            return Err(format!("a list of {} caches is above {MOST_LINES}", lines.len()));
        }
        if revision < self.revision && self.older < OLD_ANSWERS {
            self.older += 1;
            self.drain_by(&lines);
            return Err(format!("an old list, {revision} after {}", self.revision));
        }
        let mut told = Told { whole: !self.begun, ..Told::default() };
        self.begun = true;
        self.older = 0;
        self.revision = revision;
        if revision < self.highest {
            if self.doubted.is_none() {
                self.doubted = Some(now);
                told.notes.push(("older list taken, and doubted", String::new()));
            }
        } else {
            self.highest = revision;
            self.doubted = self.doubted.filter(|_| self.another);
        }
        self.settle(now);
        self.rows.values_mut().for_each(|row| row.listed = false);
        for (line, back) in lines {
            self.put(line, back);
        }
        self.work_out(now, &mut told);
        Ok(told)
    }

    /// What changed, each with its revision, in order; what is not newer than what is known is passed over.
    pub fn changes(&mut self, now: Timestamp, changes: Vec<(u64, Change)>) -> Told {
        let mut told = Told::default();
        self.settle(now);
        // Changes of one revision came about together.
        let held = self.revision;
        for (revision, change) in changes.into_iter().filter(|(revision, _)| *revision > held) {
            self.revision = self.revision.max(revision);
            self.older = 0;
            match change {
                Change::Put { line, back } if self.rows.len() < 2 * MOST_LINES => self.put(line, back),
                Change::Put { .. } => told.notes.push(("too many caches, one passed over", String::new())),
                Change::Gone(id) => {
                    if let Some(row) = self.rows.get_mut(&id) {
                        row.listed = false;
                    }
                }
            }
        }
        if self.revision >= self.highest {
            self.highest = self.revision;
            self.doubted = self.doubted.filter(|_| self.another);
        }
        self.work_out(now, &mut told);
        told
    }

    /// No more is known of changes between here and there, as by progress notices.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.highest = self.highest.max(revision);
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Option<Timestamp> {
        let of_row = |row: &Row| {
            let lost = row.lost.map(|(_, until)| until).filter(|_| row.serving());
            let held = (row.held_until > Timestamp::ZERO).then_some(row.held_until);
            lost.into_iter().chain(held).min()
        };
        let doubted = self.doubted.map(|since| since + DOUBTED);
        self.rows.values().filter_map(of_row).chain(doubted).min()
    }

    pub fn tick(&mut self, now: Timestamp) -> Told {
        let mut told = Told::default();
        self.settle(now);
        self.work_out(now, &mut told);
        told
    }

    /// The list as the core was told it, without what is gone.
    pub fn lines(&self) -> Vec<ListedEndpoint> {
        let told = self.rows.values().filter_map(|row| row.told.clone());
        told.filter(|line| line.status != EndpointStatus::Gone).collect()
    }

    /// What time alone brings: an old state is believed in the end, and what is long gone is forgotten.
    fn settle(&mut self, now: Timestamp) {
        if self.doubted.is_some_and(|since| now >= since + DOUBTED) {
            (self.doubted, self.another) = (None, false);
            self.highest = self.revision;
        }
        self.rows.retain(|_, row| {
            row.listed || row.status() != Some(EndpointStatus::Gone) || now < row.gone_since + REMEMBERED
        });
    }

    /// Drains hold out of whatever list, but not those of a process that is gone by now. `tick` tells of them.
    fn drain_by(&mut self, lines: &[(ListedEndpoint, bool)]) {
        for (line, _) in lines.iter().filter(|(line, _)| line.status == EndpointStatus::Draining) {
            let row = self.rows.get_mut(&line.id).filter(|row| row.serving() && row.line.born <= line.born);
            if let Some(row) = row {
                row.line.status = EndpointStatus::Draining;
                row.drained = Some(row.drained.unwrap_or(Timestamp::ZERO).max(line.born));
            }
        }
    }

    fn put(&mut self, line: ListedEndpoint, back: bool) {
        let row = self.rows.entry(line.id.clone()).or_insert_with(|| Row::new(line.clone()));
        row.listed = true;
        row.back = back;
        if line.status != EndpointStatus::Ready {
            row.drained = Some(row.drained.unwrap_or(Timestamp::ZERO).max(line.born));
        }
        row.line = line;
    }

    /// Whether what is listed as in service stays off: it was off, and nothing says that it is another process by now.
    fn stays_off(&self, row: &Row) -> bool {
        let same = |start: Option<Timestamp>| start.is_some_and(|born| row.line.born <= born);
        let drained = self.trust == SourceKind::Assembled && !row.back && same(row.drained);
        let on = row.listed && row.line.status == EndpointStatus::Ready;
        on && (drained || (self.doubted.is_some() && same(row.off)))
    }

    fn work_out(&mut self, now: Timestamp, told: &mut Told) {
        self.lose(now, told);
        let mut rows = std::mem::take(&mut self.rows);
        for row in rows.values_mut() {
            let stays_off = self.stays_off(row);
            let status = row.worked_out(now, stays_off, &mut told.notes);
            if status != EndpointStatus::Ready {
                row.off = Some(row.off.unwrap_or(Timestamp::ZERO).max(row.line.born));
            }
            if status == EndpointStatus::Gone && row.status() != Some(EndpointStatus::Gone) {
                row.gone_since = now;
            }
            let line = ListedEndpoint { status, ..row.line.clone() };
            let known = row.told.is_some() || status != EndpointStatus::Gone;
            if known && (told.whole || row.told.as_ref() != Some(&line)) {
                told.lines.push(line.clone());
                row.told = Some(line);
            }
        }
        self.rows = rows;
    }

    /// What is not listed any more though it was in service goes at once, unless too much of the fleet goes so.
    fn lose(&mut self, now: Timestamp, told: &mut Told) {
        let doubted = self.doubted;
        for row in self.rows.values_mut() {
            if row.listed || row.line.status != EndpointStatus::Ready {
                row.lost = None;
            }
        }
        let lost_now = |row: &Row| !row.listed && row.serving() && row.lost.is_none();
        let recent =
            |row: &Row| row.lost.is_some_and(|(since, until)| now < (since + SHORT_WITHIN).max(until));
        let new = self.rows.values().filter(|row| lost_now(row)).count();
        let serving = self.rows.values().filter(|row| row.serving()).count();
        let before: usize = self.rows.values().filter(|row| recent(row)).count();
        let gone_before = self.rows.values().filter(|row| recent(row) && !row.serving()).count();
        let all = serving + gone_before;
        let short = all >= FEW && (new + before) * 2 > all;
        if new > 0 && short {
            told.notes.push(("list suddenly short, missing caches kept for now", String::new()));
        }
        for row in self.rows.values_mut().filter(|row| lost_now(row)) {
            let until = match doubted {
                Some(since) => since + DOUBTED,
                None if short => now + SHORT_FOR,
                None => now,
            };
            row.lost = Some((now, until));
        }
    }
}
