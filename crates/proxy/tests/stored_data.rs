//! What programs before this one have written: captures, lists kept on disk, files between processes, operators' files and the
//! platform's configuration. The fixtures were written by the program of commit 5dafa35, and are never written anew by a
//! later one: a test that fails here says that an installation's files would no longer be read, or be read as something else.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text_of(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

/// The program, run to its end in the fixtures' folder.
fn run(args: &[&str]) -> Output {
    let program = Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
        .args(args)
        .current_dir(fixture(""))
        .env_remove("ROUTER_CONFIG")
        .env_remove("ROUTER_CONSOLE")
        .output();
    program.unwrap()
}

/// Standard output of a run that has to end well.
fn printed(args: &[&str]) -> String {
    let out = run(args);
    let faults = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "{args:?}: {}{faults}", String::from_utf8_lossy(&out.stdout));
    String::from_utf8(out.stdout).unwrap()
}

/// The whole numbers of a line, in order: its wording may change.
fn numbers(line: &str) -> Vec<u64> {
    line.split(|c: char| !c.is_ascii_digit()).filter_map(|word| word.parse().ok()).collect()
}

/// Captures of each source of the endpoint list, of operators' overrides over a restart, and of RESP are decided again as they
/// were: so many calls, decisions, starts, snapshots to begin from, and snapshots compared; none differ, are passed over, or
/// missing.
#[test]
fn captures_are_replayed_without_a_difference() {
    let folders = [
        ("discovery", vec![vec![593, 402, 1, 0, 1, 0, 0, 0], vec![345, 233, 2, 0, 2, 0, 0, 0]]),
        ("etcd", vec![vec![434, 296, 1, 0, 1, 0, 0, 0], vec![513, 350, 1, 0, 1, 0, 0, 0]]),
        ("file", vec![vec![441, 295, 1, 0, 1, 0, 0, 0], vec![510, 341, 1, 0, 1, 0, 0, 0]]),
        ("operators", vec![vec![1049, 711, 2, 0, 2, 0, 0, 0]]),
        ("resp", vec![vec![592, 433, 1, 0, 1, 0, 0, 0], vec![302, 208, 1, 0, 1, 0, 0, 0]]),
        ("snapshot", vec![vec![200, 145, 0, 1, 0, 0, 0, 0]]),
    ];
    for (name, expected) in folders {
        let output = printed(&["capture", "replay", &format!("captures/{name}")]);
        let found: Vec<Vec<u64>> =
            output.lines().map(|line| numbers(line.split_once(": ").unwrap().1)).collect();
        assert_eq!(found, expected, "{name}: {output}");
    }
}

/// A capture that is cut, and one that is cut again, comes out byte for byte as it did.
#[test]
fn a_cut_capture_is_written_byte_for_byte_as_before() {
    let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.cut", std::process::id()));
    let to = to.to_str().unwrap();
    for (call, from) in [("60", "captures/operators"), ("40", "captures/snapshot")] {
        printed(&["capture", "cut", "--call", call, "--to", to, from]);
        let expected = fixture("cut").join(Path::new(from).file_name().unwrap()).with_extension("capture");
        assert!(std::fs::read(to).unwrap() == std::fs::read(expected).unwrap(), "{from}");
    }
    std::fs::remove_file(to).unwrap();
}

/// What captures hold is summed up as before: bytes, calls, requests, gaps, and the times of the first and last call.
#[test]
fn captures_are_summed_up_with_the_same_numbers() {
    let output = printed(&["capture", "info", "captures/discovery", "captures/snapshot"]);
    let found: Vec<Vec<u64>> = output.lines().map(|line| numbers(line.split_once(": ").unwrap().1)).collect();
    let expected: Vec<Vec<u64>> = text_of("info.txt").lines().map(numbers).collect();
    assert_eq!(found, expected, "{output}");
}

/// All that concerns one request has as many lines as before, for each of the first 60 requests of three captures; how a line
/// is worded is not held.
#[test]
fn what_concerns_one_request_has_as_many_lines() {
    for line in text_of("show.txt").lines() {
        let (file, expected) = line.split_once(' ').unwrap();
        let found: Vec<String> = (0..expected.split(' ').count())
            .map(|nth| printed(&["capture", "show", "--lookup", &nth.to_string(), file]).lines().count())
            .map(|count| count.to_string())
            .collect();
        assert_eq!(found.join(" "), expected, "{file}");
    }
}

/// One call of every kind, with one decision of every kind, and both kinds of items, as bytes. The form has no names in it: a
/// variant or a field in another place reads old captures as something else. Names may be others here; `calls.hex` may not.
mod calls {
    use chalkwalk_capture::{
        CallBlock, CaptureItem, Decision, Event, FILE_SIGNATURE, RecordedCall, RecordedEndpoint, Recorder,
        encode_item, read_segment,
    };
    use chalkwalk_time::{Span, Timestamp};
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::rc::Rc;

    fn settings(value: &str) -> BTreeMap<String, String> {
        BTreeMap::from([("a".to_string(), value.to_string()), ("b".to_string(), "2".to_string())])
    }

    fn line(status: u8) -> RecordedEndpoint {
        let (id, zone, kind, cell) = ("amber".to_string(), 301, 302, 303);
        RecordedEndpoint {
            server: 304,
            id,
            zone,
            kind,
            cell,
            size: 305,
            status,
            born: Timestamp::from_ticks(306),
        }
    }

    fn calls() -> Vec<Event> {
        vec![
            Event::Start { seed: 1 << 40, settings: settings("start") },
            Event::RequestAccepted {
                class: 1,
                point: 2,
                key: "key".into(),
                write: true,
                expires: Timestamp::from_ticks(3),
                order: Some(vec![4, 5]),
            },
            Event::RequestAccepted {
                class: 6,
                point: 7,
                key: String::new(),
                write: false,
                expires: Timestamp::from_ticks(8),
                order: None,
            },
            Event::AttemptEnded {
                request_id: 9,
                attempt: 10,
                outcome: 11,
                took: Span::from_ticks(12),
                finished: true,
                order: Some(vec![13]),
            },
            Event::AttemptEnded {
                request_id: 14,
                attempt: 15,
                outcome: 0,
                took: Span::from_ticks(16),
                finished: false,
                order: None,
            },
            Event::TimerFired(17),
            Event::HealthCheckFinished { server: 18, answered: true },
            Event::EndpointsListed { whole: true, endpoints: vec![line(0), line(1), line(2)] },
            Event::DiscoveryLost,
            Event::ClientLeft(19),
            Event::SettingsChanged(settings("limits")),
            Event::LimitsRenewed { request_id: 20, class: 21, expires: Timestamp::from_ticks(22) },
            Event::ProxyCount(23),
            Event::Snapshot { settings: settings("snapshot"), words: vec![24, 25], texts: vec!["t".into()] },
            Event::ServerDisabled { id: "birch".into(), out: true, at: Timestamp::from_ticks(26) },
            Event::ResponseStarted { request_id: 27, attempt: 28 },
            Event::DiscoveryCallFailed { took: Span::from_ticks(29) },
        ]
    }

    fn decisions() -> Vec<Decision> {
        vec![
            Decision::StartAttempt {
                request_id: 101,
                server: 102,
                until: Timestamp::from_ticks(103),
                by: Timestamp::from_ticks(104),
            },
            Decision::CancelAttempt { request_id: 105, attempt: 106 },
            Decision::Reject { request_id: 107, back_in: Span::from_ticks(108) },
            Decision::Fail(109),
            Decision::CheckHealth(110),
            Decision::SetTimer { token: 111, after: Span::from_ticks(112) },
            Decision::WatchEndpoints,
            Decision::Log { event: "event".into(), server: "cedar".into() },
            Decision::ReleaseConnection(113),
        ]
    }

    fn items() -> Vec<CaptureItem> {
        let call = |(nth, event): (usize, Event)| {
            let decisions = if nth == 0 { decisions() } else { Vec::new() };
            RecordedCall { after: Span::from_ticks(200 + nth as u64), event, decisions }
        };
        vec![
            CaptureItem::Calls(CallBlock {
                from: Timestamp::from_ticks(199),
                calls: calls().into_iter().enumerate().map(call).collect(),
            }),
            CaptureItem::Gap(198),
        ]
    }

    /// The bytes in hexadecimal, 40 a line.
    fn hex(bytes: &[u8]) -> String {
        let row = |row: &[u8]| row.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n";
        bytes.chunks(40).map(row).collect()
    }

    /// Every kind of call, decision and item is written as the committed bytes, and these are read as it.
    #[test]
    fn calls_and_decisions_of_every_kind_are_written_as_the_same_bytes() {
        let bytes: Vec<u8> =
            FILE_SIGNATURE.iter().copied().chain(items().iter().flat_map(encode_item)).collect();
        assert_eq!(hex(&bytes), super::text_of("calls.hex"));
        let found = read_segment(&bytes).unwrap();
        assert_eq!((found.items, found.damage), (items(), None));
    }

    /// How an attempt ended and the state of a server have the same numbers in a capture.
    #[test]
    fn outcomes_and_states_have_the_same_numbers() {
        use chalkwalk_balancer::{AttemptOutcome::*, Endpoint, EndpointStatus};
        let outcomes = [
            Completed,
            CompletedFromCache,
            CompletedByFetch,
            CacheMiss,
            InvalidRequest,
            ServerError,
            Overloaded,
            TimedOut,
            Unreachable,
            ConnectionLost,
            Cancelled,
            NotSent,
        ];
        let bytes = Rc::new(RefCell::new(FILE_SIGNATURE.to_vec()));
        let into = bytes.clone();
        let sink = move |block: Vec<u8>| {
            into.borrow_mut().extend(block);
            true
        };
        let mut recorder = Recorder::new(Box::new(sink), true);
        outcomes.into_iter().for_each(|outcome| {
            recorder.record_attempt_ended(Timestamp::ZERO, 0, 0, outcome, Span::ZERO, true, None)
        });
        for status in [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone] {
            let (id, zone, kind, cell) = ("amber", 301, 302, 303);
            let entry = Endpoint {
                server: 304,
                id,
                zone,
                kind,
                cell,
                weight_hundredths: 305,
                status,
                started_at: Timestamp::from_ticks(306),
            };
            recorder.record_endpoints_listed(Timestamp::ZERO, true, &[entry]);
        }
        recorder.flush();
        let after = |event: Event| RecordedCall { after: Span::ZERO, event, decisions: Vec::new() };
        let ended = |outcome: u8| Event::AttemptEnded {
            request_id: 0,
            attempt: 0,
            outcome,
            took: Span::ZERO,
            finished: true,
            order: None,
        };
        let listed = |status: u8| Event::EndpointsListed { whole: true, endpoints: vec![line(status)] };
        let calls = (0..12).map(ended).chain((0..3).map(listed)).map(after).collect();
        assert_eq!(
            read_segment(&bytes.borrow()).unwrap().items,
            [CaptureItem::Calls(CallBlock { from: Timestamp::ZERO, calls })]
        );
    }

    /// What a process captures of the configuration and of the endpoint list that it was given: every key that the program
    /// reads shows in one or the other.
    pub fn given(capture: &[u8]) -> (BTreeMap<String, String>, String) {
        let calls = read_segment(capture).unwrap().items.into_iter().flat_map(|item| match item {
            CaptureItem::Calls(block) => block.calls,
            CaptureItem::Gap(_) => Vec::new(),
        });
        let (mut settings, mut listed) = (BTreeMap::new(), Vec::new());
        for call in calls {
            match call.event {
                Event::Start { seed, settings: mut given } => {
                    given.insert("the seed".into(), seed.to_string());
                    settings = given;
                }
                Event::EndpointsListed { .. } => {
                    let calls =
                        vec![RecordedCall { after: Span::ZERO, event: call.event, decisions: Vec::new() }];
                    listed.push(hex(&encode_item(&CaptureItem::Calls(CallBlock {
                        from: Timestamp::ZERO,
                        calls,
                    }))));
                }
                _ => {}
            }
        }
        (settings, listed.join("\n"))
    }
}

/// Both operators' files, which have every key between them, are accepted with a configuration that has every key; one that
/// has a key that is not known is not.
#[test]
fn operators_files_with_every_key_are_accepted() {
    for file in ["operator-etcd.toml", "operator-file.toml"] {
        printed(&["check", "--config", "configuration.json", "--operator", file]);
    }
    let odd = std::env::temp_dir().join(format!("chalkwalk-stored-data-{}.toml", std::process::id()));
    let with_odd = text_of("operator-file.toml").replace("keep =", "kept =");
    std::fs::write(&odd, with_odd).unwrap();
    let out = run(&["check", "--config", "configuration.json", "--operator", odd.to_str().unwrap()]);
    std::fs::remove_file(&odd).unwrap();
    assert_eq!(out.status.code(), Some(2));
}

/// Which limits hold for a request, and which line sets them, by class, route, tenant and defaults: the text as it was.
#[test]
fn limits_are_explained_with_the_same_text() {
    let mut output = String::new();
    for line in text_of("explain.txt").lines().filter_map(|line| line.strip_prefix("-- ")) {
        let words: Vec<&str> = line.split(' ').collect();
        let files = ["explain", "--config", "configuration.json", "--operator", "operator-etcd.toml"];
        let of = ["--namespace", words[0], "--route", words[1], "--tenant", words[2]];
        output += &format!("-- {line}\n{}", printed(&[&files[..], &of[..]].concat()));
    }
    assert_eq!(output, text_of("explain.txt"));
}

/// The value at a path of keys and places.
fn at<'a>(value: &'a mut Value, path: &str) -> &'a mut Value {
    path.split('.').fold(value, |value, key| match key.parse::<usize>() {
        Ok(place) => &mut value[place],
        Err(_) => &mut value[key],
    })
}

fn paths(value: &Value, before: &str, into: &mut Vec<String>) {
    let path = |key: &str| if before.is_empty() { key.to_string() } else { format!("{before}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| paths(value, &path(key), into)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(i, value)| paths(value, &path(&i.to_string()), into))
        }
        _ => into.push(before.to_string()),
    }
}

/// Each key of the platform's configuration that is held against its kind is still read: with an object in its place the
/// configuration is refused. Those that are not refused are read leniently, or by another process than `check`.
#[test]
fn keys_of_the_configuration_are_read() {
    let whole: Value = serde_json::from_str(&text_of("configuration.json")).unwrap();
    let mut all = Vec::new();
    paths(&whole, "", &mut all);
    let odd = std::env::temp_dir().join(format!("chalkwalk-stored-data-{}.json", std::process::id()));
    let accepted = |path: &String| {
        let mut with_odd = whole.clone();
        *at(&mut with_odd, path) = serde_json::json!({"odd": true});
        std::fs::write(&odd, with_odd.to_string()).unwrap();
        run(&["check", "--config", odd.to_str().unwrap()]).status.success()
    };
    let accepted: Vec<&String> =
        all.iter().filter(|path| !path.starts_with("known.")).filter(|path| accepted(path)).collect();
    std::fs::remove_file(&odd).unwrap();
    assert_eq!(
        accepted,
        ["limits.cores", "limits.memory_mb", "settings.familyInfo.mode", "settings.familyInfo.originKind"]
    );
    assert_eq!(all.len(), 120);
}

/// A process of the program, in a folder of its own, at a loopback address of its own.
struct Process {
    child: Child,
    ip: String,
    folder: PathBuf,
}

impl Process {
    /// Texts name 127.0.0.1, and get the own address instead.
    fn new(name: &str) -> Process {
        static NTH: AtomicUsize = AtomicUsize::new(0);
        let (nth, pid) = (NTH.fetch_add(1, Ordering::SeqCst), std::process::id() as usize);
        let ip = format!("127.{}.{}.{}", 1 + pid % 250, pid / 250 % 250, 1 + nth);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{name}-{pid}"));
        std::fs::create_dir_all(&folder).unwrap();
        Process { child: Command::new("true").spawn().unwrap(), ip, folder }
    }

    fn put(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text.replace("127.0.0.1", &self.ip)).unwrap();
    }

    fn start(&mut self, more: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalkwalk"));
        command.args(["serve", "--config", "configuration.json"]).args(more).current_dir(&self.folder);
        command.env("TMPDIR", ".").env_remove("ROUTER_FD").stderr(Stdio::null());
        self.child = command.spawn().unwrap();
        let ready = || self.ask(18311, "GET /control/ready HTTP/1.1\r\nHost: c\r\n\r\n").contains(" 200 ");
        assert!(wait(ready), "not ready");
    }

    /// What a call is answered with: all that comes at once.
    fn ask(&self, port: u16, call: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(format!("{}:{port}", self.ip)) else { return String::new() };
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(call.as_bytes()).unwrap();
        let mut buf = [0; 4096];
        let n = stream.read(&mut buf).unwrap_or(0);
        String::from_utf8_lossy(&buf[..n]).to_string()
    }

    /// Has it end by itself, as the platform does.
    fn end(&mut self) {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status().unwrap();
        assert!(self.child.wait().unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait(until: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if until() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    until()
}

/// Unix time in tenths of a millisecond.
fn now() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() / 100
}

/// CRC-32 as files have it, so that a test can set times in them.
fn sealed(body: &str) -> String {
    let step = |crc: u32, _| if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
    let crc = body.bytes().fold(!0u32, |crc, byte| (0..8).fold(crc ^ u32::from(byte), step));
    format!("{:08x}", !crc)
}

/// The number behind a text.
fn number<'a>(text: &'a str, behind: &str) -> &'a str {
    let (_, rest) = text.split_once(behind).unwrap_or_else(|| panic!("no {behind} in {text}"));
    &rest[..rest.find(|c: char| !c.is_ascii_digit()).unwrap()]
}

/// A process captures the same settings and the same endpoint list of a configuration with every key as the program before.
#[test]
fn a_configuration_with_every_key_is_captured_as_before() {
    let mut process = Process::new("configuration");
    process.put("configuration.json", &text_of("configuration.json"));
    process.put("operator.toml", "version = 1\n[capture]\nfolder = \"captures\"\n[end]\n");
    process.start(&["--operator", "operator.toml"]);
    process.end();
    let captures: Vec<_> = std::fs::read_dir(process.folder.join("captures")).unwrap().flatten().collect();
    assert_eq!(captures.len(), 1);
    let (settings, listed) = calls::given(&std::fs::read(captures[0].path()).unwrap());
    let expected = calls::given(&std::fs::read(fixture("configuration.capture")).unwrap());
    assert!(expected.0.len() > 60 && !expected.1.is_empty(), "{expected:?}");
    assert_eq!((settings, listed), expected);
}

/// The endpoint list kept on disk is read and written again byte for byte, as is what a proxy writes of itself into etcd.
#[test]
fn kept_lists_are_written_again_byte_for_byte() {
    use chalkwalk_membership::{format, persisted};
    let text = text_of("kept");
    assert_eq!(
        persisted::PersistedList::parse(&text, &format::AllowedNames::default()).unwrap().to_text(),
        text
    );
    let instance = br#"{"v":1,"zone":"north","phase":"serving","listen":"127.0.0.1:8080"}"#;
    assert_eq!(format::encode_proxy(&format::parse_proxy(instance).unwrap()), instance);
}

/// From an endpoint list in a file that has every key, a process keeps the same list on disk as the program before, but for the
/// time.
#[test]
fn an_endpoint_list_from_a_file_is_kept_as_before() {
    let mut process = Process::new("list");
    let mut configuration: Value = serde_json::from_str(&text_of("configuration.json")).unwrap();
    (configuration["discovery"], configuration["known"]) = (Value::Null, Value::Null);
    process.put("configuration.json", &configuration.to_string());
    std::fs::write(process.folder.join("list.toml"), text_of("list.toml")).unwrap();
    let operator =
        "version = 1\n[membership]\nsource = \"file\"\nfile = \"list.toml\"\nkeep = \"kept\"\n[end]\n";
    process.put("operator.toml", operator);
    process.start(&["--operator", "operator.toml"]);
    let kept = process.folder.join("kept");
    assert!(wait(|| kept.exists()));
    let (found, expected) = (std::fs::read_to_string(kept).unwrap(), text_of("kept"));
    let (head, body) = found.split_once('\n').unwrap();
    assert!(head.ends_with(&sealed(body.trim_end())), "{head}");
    let body = body.replace(number(body, "\"at\":"), number(&expected, "\"at\":"));
    assert_eq!(body, expected.split_once('\n').unwrap().1);
    assert_eq!(head[..head.len() - 8], expected[..head.len() - 8]);
}

/// A process whose endpoint list can't be had serves from the list that the program before kept: requests are answered by
/// servers that only it names.
#[test]
fn a_process_serves_from_a_list_kept_before() {
    let mut process = Process::new("kept");
    let mut configuration: Value = serde_json::from_str(&text_of("configuration.json")).unwrap();
    (configuration["discovery"], configuration["known"]) = (Value::Null, Value::Null);
    process.put("configuration.json", &configuration.to_string());
    let operator =
        "version = 1\n[membership]\nsource = \"file\"\nfile = \"none.toml\"\nkeep = \"kept\"\n[end]\n";
    process.put("operator.toml", operator);
    for port in [18313, 18315, 18316] {
        let listener = TcpListener::bind(format!("{}:{port}", process.ip)).unwrap();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                spawn(move || {
                    let mut buf = [0; 4096];
                    while matches!(stream.read(&mut buf), Ok(1..)) {
                        let answer = "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 4\r\n\r\nkept";
                        _ = stream.write_all(answer.as_bytes());
                    }
                });
            }
        });
    }
    let kept = text_of("kept");
    let kept = kept.replace(number(&kept, "\"at\":"), &now().to_string()).replace("127.0.0.1", &process.ip);
    let (head, body) = kept.split_once('\n').unwrap();
    let text = format!("{}{}\n{body}", &head[..head.len() - 8], sealed(body.trim_end()));
    process.put("kept", &text);
    process.start(&["--operator", "operator.toml"]);
    let call =
        "GET /api/k1 HTTP/1.1\r\nX-Correlation-Id: k1\r\nX-Service-Class: page\r\nX-Time-Left: 0.9\r\n\r\n";
    let answer = process.ask(18310, call);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("kept"), "{answer}");
}

/// Files between the processes of one proxy are read and written again byte for byte.
#[test]
fn files_between_processes_are_written_again_byte_for_byte() {
    for name in ["ended.handover", "out-of-service.handover"] {
        let text = text_of(name);
        assert_eq!(chalkwalk_handover::HandoverRecord::decode(&text).unwrap().encode(), text);
    }
}

/// A process takes over from one of the program before: what operators set for servers and the proxy, and what was learned of
/// the servers, on the same terms. What it writes itself as it ends is the same text, but for its own number and times.
#[test]
fn a_process_takes_over_from_one_before() {
    let mut process = Process::new("handover");
    process.put("configuration.json", &text_of("configuration.json"));
    let text = text_of("ended.handover");
    let (head, body) = text.trim_end().split_at(text.find('{').unwrap());
    // What was learned is taken up within a minute, and an operator's word that says what holds anyway is kept as long.
    let of_servers = &body[body.find("\"birch\"").unwrap()..];
    let old = [
        number(body, "\"pid\":"),
        number(of_servers, "\"at\":"),
        number(&body[body.find("\"learned\"").unwrap()..], "\"at\":"),
    ];
    let now = now();
    let new = ["4194305".to_string(), (now - 30).to_string(), (now - 20).to_string()];
    let patched = old.iter().zip(&new).fold(body.to_string(), |body, (old, new)| body.replace(old, new));
    let before = process.folder.join("chalkwalk.p.4194305.handover");
    std::fs::write(&before, format!("{}{} {patched}\n", &head[..head.len() - 9], sealed(&patched))).unwrap();
    process.start(&[]);
    assert!(wait(|| !before.exists()), "the file of the process before is still there");
    let own = process.folder.join(format!("chalkwalk.p.{}.handover", process.child.id()));
    process.end();
    let found = std::fs::read_to_string(own).unwrap();
    let (found_head, found) = found.trim_end().split_at(found.find('{').unwrap());
    assert_eq!(found_head, format!("{}{} ", &head[..head.len() - 9], sealed(found)));
    let learned_at = number(&found[found.find("\"learned\"").unwrap()..], "\"at\":");
    let found = found
        .replace(number(found, "\"pid\":"), old[0])
        .replace(number(found, "\"began\":"), number(body, "\"began\":"))
        .replace(&new[1], old[1])
        .replace(learned_at, old[2]);
    assert_eq!(found, body);
}
