//! The stored form of a persisted list, and its freshness by age.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::ListedEndpoint;
use chalkwalk_membership::format::AllowedNames;
use chalkwalk_membership::persisted::{Freshness, PersistedList};
use chalkwalk_time::{Span, Timestamp};

const HOUR: Span = Span::from_secs(3_600);

#[test]
fn a_list_round_trips_and_any_missing_or_altered_byte_is_rejected() {
    let endpoint = |id: &str, status| ListedEndpoint {
        id: id.into(),
        address: "127.0.0.1:3000".parse().unwrap(),
        zone: "n".into(),
        kind: String::new(),
        cell: 3,
        weight_hundredths: 150,
        status,
        started_at: Timestamp::from_ticks(170),
    };
    let endpoints = vec![endpoint("a", EndpointStatus::Ready), endpoint("b \"c\"", EndpointStatus::Draining)];
    let list = PersistedList { written_at: Timestamp::ZERO + 100 * HOUR, revision: 9, endpoints };
    let (text, allowed) = (list.to_text(), AllowedNames::default());
    assert_eq!(PersistedList::parse(&text, &allowed).unwrap(), list);
    assert_eq!(PersistedList::parse(&text, &allowed).unwrap().to_text(), text);
    for index in 0..text.len() {
        assert!(PersistedList::parse(&text[..index], &allowed).is_err());
        let mut altered = text.clone().into_bytes();
        altered[index] ^= 1;
        assert!(PersistedList::parse(&String::from_utf8(altered).unwrap(), &allowed).is_err(), "{index}");
    }
    let freshness = [99, 100, 101, 102, 124, 125].map(|hour| list.freshness(Timestamp::ZERO + hour * HOUR));
    assert_eq!(
        freshness,
        [
            Freshness::Expired,
            Freshness::Fresh,
            Freshness::Fresh,
            Freshness::Stale,
            Freshness::Stale,
            Freshness::Expired
        ]
    );
}
