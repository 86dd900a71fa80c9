//! Invalid configurations, and the error that each of them has to produce.

use serde_json::{Value, json};

/// An invalid value in a configuration, and the error that it produces.
pub struct InvalidConfiguration {
    /// JSON pointer to the value.
    pub pointer: &'static str,
    /// The invalid value; `None` removes the key.
    pub value: Option<Value>,
    /// Key and value as the error names them.
    pub key: &'static str,
    /// Valid values as the error names them.
    pub expected: &'static str,
}

fn case(
    pointer: &'static str,
    value: Option<Value>,
    key: &'static str,
    expected: &'static str,
) -> InvalidConfiguration {
    InvalidConfiguration { pointer, value, key, expected }
}

/// All cases.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
pub fn invalid_configurations() -> Vec<InvalidConfiguration> {
    let span = "must be a number of ms above 0";
    let effect = r#"must be one of "free", "guarded", "single_shot""#;
    let (whole, part) = ("must be a whole number from 1 to 4294967295", "must be a number from 0 to 1");
    let (sockets, disk) = ("must be a whole number from 42 to 4294967295", "must be a number of MB above 0");
    let address = "must be an address and a port, as in \"127.0.0.1:9000\"";
    let one = "must be a list with at least one class of message";
    vec![
        case("/settings/lanes/1/effect", None, r#"settings.lanes[1].effect ("keyed") is missing"#, effect),
        case(
            "/settings/lanes/1/effect",
            Some(json!("sure")),
            r#"settings.lanes[1].effect ("keyed") is "sure""#,
            effect,
        ),
        case(
            "/settings/lanes/1/group",
            Some(json!("every")),
            r#"settings.lanes[1].group ("keyed") is "every""#,
            r#"must be one of "all", "zone", "cell""#,
        ),
        case("/settings/lanes/1/window", Some(json!(0)), r#"settings.lanes[1].window ("keyed") is 0"#, span),
        case(
            "/settings/lanes/1/window",
            Some(json!(-1)),
            r#"settings.lanes[1].window ("keyed") is -1"#,
            span,
        ),
        case(
            "/settings/lanes/1/window",
            Some(json!("1s")),
            r#"settings.lanes[1].window ("keyed") is "1s""#,
            span,
        ),
        case("/settings/lanes/1/window", None, r#"settings.lanes[1].window ("keyed") is missing"#, span),
        case(
            "/settings/lanes/0/deadline",
            Some(json!(0)),
            r#"settings.lanes[0].deadline ("safe") is 0"#,
            span,
        ),
        case(
            "/settings/lanes/0/deadline",
            Some(json!(-9.5)),
            r#"settings.lanes[0].deadline ("safe") is -9.5"#,
            span,
        ),
        case(
            "/settings/lanes/0/deadline",
            Some(json!(true)),
            r#"settings.lanes[0].deadline ("safe") is true"#,
            span,
        ),
        case("/settings/lanes/0/deadline", None, r#"settings.lanes[0].deadline ("safe") is missing"#, span),
        case("/settings/lanes/0/name", None, "settings.lanes[0].name is missing", "must be a name"),
        case(
            "/settings/lanes/2/name",
            Some(json!("safe")),
            r#"settings.lanes[2].name ("safe") is "safe""#,
            "must be another name than that of settings.lanes[0]",
        ),
        case(
            "/settings/lanes/1/in_order",
            Some(json!(true)),
            r#"settings.lanes[*].in_order ("keyed") is true"#,
            "must be false, because messages have no ordering key",
        ),
        case("/settings/lanes", Some(json!([])), "settings.lanes is []", one),
        case("/settings/lanes", None, "settings.lanes is missing", one),
        case(
            "/settings",
            None,
            "settings.kinds is missing",
            "must be a list with at least one kind of destination",
        ),
        case(
            "/settings/projects/0/fraction",
            Some(json!(1.01)),
            r#"settings.projects[0].fraction ("acme") is 1.01"#,
            part,
        ),
        case(
            "/settings/projects",
            Some(json!([{"fraction": 0.75}, {"fraction": 0.5}])),
            "settings.projects[*].fraction in total is 1.25",
            "must be a sum of at most 1",
        ),
        case(
            "/settings/projects/0/quota_per_s",
            Some(json!(-1)),
            r#"settings.projects[0].quota_per_s ("acme") is -1"#,
            "must be a number, 0 or more",
        ),
        case("/settings/extra/calls_out", Some(json!(0)), "settings.extra.calls_out is 0", whole),
        case("/settings/limits/max_attempts", Some(json!(2.5)), "settings.limits.max_attempts is 2.5", whole),
        case("/settings/limits/most_held", Some(json!(-300)), "settings.limits.most_held is -300", whole),
        case(
            "/settings/peers_total",
            Some(json!(0)),
            "settings.peers_total is 0 and peers is empty",
            "must be a whole number of senders, 1 or more",
        ),
        case("/limits/sockets", Some(json!(0)), "limits.sockets is 0", sockets),
        case("/limits/sockets", Some(json!(41)), "limits.sockets is 41", sockets),
        case("/limits/sockets", Some(json!(-64)), "limits.sockets is -64", sockets),
        case("/limits/sockets", None, "limits.sockets is missing", sockets),
        case("/limits/disk_mb", Some(json!(0)), "limits.disk_mb is 0", disk),
        case("/limits/disk_mb", Some(json!(-3.0)), "limits.disk_mb is -3.0", disk),
        case("/limits/disk_mb", Some(json!("3")), "limits.disk_mb is \"3\"", disk),
        case("/limits/disk_mb", None, "limits.disk_mb is missing", disk),
        case(
            "/limits/memory_mb",
            Some(json!(-1)),
            "limits.memory_mb is -1",
            "must be a number of MB, 0 or more",
        ),
        case("/limits", None, "limits.sockets is missing", sockets),
        case("/listen", Some(json!("here")), "listen is \"here\"", address),
        case("/listen", None, "listen is missing", address),
        case("/discovery", None, "discovery is missing", address),
        case("/control", Some(json!(9000)), "control is 9000", address),
        case("/seed", Some(json!(5)), "seed is 5", "must be a string"),
        case("/known", Some(json!(5)), "known is 5", "must be a list of receivers"),
    ]
}
