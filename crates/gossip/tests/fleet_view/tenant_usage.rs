//! Tests the tenant usage of senders that are killed and restarted, while the network loses, duplicates, reorders and
//! replays datagrams.

use proptest::prelude::{Just, ProptestConfig, any, prop_assert_eq, prop_oneof, proptest};
use rudderspindle_gossip::{FleetViewError, Incarnation, OutgoingDatagram, UsageInterval, read_epochs};

use super::simulated_fleet::{START, SimulatedFleet, report_budget};

/// A usage interval that does not contain the true number of messages.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WrongInterval {
    sender: usize,
    epochs: u64,
    interval: UsageInterval,
    /// The true number of messages.
    truth: u64,
}

/// Checks that the usage interval of a sender contains the true number of messages in the same epochs.
fn check_interval(
    fleet: &SimulatedFleet,
    sender: usize,
    tenant: u16,
    epochs: u64,
) -> Result<(), WrongInterval> {
    let clock = fleet.clock(sender);
    let interval = fleet.senders[sender].view.usage().read(clock, tenant, epochs);
    let epochs_read = read_epochs(clock, epochs);
    let truth: u64 = epochs_read.filter_map(|epoch| fleet.accepted_by_tenant.get(&(epoch, tenant))).sum();
    if interval.min <= truth && truth <= interval.max {
        Ok(())
    } else {
        Err(WrongInterval { sender, epochs, interval, truth })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// Datagrams are lost, duplicated, late and replayed, and senders are killed and restarted.
    #[test]
    fn usage_intervals_contain_the_true_number_despite_faults(
        seed in any::<u64>(),
        senders in 3_usize..9,
        loss in prop_oneof![Just(0.1), Just(0.5), Just(0.9)],
        kill_probability in 0.0..0.02_f64,
        clock_offsets in proptest::collection::vec(-100_i64..=100, 9),
    ) {
        let mut fleet = SimulatedFleet::new(&vec![0; senders], seed);
        fleet.loss_probability = loss;
        fleet.duplication_probability = 0.3;
        fleet.replay_probability = 0.5;
        for (sender, clock_offset) in fleet.senders.iter_mut().zip(clock_offsets) {
            sender.clock_offset = clock_offset;
        }
        let mut result = Ok(());
        fleet.run(70_000, |fleet| {
            for sender in 0..senders {
                let tenant = (fleet.random() % 3) as u16;
                let burst = fleet.random() % 12;
                (0..burst).for_each(|_| fleet.accept_message(sender, tenant));
                if fleet.chance(kill_probability) {
                    let keeps_state_folder = fleet.chance(0.5);
                    fleet.restart(sender, keeps_state_folder);
                }
                if result.is_ok() {
                    result = check_interval(fleet, sender, tenant, 1 + fleet.now.0 / 50 % 6);
                }
            }
        });
        prop_assert_eq!(result, Ok(()));
    }
}

/// The sender restarts with its state folder or with an empty one.
#[test]
fn a_restart_within_an_epoch_counts_under_both_incarnations() {
    // The sender restarts in the middle of an epoch, or in the first millisecond of an epoch in which its earlier process
    // accepted messages as well.
    for (keeps_state_folder, restart_ms) in [(true, 4_400), (false, 4_400), (true, 5_000), (false, 5_000)] {
        let mut fleet = SimulatedFleet::new(&[0; 4], 7);
        let mut restarted = false;
        let mut result = Ok(());
        fleet.run(13_000, |fleet| {
            (0..4).for_each(|sender| fleet.accept_message(sender, 1));
            if fleet.now == START + restart_ms {
                fleet.restart(2, keeps_state_folder);
                restarted = true;
            }
            for sender in 0..4 {
                result = result.and(check_interval(fleet, sender, 1, 1));
            }
        });
        assert!(restarted);
        assert_eq!(result, Ok(()));
        // Six epochs later the usage interval is exact again.
        let read = fleet.senders[0].view.usage().read(fleet.now, 1, 3);
        assert_eq!((read.min, read.max, read.senders), (240, 240, 4), "{read:?}");
    }
}

/// Sender 0 is partitioned from all others for ten seconds.
#[test]
fn a_partitioned_sender_has_no_own_quota_until_it_reconnects() {
    let mut fleet = SimulatedFleet::new(&[0; 12], 11);
    let links: Vec<_> = (1..12).flat_map(|peer| [(0, peer), (peer, 0)]).collect();
    let mut quotas = Vec::new();
    let mut result = Ok(());
    fleet.run(30_000, |fleet| {
        // Sender 0 accepts half of the tenant's messages.
        (0..4).for_each(|_| fleet.accept_message(0, 1));
        let peer = 1 + fleet.now.0 as usize / 50 % 11;
        (0..4).for_each(|_| fleet.accept_message(peer, 1));
        match fleet.elapsed() {
            10_000 => fleet.partitions = links.iter().copied().collect(),
            20_000 => fleet.partitions.clear(),
            _ => {}
        }
        if fleet.elapsed() % 1_000 == 500 {
            quotas.push(fleet.senders[0].view.own_quota(fleet.now, 1, 120.0));
        }
        (0..12).for_each(|sender| result = result.and(check_interval(fleet, sender, 1, 5)));
    });
    assert_eq!(result, Ok(()));
    for second in [8, 9, 28, 29] {
        let quota = quotas[second].expect("known usage of other senders");
        assert!((quota - 60.0).abs() < 1.0, "second {second}: {quota} of 120 for half of the messages");
    }
    assert!(quotas[18..20].iter().all(Option::is_none), "{quotas:?}");
}

#[test]
fn datagrams_of_replaced_processes_or_unknown_senders_are_rejected() {
    let mut fleet = SimulatedFleet::new(&[0; 3], 3);
    fleet.run(3_000, |fleet| fleet.accept_message(1, 1));
    let mut replaced = fleet.senders[1].view.clone();
    fleet.restart(1, true);
    fleet.run(3_000, |_| {});
    let newest = fleet.senders[0].view.members().newest(1);
    assert_eq!(newest.map(|newest| newest.incarnation), Some(Incarnation(START.0 + 3_000)));
    let mut budget = report_budget();
    let mut dropped = 0;
    for step in 0..80 {
        let now = fleet.now + step * 250;
        for OutgoingDatagram { to, bytes } in replaced.due_datagrams(now, &mut budget) {
            let view = &mut fleet.senders[to].view;
            let received = view.receive(now, 1, &bytes);
            assert_eq!(received, Err(FleetViewError::StaleIncarnation), "sender {to}");
            assert_eq!(view.receive(now, 5, &bytes), Err(FleetViewError::UnknownSender));
            dropped += 1;
        }
    }
    assert!(dropped > 5, "{dropped}");
}

/// The usage intervals that 300 senders computed for 6,000 messages, and the rate of datagrams.
struct LargeFleetReadings {
    /// Lower and upper bound on the number of messages, by sender.
    bounds: Vec<(u64, u64)>,
    /// Average number of datagrams per second from each sender.
    datagrams_per_second: f64,
}

impl LargeFleetReadings {
    /// Number of senders whose lower bound is at least half of the true number of messages and whose upper bound is at most
    /// `factor` times the true number.
    fn within(&self, factor: u64) -> usize {
        self.bounds.iter().filter(|(min, max)| *min >= 3_000 && *max <= factor * 6_000).count()
    }
}

/// Simulates 300 senders, each of which accepts 4 messages per second.
fn read_in_large_fleet(loss: f64) -> LargeFleetReadings {
    let mut fleet = SimulatedFleet::new(&[0; 300], 13);
    fleet.loss_probability = loss;
    fleet.run(12_000, |fleet| {
        if fleet.now.0.is_multiple_of(250) {
            (0..300).for_each(|sender| fleet.accept_message(sender, 1));
        }
    });
    (0..300)
        .for_each(|sender| check_interval(&fleet, sender, 1, 5).expect("an interval with the true number"));
    let seconds = START.0 / 1_000 + 4..START.0 / 1_000 + 12;
    let sent_in_seconds = fleet.sent_datagrams.iter().filter(|((_, second), _)| seconds.contains(second));
    let datagrams: u64 = sent_in_seconds.map(|(_, datagrams)| datagrams).sum();
    let readings = fleet.senders.iter().map(|sender| sender.view.usage().read(fleet.now, 1, 5));
    let bounds = readings.map(|reading| (reading.min, reading.max)).collect();
    LargeFleetReadings { bounds, datagrams_per_second: datagrams as f64 / 300.0 / 8.0 }
}

/// Without lost datagrams, at least 290 senders compute exact bounds. With a fifth of the datagrams lost, at least half of
/// the senders have an upper bound of at most four times the true number, and at least 270 one of at most ten times.
#[test]
fn three_hundred_senders_compute_close_bounds_even_with_loss() {
    let lossless = read_in_large_fleet(0.0);
    let exact = lossless.bounds.iter().filter(|bounds| **bounds == (6_000, 6_000)).count();
    let rate = lossless.datagrams_per_second;
    println!("{exact} of 300 exact, {rate} datagrams per second");
    assert!(exact >= 290 && rate <= 2.1, "{exact} of 300 exact, {rate} datagrams per second");
    let mut lossy = read_in_large_fleet(0.2);
    lossy.bounds.sort_by_key(|(_, max)| *max);
    let rate = lossy.datagrams_per_second;
    let [first_decile, median, ninth_decile] = [30, 150, 270].map(|sender| lossy.bounds[sender]);
    println!("a fifth lost: {first_decile:?}, {median:?}, {ninth_decile:?}, {rate} datagrams per second");
    let within_4 = lossy.within(4);
    let within_10 = lossy.within(10);
    assert!(
        within_4 >= 150 && within_10 >= 270 && rate <= 4.0,
        "{within_4} of 300 within factor 4, {within_10} within 10, {rate} datagrams per second"
    );
}
