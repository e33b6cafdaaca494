//! Error replies are classified by their code, as the cluster specification defines them.

use chalkwalk_slot_map::{ErrorMeaning, classify_error};

#[test]
fn errors_mean_what_the_specification_says() {
    let from = "127.0.0.1:7000".parse().unwrap();
    let classify = |error| classify_error(error, from);
    let to = "127.0.0.1:7001".parse().unwrap();
    assert_eq!(classify("MOVED 3999 127.0.0.1:7001"), ErrorMeaning::Moved { slot: 3999, to });
    assert_eq!(classify("ASK 3999 :7001"), ErrorMeaning::Ask { slot: 3999, to });
    // A slot past the last, a host name instead of an address, a line cut short: only a new map can
    // help.
    for malformed in
        ["MOVED 16384 127.0.0.1:1", "MOVED 1 host:1", "MOVED 1", "ASK", "CLUSTERDOWN Hash slot not served"]
    {
        assert_eq!(classify(malformed), ErrorMeaning::MapOutdated, "{malformed}");
    }
    for busy in ["TRYAGAIN x", "LOADING x"] {
        assert_eq!(classify(busy), ErrorMeaning::RetryLater, "{busy}");
    }
    for other in ["WRONGTYPE x", "ERR x", ""] {
        assert_eq!(classify(other), ErrorMeaning::Final, "{other}");
    }
}
