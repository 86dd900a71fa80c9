use rudderspindle_policy::settings::Field;
use serde_json::json;

use super::{Config, Limits, senders};

/// What is told of peers must not keep a sender from starting, nor have it send notes where they are not allowed.
#[test]
fn notes_are_sent_only_where_all_that_they_need_is_told_and_can_be_used() {
    let notes = |me: i64, allowed: bool, listen: Option<&str>, peers: &[&str]| {
        let json = serde_json::json!({
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"sockets": 64, "disk_mb": 3},
            "peer_listen": listen, "peers": peers,
            "settings": {"me": me, "limits": {"peers": allowed}}});
        Config::read(&json).expect("a configuration").notes()
    };
    let (listen, peers) = (Some("127.0.0.1:3"), ["10.0.0.1:3", "10.0.0.2:3"]);
    let good = notes(1, true, listen, &peers).expect("notes");
    assert_eq!((good.me, good.peers.len()), (1, 2));
    assert!(notes(1, false, listen, &peers).is_none());
    assert!(notes(1, true, None, &peers).is_none());
    assert!(notes(2, true, listen, &peers).is_none());
    assert!(notes(-1, true, listen, &peers).is_none());
    assert!(notes(0, true, listen, &["10.0.0.1:3", "somewhere"]).is_none());
    assert!(notes(0, true, listen, &[]).is_none());
}

#[test]
fn of_two_numbers_of_senders_the_larger_one_counts_and_each_doubt_is_one_line() {
    assert_eq!(senders(Some(3), 3), (3, None));
    // A tier without notes between senders lists nobody.
    assert_eq!(senders(Some(3), 0), (3, None));
    for (told, peers, reckoned, says) in [
        (Some(3), 100, 100, "peers_total is 3, and peers lists 100"),
        (Some(100), 3, 100, "peers_total is 100, and peers lists 3"),
        (Some(0), 7, 7, "peers_total is 0, and peers lists 7"),
        (None, 7, 7, "peers_total is missing"),
        (None, 0, 1, "neither settings.peers_total nor peers"),
    ] {
        let (senders, doubt) = senders(told, peers);
        assert_eq!(senders, reckoned, "{told:?} {peers}");
        assert!(doubt.as_deref().is_some_and(|d| d.contains(says) && !d.contains('\n')), "{doubt:?}");
    }
    // Nothing to go by: the settings are refused, as a number of senders that cannot be.
    assert_eq!(senders(Some(0), 0), (0, None));
}

#[test]
fn memory_for_bodies_follows_the_limits_and_no_figure_of_a_site() {
    let bytes = |sockets: f64, memory: Option<f64>| {
        let json = json!({"sockets": sockets, "disk_mb": 3, "memory_mb": memory});
        Limits::read(&Field::new(&json, "limits")).expect("limits").body_bytes()
    };
    assert_eq!(bytes(1024.0, Some(192.0)), 24_000_000);
    assert_eq!(bytes(65_536.0, Some(192.0)), 24_000_000);
    assert_eq!(bytes(65_536.0, Some(1_920.0)), 240_000_000);
    // No more than 64 KiB for each of 492 clients, however much memory there is.
    assert_eq!(bytes(1024.0, Some(1_920.0)), 492 * 65_536);
    assert_eq!(bytes(1024.0, Some(1e300)), 492 * 65_536);
    // A limit that is not told, or hardly any.
    for memory in [None, Some(0.0), Some(7.0)] {
        assert_eq!(bytes(1024.0, memory), 1_000_000);
    }
}
