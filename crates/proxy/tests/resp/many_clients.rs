//! Many clients, or one client that sends without a pause: the memory of the process stays below its
//! limit, and other clients get their replies in time.

use super::*;

const MEMORY_LIMIT_MB: usize = 32;

impl ProxySetup {
    /// The private memory of the process, in kB.
    fn private_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.proxy.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        value.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Connects clients that send the same bytes and stay, and returns the most private memory that
    /// the process held within two seconds, in kB.
    fn peak_memory_with(&self, clients: usize, text: &[u8]) -> usize {
        let mut clients: Vec<TcpStream> = (0..clients).map(|_| self.connect().unwrap()).collect();
        for client in &mut clients {
            client.set_nonblocking(true).unwrap();
        }
        let mut sent = vec![0; clients.len()];
        let end = Instant::now() + Duration::from_secs(2);
        let mut peak_kb = 0;
        while Instant::now() < end {
            for (client, sent) in clients.iter_mut().zip(&mut sent) {
                *sent += client.write(&text[*sent..]).unwrap_or(0);
            }
            peak_kb = peak_kb.max(self.private_memory_kb());
            sleep(Duration::from_millis(5));
        }
        peak_kb
    }
}

fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        text.extend(format!("${}\r\n", word.len()).into_bytes());
        text.extend_from_slice(word);
        text.extend(b"\r\n");
    }
    text
}

/// Guards against a process that is killed for memory because many clients send long commands at the
/// same time, or commands of very many parts, or keep long replies waiting behind a slow one.
#[test]
fn long_commands_and_replies_of_many_clients_keep_the_proxy_within_its_memory() {
    let long_value = vec![b'v'; 1 << 20];
    let half_command = &command(&[b"SET", b"k", &long_value])[..500_000];
    let many_parts = [b"*4096\r\n$4\r\nMGET\r\n".to_vec(), b"$1\r\na\r\n".repeat(4000)].concat();
    let echo = command(&[b"ECHO", &long_value[..200_000]]);
    let behind_slow = [command(&[b"GET", b"hangs"]), echo.repeat(5)].concat();
    for (clients, text) in [(150, half_command), (150, &many_parts[..]), (100, &behind_slow[..])] {
        let setup = ProxySetup::with_memory_limit("", Some(MEMORY_LIMIT_MB));
        let peak_kb = setup.peak_memory_with(clients, text);
        let begin = String::from_utf8_lossy(&text[..20]);
        assert!(peak_kb <= MEMORY_LIMIT_MB * 1024, "{peak_kb} kB with {begin:?}");
    }
}

/// Guards against an incomplete command that is held for as long as a byte of it arrives now and
/// then: a whole command has 3 s.
#[test]
fn a_command_that_arrives_byte_by_byte_has_3_s_in_all() {
    let setup = ProxySetup::new("");
    let mut client = setup.connect().unwrap();
    let mut writer = client.try_clone().unwrap();
    spawn(move || {
        for byte in command(&[b"GET", b"a"]) {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            sleep(Duration::from_millis(1000));
        }
    });
    let started = Instant::now();
    let mut reply = String::new();
    _ = client.read_to_string(&mut reply);
    assert_eq!(reply, "-ERR Protocol error: the command was not received in time\r\n");
    assert!(started.elapsed() < Duration::from_millis(4500), "after {:?}", started.elapsed());
}

/// Guards against other clients that get no reply while one client sends commands of thousands of
/// keys without a pause: keys of many slots, which are refused, and keys of one slot.
#[test]
fn commands_with_thousands_of_keys_delay_no_other_client() {
    for tag in ["", "{t}"] {
        let setup = ProxySetup::new("");
        let mut flood = setup.connect().unwrap();
        let mut replies = flood.try_clone().unwrap();
        spawn(move || while matches!(replies.read(&mut [0; 4096]), Ok(1..)) {});
        spawn(move || {
            for round in 0.. {
                let keys: Vec<String> = (0..4094).map(|key| format!("{tag}{round}x{key}")).collect();
                let mut words: Vec<&[u8]> = vec![b"DEL"];
                words.extend(keys.iter().map(|key| key.as_bytes()));
                if flood.write_all(&command(&words)).is_err() {
                    return;
                }
            }
        });
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end {
            // The time limit of the request is 0.6 s.
            let mut client = setup.connect().unwrap();
            client.set_read_timeout(Some(Duration::from_millis(600))).unwrap();
            client.write_all(b"PING\r\n").unwrap();
            let mut reply = [0; 7];
            client.read_exact(&mut reply).unwrap();
            assert_eq!(&reply, b"+PONG\r\n");
        }
    }
}
