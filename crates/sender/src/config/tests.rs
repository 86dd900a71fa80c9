//! Gossip addresses, the number of senders and the memory for bodies.

use rudderspindle_policy::settings::Field;
use serde_json::json;

use super::file::Config;
use super::fleet_size::FleetSize;
use super::limits::Limits;

/// With an invalid configuration of peers the sender starts without gossip.
#[test]
fn gossip_needs_a_complete_and_valid_configuration() {
    let gossip = |me: i64, allowed: bool, listen: Option<&str>, peers: &[&str]| {
        let json = serde_json::json!({
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"sockets": 64, "disk_mb": 3},
            "peer_listen": listen, "peers": peers,
            "settings": {"me": me, "limits": {"peers": allowed}}});
        Config::read(&json).expect("a configuration").gossip()
    };
    let (listen, peers) = (Some("127.0.0.1:3"), ["10.0.0.1:3", "10.0.0.2:3"]);
    let config = gossip(1, true, listen, &peers).expect("gossip");
    assert_eq!((config.me, config.peers.len()), (1, 2));
    assert!(gossip(1, false, listen, &peers).is_none());
    assert!(gossip(1, true, None, &peers).is_none());
    assert!(gossip(2, true, listen, &peers).is_none());
    assert!(gossip(-1, true, listen, &peers).is_none());
    assert!(gossip(0, true, listen, &["10.0.0.1:3", "somewhere"]).is_none());
    assert!(gossip(0, true, listen, &[]).is_none());
}

/// Each warning is one line.
#[test]
fn the_larger_sender_count_is_used_and_a_mismatch_is_warned_of() {
    assert_eq!(FleetSize::new(Some(3), 3), FleetSize { senders: 3, warning: None });
    // Without gossip, the configuration lists no peers.
    assert_eq!(FleetSize::new(Some(3), 0), FleetSize { senders: 3, warning: None });
    for (peers_total, peers, expected, text) in [
        (Some(3), 100, 100, "peers_total is 3, but peers lists 100 senders"),
        (Some(100), 3, 100, "peers_total is 100, but peers lists 3 senders"),
        (Some(0), 7, 7, "peers_total is 0, but peers lists 7 senders"),
        (None, 7, 7, "peers_total is missing: the number of peers is used"),
        (None, 0, 1, "settings.peers_total is missing and peers is empty"),
    ] {
        let size = FleetSize::new(peers_total, peers);
        assert_eq!(size.senders, expected, "{peers_total:?} {peers}");
        let warning = size.warning.map(|warning| warning.to_string());
        assert!(
            warning.as_deref().is_some_and(|line| line.contains(text) && !line.contains('\n')),
            "{warning:?}"
        );
    }
    // The number 0 is rejected when the configuration is validated.
    assert_eq!(FleetSize::new(Some(0), 0), FleetSize { senders: 0, warning: None });
}

#[test]
fn memory_for_bodies_follows_from_the_limits() {
    let bytes = |sockets: f64, memory: Option<f64>| {
        let json = json!({"sockets": sockets, "disk_mb": 3, "memory_mb": memory});
        Limits::read(&Field::new(&json, "limits")).expect("limits").body_bytes()
    };
    assert_eq!(bytes(1024.0, Some(192.0)), 24_000_000);
    assert_eq!(bytes(65_536.0, Some(192.0)), 24_000_000);
    assert_eq!(bytes(65_536.0, Some(1_920.0)), 240_000_000);
    // The memory is at most 64 KiB for each of 492 client connections.
    assert_eq!(bytes(1024.0, Some(1_920.0)), 492 * 65_536);
    assert_eq!(bytes(1024.0, Some(1e300)), 492 * 65_536);
    // The minimum applies if no memory limit or a lower one is configured.
    for memory in [None, Some(0.0), Some(7.0)] {
        assert_eq!(bytes(1024.0, memory), 1_000_000);
    }
}

#[test]
fn memory_for_pending_messages_follows_from_the_memory_limit() {
    let bytes = |memory: Option<f64>| {
        let json = json!({"sockets": 1024, "disk_mb": 3, "memory_mb": memory});
        Limits::read(&Field::new(&json, "limits")).expect("limits").pending_bytes()
    };
    assert_eq!(bytes(Some(192.0)), Some(48_000_000));
    assert_eq!(bytes(Some(7.0)), Some(2_000_000));
    // Without a memory limit, the journal's disk space alone limits them.
    assert_eq!((bytes(None), bytes(Some(0.0))), (None, None));
}
