//! What operators do to a running proxy. Each test compares what operators, clients and stand-ins
//! observed with the expected text.

use super::*;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

/// A proxy whose client listener is held by the test, as the platform holds it.
struct SharedListener {
    listener: TcpListener,
    folder: PathBuf,
    configuration: Value,
}

/// One process of the proxy.
struct Process {
    child: Child,
    admin_addr: SocketAddr,
}

impl SharedListener {
    fn new(name: &str, servers: &[Value]) -> SharedListener {
        SharedListener::with_lists(name, servers, vec![full_list(2, servers)])
    }

    fn with_lists(name: &str, servers: &[Value], lists: Vec<String>) -> SharedListener {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let listener = TcpListener::bind(unique_address()).unwrap();
        let (list_listener, list_addr) = bind_listener();
        serve_list(list_listener, lists, Default::default());
        let configuration = configuration(listener.local_addr().unwrap(), list_addr, servers, 256);
        SharedListener { listener, folder, configuration }
    }

    fn start(&self) -> Process {
        let admin_addr = unique_address();
        let mut configuration = self.configuration.clone();
        configuration["console"] = json!(admin_addr.to_string());
        let path = unique_path();
        std::fs::write(&path, configuration.to_string()).unwrap();
        let proxy = env!("CARGO_BIN_EXE_chalkwalk");
        let command = format!("exec 4<&0; exec {proxy} serve --config {path}");
        let mut shell = Command::new("sh");
        shell.args(["-c", &command]).env("ROUTER_FD", "4").env("TMPDIR", &self.folder);
        let inherited = Stdio::from(OwnedFd::from(self.listener.try_clone().unwrap()));
        Process { child: shell.stdin(inherited).stderr(Stdio::piped()).spawn().unwrap(), admin_addr }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream
    }
}

/// Calls the admin listener. Returns the status alone, "closed" if the connection ended without a
/// response, or "nobody" if nothing listens.
fn call(admin_addr: SocketAddr, method: &str, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(admin_addr) else { return "nobody".into() };
    // Responses are due within 1 s.
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n").as_bytes()).unwrap();
    read_message(&mut stream).map_or("closed".into(), |(head, _)| head[9..12].to_string())
}

impl Process {
    fn call(&self, method: &str, path: &str) -> String {
        call(self.admin_addr, method, path)
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

/// Returns the status of the response, and whether the connection is closed with it.
fn request(stream: &mut TcpStream, key: &str) -> String {
    let text = format!(
        "GET /api/{key} HTTP/1.1\r\nX-Correlation-Id: {key}\r\nX-Service-Class: page\r\nX-Time-Left: 1.5\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).unwrap();
    let Some((head, _)) = read_message(stream) else { return "lost".into() };
    format!("{}{}", &head[9..12], if head.contains("Connection: close") { " and closes" } else { "" })
}

fn servers(names: &[&'static str]) -> (Observed, Vec<Value>) {
    let (observed, mut entries) = (Observed::default(), Vec::new());
    for name in names {
        let (listener, addr) = bind_listener();
        entries.push(list_entry(name, addr, "SERVING"));
        stand_in_server(listener, observed.clone(), name, hit);
    }
    (observed, entries)
}

/// A second process takes over the listener. The first one tells its clients with their responses
/// to close, and no client uses a connection that is already closed. A corrupt file in the folder
/// is skipped.
#[test]
fn a_new_version_takes_over_under_load() {
    let (_observed, entries) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("upgrade", &entries);
    std::fs::write(shared.folder.join("chalkwalk.p.1.handover"), "half a").unwrap();
    let mut old = shared.start();
    old.wait_ready();
    let mut client = shared.connect();
    let mut seen = vec![request(&mut client, "k1")];
    let new = shared.start();
    new.wait_ready();
    seen.push(request(&mut client, "k2"));
    old.signal("-TERM");
    // The first process closes its client connections one after the other within 1 s.
    sleep(Duration::from_millis(1100));
    seen.push(request(&mut client, "k3"));
    let mut other = shared.connect();
    seen.push(request(&mut other, "k4"));
    seen.push(format!("old: {}", old.child.wait().unwrap()));
    seen.push(format!("{} {}", request(&mut other, "k5"), new.call("GET", "/control/ready")));
    expect![[r#"
        200
        200
        200 and closes
        200
        old: exit status: 0
        200 200"#]]
    .assert_eq(&seen.join("\n"));
}

/// A successor that has exited does not count as having taken over: the old process still accepts
/// clients after SIGTERM.
#[test]
fn a_successor_that_exits_leaves_the_old_process_in_charge() {
    let (_observed, entries) = servers(&["amber"]);
    let shared = SharedListener::new("gone", &entries);
    let old = shared.start();
    old.wait_ready();
    let new = shared.start();
    new.wait_ready();
    sleep(Duration::from_millis(300)); // by then the old process has detected the new one
    drop(new);
    old.signal("-TERM");
    sleep(Duration::from_millis(100));
    expect!["200"].assert_eq(&request(&mut shared.connect(), "k"));
}

/// A proxy is taken out of service and then receives SIGTERM. Both events set a time at which idle
/// connections are closed, and the earlier time applies.
#[test]
fn sigterm_out_of_service_does_not_delay_closing_idle_connections() {
    let (_observed, entries) = servers(&["amber"]);
    let shared = SharedListener::new("both", &entries);
    let process = shared.start();
    process.wait_ready();
    let mut idle = shared.connect();
    request(&mut idle, "k");
    process.call("POST", "/control/out-of-service");
    let out_of_service_at = Instant::now();
    sleep(Duration::from_millis(900));
    process.signal("-TERM");
    let closed = read_message(&mut idle).is_none();
    expect!["true true"]
        .assert_eq(&format!("{closed} {}", out_of_service_at.elapsed() < Duration::from_millis(2200)));
}

/// Invalid calls get an error status, and silent connections do not keep others out.
#[test]
fn the_admin_listener_rejects_invalid_calls() {
    let (_observed, entries) = servers(&["amber"]);
    let shared = SharedListener::new("door", &entries);
    let process = shared.start();
    process.wait_ready();
    let silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(process.admin_addr).unwrap()).collect();
    let mut partial_call = TcpStream::connect(process.admin_addr).unwrap();
    partial_call.write_all(b"GET /control/rea").unwrap();
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
        "partial call: {}",
        read_message(&mut partial_call).map_or("closed".into(), |(head, _)| head[9..12].to_string())
    ));
    drop(silent);
    expect!["200 405 404 404 400 partial call: 408"].assert_eq(&seen.join(" "));
}

/// A proxy out of service reports that state, serves the connections it has, closes them with their
/// responses or when idle, and returns to service at once. The overrides for a disabled server and
/// for the proxy out of service persist over an upgrade. Unknown ids are rejected.
#[test]
fn a_drain_empties_the_proxy_and_overrides_persist_over_an_upgrade() {
    let (observed, entries) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("drain", &entries);
    let mut old = shared.start();
    old.wait_ready();
    let mut seen = Vec::new();
    let disabled =
        ["ember", "birch", "birch"].map(|id| old.call("POST", &format!("/control/cache-nodes/{id}/offline")));
    seen.push(format!("out {}", disabled.join(" ")));
    let (mut busy, mut idle) = (shared.connect(), shared.connect());
    seen.push(format!("{} {}", request(&mut busy, "a1"), request(&mut idle, "a2")));
    seen.push(format!("up {}", up_status(&shared)));
    seen.push(old.call("POST", "/control/out-of-service"));
    seen.push(format!("up {}", up_status(&shared)));
    sleep(Duration::from_millis(1050));
    seen.push(request(&mut busy, "a3"));
    seen.push(format!("idle: {}", read_message(&mut idle).map_or("closed", |_| "an answer")));
    let new = shared.start();
    new.wait_ready();
    old.signal("-TERM");
    seen.push(format!("old: {}, up {}", old.child.wait().unwrap(), up_status(&shared)));
    seen.push(format!("{} up {}", new.call("POST", "/control/in-service"), up_status(&shared)));
    let mut client = shared.connect();
    (0..30).for_each(|i| _ = request(&mut client, &format!("b{i}")));
    let requests_at =
        |name: &str| observed.lines.lock().unwrap().iter().filter(|l| l.starts_with(name)).count();
    seen.push(format!("to birch: {}", requests_at("birch")));
    seen.push(new.call("POST", "/control/cache-nodes/birch/online"));
    (0..30).for_each(|i| _ = request(&mut client, &format!("c{i}")));
    seen.push(format!("back: {}", requests_at("birch") > 0));
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

fn up_status(shared: &SharedListener) -> String {
    let mut stream = shared.connect();
    stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    read_message(&mut stream).map_or("none".into(), |(head, _)| head[9..12].to_string())
}

/// Responds so slowly that the settings change before the response.
fn slow(_: usize) -> (&'static str, bool) {
    sleep(Duration::from_millis(600));
    ("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 4\r\n\r\nslow", false)
}

/// SIGHUP adds and removes request classes, and open requests keep their own. A file with any error
/// is rejected as a whole.
#[test]
fn new_settings_are_applied_whole_or_not_at_all() {
    let mut setup = ProxySetup::new(&[("amber", slow)]);
    let log = LogLines::collect(&mut setup.proxy);
    let read =
        || serde_json::from_str::<Value>(&std::fs::read_to_string(&setup.config_path).unwrap()).unwrap();
    let classes = |setup: &ProxySetup| {
        let statuses = ["page", "once", "fresh"].map(|ns| {
            let mut client = setup.client();
            setup.send_request(&mut client, "GET", ns, "k");
            read_message(&mut client).map_or("none".into(), |(head, _)| head[9..12].to_string())
        });
        statuses.join(" ")
    };
    setup.observed.record(format!("before: {}", classes(&setup)));
    let valid = read();
    let with_value = |path: &str, value: Value| {
        let mut settings = valid.clone();
        *settings.pointer_mut(path).unwrap() = value;
        settings.to_string()
    };
    let mut missing_field = valid.clone();
    missing_field["settings"]["ceilings"].as_object_mut().unwrap().remove("mostShots");
    let limit = "/settings/namespaces/0/timeLimitNs";
    let huge = with_value(limit, json!(77)).replace("77", "1e999");
    // The text is cut within a word that always occurs, not at a fixed length: the addresses before
    // the word differ in length from run to run.
    let truncated = valid.to_string().split_inclusive("cancell").next().unwrap().to_string();
    let invalid = [
        String::new(),
        truncated,
        missing_field.to_string(),
        with_value(limit, json!(-5)),
        with_value(limit, json!(0)),
        with_value(limit, json!("2 s")),
        with_value(limit, json!(77)).replace("77", "NaN"),
        huge,
        with_value(limit, json!(1e18)),
        with_value(limit, Value::Null),
        with_value("/settings/ceilings/mostShots", json!(0)),
        with_value("/settings/ceilings/mostShots", json!(2.5)),
        with_value("/settings/namespaces/1/name", json!("page")),
    ];
    for (nth, text) in invalid.into_iter().enumerate() {
        std::fs::write(&setup.config_path, text).unwrap();
        setup.signal("-HUP");
        // Each of these files has one error.
        wait_for(|| log.containing("new configuration rejected").len() > nth);
    }
    setup.observed.record(format!("after invalid files: {}", classes(&setup)));
    let mut open = setup.client();
    setup.send_request(&mut open, "GET", "once", "open");
    let mut fresh = valid.clone();
    fresh["settings"]["namespaces"][1]["name"] = json!("fresh");
    fresh["settings"]["ceilings"]["mostShots"] = json!(1);
    std::fs::write(&setup.config_path, fresh.to_string()).unwrap();
    let is_open = |line: &String| line.starts_with("amber: GET /api/open");
    wait_for(|| setup.observed.lines.lock().unwrap().iter().any(is_open));
    setup.signal("-HUP");
    wait_for(|| !log.containing("configuration reloaded").is_empty());
    setup.record_response(&mut open);
    setup.observed.record(format!("after a valid file: {}", classes(&setup)));
    setup.observed.lines.lock().unwrap().retain(|line| !line.starts_with("amber"));
    for line in log.containing("rejected, fault: ") {
        let (_, fault) = line.split_once("rejected, fault: ").unwrap();
        // The position in the file depends on the ports in it.
        let fault = fault.split(" at line").next().unwrap().trim_end_matches(", proxy: p");
        setup.observed.record(fault.replace(&setup.config_path, "FILE"));
    }
    setup.assert_observed(expect![[r#"
        before: 200 200 400
        after invalid files: 200 200 400
        client: 200 slow
        after a valid file: 200 400 200
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

/// Lists of a thousand servers, for one proxy of a thousand: a start, a drain of a third, operator
/// calls that disable another third, and an upgrade. The servers of each third share one address.
/// Memory stays well below the minimum that a proxy is given.
#[test]
fn a_thousand_servers_are_listed_drained_disabled_and_handed_over() {
    let (observed, entries) = servers(&["a", "b", "c"]);
    let entries_with = |state_of_first_third: &str| -> Vec<Value> {
        let entry = |i: usize| {
            let mut entry = entries[i % 3].clone();
            entry["id"] = json!(format!("cache-{i:04}"));
            entry["state"] = json!(if i.is_multiple_of(3) { state_of_first_third } else { "SERVING" });
            entry
        };
        (0..1024).map(entry).collect()
    };
    let changes = json!({"version": 3, "full": false, "servers": entries_with("DRAINING")}).to_string();
    let mut shared = SharedListener::with_lists(
        "many",
        &entries_with("SERVING"),
        vec![full_list(2, &entries_with("SERVING")), changes],
    );
    shared.configuration["settings"]["balancers"] = json!(1024);
    let (mut old, mut seen) = (shared.start(), Vec::new());
    old.wait_ready();
    sleep(Duration::from_millis(500)); // the drain has arrived by then
    let mut check_requests = |phase: &str| {
        observed.lines.lock().unwrap().clear();
        let mut client = shared.connect();
        let served = (0..300).filter(|i| request(&mut client, &format!("{phase}-{i}")) == "200").count();
        let reached =
            ["a:", "b:", "c:"].map(|name| observed.lines.lock().unwrap().iter().any(|l| l.starts_with(name)));
        seen.push(format!("{phase}: {served} of 300 served; attempts at each third: {reached:?}"));
    };
    check_requests("drained");
    let disable = |i: usize| old.call("POST", &format!("/control/cache-nodes/cache-{i:04}/offline"));
    assert!((1..1024).step_by(3).all(|i| disable(i) == "200") && disable(1024) == "404");
    check_requests("taken-out");
    let new = shared.start();
    new.wait_ready();
    old.signal("-TERM");
    assert!(old.child.wait().unwrap().success());
    check_requests("handed-over");
    let status = std::fs::read_to_string(format!("/proc/{}/status", new.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    assert!(
        peak.unwrap().parse::<u64>().unwrap() < 32_000,
        "peak memory is {peak:?} kB, expected less than 32000 kB"
    );
    expect![[r#"
        drained: 300 of 300 served; attempts at each third: [false, true, true]
        taken-out: 300 of 300 served; attempts at each third: [false, false, true]
        handed-over: 300 of 300 served; attempts at each third: [false, false, true]"#]]
    .assert_eq(&seen.join("\n"));
}

/// A disk that blocks all writes delays no request and no response to operators, and the overrides
/// that operators set are in force.
#[test]
fn a_blocked_disk_delays_no_request_and_no_operator_call() {
    let (observed, entries) = servers(&["amber", "birch"]);
    let shared = SharedListener::new("slow-disk", &entries);
    let process = shared.start();
    process.wait_ready();
    // Opening a pipe for writing blocks until there is a reader, and there is none.
    let pipe = shared.folder.join(format!("chalkwalk.p.{}.new", process.child.id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    assert_eq!(process.call("POST", "/control/cache-nodes/amber/offline"), "200");
    let mut client = shared.connect();
    let answers: Vec<String> = (0..8).map(|i| request(&mut client, &format!("d{i}"))).collect();
    assert_eq!(answers, ["200"; 8]);
    let seen = observed.lines.lock().unwrap().clone();
    assert!(seen.iter().all(|line| line.starts_with("birch")), "{seen:?}");
    // Further writes wait for the same disk. The last override applies, whether written or not.
    assert_eq!(process.call("POST", "/control/cache-nodes/amber/online"), "200");
    assert_eq!(process.call("POST", "/control/cache-nodes/birch/offline"), "200");
    assert_eq!(request(&mut client, "back"), "200");
    assert_eq!(observed.lines.lock().unwrap().last().unwrap(), "amber: GET /api/back");
    std::fs::read(&pipe).unwrap();
    assert_eq!(process.call("GET", "/control/ready"), "200");
}

/// The first requests to a new process, with the learned figures of the previous process, without
/// them, and with corrupt ones. No request is lost, a server that rejects everything gets fewer
/// requests if the previous process has learned that, the draining server gets none, and the cold
/// server gets few.
#[test]
fn the_first_requests_after_a_switch_keep_every_rule_with_or_without_learned_figures() {
    const OVERLOADED_RESPONSE: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let names = ["amber", "birch", "cedar", "delta"];
    let (observed, mut entries) = (Observed::default(), Vec::new());
    for name in names {
        let (listener, addr) = bind_listener();
        entries.push(list_entry(name, addr, if name == "cedar" { "DRAINING" } else { "SERVING" }));
        stand_in_server(
            listener,
            observed.clone(),
            name,
            if name == "birch" { |_| (OVERLOADED_RESPONSE, false) } else { hit },
        );
    }
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    entries[3]["started_ms"] = json!(now.as_millis() as u64);
    let mut shared = SharedListener::new("switch", &entries);
    shared.configuration["settings"]["rules"] =
        json!({"drainGraceNs": 1_000_000_000, "coldNs": 60_000_000_000u64, "startCapacity": 0.12});
    let send_40_requests = |process: &Process, first: usize| {
        process.wait_ready();
        observed.lines.lock().unwrap().clear();
        let mut client = shared.connect();
        let answers: Vec<String> =
            (first..first + 40).map(|i| request(&mut client, &format!("k{i}"))).collect();
        let seen = observed.lines.lock().unwrap().join("\n");
        // A response is 200, or 503 if the retry budget is exhausted.
        let lost = answers.iter().filter(|a| !["200", "503"].contains(&a.as_str())).count();
        assert!(answers.iter().filter(|a| *a == "200").count() >= 30, "{answers:?}");
        (lost, names.map(|name| seen.matches(&format!("{name}: GET")).count()))
    };
    let files = || {
        let all = std::fs::read_dir(&shared.folder).unwrap().flatten().map(|f| f.path());
        all.filter(|f| f.extension().is_some_and(|e| e == "handover")).collect::<Vec<_>>()
    };
    let mut old = shared.start();
    let before = send_40_requests(&old, 0);
    old.signal("-TERM");
    old.child.wait().unwrap();
    let saved_files: Vec<(PathBuf, String)> =
        files().into_iter().map(|f| (f.clone(), std::fs::read_to_string(f).unwrap())).collect();
    let results = ["valid", "corrupt", "none"].map(|learned| {
        files().iter().for_each(|f| std::fs::remove_file(f).unwrap());
        for (file, text) in saved_files.iter().filter(|_| learned != "none") {
            let text = if learned == "corrupt" { text.replace("birch", "bixch") } else { text.clone() };
            std::fs::write(file, text).unwrap();
        }
        send_40_requests(&shared.start(), 0)
    });
    let [valid_learned, corrupt_learned, none] = results;
    for (lost, [_, _, draining, cold]) in [before, valid_learned, corrupt_learned, none] {
        assert_eq!((lost, draining), (0, 0));
        assert!(cold <= 15, "{cold} requests to the cold server, expected at most 15");
    }
    let birch = [valid_learned, corrupt_learned, none].map(|(_, seen)| seen[1]);
    assert!(birch[0] * 2 <= birch[1] && birch[1] == birch[2], "requests to the overloaded server: {birch:?}");
}

/// Guards against a second run of a single-use request whose client left before the answer and came
/// again with the same id, at the other process of an upgrade.
#[test]
fn an_id_that_comes_again_at_the_new_process_does_not_run_twice() {
    let (observed, mut entries) = (Observed::default(), Vec::new());
    let (listener, addr) = bind_listener();
    entries.push(list_entry("amber", addr, "SERVING"));
    stand_in_server(listener, observed.clone(), "amber", |_| ("", false));
    let shared = SharedListener::new("repeated-id", &entries);
    let old = shared.start();
    old.wait_ready();
    let request =
        "GET /api/k HTTP/1.1\r\nX-Correlation-Id: same\r\nX-Service-Class: once\r\nX-Time-Left: 2\r\n\r\n";
    let mut client = shared.connect();
    client.write_all(request.as_bytes()).unwrap();
    wait_for(|| observed.lines.lock().unwrap().len() == 1);
    drop(client);
    let new = shared.start();
    new.wait_ready();
    // The old process ends and leaves the listener to the new one.
    old.signal("-TERM");
    let old_pid = old.child.id().to_string();
    wait_for(|| {
        let stat = std::fs::read_to_string(format!("/proc/{old_pid}/stat")).unwrap_or_default();
        stat.is_empty() || stat.contains(") Z ")
    });
    let mut client = shared.connect();
    client.write_all(request.as_bytes()).unwrap();
    let status = read_message(&mut client).map(|(head, _)| head[9..12].to_string());
    assert_eq!((status.as_deref(), observed.lines.lock().unwrap().len()), (Some("409"), 1));
}

/// Guards against requests to a server that the old process of an upgrade was told is draining, where
/// the new process gets no list and serves with the one that it was started with.
#[test]
fn a_new_process_without_a_list_knows_the_drains_of_the_old_one() {
    let (observed, entries) = servers(&["amber", "birch"]);
    let mut draining = entries[0].clone();
    draining["state"] = json!("DRAINING");
    let drain = json!({"version": 3, "full": false, "servers": [draining]}).to_string();
    // Discovery answers no call after the two of the old process.
    let lists = vec![full_list(2, &entries), drain, String::new()];
    let shared = SharedListener::with_lists("drains", &entries, lists);
    let mut old = shared.start();
    old.wait_ready();
    let reached_amber = || {
        observed.lines.lock().unwrap().clear();
        let mut client = shared.connect();
        (0..40).for_each(|nth| assert_eq!(request(&mut client, &format!("k{nth}")), "200"));
        observed.lines.lock().unwrap().iter().any(|line| line.starts_with("amber"))
    };
    wait_for(|| !reached_amber());
    let new = shared.start();
    new.wait_ready();
    old.signal("-TERM");
    assert!(old.child.wait().unwrap().success());
    assert!(!reached_amber(), "the new process sends requests to the draining server");
}
