//! The senders' configuration in a test, and the classes and endpoints in the header of the event log.

use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{KEYED, MessageClass, SAFE, TENANTS, Tenant};
use crate::event_log::{Class, Effect, Endpoint, KeyGroup, Rules};
use crate::fake_discovery::FakeDiscovery;
use crate::fake_receiver::KEY_LIFETIME;
use crate::scenario::ReceiverPlan;

/// Latency objective of messages with idempotency keys, in milliseconds.
const KEYED_TARGET_MS: u64 = 4_000;
/// Latency objective of idempotent messages, in milliseconds.
const IDEMPOTENT_TARGET_MS: u64 = 2_000;
/// Seed of the first sender; the seed of every other sender is this value plus its index.
const SEED_BASE: u64 = 0x9e37_79b9;

/// Name of the sender with this index.
pub(crate) fn sender_name(index: usize) -> String {
    format!("n{index}")
}

/// The message classes of a test. The deadline of a class is at most `max_lifetime` after the submission.
pub fn classes(max_lifetime: Duration) -> Vec<Class> {
    let class = |class: MessageClass, effect, key_group, key_window: Duration, target_ms| Class {
        name: class.name.to_owned(),
        effect,
        key_group,
        key_window_ms: key_window.as_millis() as u64,
        target_ms,
        deadline_ms: class.lifetime.min(max_lifetime).as_millis() as u64,
        ordered: false,
    };
    vec![
        class(KEYED, Effect::IdempotencyKey, KeyGroup::Zone, KEY_LIFETIME, KEYED_TARGET_MS),
        class(SAFE, Effect::Idempotent, KeyGroup::All, Duration::ZERO, IDEMPOTENT_TARGET_MS),
    ]
}

/// The endpoints of receivers for the header of the event log.
pub fn endpoints(receivers: &[ReceiverPlan]) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for receiver in receivers {
        for endpoint in &receiver.endpoints {
            endpoints.push(Endpoint {
                id: endpoint.id.clone(),
                receiver: receiver.number,
                zone: endpoint.zone.clone(),
                independent: receiver.independent,
                per_s: receiver.per_s.get(),
            });
        }
    }
    endpoints
}

/// The content of the configuration file of the sender with this index. `senders` is the number of senders in the test.
pub fn configuration(
    discovery: &FakeDiscovery,
    classes: &[Class],
    rules: &Rules,
    senders: usize,
    index: usize,
) -> Value {
    let class_settings: Vec<Value> = classes.iter().map(class_settings).collect();
    json!({"discovery": discovery.addr().to_string(), "seed": format!("{:016x}", SEED_BASE + index as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 16},
        "known": discovery.list(),
        "settings": {
            "az": index % 2, "azs": ["hall-a", "hall-b"], "kinds": ["big-platform", "any-size"],
            "peers_total": senders, "me": index, "tick": 5.0, "weights": "nominal",
            "lanes": class_settings, "projects": tenant_settings(),
            "extra": {"bundle_max": [1, 1], "kind_apart": [true, false], "calls_out": 64,
                      "loses_worth": "linear"},
            "limits": {"connect_timeout": 1500.0, "idle_close": 15000.0, "max_attempts": 12, "most_held": 800,
                       "max_retry_after": 3000.0, "retry_after": true, "probing": true, "cancelling": true},
            "rules": {"cold_from": rules.initial_capacity, "fall_multiple": rules.overload_multiple,
                      "tip_after": rules.overload_window_ms, "warm_within": rules.warm_up_ms}}})
}

/// The settings of a message class.
fn class_settings(class: &Class) -> Value {
    let (effect, group) = match class.effect {
        Effect::Idempotent => ("free", "all"),
        Effect::IdempotencyKey if class.key_group == KeyGroup::All => ("guarded", "all"),
        Effect::IdempotencyKey => ("guarded", "zone"),
        Effect::AtMostOnce => ("single_shot", "all"),
    };
    let credit = if class.effect == Effect::Idempotent { 3.0 } else { 1.0 };
    json!({"name": class.name, "effect": effect, "group": group, "window": class.key_window_ms,
           "target": class.target_ms, "credit": credit, "deadline": class.deadline_ms, "late_worth": 0.3})
}

/// The settings of all tenants.
fn tenant_settings() -> Vec<Value> {
    let settings = |tenant: &Tenant| json!({"name": tenant.name, "fraction": 0.2, "quota_per_s": 1000.0});
    TENANTS.iter().map(settings).collect()
}
