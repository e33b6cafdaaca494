//! Random, overlapping faults over a few dozen real processes: a seed is an experiment, and the judge's rules are the test.
//!
//! Each fault of the catalogue falls on each run at a moment, for a time and with a strength drawn from the seed, so that any two
//! may meet. Discovery fails at least once, in one of its ways, and servers begin to drain as it returns.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::fmt::Write;

/// What is asked of a run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    pub seed: u64,
    pub seconds: f64,
    pub proxies: usize,
}

const SERVERS: usize = 15;
const ZONES: [&str; 3] = ["north", "middle", "south"];
const OUTAGES: [&str; 6] = ["closes", "refuses", "unavailable", "unavailable-late", "silent", "half-answer"];
/// Faults of servers that meet a part of what they get.
const PARTIAL: [&str; 6] = ["fails", "loses", "turns-away", "resets", "half-answers", "spoils"];
/// Requests a second and proxy: traffic is thin, as in a large fleet.
const RATE: f64 = 12.0;

struct Draw(ChaCha8Rng);

impl Draw {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    fn below(&mut self, end: usize) -> usize {
        (self.0.random::<f64>() * end as f64) as usize
    }

    fn one<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.below(of.len())]
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.random::<f64>() < part
    }

    /// So many different numbers below an end, in order.
    fn several(&mut self, count: usize, end: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..end).collect();
        let mut drawn: Vec<usize> = (0..count.min(end)).map(|_| all.remove(self.below(all.len()))).collect();
        drawn.sort_unstable();
        drawn
    }
}

impl Soak {
    /// The experiment as a file has it.
    pub fn text(&self) -> String {
        let mut draw = Draw(ChaCha8Rng::seed_from_u64(self.seed));
        let mut text = self.head(&mut draw);
        self.discovery(&mut draw, &mut text);
        self.crowd(&mut draw, &mut text);
        self.servers(&mut draw, &mut text);
        self.processes(&mut draw, &mut text);
        text
    }

    fn head(&self, draw: &mut Draw) -> String {
        let Soak { seed, seconds, proxies } = self;
        let (retries, leave) = (draw.below(3), draw.between(0.0, 0.1));
        let (withdrawals, copies) = (draw.chance(0.7), draw.chance(0.7));
        let sockets = [48, 96, 1024][draw.below(3)];
        let (most, list_call) = (2 + draw.below(4), draw.between(1.0, 3000.0 / *proxies as f64));
        let group = draw.one(&["all", "zone", "cell"]);
        let rate = RATE * *proxies as f64;
        format!(
            "title = \"Soak, seed {seed}\"\nseed = {seed}\nseconds = {seconds}\n\
             [world]\nzones = {ZONES:?}\ncaches = {SERVERS}\ncold_s = 4\nlist_late_s = 0\nlist_call_ms = {list_call:.1}\n\
             fall_multiple = 4\n\
             [fleet]\nproxies = {proxies}\nnotice_s = 0.5\nsecond_copies = {copies}\nmost_shots = {most}\nsockets = {sockets}\n\
             withdrawals = {withdrawals}\n\
             [load]\nrate = {rate}\nclients = 200\nkeys = 1500\nretries = {retries}\nleave = {leave:.3}\n\
             [[namespace]]\nname = \"page\"\nshare = 4\ntarget_ms = 500\nlimit_ms = 1500\nwork_ms = 4\n\
             [[namespace]]\nname = \"record\"\nwrite = true\nrepeats = \"tagged\"\ngroup = \"{group}\"\n\
             window_ms = 800\ntarget_ms = 800\nlimit_ms = 2000\nwork_ms = 4\n\
             [[namespace]]\nname = \"once\"\nrepeats = \"single-use\"\ntarget_ms = 800\nlimit_ms = 1500\nwork_ms = 4\n"
        )
    }

    /// Discovery is down once or twice, at least once for long; servers drain as it returns, and take what they get for long after.
    fn discovery(&self, draw: &mut Draw, text: &mut String) {
        let how = draw.one(&OUTAGES);
        let lasts = draw.between(0.4, 0.55) * self.seconds;
        let at = draw.between(1.0, 4.0);
        fault(text, "list-down", at, &format!("for = {lasts:.2}\nhow = \"{how}\""));
        let back = at + lasts + draw.between(0.0, 0.3);
        let drained = draw.several(5, SERVERS);
        let every = draw.between(0.05, 0.5);
        fault(
            text,
            "rolling-deploy",
            back,
            &format!("every = {every:.2}\ndrain = 11\ndown = 0.5\ncaches = {drained:?}"),
        );
        if draw.chance(0.5) {
            fault(text, "list-silent", draw.between(0.6, 0.9) * self.seconds, "");
        }
        if draw.chance(0.5) {
            let (at, lasts) = (draw.between(0.85, 0.95) * self.seconds, draw.between(0.2, 2.0));
            let how = draw.one(&OUTAGES);
            fault(text, "list-down", at, &format!("for = {lasts:.2}\nhow = \"{how}\""));
        }
    }

    /// All servers stand still under a surge, so that requests wait for places and connections; most clients leave before they go on.
    fn crowd(&self, draw: &mut Draw, text: &mut String) {
        for part in [0.05, 0.7] {
            let at = draw.between(part, part + 0.2) * self.seconds;
            let lasts = draw.between(0.6, 1.3);
            let left = at + lasts * draw.between(0.7, 0.95);
            _ = writeln!(text, "[[load.surge]]\nat = {at:.2}\nfor = {lasts:.2}\nfactor = 4");
            _ = writeln!(text, "[[load.gust]]\nat = {left:.2}\nshare = 0.8");
            fault(text, "stands-still", at, &format!("for = {lasts:.2}"));
        }
    }

    fn servers(&self, draw: &mut Draw, text: &mut String) {
        for _ in 0..4 {
            let kind = draw.one(&PARTIAL);
            let (at, lasts) = self.span(draw);
            let (share, servers) = (draw.between(0.05, 0.6), draw.several(3, SERVERS));
            fault(text, kind, at, &format!("for = {lasts:.2}\nshare = {share:.2}\ncaches = {servers:?}"));
        }
        for kind in ["hangs", "stands-still", "vanishes"] {
            let (at, lasts) = self.span(draw);
            let servers = draw.several(2, SERVERS);
            fault(text, kind, at, &format!("for = {lasts:.2}\ncaches = {servers:?}"));
        }
        let (at, servers) = (draw.between(0.1, 0.8) * self.seconds, draw.several(2, SERVERS));
        fault(text, "restarts", at, &format!("down = 0.7\ncaches = {servers:?}"));
        if draw.chance(0.5) {
            let (at, lasts) = self.span(draw);
            let zone = draw.one(&ZONES[1..]);
            fault(text, "zone-cut", at, &format!("for = {lasts:.2}\nzone = \"{zone}\""));
        }
    }

    /// A quarter of the processes each is killed, terminated, or stopped for a moment; some are notified that discovery has moved.
    fn processes(&self, draw: &mut Draw, text: &mut String) {
        let part = (self.proxies / 4).max(1);
        let (at, some) = (draw.between(0.1, 0.8) * self.seconds, draw.several(part, self.proxies));
        fault(text, "proxy-kill", at, &format!("down = 0.4\nproxies = {some:?}"));
        let at = draw.between(0.1, 0.8) * self.seconds;
        let others: Vec<usize> = (0..self.proxies).filter(|proxy| !some.contains(proxy)).collect();
        let terminated: Vec<usize> = others.iter().copied().step_by(4).collect();
        fault(text, "proxy-term", at, &format!("down = 0.2\nproxies = {terminated:?}"));
        let moved: Vec<usize> = others.iter().copied().skip(1).step_by(4).collect();
        for _ in 0..2 {
            let at = draw.between(0.1, 0.9) * self.seconds;
            fault(text, "proxy-hup", at, &format!("proxies = {moved:?}"));
        }
        let held: Vec<usize> = others.iter().copied().skip(2).step_by(4).collect();
        for _ in 0..3 {
            let at = draw.between(0.1, 0.9) * self.seconds;
            fault(text, "proxy-stop", at, &format!("for = 0.15\nproxies = {held:?}"));
        }
    }

    fn span(&self, draw: &mut Draw) -> (f64, f64) {
        (draw.between(0.05, 0.85) * self.seconds, draw.between(0.5, 4.0))
    }
}

fn fault(text: &mut String, kind: &str, at: f64, more: &str) {
    // Writing to a string does not fail.
    _ = writeln!(text, "[[trouble]]\nkind = \"{kind}\"\nat = {at:.2}\n{more}");
}
