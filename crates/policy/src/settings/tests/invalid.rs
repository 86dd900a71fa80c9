//! Tests of the errors for invalid settings: each error names the key, its value and the valid values.

use serde_json::{Value, json};

use super::super::{names, read};
use super::settings_with;

/// The error text of [`read`] or, if the settings can be read, of [`names`].
fn error_of(json: &Value) -> String {
    match read(json) {
        Ok(_) => names(json).expect_err("an error").to_string(),
        Err(error) => error.to_string(),
    }
}

const DURATION: &str = "must be a number of ms above 0";
const WHOLE_NUMBER: &str = "must be a whole number from 1 to 4294967295";
const EFFECT: &str = r#"must be one of "free", "guarded", "single_shot""#;
const NON_NEGATIVE: &str = "must be a number, 0 or more";
const FRACTION: &str = "must be a number from 0 to 1";

#[expect(clippy::too_many_lines, reason = "a table of cases")]
#[test]
fn an_invalid_value_error_names_the_key_and_what_is_valid() {
    let with_value = |pointer, value: Value| settings_with(pointer, Some(value));
    for (json, expected_error) in [
        (settings_with("/lanes/0/effect", None), format!(r#"settings.lanes[0].effect ("first") is missing: {EFFECT}"#)),
        (with_value("/lanes/1/effect", Value::Null), format!(r#"settings.lanes[1].effect ("second") is missing: {EFFECT}"#)),
        (with_value("/lanes/1/effect", json!("safe")), format!(r#"settings.lanes[1].effect ("second") is "safe": {EFFECT}"#)),
        (with_value("/lanes/1/effect", json!(1)), format!(r#"settings.lanes[1].effect ("second") is 1: {EFFECT}"#)),
        (with_value("/lanes/1/group", json!("every")),
         r#"settings.lanes[1].group ("second") is "every": must be one of "all", "zone", "cell""#.into()),
        (with_value("/lanes/1/window", json!(0)), format!(r#"settings.lanes[1].window ("second") is 0: {DURATION}"#)),
        (with_value("/lanes/1/window", json!(-1.5)), format!(r#"settings.lanes[1].window ("second") is -1.5: {DURATION}"#)),
        (with_value("/lanes/1/window", json!("1s")), format!(r#"settings.lanes[1].window ("second") is "1s": {DURATION}"#)),
        (settings_with("/lanes/1/window", None), format!(r#"settings.lanes[1].window ("second") is missing: {DURATION}"#)),
        (with_value("/lanes/0/deadline", json!(0.0)), format!(r#"settings.lanes[0].deadline ("first") is 0.0: {DURATION}"#)),
        (with_value("/lanes/0/deadline", json!(-3)), format!(r#"settings.lanes[0].deadline ("first") is -3: {DURATION}"#)),
        (with_value("/lanes/0/deadline", json!([])), format!(r#"settings.lanes[0].deadline ("first") is []: {DURATION}"#)),
        (settings_with("/lanes/0/deadline", None), format!(r#"settings.lanes[0].deadline ("first") is missing: {DURATION}"#)),
        (with_value("/lanes/0/target", json!(0)), format!(r#"settings.lanes[0].target ("first") is 0: {DURATION}"#)),
        (with_value("/lanes/0/credit", json!(-1)), format!(r#"settings.lanes[0].credit ("first") is -1: {NON_NEGATIVE}"#)),
        (with_value("/lanes/0/aim_stretch", json!(-1)),
         format!(r#"settings.lanes[0].aim_stretch ("first") is -1: {NON_NEGATIVE}"#)),
        (with_value("/lanes/0/late_worth", json!(1.1)), format!(r#"settings.lanes[0].late_worth ("first") is 1.1: {FRACTION}"#)),
        (with_value("/lanes/0/late_worth", json!(-0.1)), format!(r#"settings.lanes[0].late_worth ("first") is -0.1: {FRACTION}"#)),
        (with_value("/lanes/0/in_order", json!("no")),
         r#"settings.lanes[0].in_order ("first") is "no": must be true or false"#.into()),
        (with_value("/lanes/1/name", json!("first")),
         r#"settings.lanes[1].name ("first") is "first": must be another name than that of settings.lanes[0]"#.into()),
        (with_value("/lanes/1/name", json!("")), r#"settings.lanes[1].name is "": must be a name"#.into()),
        (settings_with("/lanes/1/name", None), "settings.lanes[1].name is missing: must be a name".into()),
        (with_value("/lanes/1/name", json!(5)), "settings.lanes[1].name is 5: must be a string".into()),
        (with_value("/lanes/1", json!("first")), format!("settings.lanes[1].effect is missing: {EFFECT}")),
        (with_value("/lanes", json!(5)), "settings.lanes is 5: must be a list".into()),
        (with_value("/lanes", json!([])),
         "settings.lanes is []: must be a list with at least one class of message".into()),
        (settings_with("/lanes", None),
         "settings.lanes is missing: must be a list with at least one class of message".into()),
        (with_value("/projects/1/fraction", json!(1.2)), format!(r#"settings.projects[1].fraction ("u") is 1.2: {FRACTION}"#)),
        (with_value("/projects/1/fraction", json!(-0.1)), format!(r#"settings.projects[1].fraction ("u") is -0.1: {FRACTION}"#)),
        (with_value("/projects/1/fraction", json!("half")),
         format!(r#"settings.projects[1].fraction ("u") is "half": {FRACTION}"#)),
        (with_value("/projects/1/fraction", json!(0.65)),
         "settings.projects[*].fraction in total is 1.25: must be a sum of at most 1".into()),
        (with_value("/projects/0/quota_per_s", json!(-5)),
         format!(r#"settings.projects[0].quota_per_s ("t") is -5: {NON_NEGATIVE}"#)),
        (with_value("/extra/calls_out", json!(0)), format!("settings.extra.calls_out is 0: {WHOLE_NUMBER}")),
        (with_value("/extra/calls_out", json!(-8)), format!("settings.extra.calls_out is -8: {WHOLE_NUMBER}")),
        (with_value("/extra/calls_out", json!(2.5)), format!("settings.extra.calls_out is 2.5: {WHOLE_NUMBER}")),
        (with_value("/extra/calls_out", json!(1e300)), format!("settings.extra.calls_out is 1e+300: {WHOLE_NUMBER}")),
        (settings_with("/extra/calls_out", None), format!("settings.extra.calls_out is missing: {WHOLE_NUMBER}")),
        (with_value("/extra/bundle_max/0", json!(0)), format!("settings.extra.bundle_max[0] is 0: {WHOLE_NUMBER}")),
        (with_value("/limits/most_held", json!(0)), format!("settings.limits.most_held is 0: {WHOLE_NUMBER}")),
        (with_value("/limits/most_held", json!(0.5)), format!("settings.limits.most_held is 0.5: {WHOLE_NUMBER}")),
        (with_value("/limits/max_attempts", json!(0)), format!("settings.limits.max_attempts is 0: {WHOLE_NUMBER}")),
        (with_value("/limits/max_attempts", json!(4_294_967_296u64)),
         format!("settings.limits.max_attempts is 4294967296: {WHOLE_NUMBER}")),
        (with_value("/limits/retry_after", json!(1)), "settings.limits.retry_after is 1: must be true or false".into()),
        (with_value("/limits/idle_close", json!("9 s")), r#"settings.limits.idle_close is "9 s": must be a number"#.into()),
        (with_value("/peers_total", json!(-1)),
         "settings.peers_total is -1: must be a whole number from 0 to 4294967295".into()),
        (with_value("/az", json!(256)), "settings.az is 256: must be a whole number from 0 to 255".into()),
        (with_value("/weights", json!("heavy")),
         r#"settings.weights is "heavy": must be one of "off", "nominal", "rough""#.into()),
        (with_value("/discovery", json!("asked")),
         r#"settings.discovery is "asked": must be one of "pushed", "on_request""#.into()),
        (with_value("/extra/loses_worth", json!("fast")),
         r#"settings.extra.loses_worth is "fast": must be one of "linear", "halving""#.into()),
        (with_value("/rules/cold_from", json!(0)),
         "settings.rules.cold_from is 0: must be a number above 0, up to 1".into()),
        (with_value("/rules/fall_multiple", json!(0)), "settings.rules.fall_multiple is 0: must be a number above 0".into()),
        (with_value("/rules/tip_after", json!(-1)),
         "settings.rules.tip_after is -1: must be a number of ms, 0 or more".into()),
    ] {
        assert_eq!(error_of(&json), expected_error);
    }
}

/// The value in the error is a string with line breaks and 3,000 characters.
#[test]
fn long_or_multiline_values_are_shortened_to_one_line() {
    let error_text = error_of(&settings_with("/lanes/0/effect", Some(json!("a\nb".repeat(1000)))));
    assert!(error_text.len() < 300 && !error_text.contains('\n'), "{error_text}");
}
