//! Error replies are classified by the error codes of the cluster specification.

use chalkwalk_slot_map::{ErrorMeaning, classify_error};

#[test]
fn errors_are_classified_by_the_codes_of_the_specification() {
    let sender = "127.0.0.1:7000".parse().unwrap();
    let classify = |error| classify_error(error, sender);
    let target = "127.0.0.1:7001".parse().unwrap();
    assert_eq!(classify("MOVED 3999 127.0.0.1:7001"), ErrorMeaning::Moved { slot: 3999, target });
    assert_eq!(classify("ASK 3999 :7001"), ErrorMeaning::Ask { slot: 3999, target });
    // A slot beyond the last one, a host name instead of an address, and incomplete redirections
    // name no usable target, so only a new map helps.
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
