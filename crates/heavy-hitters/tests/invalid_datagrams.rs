//! Rejection of invalid datagrams: from unknown senders, of slices outside the window, and damaged ones.

mod simulation;

use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{DatagramError, Key, SenderId, Settings, aggregators};
use simulation::traffic::accept_messages;
use simulation::{BEGIN_MS, DIGEST_KIND, Datagram, SUMMARY_KIND, Simulation};

/// Datagrams from unknown senders, outside the window or truncated are rejected; no damaged datagram causes a panic.
#[test]
fn invalid_datagrams_are_rejected_without_a_panic() {
    let mut simulation =
        Simulation::new(13, 20, Settings { max_per_second: 40, ..Settings::default() }, BEGIN_MS);
    simulation.run(13_000, |simulation| accept_messages(simulation, 9.0, 3.0, |_| true));
    let (now_ms, selected) = (simulation.now_ms, aggregators(simulation.current_slice(), 20));
    let last_delivered = |kind| {
        simulation
            .delivered
            .iter()
            .rfind(|datagram| datagram.body[0] == kind)
            .expect("both kinds of messages were delivered")
            .clone()
    };
    let (digest, summary) = (last_delivered(DIGEST_KIND), last_delivered(SUMMARY_KIND));
    let is_selected = |sender: &SenderId| selected.contains(sender);
    let unselected = (0..20)
        .map(SenderId)
        .find(|sender| !is_selected(sender))
        .expect("only three of 20 senders are selected");
    let recipient = (0..20)
        .map(SenderId)
        .rfind(|sender| !is_selected(sender))
        .expect("only three of 20 senders are selected");
    let receive = |at_ms, from, body: &[u8]| {
        simulation.senders[recipient.0].clone().receive(UnixMillis(at_ms), from, body)
    };
    assert_eq!(receive(now_ms, summary.from, &summary.body), Ok(()));
    for unknown in [unselected, recipient, SenderId(20)] {
        assert_eq!(receive(now_ms, unknown, &summary.body), Err(DatagramError::UnknownSender));
    }
    assert_eq!(receive(now_ms, digest.from, &digest.body), Err(DatagramError::UnknownSender));
    for other_ms in [now_ms + 60_000, now_ms - 60_000] {
        assert_eq!(receive(other_ms, summary.from, &summary.body), Err(DatagramError::OutsideWindow));
    }
    for datagram in [digest, summary] {
        assert_damage_is_harmless(&simulation, &datagram);
    }
}

/// Flips each bit of a datagram, which must not cause a panic, and truncates it to each length, which must be
/// rejected.
fn assert_damage_is_harmless(simulation: &Simulation, datagram: &Datagram) {
    let Datagram { from, to, body } = datagram;
    let (now, later) = (simulation.now(), UnixMillis(simulation.now_ms + 10_000));
    let mut rejected_count = 0;
    for index in 0..body.len() {
        for bit in 0..8 {
            let mut damaged = body.clone();
            damaged[index] ^= 1 << bit;
            let mut sender = simulation.senders[to.0].clone();
            rejected_count += usize::from(sender.receive(now, *from, &damaged).is_err());
            // An accepted message is used in replies and decisions, which must not panic either.
            let end_of_time = UnixMillis(u64::MAX);
            let _ = (sender.poll_datagrams(later), sender.repeated_key(Key::new(1), end_of_time));
            assert!(sender.hot_streams().count() <= 10);
        }
        let truncated = simulation.senders[to.0].clone().receive(now, *from, &body[..index]);
        assert!(truncated.is_err(), "truncated to {index} bytes and not rejected");
    }
    // Most flips change a key or a count to another valid one, which only the checksum of the envelope detects.
    assert!(rejected_count > 0, "none of {} bit flips was rejected", body.len() * 8);
}
