//! What an error of a server's says of the request that got it.

use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub enum ErrorMeaning {
    /// The server does not hold the slot any more; surely not run.
    Moved { slot: u16, to: SocketAddr },
    /// The slot is on its route, and this key is there already: once, and after asking; surely not run.
    Ask { slot: u16, to: SocketAddr },
    /// Surely not run, and another time it may be: keys of one command on both sides, a server that loads, a cluster that has
    /// lost slots, a replica that was taken for the owner.
    RetryLater,
    /// The same, and the map is likely wrong.
    MapOutdated,
    /// The answer: the command itself is wrong, wherever it is sent.
    Final,
}

/// The address that a redirection names; one without a host means the server that says it.
fn target(word: &str, from: SocketAddr) -> Option<SocketAddr> {
    match word.strip_prefix(':') {
        Some(port) => Some(SocketAddr::new(from.ip(), port.parse().ok()?)),
        None => word.parse().ok(),
    }
}

/// By the code that an error begins with. `from` is the server that says it. A redirection that can't be read is an answer
/// that says nothing of where to go, and the map is likely wrong.
pub fn classify_error(error: &str, from: SocketAddr, slots: u16) -> ErrorMeaning {
    let mut words = error.split(' ');
    let code = words.next().unwrap_or("");
    let to = |words: &mut std::str::Split<char>| {
        let slot = words.next()?.parse().ok().filter(|slot| *slot < slots)?;
        Some((slot, target(words.next()?, from)?))
    };
    match code {
        "MOVED" => {
            to(&mut words).map_or(ErrorMeaning::MapOutdated, |(slot, to)| ErrorMeaning::Moved { slot, to })
        }
        "ASK" => {
            to(&mut words).map_or(ErrorMeaning::MapOutdated, |(slot, to)| ErrorMeaning::Ask { slot, to })
        }
        "TRYAGAIN" | "LOADING" | "BUSY" => ErrorMeaning::RetryLater,
        "CLUSTERDOWN" | "MASTERDOWN" | "READONLY" => ErrorMeaning::MapOutdated,
        _ => ErrorMeaning::Final,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_mean_what_the_specification_says() {
        let from = "127.0.0.1:7000".parse().unwrap();
        let means = |error| classify_error(error, from, 16384);
        let to = "127.0.0.1:7001".parse().unwrap();
        assert_eq!(means("MOVED 3999 127.0.0.1:7001"), ErrorMeaning::Moved { slot: 3999, to });
        assert_eq!(means("ASK 3999 :7001"), ErrorMeaning::Ask { slot: 3999, to });
        // A slot that is none, a host that is a name, a line cut short: the map has to tell.
        for odd in [
            "MOVED 16384 127.0.0.1:1",
            "MOVED 1 host:1",
            "MOVED 1",
            "ASK",
            "CLUSTERDOWN Hash slot not served",
        ] {
            assert_eq!(means(odd), ErrorMeaning::MapOutdated, "{odd}");
        }
        assert_eq!(
            (means("TRYAGAIN x"), means("LOADING x")),
            (ErrorMeaning::RetryLater, ErrorMeaning::RetryLater)
        );
        assert_eq!(
            (means("WRONGTYPE x"), means("ERR x"), means("")),
            (ErrorMeaning::Final, ErrorMeaning::Final, ErrorMeaning::Final)
        );
    }
}
