//! The platform's settings, and the settings map that is read from them.

use chalkwalk_settings::read;
use serde_json::{Value, json};

/// Rounding to ticks never lengthens a window or a grace period, never shortens a slow start, and
/// never turns a limit above 0 into 0.
#[test]
fn times_are_rounded_to_ticks_in_the_safe_direction() {
    let settings = |ns: f64| {
        json!({"rules": {"drainGraceNs": ns, "coldNs": ns, "keyQuietNs": ns, "askEveryNs": ns},
               "ceilings": {"connectTimeoutNs": ns},
               "namespaces": [{"name": "n", "dedupWindowNs": ns, "targetTimeNs": ns, "timeLimitNs": ns}]})
    };
    let read_back =
        [0.0, 1.0, 49_999.0, 50_000.0, 99_999.0, 100_000.0, 150_000.0, 199_999.0, 1e300].map(|ns| {
            let values = read(settings(ns).as_object().unwrap()).unwrap().values;
            let value = |name: &str| values[name].clone();
            let rounded_down = ["drain grace", "ask time", "namespace 0 window"].map(value).join(" ");
            let limits =
                ["connect time", "namespace 0 target time", "namespace 0 time limit"].map(value).join(" ");
            format!("{ns:e}: {rounded_down}, {limits}, {}", ["cold time", "key quiet"].map(value).join(" "))
        });
    expect_test::expect![[r#"
        0e0: 0 0 0, 0 0 0, 0 0
        1e0: 0 0 0, 1 1 1, 1 1
        4.9999e4: 0 0 0, 1 1 1, 1 1
        5e4: 0 0 0, 1 1 1, 1 1
        9.9999e4: 0 0 0, 1 1 1, 1 1
        1e5: 1 1 1, 1 1 1, 1 1
        1.5e5: 1 1 1, 1 1 1, 2 2
        1.99999e5: 1 1 1, 1 1 1, 2 2
        1e300: 150000000000 150000000000 150000000000, 150000000000 150000000000 150000000000, 150000000000 150000000000"#]]
    .assert_eq(&read_back.join("\n"));
}

/// The settings for keeping requests of a key in order reach the map. Without them the map has no
/// such entries. Invalid values are rejected.
#[test]
fn settings_for_order_by_key_are_read_and_checked() {
    let settings = |overrides: Value| {
        let mut namespace = json!({"name": "records", "idempotency": "free", "timeLimitNs": 1e9});
        namespace.as_object_mut().unwrap().extend(overrides["of"].as_object().cloned().unwrap_or_default());
        let options =
            json!({"namespaces": [namespace], "rules": overrides["rules"], "scoreParts": overrides["parts"]});
        match read(options.as_object().unwrap()) {
            Ok(settings) => ["namespace 0 in order", "key quiet", "tail", "miss allowed"]
                .map(|name| settings.values.get(name).cloned().unwrap_or("-".into()))
                .join(" "),
            Err(error) => error.to_string(),
        }
    };
    let read_back: Vec<String> = [
        json!({"rules": {}, "parts": {}}),
        json!({"of": {"keepOrder": true}, "rules": {"keyQuietNs": 5e8}, "parts": {"tail": 0.2, "missAllowed": 0.02}}),
        json!({"of": {"keepOrder": "yes"}, "rules": {}, "parts": {}}),
        json!({"of": {"keepOrder": true, "streaming": true}, "rules": {}, "parts": {}}),
        json!({"rules": {"keyQuietNs": -1}, "parts": {}}),
        json!({"rules": {}, "parts": {"missAllowed": "few"}}),
    ]
    .into_iter()
    .map(settings)
    .collect();
    expect_test::expect![[r#"
        - - - -
        1 5000 0.2 0.02
        setting namespaces[0].keepOrder: expected true or false, got "yes"
        setting namespaces[0].keepOrder: a stream has no end to wait for and cannot be kept in order
        setting rules.keyQuietNs: expected a number that is not negative, got -1
        setting scoreParts.missAllowed: expected a number, got "few""#]]
    .assert_eq(&read_back.join("\n"));
}

/// The kind of weights is one of four names, or missing for the default. Any other value is
/// rejected.
#[test]
fn the_kind_of_weights_is_checked() {
    let read_back =
        [json!({}), json!({"weightKind": "live"}), json!({"weightKind": "linear"}), json!({"weightKind": 3})]
            .map(|options| match read(options.as_object().unwrap()) {
                Ok(settings) => settings.values.get("size kind").cloned().unwrap_or("-".into()),
                Err(error) => error.to_string(),
            });
    expect_test::expect![[r#"
        -
        live
        setting weightKind: expected one of off, nominal, rough, live, got "linear"
        setting weightKind: expected a string, got 3"#]]
    .assert_eq(&read_back.join("\n"));
}
