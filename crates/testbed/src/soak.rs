//! Soak tests: random, overlapping faults over a few dozen real processes. Each seed gives one
//! experiment, which passes if no rule of the oracle is broken.
//!
//! Faults of discovery, overload, servers and processes hit every run. The seed determines when a
//! fault starts, how long it lasts and how strong it is, so that any two faults may overlap.
//! Discovery fails at least once, in one of the ways of `Outage`, and servers begin to drain as it
//! returns.
//!
//! The order of the random draws is part of the experiment: a seed has to give the same text in
//! every version of the testbed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::fmt::Write;

/// Parameters of one soak experiment.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Seed of all random draws.
    pub seed: u64,
    /// For how long requests arrive, in seconds.
    pub seconds: f64,
    /// Number of proxy processes.
    pub proxies: usize,
}

const SERVERS: usize = 15;
const ZONES: [&str; 3] = ["north", "middle", "south"];
const OUTAGES: [&str; 6] = ["closes", "refuses", "unavailable", "unavailable-late", "silent", "half-answer"];
/// Kinds of faults of servers that affect a share of the requests to them.
const PARTIAL_FAULT_KINDS: [&str; 6] = ["fails", "loses", "turns-away", "resets", "half-answers", "spoils"];
/// How many faults of these kinds are injected into a run.
const PARTIAL_FAULT_COUNT: usize = 4;
/// Requests per second and proxy. The rate is low, as it is for each proxy of a large fleet.
const RATE_PER_PROXY: f64 = 12.0;
/// SIGKILL hits one in this many proxies; SIGTERM, SIGHUP and SIGSTOP each hit one in this many of
/// the others.
const PROCESS_GROUPS: usize = 4;

struct RandomDraws(ChaCha8Rng);

impl RandomDraws {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    fn index_below(&mut self, end: usize) -> usize {
        (self.0.random::<f64>() * end as f64) as usize
    }

    fn one_of<'a>(&mut self, choices: &[&'a str]) -> &'a str {
        choices[self.index_below(choices.len())]
    }

    fn with_probability(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    /// Draws `count` different numbers below `end` and returns them in ascending order.
    fn distinct_indices(&mut self, count: usize, end: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..end).collect();
        let mut drawn: Vec<usize> =
            (0..count.min(end)).map(|_| all.remove(self.index_below(all.len()))).collect();
        drawn.sort_unstable();
        drawn
    }
}

impl Soak {
    /// The experiment in the format of an experiment file.
    pub fn text(&self) -> String {
        let draw = RandomDraws(ChaCha8Rng::seed_from_u64(self.seed));
        let mut experiment = SoakText { soak: *self, draw, text: String::new() };
        experiment.write_tables();
        experiment.add_discovery_faults();
        experiment.add_overload();
        experiment.add_server_faults();
        experiment.add_process_faults();
        experiment.text
    }
}

/// The text of an experiment while it is being generated.
struct SoakText {
    soak: Soak,
    draw: RandomDraws,
    text: String,
}

impl SoakText {
    /// Writes all tables except the faults.
    fn write_tables(&mut self) {
        let Soak { seed, seconds, proxies } = self.soak;
        let draw = &mut self.draw;
        let retries = draw.index_below(3);
        let cancel_share = draw.between(0.0, 0.1);
        let cancellation = draw.with_probability(0.7);
        let hedging = draw.with_probability(0.7);
        let sockets = [48, 96, 1024][draw.index_below(3)];
        let max_attempts = 2 + draw.index_below(4);
        let list_call_ms = draw.between(1.0, 3000.0 / proxies as f64);
        let group = draw.one_of(&["all", "zone", "cell"]);
        let rate = RATE_PER_PROXY * proxies as f64;
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

    /// Adds a fault. The result is ignored, as writing to a string does not fail.
    fn add_fault(&mut self, kind: &str, at: f64, fields: &str) {
        _ = writeln!(self.text, "[[trouble]]\nkind = \"{kind}\"\nat = {at:.2}\n{fields}");
    }

    /// Draws a time in seconds within a part of the run, given as fractions of its length.
    fn time_within(&mut self, from: f64, to: f64) -> f64 {
        self.draw.between(from, to) * self.soak.seconds
    }

    /// Draws the duration of a fault, in seconds.
    fn duration(&mut self) -> f64 {
        self.draw.between(0.5, 4.0)
    }

    /// Adds one or two outages of discovery, at least one of them long. Servers start draining as
    /// discovery returns, and keep accepting requests for a long time afterwards.
    fn add_discovery_faults(&mut self) {
        let outage = self.draw.one_of(&OUTAGES);
        let duration = self.draw.between(0.4, 0.55) * self.soak.seconds;
        let at = self.draw.between(1.0, 4.0);
        self.add_fault("list-down", at, &format!("for = {duration:.2}\nhow = \"{outage}\""));
        let deploy_at = at + duration + self.draw.between(0.0, 0.3);
        let drained = self.draw.distinct_indices(5, SERVERS);
        let every = self.draw.between(0.05, 0.5);
        let fields = format!("every = {every:.2}\ndrain = 11\ndown = 0.5\ncaches = {drained:?}");
        self.add_fault("rolling-deploy", deploy_at, &fields);
        if self.draw.with_probability(0.5) {
            let at = self.time_within(0.6, 0.9);
            self.add_fault("list-silent", at, "");
        }
        if self.draw.with_probability(0.5) {
            let at = self.time_within(0.85, 0.95);
            let duration = self.draw.between(0.2, 2.0);
            let outage = self.draw.one_of(&OUTAGES);
            self.add_fault("list-down", at, &format!("for = {duration:.2}\nhow = \"{outage}\""));
        }
    }

    /// Stalls all servers during a surge, so that requests wait for slots and connections; most
    /// clients cancel before the servers resume.
    fn add_overload(&mut self) {
        for earliest in [0.05, 0.7] {
            let at = self.time_within(earliest, earliest + 0.2);
            let duration = self.draw.between(0.6, 1.3);
            let cancelled_at = at + duration * self.draw.between(0.7, 0.95);
            _ = writeln!(self.text, "[[load.surge]]\nat = {at:.2}\nfor = {duration:.2}\nfactor = 4");
            _ = writeln!(self.text, "[[load.gust]]\nat = {cancelled_at:.2}\nshare = 0.8");
            self.add_fault("stands-still", at, &format!("for = {duration:.2}"));
        }
    }

    fn add_server_faults(&mut self) {
        for _ in 0..PARTIAL_FAULT_COUNT {
            let kind = self.draw.one_of(&PARTIAL_FAULT_KINDS);
            let at = self.time_within(0.05, 0.85);
            let duration = self.duration();
            let share = self.draw.between(0.05, 0.6);
            let servers = self.draw.distinct_indices(3, SERVERS);
            let fields = format!("for = {duration:.2}\nshare = {share:.2}\ncaches = {servers:?}");
            self.add_fault(kind, at, &fields);
        }
        for kind in ["hangs", "stands-still", "vanishes"] {
            let at = self.time_within(0.05, 0.85);
            let duration = self.duration();
            let servers = self.draw.distinct_indices(2, SERVERS);
            self.add_fault(kind, at, &format!("for = {duration:.2}\ncaches = {servers:?}"));
        }
        let at = self.time_within(0.1, 0.8);
        let servers = self.draw.distinct_indices(2, SERVERS);
        self.add_fault("restarts", at, &format!("down = 0.7\ncaches = {servers:?}"));
        if self.draw.with_probability(0.5) {
            let at = self.time_within(0.05, 0.85);
            let duration = self.duration();
            // The first zone is left out: it has the origin and the discovery service.
            let zone = self.draw.one_of(&ZONES[1..]);
            self.add_fault("zone-cut", at, &format!("for = {duration:.2}\nzone = \"{zone}\""));
        }
    }

    /// Adds four kinds of faults: SIGKILL for a quarter of the processes, and for a quarter of the
    /// others each SIGTERM, SIGHUP with a configuration that moves the discovery service to its
    /// other address, and a short SIGSTOP.
    fn add_process_faults(&mut self) {
        let proxies = self.soak.proxies;
        let at = self.time_within(0.1, 0.8);
        let killed = self.draw.distinct_indices((proxies / PROCESS_GROUPS).max(1), proxies);
        self.add_fault("proxy-kill", at, &format!("down = 0.4\nproxies = {killed:?}"));
        let others: Vec<usize> = (0..proxies).filter(|proxy| !killed.contains(proxy)).collect();
        let every_fourth = |first: usize| -> Vec<usize> {
            others.iter().copied().skip(first).step_by(PROCESS_GROUPS).collect()
        };
        let (terminated, moved, stopped) = (every_fourth(0), every_fourth(1), every_fourth(2));
        let at = self.time_within(0.1, 0.8);
        self.add_fault("proxy-term", at, &format!("down = 0.2\nproxies = {terminated:?}"));
        for _ in 0..2 {
            let at = self.time_within(0.1, 0.9);
            self.add_fault("proxy-hup", at, &format!("proxies = {moved:?}"));
        }
        for _ in 0..3 {
            let at = self.time_within(0.1, 0.9);
            self.add_fault("proxy-stop", at, &format!("for = 0.15\nproxies = {stopped:?}"));
        }
    }
}
