//! Settings of the wire into the balancer's map, by the names of the platform.

pub mod fields;

use fields::{FieldResult, JsonObject, object};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Copy)]
enum Form {
    Number,
    /// In whole tenths of a millisecond. What may be done for so long is over no later for it.
    Time,
    /// A time by which clients are answered: the same, and a tenth at the least where there is any.
    Limit,
    /// What has to be waited for is over no sooner.
    Rest,
    Flag,
    Word,
}
use Form::*;

const NAMED: [(&str, &str, Form); 24] = [
    ("position", "position", Number),
    ("balancers", "proxies", Number),
    ("excessUtility", "excess utility", Number),
    ("utilityBasis", "utility basis", Word),
    ("weightKind", "size kind", Word),
    ("ceilings.mostShots", "most shots", Number),
    ("ceilings.secondCopies", "second copies", Flag),
    ("ceilings.probes", "probes", Flag),
    ("ceilings.peers", "peers", Flag),
    ("ceilings.cancelling", "withdrawals", Flag),
    ("ceilings.retryAfter", "return advice", Flag),
    ("ceilings.maxRetryAfterNs", "longest stay away", Time),
    ("ceilings.connIdleNs", "idle time", Time),
    ("ceilings.connectTimeoutNs", "connect time", Limit),
    ("rules.drainGraceNs", "drain grace", Time),
    ("rules.askEveryNs", "ask time", Time),
    ("rules.startCapacity", "cold share", Number),
    ("rules.coldNs", "cold time", Rest),
    ("rules.fallMultiple", "fall multiple", Number),
    ("rules.fallNs", "fall time", Time),
    ("rules.keyQuietNs", "key quiet", Rest),
    ("scoreParts.tail", "tail", Number),
    ("scoreParts.missAllowed", "miss allowed", Number),
    ("familyInfo.originFallMultiple", "origin fall multiple", Number),
];

/// Times and parts that are refused below 0, as nothing sensible is meant by it.
const NOT_NEGATIVE: [&str; 3] = ["rules.keyQuietNs", "scoreParts.tail", "scoreParts.missAllowed"];

const OF_NAMESPACE: [(&str, &str, Form); 9] = [
    ("targetTimeNs", "target time", Limit),
    ("timeLimitNs", "time limit", Limit),
    ("utility", "utility", Number),
    ("overdueUtility", "late utility", Number),
    ("idempotency", "repeats", Word),
    ("group", "group", Word),
    ("dedupWindowNs", "window", Time),
    ("streaming", "streams", Flag),
    ("keepOrder", "in order", Flag),
];

const OF_TENANT: [(&str, &str, Form); 2] =
    [("allowancePerS", "allowance", Number), ("fraction", "share", Number)];

fn standard_word(word: &str) -> &str {
    match word {
        "free" => "replayable",
        "guarded" => "tagged",
        "single_shot" => "single-use",
        other => other,
    }
}

/// What the list's weights may be: none, a size, about a size, or a size that moves with load.
const WEIGHTS: [&str; 4] = ["off", "nominal", "rough", "live"];

/// No time is longer, in nanoseconds: half a year, so that none added to a clock is beyond what it can tell.
const LONGEST: f64 = 1.5e16;

fn said(value: &Value, path: &str, form: Form) -> FieldResult<String> {
    let wrong = |kind: &str| format!("setting {path}: expected {kind}, got {value}");
    let number = || value.as_f64().ok_or_else(|| wrong("a number"));
    let number = || match number() {
        Ok(n) if n < 0.0 && NOT_NEGATIVE.contains(&path) => Err(wrong("a number that is not negative")),
        said => said,
    };
    match form {
        Number => number().map(|n| n.to_string()),
        Time => number().map(|n| (n.min(LONGEST) / 1e5).floor().to_string()),
        Limit => {
            number().map(|n| (n.min(LONGEST) / 1e5).floor().max(if n > 0.0 { 1.0 } else { 0.0 }).to_string())
        }
        Rest => number().map(|n| (n.min(LONGEST) / 1e5).ceil().to_string()),
        Flag => value.as_bool().map(|b| u8::from(b).to_string()).ok_or_else(|| wrong("true or false")),
        Word if path == "weightKind" && !value.as_str().is_none_or(|w| WEIGHTS.contains(&w)) => {
            Err(wrong("one of off, nominal, rough, live"))
        }
        Word => value.as_str().map(|w| standard_word(w).to_string()).ok_or_else(|| wrong("a text")),
    }
}

fn pick(
    from: &JsonObject,
    table: &[(&str, &str, Form)],
    before: (&str, &str),
    into: &mut BTreeMap<String, String>,
) -> FieldResult<()> {
    for (path, name, form) in table {
        let (group, field) = path.split_once('.').unwrap_or(("", path));
        let holder = match (group, from.get(group)) {
            ("", _) => from,
            (_, Some(v)) => object(v, &format!("setting {group}"))?,
            (_, None) => continue,
        };
        if let Some(value) = holder.get(field).filter(|v| !v.is_null()) {
            into.insert(format!("{}{name}", before.1), said(value, &format!("{}{path}", before.0), *form)?);
        }
    }
    Ok(())
}

/// The names in one of the settings' lists, each with its own fields picked into the map.
fn listed(
    options: &JsonObject,
    wire: &str,
    (one, many): (&str, &str),
    table: &[(&str, &str, Form)],
    into: &mut BTreeMap<String, String>,
) -> FieldResult<Vec<String>> {
    let items = match options.get(wire).filter(|v| !v.is_null()) {
        None => &Vec::new(),
        Some(v) => v.as_array().ok_or_else(|| format!("setting {wire}: expected an array, got {v}"))?,
    };
    into.insert(many.to_string(), items.len().to_string());
    let read = items.iter().enumerate().map(|(i, item)| {
        let path = format!("{wire}[{i}]");
        let o = match item.as_str() {
            Some(name) => return Ok(name.to_string()),
            None => object(item, &format!("setting {path}"))?,
        };
        pick(o, table, (&format!("{path}."), &format!("{one} {i} ")), into)?;
        let name = o.get("name").and_then(Value::as_str);
        name.map(str::to_string).ok_or_else(|| format!("setting {path}.name: missing, expected a text"))
    });
    read.collect()
}

/// The balancer's map, and the names that later events are looked up by.
pub struct PlatformSettings {
    pub values: BTreeMap<String, String>,
    pub namespaces: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

pub fn read(options: &JsonObject) -> FieldResult<PlatformSettings> {
    let mut values = BTreeMap::new();
    pick(options, &NAMED, ("", ""), &mut values)?;
    let namespaces = listed(options, "namespaces", ("namespace", "namespaces"), &OF_NAMESPACE, &mut values)?;
    let both = |i: &usize| {
        ["streams", "in order"]
            .iter()
            .all(|f| values.get(&format!("namespace {i} {f}")).is_some_and(|v| v == "1"))
    };
    if let Some(i) = (0..namespaces.len()).find(both) {
        return Err(format!(
            "setting namespaces[{i}].keepOrder: a stream has no end to wait for, and can't be kept in order"
        ));
    }
    let tenants = listed(options, "tenants", ("tenant", "tenants"), &OF_TENANT, &mut values)?;
    let kinds = listed(options, "kinds", ("kind", "kinds"), &[], &mut values)?;
    let zones = listed(options, "zones", ("zone", "zones"), &[], &mut values)?;
    if values.get("return advice").is_none_or(|said| said == "0") {
        values.remove("longest stay away");
    }
    let own = crate::fields::text_or(options, "az", "")?;
    if let Some(zone) = zones.iter().position(|z| z == own) {
        values.insert("zone".into(), zone.to_string());
    }
    let watched = crate::fields::text_or(options, "discovery", "automatic")? == "subscribe";
    values.insert("watched".into(), u8::from(watched).to_string());
    if let Some(info) = options.get("familyInfo").filter(|v| !v.is_null()) {
        let info = object(info, "setting familyInfo")?;
        let mode = info.get("mode").and_then(Value::as_str);
        values.insert("through".into(), u8::from(mode == Some("through")).to_string());
        let kind = info.get("originKind").and_then(Value::as_i64).filter(|k| *k >= 0);
        if let Some(kind) = kind.filter(|_| mode == Some("aside")) {
            values.insert("origin kind".into(), kind.to_string());
        }
    }
    Ok(PlatformSettings { values, namespaces, tenants, kinds, zones })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// A window or a grace is over no later for being read, a cold server is cold no shorter, and no limit above 0 becomes none.
    #[test]
    fn times_between_two_tenths_are_read_to_the_safe_side() {
        let settings = |ns: f64| {
            json!({"rules": {"drainGraceNs": ns, "coldNs": ns, "keyQuietNs": ns, "askEveryNs": ns},
                   "ceilings": {"connectTimeoutNs": ns},
                   "namespaces": [{"name": "n", "dedupWindowNs": ns, "targetTimeNs": ns, "timeLimitNs": ns}]})
        };
        let told =
            [0.0, 1.0, 49_999.0, 50_000.0, 99_999.0, 100_000.0, 150_000.0, 199_999.0, 1e300].map(|ns| {
                let values = read(settings(ns).as_object().unwrap()).unwrap().values;
                let of = |name: &str| values[name].clone();
                let integer = ["drain grace", "ask time", "namespace 0 window"].map(of).join(" ");
                let limits =
                    ["connect time", "namespace 0 target time", "namespace 0 time limit"].map(of).join(" ");
                format!("{ns:e}: {integer}, {limits}, {}", ["cold time", "key quiet"].map(of).join(" "))
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
        .assert_eq(&told.join("\n"));
    }

    /// What is said of order by key reaches the map, nothing changes without it, and what makes no sense is told plainly.
    #[test]
    fn order_by_key_is_read_and_checked() {
        let settings = |more: Value| {
            let mut ns = json!({"name": "book", "idempotency": "free", "timeLimitNs": 1e9});
            ns.as_object_mut().unwrap().extend(more["of"].as_object().cloned().unwrap_or_default());
            let said = json!({"namespaces": [ns], "rules": more["rules"], "scoreParts": more["parts"]});
            match read(said.as_object().unwrap()) {
                Ok(settings) => ["namespace 0 in order", "key quiet", "tail", "miss allowed"]
                    .map(|name| settings.values.get(name).cloned().unwrap_or("-".into()))
                    .join(" "),
                Err(fault) => fault,
            }
        };
        let told: Vec<String> = [
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
            setting namespaces[0].keepOrder: a stream has no end to wait for, and can't be kept in order
            setting rules.keyQuietNs: expected a number that is not negative, got -1
            setting scoreParts.missAllowed: expected a number, got "few""#]]
        .assert_eq(&told.join("\n"));
    }

    /// What weights are is one of four words, or the usual where nothing is said; another is told plainly.
    #[test]
    fn what_weights_are_is_checked() {
        let told = [
            json!({}),
            json!({"weightKind": "live"}),
            json!({"weightKind": "lively"}),
            json!({"weightKind": 3}),
        ]
        .map(|said| match read(said.as_object().unwrap()) {
            Ok(settings) => settings.values.get("size kind").cloned().unwrap_or("-".into()),
            Err(fault) => fault,
        });
        expect_test::expect![[r#"
            -
            live
            setting weightKind: expected one of off, nominal, rough, live, got "lively"
            setting weightKind: expected a text, got 3"#]]
        .assert_eq(&told.join("\n"));
    }
}
