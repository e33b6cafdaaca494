//! The formats of stored values and list files: what is rejected with which error, and that encoded
//! endpoints round-trip.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::format::{
    AllowedNames, checksum, encode_endpoint, parse_endpoint, parse_file, parse_proxy,
};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use chalkwalk_time::Timestamp;
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VALID: &str = r#"version = 1
serial = 7
[[cache]]
id = "a"
addr = "127.0.0.1:1"
zone = "n"
state = "serving"
[[cache]]
id = "b"
addr = "127.0.0.1:2"
zone = "s"
state = "draining"
started_ms = 5
back = true
[end]
"#;

fn allowed() -> AllowedNames {
    AllowedNames { zones: vec!["n".into(), "s".into()], kinds: vec!["cache".into()] }
}

#[test]
fn all_problems_of_a_file_are_reported_together() {
    let replaced = |from: &str, to: &str| VALID.replace(from, to);
    let files = [
        VALID.to_string(),
        replaced("version = 1", "version = 2"),
        replaced("zone = \"s\"", "zone = \"moon\"\nkind = \"kettle\""),
        replaced("\"b\"", "\"a\"").replace("127.0.0.1:2", "127.0.0.1:1"),
        replaced("draining", "tired").replace("127.0.0.1:1\"", "nowhere\""),
        replaced("state = \"serving\"", "staet = \"serving\""),
        replaced("[end]\n", ""),
        replaced("serial = 7", "checksum = \"crc32:00000000\""),
        replaced("id = \"a\"", "id = \"\""),
        "{\"version\": 1, \"cache\": [{\"id\": \"a\"".into(),
    ];
    let reports = files.map(|text| match parse_file(&text, &allowed()) {
        Ok(file) => format!("{:?}, {} caches\n", file.serial, file.entries.len()),
        Err(error) => format!("{error}\n"),
    });
    expect![[r#"
        Some(7), 2 caches
        version 2 is not known; this program reads version 1
        cache 2: b: the settings have no zone "moon"
        cache 2: the id a is already used by an earlier entry
        cache 2: the address 127.0.0.1:1 is already used by an earlier entry
        cache 1: a: addr must be an IP address and a port, found "nowhere"
        cache 2: b: the state must be serving or draining, found "tired"
        line 7: unknown field `staet`, expected one of `id`, `addr`, `zone`, `kind`, `cell`, `weight`, `state`, `started_ms`, `back`
        the file does not end with [end]: it may be truncated
        checksum mismatch: the file states crc32:00000000, but its content has crc32:9dcfd43f
        cache 1: an id must have 1 to 256 bytes and no control characters
        EOF while parsing an object at line 1 column 35
    "#]]
    .assert_eq(&reports.concat());
    let with_checksum = VALID.replace("serial = 7", "checksum = \"\"");
    let with_checksum =
        with_checksum.replace("checksum = \"\"", &format!("checksum = \"{}\"", checksum(&with_checksum)));
    assert!(parse_file(&with_checksum, &allowed()).is_ok());
    assert!(parse_file(&with_checksum.replace("127.0.0.1:2", "127.0.0.1:3"), &allowed()).is_err());
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected() {
    let json = r#"{"version":1,"cache":[{"id":"a","addr":"127.0.0.1:1","zone":"n","state":"serving"}]}"#;
    for text in [VALID.trim_end(), json] {
        assert!(parse_file(text, &allowed()).is_ok());
        let accepted: Vec<usize> =
            (0..text.len()).filter(|n| parse_file(&text[..*n], &allowed()).is_ok()).collect();
        assert_eq!(accepted, [0usize; 0]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Parsing arbitrary bytes, or a valid file with one altered byte, never panics.
    #[test]
    fn any_bytes_are_parsed_or_rejected(
        noise in proptest::collection::vec(any::<u8>(), 0..200),
        position in 0usize..200,
        replacement in any::<u8>(),
    ) {
        _ = parse_endpoint("a", &noise, &allowed());
        _ = parse_proxy(&noise);
        let mut bytes = VALID.as_bytes().to_vec();
        bytes[position % VALID.len()] = replacement;
        for text in [String::from_utf8_lossy(&noise), String::from_utf8_lossy(&bytes)] {
            _ = parse_file(&text, &allowed());
        }
    }

    #[test]
    fn an_encoded_endpoint_round_trips(
        port in any::<u16>(),
        cell in any::<u64>(),
        weight_hundredths in 1u64..1_000_000,
        started_at in 0u64..1 << 50,
        draining in any::<bool>(),
    ) {
        let status = if draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let endpoint = ListedEndpoint {
            id: "a/b".into(),
            address,
            zone: "n".into(),
            kind: "cache".into(),
            cell,
            weight_hundredths,
            status,
            started_at: Timestamp::from_ticks(started_at * 10),
        };
        let parsed = parse_endpoint("a/b", &encode_endpoint(&endpoint), &allowed()).unwrap();
            prop_assert_eq!(parsed, ListEntry { endpoint, reinstated: false });
    }
}
