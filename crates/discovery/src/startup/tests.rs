//! Configurations in the platform's format, and the errors for invalid ones.

use super::StartupConfig;
use chalkwalk_time::Span;
use serde_json::{Value, json};

fn config() -> Value {
    json!({
        "name": "p", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:9090", "seed": "ff",
        "limits": {"sockets": 300, "memory_mb": 64},
        "settings": {
            "ceilings": {"mostShots": 3, "secondCopies": true},
            "namespaces": [{"name": "page", "timeLimitNs": 1e9, "targetTimeNs": 5e8, "idempotency": "free"}],
        },
    })
}

fn read(config: &Value) -> Result<StartupConfig, String> {
    Ok(StartupConfig::read(config.as_object().expect("an object"))?)
}

#[test]
fn a_configuration_is_converted_to_the_engine_configuration() {
    let startup = read(&config()).expect("a good configuration");
    assert_eq!(startup.listen_address.port(), 8080);
    assert_eq!(startup.discovery_address.map(|address| address.port()), Some(9090));
    assert_eq!(startup.namespaces, ["page"]);
    let engine = startup.engine_config;
    assert_eq!((engine.seed, engine.max_descriptors, engine.memory_limit_bytes), (255, 300, 64_000_000));
    let limits = engine.platform_limits;
    assert_eq!((limits.max_attempts, limits.hedging), (3, true));
    assert_eq!(limits.namespaces[0].time_limit, Span::from_secs(1));
    assert_eq!(limits.namespaces[0].latency_objective, Span::from_millis(500));
}

#[test]
fn the_first_invalid_field_is_named_in_the_error() {
    let error_with = |pointer: &str, value: Value| {
        let mut changed = config();
        *changed.pointer_mut(pointer).expect("a field") = value;
        read(&changed).map_or_else(|error| error, |_| "accepted".to_string())
    };
    let namespace = "/settings/namespaces/0";
    let errors = [
        error_with("/settings", json!(3)),
        error_with("/settings/ceilings/mostShots", json!(0)),
        error_with("/settings/ceilings/mostShots", json!(1.5)),
        error_with("/settings/ceilings/mostShots", json!(1001)),
        error_with(&format!("{namespace}/timeLimitNs"), json!(0)),
        error_with(&format!("{namespace}/targetTimeNs"), json!(3.7e12)),
        error_with("/settings/namespaces", json!([{"name": "page", "timeLimitNs": 1e9}, "page"])),
        error_with("/seed", json!("xyz")),
        error_with("/limits/sockets", json!("many")),
        error_with("/listen", json!("localhost")),
        error_with("/discovery", json!("9090")),
    ];
    expect_test::expect![[r#"
        field settings: expected an object, got 3
        setting ceilings.mostShots: expected a whole number above 0, got 0
        setting ceilings.mostShots: expected a whole number above 0, got 1.5
        setting ceilings.mostShots: expected a whole number above 0, got 1001
        setting namespaces[0].timeLimitNs: expected a time above 0 and up to an hour
        setting namespaces[0].targetTimeNs: expected a time above 0 and up to an hour
        setting namespaces[1].name: "page" is defined twice
        field seed: expected a hexadecimal number, got "xyz"
        field sockets: expected a whole number, got "many"
        field listen: expected an address and a port, got "localhost"
        field discovery: expected an address and a port, got "9090""#]]
    .assert_eq(&errors.join("\n"));
}
