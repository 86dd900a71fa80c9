//! Endpoint lists and configurations of senders for tests with scripted peers.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// An entry of an endpoint list; `cell` is the number of the receiver.
pub fn member(id: &str, addr: SocketAddr, cell: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": "shared", "cell": cell,
           "phase": phase, "size": 1000.0, "up_since_ms": 0})
}

/// A complete endpoint list, or changes of a list if `complete` is false.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// A configuration with the classes `safe`, `keyed` and `once`, which have the same deadline.
pub fn config(platform: SocketAddr, members: &[Value], deadline_ms: f64) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window": 15000.0, "credit": 1.0,
               "deadline": deadline_ms, "target": deadline_ms / 2.0, "late_worth": 0.3})
    };
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128, "disk_mb": 3},
        "known": list(7, true, members),
        "settings": {
            "az": 0, "azs": ["a", "b"], "kinds": ["shared"], "peers_total": 1, "tick": 5.0, "weights": "nominal",
            "lanes": [class("safe", "free"), class("keyed", "guarded"), class("once", "single_shot")],
            "projects": [{"name": "acme", "fraction": 1.0, "quota_per_s": 1000.0}],
            "extra": {"bundle_max": [1], "kind_apart": [false], "calls_out": 16},
            "limits": {"connect_timeout": 500.0, "idle_close": 15000.0, "max_attempts": 4, "most_held": 100,
                       "max_retry_after": 3000.0, "retry_after": true},
            "rules": {"cold_from": 0.2, "fall_multiple": 2.5, "tip_after": 3000.0, "warm_within": 9000.0}}})
}
