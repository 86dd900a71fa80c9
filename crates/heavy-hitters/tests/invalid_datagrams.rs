//! Datagrams that must be rejected: from unknown senders, of other slices, and damaged ones.

mod simulation;

use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{DatagramError, Key, SenderId, Settings, aggregators};
use simulation::traffic::accept;
use simulation::{BEGIN_MS, DIGEST, Datagram, SUMMARY, Simulation};

#[test]
fn datagrams_of_unknown_senders_of_other_times_and_damaged_ones_are_refused_without_a_panic() {
    let mut simulation =
        Simulation::new(13, 20, Settings { max_per_second: 40, ..Settings::default() }, BEGIN_MS);
    simulation.run(13_000, |simulation| accept(simulation, 9.0, 3.0, |_| true));
    let (now_ms, selected) = (simulation.now_ms, aggregators(simulation.current_slice(), 20));
    let last = |kind| {
        simulation
            .delivered
            .iter()
            .rfind(|datagram| datagram.body[0] == kind)
            .expect("both were sent")
            .clone()
    };
    let (digest, summary) = (last(DIGEST), last(SUMMARY));
    let is_selected = |sender: &SenderId| selected.contains(sender);
    let other = (0..20).map(SenderId).find(|sender| !is_selected(sender)).expect("three are selected");
    let reader = (0..20).map(SenderId).rfind(|sender| !is_selected(sender)).expect("three are selected");
    let receive = |at_ms, from, body: &[u8]| {
        simulation.senders[reader.0].clone().receive(UnixMillis(at_ms), from, body)
    };
    assert_eq!(receive(now_ms, summary.from, &summary.body), Ok(()));
    for unknown in [other, reader, SenderId(20)] {
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

/// Each bit of a datagram flipped, and each prefix of it: rejected, or received without a panic.
fn assert_damage_is_harmless(simulation: &Simulation, datagram: &Datagram) {
    let Datagram { from, to, body } = datagram;
    let (now, later) = (simulation.now(), UnixMillis(simulation.now_ms + 10_000));
    let mut refused = 0;
    for index in 0..body.len() {
        for bit in 0..8 {
            let mut damaged = body.clone();
            damaged[index] ^= 1 << bit;
            let mut sender = simulation.senders[to.0].clone();
            refused += usize::from(sender.receive(now, *from, &damaged).is_err());
            // A consistent message is read, forwarded and used for decisions.
            let end_of_time = UnixMillis(u64::MAX);
            let _ = (sender.poll_datagrams(later), sender.repeated_key(Key::new(1), end_of_time));
            assert!(sender.hot_streams().count() <= 10);
        }
        let cut = simulation.senders[to.0].clone().receive(now, *from, &body[..index]);
        assert!(cut.is_err(), "cut at {index}");
    }
    // Most flips change a key or a count to another valid one, which only the envelope's checksum detects.
    assert!(refused > 0, "of {} damages", body.len() * 8);
}
