//! Tests the reports on mistakes in a settings file, and the documented defaults.

#![expect(clippy::needless_raw_string_hashes, reason = "expect-test writes them")]

use expect_test::{Expect, expect};
use miette::{GraphicalReportHandler, GraphicalTheme};
use sedgepath_core::schema::{Field, Shape};
use sedgepathd::limits::Limits;
use sedgepathd::settings::{FIELDS, Settings, Timing};
use serde_json::Value;

const GOOD: &str = "name: n1\ndomain: north-a\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\n\
                    operators: 127.0.0.1:3\nmetrics: 127.0.0.1:4\nplatform: http://127.0.0.1:5\n\
                    secret: sixteen characters\n";

fn assert_report(text: &str, expected: &Expect) {
    let report = Settings::parse("settings.yaml", text).expect_err("mistakes");
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none()).with_width(100);
    let mut rendered = String::from("report:\n");
    handler.render_report(&mut rendered, &report).expect("a report");
    expected.assert_eq(&rendered);
}

/// Guards against a report that stops at the first mistake, or that lacks the line and the expected
/// value of a mistake.
#[test]
fn three_mistakes_are_reported_at_once_with_their_lines() {
    let text = GOOD.replace("127.0.0.1:2", "localhost:2")
        + "timing:\n  head_every_ms: 1\n  heartbeats_ms: 250\n";
    assert_report(
        &text,
        &expect![[r#"
            report:
              x settings.yaml has 3 mistakes
               ,-[settings.yaml:4:8]
             3 | callers: 127.0.0.1:1
             4 | peers: localhost:2
               :        ^^^^^|^^^^^
               :             `-- `localhost:2` is no address; it should be an IP address and a port, like 192.0.2.1:8080
             5 | operators: 127.0.0.1:3
               `----
                ,-[settings.yaml:10:18]
              9 | timing:
             10 |   head_every_ms: 1
                :                  |
                :                  `-- 1 is out of range; it should be from 100 to 60000
             11 |   heartbeats_ms: 250
                :   ^^^^^^|^^^^^^
                :         `-- there is no field `heartbeats_ms` here; the fields are `heartbeat_every_ms`, `suspect_after_ms`, `forget_after_ms`, `relay_every_ms`, `head_every_ms`, `head_stale_ms`, `fetch_jitter_ms`, `boot_wait_ms`, `look_up_valid_ms`
                `----
        "#]],
    );
}

/// Guards against accepting values that are valid by themselves but conflict with each other.
#[test]
fn conflicting_values_are_reported() {
    let text = GOOD.replace("127.0.0.1:4", "127.0.0.1:1")
        + "timing:\n  heartbeat_every_ms: 1000\n  suspect_after_ms: 1500\n";
    assert_report(
        &text,
        &expect![[r#"
            report:
              x settings.yaml has 2 mistakes
                ,-[settings.yaml:6:10]
              5 | operators: 127.0.0.1:3
              6 | metrics: 127.0.0.1:1
                :          ^^^^^|^^^^^
                :               `-- `metrics` has the same address as `callers`
              7 | platform: http://127.0.0.1:5
              8 | secret: sixteen characters
              9 | timing:
             10 |   heartbeat_every_ms: 1000
             11 |   suspect_after_ms: 1500
                :                     ^^|^
                :                       `-- should be at least three times `heartbeat_every_ms` (1000)
                `----
        "#]],
    );
}

/// Guards against a YAML syntax error that is reported without its line and column.
#[test]
fn a_yaml_syntax_error_is_reported_with_its_position() {
    assert_report(
        &(GOOD.to_owned() + "timing: {\n"),
        &expect![[r#"
            report:
              x settings.yaml has a mistake
               ,-[settings.yaml:9:9]
             8 | secret: sixteen characters
             9 | timing: {
               :         |
               :         `-- unclosed bracket '{' at line 9, column 9
               `----
        "#]],
    );
}

/// Guards against documented defaults that differ from the defaults in force.
#[test]
fn the_documented_defaults_are_the_defaults_in_force() {
    let settings = Settings::parse("settings.yaml", GOOD).expect("good settings");
    assert_eq!(settings.timing, Timing::default());
    assert_eq!(&*settings.log_level, "info");
    for (name, values) in [
        ("timing", serde_json::to_value(Timing::default())),
        ("limits", serde_json::to_value(Limits::default())),
    ] {
        let values = values.expect("JSON");
        let group = FIELDS.iter().find(|field| field.name == name).expect("a group");
        let Shape::Object(fields) = group.shape else { panic!("{name} is no mapping") };
        let documented =
            |field: &Field| field.default.map(|text| text.parse::<u64>().expect("a number"));
        for field in fields {
            assert_eq!(values[field.name].as_u64(), documented(field), "{}", field.name);
        }
        assert_eq!(values.as_object().map(serde_json::Map::len), Some(fields.len()));
        assert!(matches!(values, Value::Object(_)));
    }
}
