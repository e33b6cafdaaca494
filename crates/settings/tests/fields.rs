//! Reading fields of JSON objects, and the errors for fields that cannot be read.

use chalkwalk_settings::fields::size_hundredths;
use serde_json::json;

#[test]
fn sizes_are_numbers_clamped_to_their_range_and_default_to_one() {
    let results = [
        json!({}),
        json!({"w": 1.5}),
        json!({"w": 0}),
        json!({"w": -1}),
        json!({"w": "2"}),
        json!({"w": 1e9}),
    ]
    .map(|object| {
        let size = size_hundredths(object.as_object().unwrap(), "w");
        size.map_or_else(|error| error.to_string(), |hundredths| hundredths.to_string())
    });
    expect_test::expect![[r#"
        100
        150
        1
        1
        field w: expected a number, got "2"
        1000000"#]]
    .assert_eq(&results.join("\n"));
}
