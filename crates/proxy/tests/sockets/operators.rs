//! What operators do to a running proxy: each test prints what they, clients and stand-ins saw.

use super::*;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

/// A proxy whose clients' listener is held by the test, as the platform holds it.
struct SharedListener {
    listener: TcpListener,
    folder: PathBuf,
    configuration: Value,
}

/// One of its processes.
struct Process {
    child: Child,
    console: SocketAddr,
}

impl SharedListener {
    fn new(name: &str, servers: &[Value]) -> SharedListener {
        SharedListener::with(name, servers, vec![whole(2, servers)])
    }

    fn with(name: &str, servers: &[Value], listed: Vec<String>) -> SharedListener {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let listener = TcpListener::bind(own_address()).unwrap();
        let (of_list, at) = a_listener();
        list(of_list, listed, Default::default());
        let configuration = configuration(listener.local_addr().unwrap(), at, servers, 256);
        SharedListener { listener, folder, configuration }
    }

    fn start(&self) -> Process {
        let console = own_address();
        let mut configuration = self.configuration.clone();
        configuration["console"] = json!(console.to_string());
        let path = a_file();
        std::fs::write(&path, configuration.to_string()).unwrap();
        let proxy = env!("CARGO_BIN_EXE_chalkwalk");
        let command = format!("exec 4<&0; exec {proxy} serve --config {path}");
        let mut sh = Command::new("sh");
        sh.args(["-c", &command]).env("ROUTER_FD", "4").env("TMPDIR", &self.folder);
        let inherited = Stdio::from(OwnedFd::from(self.listener.try_clone().unwrap()));
        Process { child: sh.stdin(inherited).stderr(Stdio::piped()).spawn().unwrap(), console }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream
    }
}

/// What the operators' door says to a call: the status alone, or none.
fn call(console: SocketAddr, method: &str, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(console) else { return "nobody".into() };
    // Answers are due within one.
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n").as_bytes()).unwrap();
    message(&mut stream).map_or("closed".into(), |(head, _)| head[9..12].to_string())
}

impl Process {
    fn call(&self, method: &str, path: &str) -> String {
        call(self.console, method, path)
    }

    fn wait_ready(&self) {
        wait_for(|| self.call("GET", "/control/ready") == "200");
    }

    fn signal(&self, name: &str) {
        Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// The answer's status, and whether the connection is closed with it.
fn ask(stream: &mut TcpStream, key: &str) -> String {
    let text = format!(
        "GET /api/{key} HTTP/1.1\r\nX-Correlation-Id: {key}\r\nX-Service-Class: page\r\nX-Time-Left: 1.5\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).unwrap();
    let Some((head, _)) = message(stream) else { return "lost".into() };
    format!("{}{}", &head[9..12], if head.contains("Connection: close") { " and closes" } else { "" })
}

fn servers(names: &[&'static str]) -> (Observed, Vec<Value>) {
    let (observed, mut lines) = (Observed::default(), Vec::new());
    for name in names {
        let (listener, addr) = a_listener();
        lines.push(line(name, addr, "SERVING"));
        stand_in_server(listener, observed.clone(), name, hit);
    }
    (observed, lines)
}

/// A second process takes over the listener; the first tells its clients to close with their answers, and no one meets a
/// connection that is gone. What is spoilt in the folder is passed over.
#[test]
fn a_new_version_takes_over_under_load() {
    let (_observed, lines) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("upgrade", &lines);
    std::fs::write(shared.folder.join("chalkwalk.p.1.handover"), "half a").unwrap();
    let mut old = shared.start();
    old.wait_ready();
    let mut client = shared.connect();
    let mut seen = vec![ask(&mut client, "k1")];
    let new = shared.start();
    new.wait_ready();
    seen.push(ask(&mut client, "k2"));
    old.signal("-TERM");
    // Within the second, whatever its place.
    sleep(Duration::from_millis(1100));
    seen.push(ask(&mut client, "k3"));
    let mut other = shared.connect();
    seen.push(ask(&mut other, "k4"));
    seen.push(format!("old: {}", old.child.wait().unwrap()));
    seen.push(format!("{} {}", ask(&mut other, "k5"), new.call("GET", "/control/ready")));
    expect![[r#"
        200
        200
        200 and closes
        200
        old: exit status: 0
        200 200"#]]
    .assert_eq(&seen.join("\n"));
}

/// A successor that is gone again took nothing over: the old process, signalled to end, still accepts clients.
#[test]
fn a_successor_that_is_gone_again_leaves_the_old_process_as_it_was() {
    let (_observed, lines) = servers(&["amber"]);
    let shared = SharedListener::new("gone", &lines);
    let old = shared.start();
    old.wait_ready();
    let new = shared.start();
    new.wait_ready();
    sleep(Duration::from_millis(300)); // the old one has read of it
    drop(new);
    old.signal("-TERM");
    sleep(Duration::from_millis(100));
    expect!["200"].assert_eq(&ask(&mut shared.connect(), "k"));
}

/// Emptied and then signalled to end: idle connections are closed by whichever comes first.
#[test]
fn an_emptied_proxy_that_is_signalled_to_end_holds_no_connection_longer() {
    let (_observed, lines) = servers(&["amber"]);
    let shared = SharedListener::new("both", &lines);
    let process = shared.start();
    process.wait_ready();
    let mut idle = shared.connect();
    ask(&mut idle, "k");
    process.call("POST", "/control/out-of-service");
    let emptied = Instant::now();
    sleep(Duration::from_millis(900));
    process.signal("-TERM");
    let closed = message(&mut idle).is_none();
    expect!["true true"].assert_eq(&format!("{closed} {}", emptied.elapsed() < Duration::from_millis(2200)));
}

/// Calls that are none get their own no, and the silent ones make way.
#[test]
fn the_admin_listener_rejects_what_is_no_call() {
    let (_observed, lines) = servers(&["amber"]);
    let shared = SharedListener::new("door", &lines);
    let process = shared.start();
    process.wait_ready();
    let silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(process.console).unwrap()).collect();
    let mut half = TcpStream::connect(process.console).unwrap();
    half.write_all(b"GET /control/rea").unwrap();
    let mut seen = Vec::new();
    for (method, path) in [
        ("GET", "/control/ready"),
        ("POST", "/control/ready"),
        ("GET", "/control"),
        ("GET", "/"),
        ("{}", "x"),
    ] {
        seen.push(process.call(method, path));
    }
    seen.push(format!(
        "half a call: {}",
        message(&mut half).map_or("closed".into(), |(head, _)| head[9..12].to_string())
    ));
    drop(silent);
    expect!["200 405 404 404 400 half a call: 408"].assert_eq(&seen.join(" "));
}

/// Out of service the proxy says so, serves on the connections it has, closes them with their answers or idle, and is
/// back at once. A server out and the service out hold over an upgrade; ids that nobody has are no ids.
#[test]
fn a_drain_empties_the_proxy_and_overrides_hold_over_an_upgrade() {
    let (observed, lines) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("drain", &lines);
    let mut old = shared.start();
    old.wait_ready();
    let mut seen = Vec::new();
    let out =
        ["ember", "birch", "birch"].map(|id| old.call("POST", &format!("/control/cache-nodes/{id}/offline")));
    seen.push(format!("out {}", out.join(" ")));
    let (mut busy, mut idle) = (shared.connect(), shared.connect());
    seen.push(format!("{} {}", ask(&mut busy, "a1"), ask(&mut idle, "a2")));
    seen.push(format!("up {}", up(&shared)));
    seen.push(old.call("POST", "/control/out-of-service"));
    seen.push(format!("up {}", up(&shared)));
    sleep(Duration::from_millis(1050));
    seen.push(ask(&mut busy, "a3"));
    seen.push(format!("idle: {}", message(&mut idle).map_or("closed", |_| "an answer")));
    let new = shared.start();
    new.wait_ready();
    old.signal("-TERM");
    seen.push(format!("old: {}, up {}", old.child.wait().unwrap(), up(&shared)));
    seen.push(format!("{} up {}", new.call("POST", "/control/in-service"), up(&shared)));
    let mut client = shared.connect();
    (0..30).for_each(|i| _ = ask(&mut client, &format!("b{i}")));
    let of = |name: &str| observed.lines.lock().unwrap().iter().filter(|l| l.starts_with(name)).count();
    seen.push(format!("to birch: {}", of("birch")));
    seen.push(new.call("POST", "/control/cache-nodes/birch/online"));
    (0..30).for_each(|i| _ = ask(&mut client, &format!("c{i}")));
    seen.push(format!("back: {}", of("birch") > 0));
    expect![[r#"
        out 404 200 200
        200 200
        up 200
        200
        up 503
        200 and closes
        idle: closed
        old: exit status: 0, up 503
        200 up 200
        to birch: 0
        200
        back: true"#]]
    .assert_eq(&seen.join("\n"));
}

fn up(shared: &SharedListener) -> String {
    let mut stream = shared.connect();
    stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    message(&mut stream).map_or("none".into(), |(head, _)| head[9..12].to_string())
}

/// Slow enough that settings change meanwhile.
fn slow(_: usize) -> (&'static str, bool) {
    sleep(Duration::from_millis(600));
    ("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 4\r\n\r\nslow", false)
}

/// Classes come and go at SIGHUP, and what is open keeps its own; of a file that is wrong anywhere nothing is taken.
#[test]
fn new_settings_are_applied_whole_or_not_at_all() {
    let mut setup = ProxySetup::new(&[("amber", slow)]);
    let read = || serde_json::from_str::<Value>(&std::fs::read_to_string(&setup.path).unwrap()).unwrap();
    let classes = |setup: &ProxySetup| {
        let of = ["page", "once", "fresh"].map(|ns| {
            let mut client = setup.client();
            setup.write(&mut client, "GET", ns, "k");
            message(&mut client).map_or("none".into(), |(head, _)| head[9..12].to_string())
        });
        of.join(" ")
    };
    setup.observed.record(format!("before: {}", classes(&setup)));
    let good = read();
    let with = |path: &str, value: Value| {
        let mut settings = good.clone();
        *settings.pointer_mut(path).unwrap() = value;
        settings.to_string()
    };
    let mut lacks = good.clone();
    lacks["settings"]["ceilings"].as_object_mut().unwrap().remove("mostShots");
    let limit = "/settings/namespaces/0/timeLimitNs";
    let huge = with(limit, json!(77)).replace("77", "1e999");
    // Cut within a word that is always there: addresses ahead of it differ in length from run to run.
    let cut_short = good.to_string().split_inclusive("cancell").next().unwrap().to_string();
    let bad = [
        String::new(),
        cut_short,
        lacks.to_string(),
        with(limit, json!(-5)),
        with(limit, json!(0)),
        with(limit, json!("2 s")),
        with(limit, json!(77)).replace("77", "NaN"),
        huge,
        with(limit, json!(1e18)),
        with(limit, Value::Null),
        with("/settings/ceilings/mostShots", json!(0)),
        with("/settings/ceilings/mostShots", json!(2.5)),
        with("/settings/namespaces/1/name", json!("page")),
    ];
    for text in bad {
        std::fs::write(&setup.path, text).unwrap();
        setup.signal("-HUP");
        sleep(Duration::from_millis(100));
    }
    setup.observed.record(format!("after bad ones: {}", classes(&setup)));
    let mut open = setup.client();
    setup.write(&mut open, "GET", "once", "open");
    let mut fresh = good.clone();
    fresh["settings"]["namespaces"][1]["name"] = json!("fresh");
    fresh["settings"]["ceilings"]["mostShots"] = json!(1);
    std::fs::write(&setup.path, fresh.to_string()).unwrap();
    sleep(Duration::from_millis(100));
    setup.signal("-HUP");
    setup.record_response(&mut open);
    setup.observed.record(format!("after a good one: {}", classes(&setup)));
    setup.observed.lines.lock().unwrap().retain(|line| !line.starts_with("amber"));
    setup.signal("-KILL");
    let mut log = String::new();
    setup.proxy.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    for line in log.lines() {
        if let Some((_, fault)) = line.split_once("rejected, fault: ") {
            // Where in the file depends on the ports in it.
            let fault = fault.split(" at line").next().unwrap().trim_end_matches(", proxy: p");
            setup.observed.record(fault.replace(&setup.path, "FILE"));
        }
    }
    setup.assert_observed(expect![[r#"
        before: 200 200 400
        after bad ones: 200 200 400
        client: 200 slow
        after a good one: 200 400 200
        FILE is not valid JSON: EOF while parsing a value
        FILE is not valid JSON: EOF while parsing a string
        field settings.ceilings.mostShots: missing, but present when the process started
        setting namespaces[0].timeLimitNs: expected a time above 0 and up to an hour
        setting namespaces[0].timeLimitNs: expected a time above 0 and up to an hour
        setting namespaces[0].timeLimitNs: expected a number, got "2 s"
        FILE is not valid JSON: expected value
        FILE is not valid JSON: number out of range
        setting namespaces[0].timeLimitNs: expected a time above 0 and up to an hour
        field settings.namespaces[].timeLimitNs: missing, but present when the process started
        setting ceilings.mostShots: expected a whole number above 0, got 0
        setting ceilings.mostShots: expected a whole number above 0, got 2.5
        setting namespaces[1].name: "page" is defined twice
    "#]]);
}

/// Lists of a thousand servers, for one of a thousand proxies: a start, a drain of a third, calls of operators for another
/// third, an upgrade. Each third of them stands at one address; memory stays well under the least that a proxy is given.
#[test]
fn a_thousand_servers_are_listed_drained_disabled_and_handed_over() {
    let (observed, at) = servers(&["a", "b", "c"]);
    let lines = |of_a: &str| -> Vec<Value> {
        let line = |i: usize| {
            let mut line = at[i % 3].clone();
            line["id"] = json!(format!("cache-{i:04}"));
            line["state"] = json!(if i.is_multiple_of(3) { of_a } else { "SERVING" });
            line
        };
        (0..1024).map(line).collect()
    };
    let changes = json!({"version": 3, "full": false, "servers": lines("DRAINING")}).to_string();
    let mut shared =
        SharedListener::with("many", &lines("SERVING"), vec![whole(2, &lines("SERVING")), changes]);
    shared.configuration["settings"]["balancers"] = json!(1024);
    let (mut old, mut seen) = (shared.start(), Vec::new());
    old.wait_ready();
    sleep(Duration::from_millis(500)); // the drain has come
    let mut asked = |what: &str| {
        observed.lines.lock().unwrap().clear();
        let mut client = shared.connect();
        let resolved = (0..300).filter(|i| ask(&mut client, &format!("{what}-{i}")) == "200").count();
        let of =
            ["a:", "b:", "c:"].map(|name| observed.lines.lock().unwrap().iter().any(|l| l.starts_with(name)));
        seen.push(format!("{what}: {resolved} of 300 resolved; some of each third: {of:?}"));
    };
    asked("drained");
    let out = |i: usize| old.call("POST", &format!("/control/cache-nodes/cache-{i:04}/offline"));
    assert!((1..1024).step_by(3).all(|i| out(i) == "200") && out(1024) == "404");
    asked("taken-out");
    let new = shared.start();
    new.wait_ready();
    old.signal("-TERM");
    assert!(old.child.wait().unwrap().success());
    asked("handed-over");
    let status = std::fs::read_to_string(format!("/proc/{}/status", new.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    assert!(peak.unwrap().parse::<u64>().unwrap() < 32_000, "{peak:?} kB");
    expect![[r#"
        drained: 300 of 300 resolved; some of each third: [false, true, true]
        taken-out: 300 of 300 resolved; some of each third: [false, false, true]
        handed-over: 300 of 300 resolved; some of each third: [false, false, true]"#]]
    .assert_eq(&seen.join("\n"));
}

/// A disk that holds up whoever writes to it holds up no request and no answer to operators, and what they set is in force.
#[test]
fn a_disk_that_stands_still_holds_up_nobody() {
    let (observed, lines) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("slow-disk", &lines);
    let process = shared.start();
    process.wait_ready();
    // Whoever opens a pipe to write waits for a reader, and there is none.
    let pipe = shared.folder.join(format!("chalkwalk.p.{}.new", process.child.id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    assert_eq!(process.call("POST", "/control/cache-nodes/amber/offline"), "200");
    let mut client = shared.connect();
    let answers: Vec<String> = (0..8).map(|i| ask(&mut client, &format!("d{i}"))).collect();
    assert_eq!(answers, ["200"; 8]);
    let seen = observed.lines.lock().unwrap().clone();
    assert!(seen.iter().all(|line| line.starts_with("birch")), "{seen:?}");
    // Others wait for the same disk; the last override holds, written or not.
    assert_eq!(process.call("POST", "/control/cache-nodes/amber/online"), "200");
    assert_eq!(process.call("POST", "/control/cache-nodes/birch/offline"), "200");
    assert_eq!(ask(&mut client, "back"), "200");
    assert_eq!(observed.lines.lock().unwrap().last().unwrap(), "amber: GET /api/back");
    std::fs::read(&pipe).unwrap();
    assert_eq!(process.call("GET", "/control/ready"), "200");
}

/// The first requests after a switch, with what the process before learned, without it, and with that spoilt: none is lost, a
/// server that turns all away is asked less where that was learned, the draining one not at all, and the cold one little.
#[test]
fn the_first_seconds_after_a_switch_keep_every_rule_with_learned_figures_or_without() {
    const FULL: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let names = ["amber", "birch", "cedar", "delta"];
    let (observed, mut lines) = (Observed::default(), Vec::new());
    for name in names {
        let (listener, addr) = a_listener();
        lines.push(line(name, addr, if name == "cedar" { "DRAINING" } else { "SERVING" }));
        stand_in_server(
            listener,
            observed.clone(),
            name,
            if name == "birch" { |_| (FULL, false) } else { hit },
        );
    }
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    lines[3]["started_ms"] = json!(now.as_millis() as u64);
    let mut shared = SharedListener::new("switch", &lines);
    shared.configuration["settings"]["rules"] =
        json!({"drainGraceNs": 1_000_000_000, "coldNs": 60_000_000_000u64, "startCapacity": 0.12});
    let setup = |process: &Process, first: usize| {
        process.wait_ready();
        observed.lines.lock().unwrap().clear();
        let mut client = shared.connect();
        let answers: Vec<String> = (first..first + 40).map(|i| ask(&mut client, &format!("k{i}"))).collect();
        let seen = observed.lines.lock().unwrap().join("\n");
        // An answer is 200, or 503 where the budget of retries is spent.
        let lost = answers.iter().filter(|a| !["200", "503"].contains(&a.as_str())).count();
        assert!(answers.iter().filter(|a| *a == "200").count() >= 30, "{answers:?}");
        (lost, names.map(|name| seen.matches(&format!("{name}: GET")).count()))
    };
    let files = || {
        let all = std::fs::read_dir(&shared.folder).unwrap().flatten().map(|f| f.path());
        all.filter(|f| f.extension().is_some_and(|e| e == "handover")).collect::<Vec<_>>()
    };
    let mut old = shared.start();
    let before = setup(&old, 0);
    old.signal("-TERM");
    old.child.wait().unwrap();
    let kept: Vec<(PathBuf, String)> =
        files().into_iter().map(|f| (f.clone(), std::fs::read_to_string(f).unwrap())).collect();
    let days = ["carried", "spoilt", "none"].map(|how| {
        files().iter().for_each(|f| std::fs::remove_file(f).unwrap());
        for (file, text) in kept.iter().filter(|_| how != "none") {
            let text = if how == "spoilt" { text.replace("birch", "bixch") } else { text.clone() };
            std::fs::write(file, text).unwrap();
        }
        setup(&shared.start(), 0)
    });
    let [carried, spoilt, none] = days;
    for (lost, [_, _, draining, cold]) in [before, carried, spoilt, none] {
        assert_eq!((lost, draining), (0, 0));
        assert!(cold <= 15, "{cold} to the cold one");
    }
    let birch = [carried, spoilt, none].map(|(_, seen)| seen[1]);
    assert!(birch[0] * 2 <= birch[1] && birch[1] == birch[2], "{birch:?} to the full one");
}
