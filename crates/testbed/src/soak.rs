//! Random, overlapping faults over a few dozen real processes: a seed is an experiment, and the judge's rules are the test.
//!
//! Each fault of the catalogue hits each run at a moment, for a time and with a strength drawn from the seed, so that any two may
//! meet. Discovery fails at least once, in one of its ways, and servers begin to drain as it returns.
//!
//! The order of the draws is part of the experiment: a seed has to give the same text from one version to the next.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::fmt::Write;

/// What a run is made from.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// All else is drawn from it.
    pub seed: u64,
    /// How long requests arrive.
    pub seconds: f64,
    /// How many processes.
    pub proxies: usize,
}

const SERVERS: usize = 15;
const ZONES: [&str; 3] = ["north", "middle", "south"];
const OUTAGES: [&str; 6] = ["closes", "refuses", "unavailable", "unavailable-late", "silent", "half-answer"];
/// Faults of servers that affect a share of what they get.
const PARTIAL: [&str; 6] = ["fails", "loses", "turns-away", "resets", "half-answers", "spoils"];
/// How many of these hit a run.
const PARTIAL_FAULTS: usize = 4;
/// Requests a second and proxy: traffic is thin, as in a large fleet.
const RATE: f64 = 12.0;
/// Of the processes, each of the four kinds of faults hits this part.
const PROCESS_PART: usize = 4;

struct RandomDraws(ChaCha8Rng);

impl RandomDraws {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    fn below(&mut self, end: usize) -> usize {
        (self.0.random::<f64>() * end as f64) as usize
    }

    fn one_of<'a>(&mut self, choices: &[&'a str]) -> &'a str {
        choices[self.below(choices.len())]
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
        let draw = RandomDraws(ChaCha8Rng::seed_from_u64(self.seed));
        let mut experiment = SoakText { soak: *self, draw, text: String::new() };
        experiment.write_tables();
        experiment.add_discovery_faults();
        experiment.add_crowds();
        experiment.add_server_faults();
        experiment.add_process_faults();
        experiment.text
    }
}

/// An experiment that is being drawn.
struct SoakText {
    soak: Soak,
    draw: RandomDraws,
    text: String,
}

impl SoakText {
    /// All tables but the faults.
    fn write_tables(&mut self) {
        let Soak { seed, seconds, proxies } = self.soak;
        let draw = &mut self.draw;
        let retries = draw.below(3);
        let cancel_share = draw.between(0.0, 0.1);
        let cancellation = draw.chance(0.7);
        let hedging = draw.chance(0.7);
        let sockets = [48, 96, 1024][draw.below(3)];
        let max_attempts = 2 + draw.below(4);
        let list_call_ms = draw.between(1.0, 3000.0 / proxies as f64);
        let group = draw.one_of(&["all", "zone", "cell"]);
        let rate = RATE * proxies as f64;
        self.text = format!(
            "title = \"Soak, seed {seed}\"\nseed = {seed}\nseconds = {seconds}\n\
             [world]\nzones = {ZONES:?}\ncaches = {SERVERS}\ncold_s = 4\nlist_late_s = 0\nlist_call_ms = {list_call_ms:.1}\n\
             fall_multiple = 4\n\
             [fleet]\nproxies = {proxies}\nnotice_s = 0.5\nsecond_copies = {hedging}\nmost_shots = {max_attempts}\n\
             sockets = {sockets}\nwithdrawals = {cancellation}\n\
             [load]\nrate = {rate}\nclients = 200\nkeys = 1500\nretries = {retries}\nleave = {cancel_share:.3}\n\
             [[namespace]]\nname = \"page\"\nshare = 4\ntarget_ms = 500\nlimit_ms = 1500\nwork_ms = 4\n\
             [[namespace]]\nname = \"record\"\nwrite = true\nrepeats = \"tagged\"\ngroup = \"{group}\"\n\
             window_ms = 800\ntarget_ms = 800\nlimit_ms = 2000\nwork_ms = 4\n\
             [[namespace]]\nname = \"once\"\nrepeats = \"single-use\"\ntarget_ms = 800\nlimit_ms = 1500\nwork_ms = 4\n"
        );
    }

    /// Adds a fault. Writing to a string does not fail.
    fn add_fault(&mut self, kind: &str, at: f64, fields: &str) {
        _ = writeln!(self.text, "[[trouble]]\nkind = \"{kind}\"\nat = {at:.2}\n{fields}");
    }

    /// A moment within a part of the run.
    fn moment(&mut self, from: f64, to: f64) -> f64 {
        self.draw.between(from, to) * self.soak.seconds
    }

    /// How long a fault lasts.
    fn duration(&mut self) -> f64 {
        self.draw.between(0.5, 4.0)
    }

    /// Discovery is down once or twice, at least once for long; servers drain as it returns, and accept what they get for long
    /// after.
    fn add_discovery_faults(&mut self) {
        let outage = self.draw.one_of(&OUTAGES);
        let duration = self.draw.between(0.4, 0.55) * self.soak.seconds;
        let at = self.draw.between(1.0, 4.0);
        self.add_fault("list-down", at, &format!("for = {duration:.2}\nhow = \"{outage}\""));
        let back = at + duration + self.draw.between(0.0, 0.3);
        let drained = self.draw.several(5, SERVERS);
        let every = self.draw.between(0.05, 0.5);
        let fields = format!("every = {every:.2}\ndrain = 11\ndown = 0.5\ncaches = {drained:?}");
        self.add_fault("rolling-deploy", back, &fields);
        if self.draw.chance(0.5) {
            let at = self.moment(0.6, 0.9);
            self.add_fault("list-silent", at, "");
        }
        if self.draw.chance(0.5) {
            let at = self.moment(0.85, 0.95);
            let duration = self.draw.between(0.2, 2.0);
            let outage = self.draw.one_of(&OUTAGES);
            self.add_fault("list-down", at, &format!("for = {duration:.2}\nhow = \"{outage}\""));
        }
    }

    /// All servers stand still under a surge, so that requests wait for slots and connections; most clients cancel before they
    /// go on.
    fn add_crowds(&mut self) {
        for part in [0.05, 0.7] {
            let at = self.moment(part, part + 0.2);
            let duration = self.draw.between(0.6, 1.3);
            let cancelled = at + duration * self.draw.between(0.7, 0.95);
            _ = writeln!(self.text, "[[load.surge]]\nat = {at:.2}\nfor = {duration:.2}\nfactor = 4");
            _ = writeln!(self.text, "[[load.gust]]\nat = {cancelled:.2}\nshare = 0.8");
            self.add_fault("stands-still", at, &format!("for = {duration:.2}"));
        }
    }

    fn add_server_faults(&mut self) {
        for _ in 0..PARTIAL_FAULTS {
            let kind = self.draw.one_of(&PARTIAL);
            let at = self.moment(0.05, 0.85);
            let duration = self.duration();
            let share = self.draw.between(0.05, 0.6);
            let servers = self.draw.several(3, SERVERS);
            let fields = format!("for = {duration:.2}\nshare = {share:.2}\ncaches = {servers:?}");
            self.add_fault(kind, at, &fields);
        }
        for kind in ["hangs", "stands-still", "vanishes"] {
            let at = self.moment(0.05, 0.85);
            let duration = self.duration();
            let servers = self.draw.several(2, SERVERS);
            self.add_fault(kind, at, &format!("for = {duration:.2}\ncaches = {servers:?}"));
        }
        let at = self.moment(0.1, 0.8);
        let servers = self.draw.several(2, SERVERS);
        self.add_fault("restarts", at, &format!("down = 0.7\ncaches = {servers:?}"));
        if self.draw.chance(0.5) {
            let at = self.moment(0.05, 0.85);
            let duration = self.duration();
            // The first zone has the origin and the list.
            let zone = self.draw.one_of(&ZONES[1..]);
            self.add_fault("zone-cut", at, &format!("for = {duration:.2}\nzone = \"{zone}\""));
        }
    }

    /// A quarter of the processes each is killed, terminated, notified that discovery has moved, or stopped for a moment.
    fn add_process_faults(&mut self) {
        let proxies = self.soak.proxies;
        let at = self.moment(0.1, 0.8);
        let killed = self.draw.several((proxies / PROCESS_PART).max(1), proxies);
        self.add_fault("proxy-kill", at, &format!("down = 0.4\nproxies = {killed:?}"));
        let others: Vec<usize> = (0..proxies).filter(|proxy| !killed.contains(proxy)).collect();
        let every_fourth = |first: usize| -> Vec<usize> {
            others.iter().copied().skip(first).step_by(PROCESS_PART).collect()
        };
        let (terminated, moved, stopped) = (every_fourth(0), every_fourth(1), every_fourth(2));
        let at = self.moment(0.1, 0.8);
        self.add_fault("proxy-term", at, &format!("down = 0.2\nproxies = {terminated:?}"));
        for _ in 0..2 {
            let at = self.moment(0.1, 0.9);
            self.add_fault("proxy-hup", at, &format!("proxies = {moved:?}"));
        }
        for _ in 0..3 {
            let at = self.moment(0.1, 0.9);
            self.add_fault("proxy-stop", at, &format!("for = 0.15\nproxies = {stopped:?}"));
        }
    }
}
