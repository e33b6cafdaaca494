//! The list's service when it is silent, or answers what makes no sense: what it told counts all the same.

use super::*;

/// How a service answers one call.
enum Reply {
    Says(String),
    /// One byte short of whole, and a close.
    Cut(String),
    Silent,
}
use Reply::*;

/// When the last answer was written, or when the wait of the last call was over that got none.
enum Last {
    Answered(Instant),
    Silent(Instant),
}

/// A list's service that answers so, and falls silent then. Tells each call, and how it follows the one before: within the
/// 200 ms for which a watch goes on, or within half a second and some of the end of a silent one's wait.
fn service(replies: Vec<Reply>) -> (SocketAddr, Told) {
    let (listener, addr) = a_listener();
    let told = Told::default();
    let (replies, heard) = (Arc::new(Mutex::new((replies.into_iter(), None::<Last>))), told.clone());
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (replies, heard) = (replies.clone(), heard.clone());
            spawn(move || {
                while let Some((head, _)) = message(&mut stream) {
                    let mut at = replies.lock().unwrap();
                    let (now, some) = (Instant::now(), Duration::from_millis(200));
                    let follows = match at.1.take() {
                        Some(Last::Answered(then)) if now < then + some => ", going on",
                        Some(Last::Silent(end)) if now < end => ", too soon",
                        Some(Last::Silent(end)) if now < end + 4 * some => ", anew in time",
                        _ => "",
                    };
                    heard.say(list_call(&head) + follows);
                    let wait = head.split("wait=").nth(1).and_then(|w| w.split(' ').next()?.parse().ok());
                    let (body, short) = match at.0.next() {
                        Some(Says(body)) => (body, 0),
                        Some(Cut(body)) => (body, 1),
                        _ => {
                            at.1 = Some(Last::Silent(now + Duration::from_millis(wait.unwrap_or(0))));
                            continue;
                        }
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len() + short);
                    at.1 = Some(Last::Answered(now));
                    if stream.write_all((head + &body).as_bytes()).is_err() || short > 0 {
                        return;
                    }
                }
            });
        }
    });
    (addr, told)
}

fn calls(told: &Told) -> Vec<String> {
    told.0.lock().unwrap().clone()
}

/// What a silent watch misses counts as told two seconds after its wait, and the grace runs from there.
#[test]
fn a_silent_watch_is_opened_anew_within_the_grace_of_what_it_missed() {
    let addr = a_listener().1;
    let now = |version| json!({"version": version, "full": false, "servers": []}).to_string();
    let (list_addr, told) = service(vec![Says(now(2)), Silent, Says(now(3))]);
    let known = [line("a", addr, "SERVING")];
    let mut proxy = run(&configuration(own_address(), list_addr, &known, 1024), "");
    wait_for(|| calls(&told).len() >= 4);
    proxy.kill().unwrap();
    proxy.wait().unwrap();
    expect![[r#"
        GET /discovery/hosts?index=1&wait
        GET /discovery/hosts?index=2&wait, going on
        GET /discovery/hosts?index=2&wait, anew in time
        GET /discovery/hosts?index=3&wait, going on"#]]
    .assert_eq(&calls(&told).join("\n"));
}

/// What was off by an answer with a wrong line is off, and so is a cache in a state that nobody knows; after such an answer,
/// and after one cut short, all is asked for while the watch goes on, once in a row.
#[test]
fn no_drain_is_lost_by_an_answer_that_makes_no_sense() {
    let told = Told::default();
    let mut lines = Vec::new();
    for name in ["a", "b", "c"] {
        let (listener, addr) = a_listener();
        lines.push(line(name, addr, if name == "c" { "RESTING" } else { "SERVING" }));
        stand_in(listener, told.clone(), name, held);
    }
    let mut drained = lines.clone();
    drained[1]["state"] = json!("DRAINING");
    let mut wrong = drained.clone();
    wrong[0]["addr"] = json!("nowhere");
    let (list_addr, asked) = service(vec![
        Says(whole(2, &lines)),
        Says(whole(3, &wrong)),
        Cut(whole(3, &drained)),
        Says(whole(3, &drained)),
        Cut(whole(4, &drained)),
    ]);
    let addr = own_address();
    let mut proxy = run(&configuration(addr, list_addr, &lines[..2], 1024), "");
    wait_for(|| calls(&asked).len() >= 3);
    let mut client = TcpStream::connect(addr).unwrap();
    for i in 0..40 {
        let head = format!("GET /api/k{i} HTTP/1.1\r\nX-Correlation-Id: {i}\r\nX-Service-Class: page\r\n");
        client.write_all((head + "X-Time-Left: 1.0\r\n\r\n").as_bytes()).unwrap();
        assert!(message(&mut client).is_some());
    }
    wait_for(|| calls(&asked).len() >= 6);
    proxy.kill().unwrap();
    proxy.wait().unwrap();
    let of = |name: &str| calls(&told).iter().filter(|line| line.starts_with(name)).count();
    expect!["40 to a, 0 to b, 0 to c"].assert_eq(&format!(
        "{} to a, {} to b, {} to c",
        of("a:"),
        of("b:"),
        of("c:")
    ));
    expect![[r#"
        GET /discovery/hosts?index=1&wait
        GET /discovery/hosts?index=2&wait, going on
        GET /discovery/hosts, going on
        GET /discovery/hosts
        GET /discovery/hosts?index=3&wait, going on
        GET /discovery/hosts"#]]
    .assert_eq(&calls(&asked).join("\n"));
}

/// A list with nothing in service, or with nothing on it, is told plainly and kept to; the next one is taken as it comes.
#[test]
fn a_list_without_a_cache_in_service_is_told_plainly() {
    let told = Told::default();
    let (listener, at) = a_listener();
    stand_in(listener, told.clone(), "a", held);
    let with = |state: &str| [line("a", at, state)];
    let indented =
        serde_json::to_string_pretty(&json!({"version": 4, "full": true, "servers": with("SERVING")}));
    let (list_addr, asked) = service(vec![
        Says(whole(2, &with("DRAINING"))),
        Says(whole(3, &[])),
        Silent,
        Says(indented.unwrap()),
    ]);
    let addr = own_address();
    let mut proxy = run(&configuration(addr, list_addr, &with("SERVING"), 1024), "");
    let mut seen = Vec::new();
    for calls_made in [3, 5] {
        wait_for(|| calls(&asked).len() >= calls_made);
        let mut client = TcpStream::connect(addr).unwrap();
        let head =
            format!("GET /api/k HTTP/1.1\r\nX-Correlation-Id: {calls_made}\r\nX-Service-Class: page\r\n");
        client.write_all((head + "X-Time-Left: 1.0\r\n\r\n").as_bytes()).unwrap();
        seen.push(message(&mut client).map_or("lost".into(), |(head, _)| head[9..12].to_string()));
    }
    proxy.kill().unwrap();
    let log = String::from_utf8(proxy.wait_with_output().unwrap().stderr).unwrap();
    seen.push(format!("{} shots", calls(&told).len()));
    seen.push(format!("{} lines of it", log.matches("no cache in service by the list").count()));
    expect!["503, 200, 1 shots, 2 lines of it"].assert_eq(&seen.join(", "));
}

/// A list that has gone back to an old state is not believed, but what drains by it is off at once: it may have started again
/// with new news.
#[test]
fn a_drain_in_an_older_list_counts() {
    let told = Told::default();
    let mut lines = Vec::new();
    for name in ["a", "b"] {
        let (listener, addr) = a_listener();
        lines.push(line(name, addr, "SERVING"));
        stand_in(listener, told.clone(), name, held);
    }
    let mut drained = lines.clone();
    drained[1]["state"] = json!("DRAINING");
    let (list_addr, asked) = service(vec![Says(whole(9, &lines)), Says(whole(3, &drained)), Silent]);
    let addr = own_address();
    let mut proxy = run(&configuration(addr, list_addr, &lines, 1024), "");
    wait_for(|| calls(&asked).len() >= 3);
    let mut client = TcpStream::connect(addr).unwrap();
    for i in 0..20 {
        let head = format!("GET /api/k{i} HTTP/1.1\r\nX-Correlation-Id: {i}\r\nX-Service-Class: page\r\n");
        client.write_all((head + "X-Time-Left: 1.0\r\n\r\n").as_bytes()).unwrap();
        assert!(message(&mut client).is_some());
    }
    proxy.kill().unwrap();
    proxy.wait().unwrap();
    let of = |name: &str| calls(&told).iter().filter(|line| line.starts_with(name)).count();
    expect!["20 to a, 0 to b"].assert_eq(&format!("{} to a, {} to b", of("a:"), of("b:")));
    expect![[r#"
        GET /discovery/hosts?index=1&wait
        GET /discovery/hosts?index=9&wait, going on
        GET /discovery/hosts, going on"#]]
    .assert_eq(&calls(&asked).join("\n"));
}
