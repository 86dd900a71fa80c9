//! Valid configurations, compared with recorded values.

use std::path::{Path, PathBuf};

use rudderspindle_policy::interface::{Class, Discovery, Effect, KeyGroup, LateDecay, RateHint};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use super::ValidatedConfig;
use super::file::Config;

mod refused;

const VALUES: &str = include_str!("../../tests/golden/config.values.json");
const MINIMAL_VALUES: &str = include_str!("../../tests/golden/config.least.values.json");
const CHOICES: &str = include_str!("../../tests/golden/config.choices.json");

/// A change of the complete configuration, and the resulting value of one key.
#[derive(Deserialize)]
struct Choice {
    /// JSON pointer to the changed value.
    at: String,
    /// The new value.
    value: Value,
    /// The key of [`values`] that is compared.
    key: String,
    #[serde(rename = "gives")]
    expected: Value,
}

fn golden(text: &str) -> Value {
    serde_json::from_str(text).expect("a golden file")
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The configuration with every key.
fn complete_config() -> Value {
    golden(&std::fs::read_to_string(file("config.json")).expect("a file"))
}

/// Replaces the value at a JSON pointer, or removes it if `value` is `None`.
fn put(config: &mut Value, at: &str, value: Option<Value>) {
    let (parent, key) = at.rsplit_once('/').expect("a JSON pointer");
    match (config.pointer_mut(parent).expect("a parent"), value) {
        (Value::Object(parent), Some(value)) => _ = parent.insert(key.to_owned(), value),
        (Value::Object(parent), None) => _ = parent.remove(key).expect("a value"),
        (parent, value) => parent[key.parse::<usize>().expect("an index")] = value.expect("a value"),
    }
}

/// Reads a configuration as the program does, from a file.
fn read(config: &Value) -> Result<ValidatedConfig, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("a file");
    ValidatedConfig::read(&path).map_err(|error| error.to_string())
}

/// The values of a class, under the keys of the configuration file.
fn class(name: &str, class: &Class) -> Value {
    let (effect, group, window) = match class.effect {
        Effect::Idempotent => ("free", None, None),
        Effect::IdempotencyKey { group: KeyGroup::All, window } => ("guarded", Some("all"), Some(window)),
        Effect::IdempotencyKey { group: KeyGroup::Zone, window } => ("guarded", Some("zone"), Some(window)),
        Effect::IdempotencyKey { group: KeyGroup::Route, window } => ("guarded", Some("cell"), Some(window)),
        Effect::NotIdempotent => ("single_shot", None, None),
    };
    json!({"name": name, "credit": class.value, "target": class.latency_objective, "aim_stretch": class.latency_objective_stretch,
        "deadline": class.deadline, "late_worth": class.late_value, "effect": effect, "group": group,
        "window": window, "in_order": class.ordered})
}

/// The settings of the policy, under the keys of the configuration file.
fn settings(config: &ValidatedConfig) -> Value {
    let (s, names) = (&config.settings, &config.names);
    let (discovery, ask_within) = match s.discovery {
        Discovery::Pushed => ("pushed", None),
        Discovery::OnRequest { ask_within } => ("on_request", Some(ask_within)),
    };
    let weights = match s.rate_hint {
        RateHint::None => "off",
        RateHint::Nominal => "nominal",
        RateHint::Rough => "rough",
    };
    let loses_worth = match s.late_decay {
        LateDecay::Linear => "linear",
        LateDecay::Halving => "halving",
    };
    let for_each_kind = |value: fn(&rudderspindle_policy::interface::Kind) -> Value| -> Vec<Value> {
        s.kinds.iter().map(value).collect()
    };
    json!({"az": s.zone, "azs": names.zones, "kinds": names.kinds, "peers_total": s.peers_total, "tick": s.tick,
        "weights": weights, "discovery": discovery, "over_share_worth": s.over_quota_value,
        "tariffs.cross_zone": s.cross_zone_price,
        "projects.name": names.tenants,
        "projects.quota_per_s": s.tenants.iter().map(|tenant| tenant.quota_per_s).collect::<Vec<_>>(),
        "extra.calls_out": s.slots, "extra.bundle_max": for_each_kind(|kind| kind.max_batch.into()),
        "extra.kind_apart": for_each_kind(|kind| kind.limit_per_route.into()), "extra.loses_worth": loses_worth,
        "extra.fee_by_zone": s.zone_fees,
        "limits.most_held": s.max_pending, "limits.max_attempts": s.max_attempts,
        "limits.max_retry_after": s.max_retry_after, "limits.retry_after": s.retry_after,
        "limits.probing": s.health_checks, "limits.cancelling": s.cancelling,
        "limits.max_streams": s.streams_per_connection, "limits.idle_close": s.idle_close,
        "limits.connect_timeout": s.connect_timeout,
        "rules.cold_from": s.recovery_start_share, "rules.warm_within": s.recovery_duration,
        "rules.fall_multiple": s.overload_multiple, "rules.tip_after": s.overload_duration, "rules.turn_gap": s.ordering_key_pause,
        "rules.ask_within": ask_within})
}

/// The values outside `settings`, under the keys of the configuration file.
fn values_outside_settings(config: &Config) -> Value {
    let known = config.known.as_ref().map(|list| {
        let members = list.members.iter().map(|member| {
            json!({"id": member.id, "host_port": member.host_port, "locality": member.zone,
                "flavor": member.kind, "cell": member.destination, "phase": member.phase, "size": member.rate})
        });
        json!({"revision": list.revision, "complete": list.complete, "members": members.collect::<Vec<_>>()})
    });
    let gossip = config.gossip();
    json!({"listen": config.listen, "discovery": config.discovery, "control": config.control,
        "seed": config.seed, "peers": config.peers, "peer_listen": config.peer_listen, "known": known,
        "limits.disk_mb": config.limits.disk_mb,
        "limits.sockets as connections of clients": config.limits.max_connections(),
        "limits.memory_mb as bytes for bodies": config.limits.body_bytes(),
        "notes": gossip.as_ref().map(|_| true), "notes.me": gossip.as_ref().map(|gossip| gossip.me),
        "notes.listen": gossip.as_ref().map(|gossip| gossip.listen),
        "notes.peers": gossip.as_ref().map(|gossip| &gossip.peers)})
}

/// All values of a configuration, by the path of the key.
fn values(config: &ValidatedConfig) -> Value {
    let mut all = Map::new();
    let object = |value: Value| value.as_object().cloned().expect("an object");
    all.extend(object(values_outside_settings(&config.config)));
    all.extend(object(settings(config)).into_iter().map(|(key, value)| (format!("settings.{key}"), value)));
    for (index, (name, settings)) in config.names.classes.iter().zip(&config.settings.classes).enumerate() {
        let values = object(class(name, settings)).into_iter();
        all.extend(values.map(|(key, value)| (format!("settings.lanes[{index}].{key}"), value)));
    }
    assert_eq!(config.names.classes.len(), config.settings.classes.len());
    all.into()
}

#[test]
fn a_configuration_with_every_key_has_the_recorded_values() {
    let config = ValidatedConfig::read(&file("config.json")).expect("a valid configuration");
    assert_eq!(values(&config), golden(VALUES));
}

#[test]
fn the_defaults_are_the_recorded_ones() {
    let config = ValidatedConfig::read(&file("config.least.json")).expect("a valid configuration");
    assert_eq!(values(&config), golden(MINIMAL_VALUES));
}

#[test]
fn each_choice_and_form_of_a_value_is_read_as_recorded() {
    let choices: Vec<Choice> = serde_json::from_str(CHOICES).expect("a table");
    assert!(choices.len() > 20);
    for Choice { at, value, key, expected } in choices {
        let mut config = complete_config();
        put(&mut config, &at, Some(value.clone()));
        let config = read(&config).unwrap_or_else(|error| panic!("{at} {value}: {error}"));
        assert_eq!(values(&config).get(&key), Some(&expected), "{at} {value}");
    }
}
