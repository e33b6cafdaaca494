//! What goes in and out of the decision module. Nothing here decides.

/// Whole tenths of a millisecond.
pub type Tenths = u64;

/// A cache or the origin: a small index handed out at the door of one instance.
pub type Cache = usize;

/// A lookup that this instance has taken. Never reused within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lkp(pub u64);

/// How a shot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Resolved,
    Miss,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Unsent,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the list of caches.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    pub cache: Cache,
    pub id: &'a str,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub standing: Standing,
    pub born: Tenths,
}

/// The way out: what a router wants done, each at the moment of the call.
pub trait Carrier {
    fn shoot(&mut self, lkp: Lkp, cache: Cache, until: Tenths);
    fn withdraw(&mut self, lkp: Lkp, shot: usize);
    fn defer(&mut self, lkp: Lkp, back_in: Tenths);
    fn abandon(&mut self, lkp: Lkp);
    fn probe(&mut self, cache: Cache);
    fn wake(&mut self, token: u64, after: Tenths);
    fn watch(&mut self);
    fn log(&mut self, text: &str);
}
