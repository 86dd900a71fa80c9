//! Counts over a wire that loses, doubles, reorders and replays, among senders that die and come back.

use super::world::{START, Sender, World};
use proptest::prelude::*;
use rudderspindle_gossip::{Incarnation, OutgoingDatagram, read_epochs};

/// What a sender reads against the truth, of the epochs that are over at all.
fn check(world: &World, n: usize, tenant: u16, epochs: u64) -> Result<(), String> {
    let mut views = world.senders[n].views.clone();
    let clock = world.clock(n);
    let read = views.counts().read(clock, tenant, epochs);
    let of = read_epochs(clock, epochs);
    let truth: u64 = of.filter_map(|epoch| world.truth.get(&(epoch, tenant))).sum();
    let holds = read.min <= truth && truth <= read.max;
    if holds { Ok(()) } else { Err(format!("sender {n} reads {read:?} of {truth} over {epochs} epochs")) }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn the_interval_holds_the_truth_whatever_is_lost_doubled_late_replayed_or_killed(
        seed in any::<u64>(),
        senders in 3_usize..9,
        lost in prop_oneof![Just(0.1), Just(0.5), Just(0.9)],
        kills in 0.0..0.02_f64,
        ahead in proptest::collection::vec(-100_i64..=100, 9),
    ) {
        let mut world = World::new(&vec![0; senders], seed);
        (world.lost, world.doubled, world.replayed) = (lost, 0.3, 0.5);
        for (sender, ahead) in world.senders.iter_mut().zip(ahead) {
            sender.ahead = ahead;
        }
        let mut wrong = Ok(());
        world.run(70_000, |world| {
            for n in 0..senders {
                let (tenant, burst) = ((world.draw() % 3) as u16, world.draw() % 12);
                (0..burst).for_each(|_| world.hand_in(n, tenant));
                if world.chance(kills) {
                    let on_folder = world.chance(0.5);
                    world.restart(n, on_folder);
                }
                if wrong.is_ok() {
                    wrong = check(world, n, tenant, 1 + world.now / 50 % 6);
                }
            }
        });
        prop_assert_eq!(wrong, Ok(()));
    }
}

#[test]
fn a_sender_killed_and_back_within_an_epoch_counts_under_both_names_also_with_an_empty_folder() {
    // In the middle of an epoch, and in its first millisecond, in which the earlier process took on, too.
    for (on_folder, at) in [(true, 4_400), (false, 4_400), (true, 5_000), (false, 5_000)] {
        let mut world = World::new(&[0; 4], 7);
        let mut restarted = false;
        let mut wrong = Ok(());
        world.run(13_000, |world| {
            (0..4).for_each(|n| world.hand_in(n, 1));
            if world.now == START + at {
                world.restart(2, on_folder);
                restarted = true;
            }
            for n in 0..4 {
                wrong = std::mem::replace(&mut wrong, Ok(())).and(check(world, n, 1, 1));
            }
        });
        assert!(restarted);
        assert_eq!(wrong, Ok(()));
        // Six epochs later all is exact again.
        let read = world.senders[0].views.clone().counts().read(world.now, 1, 3);
        assert_eq!((read.min, read.max, read.senders), (240, 240, 4), "{read:?}");
    }
}

#[test]
fn who_is_cut_off_for_ten_seconds_goes_by_an_equal_part_and_joins_again_and_all_holds() {
    let mut world = World::new(&[0; 12], 11);
    let cut: Vec<_> = (1..12).flat_map(|n| [(0, n), (n, 0)]).collect();
    let mut rooms = Vec::new();
    let mut wrong = Ok(());
    world.run(30_000, |world| {
        // Half of the tenant's messages come to sender 0.
        (0..4).for_each(|_| world.hand_in(0, 1));
        let n = 1 + world.now as usize / 50 % 11;
        (0..4).for_each(|_| world.hand_in(n, 1));
        match world.now - START {
            10_000 => world.cut = cut.iter().copied().collect(),
            20_000 => world.cut.clear(),
            _ => {}
        }
        if (world.now - START) % 1_000 == 500 {
            rooms.push(world.senders[0].views.room(world.now, 1, 120.0));
        }
        (0..12).for_each(|n| wrong = std::mem::replace(&mut wrong, Ok(())).and(check(world, n, 1, 5)));
    });
    assert_eq!(wrong, Ok(()));
    for second in [8, 9, 28, 29] {
        let room = rooms[second].expect("it is heard");
        assert!((room - 60.0).abs() < 1.0, "second {second}: {room} of 120 for half of what is handed in");
    }
    assert!(rooms[18..20].iter().all(Option::is_none), "{rooms:?}");
}

#[test]
fn a_note_of_an_older_process_or_from_beyond_the_tier_changes_nothing() {
    let mut world = World::new(&[0; 3], 3);
    world.run(3_000, |world| world.hand_in(1, 1));
    let mut old = world.senders[1].views.clone();
    world.restart(1, true);
    world.run(3_000, |_| {});
    assert_eq!(
        world.senders[0].views.members().newest(1).map(|newest| newest.incarnation),
        Some(Incarnation(START + 3_000))
    );
    let mut post = rudderspindle_gossip::DatagramBudget::new(&[rudderspindle_gossip::DatagramClass {
        kind: rudderspindle_gossip::Kind::Report,
        rank: 0,
        min_interval: 0,
        cost: 2,
    }]);
    let mut refused = 0;
    for later in 0..80 {
        let now = world.now + later * 250;
        for OutgoingDatagram { to, bytes: note } in old.notes_due(now, &mut post) {
            let views = &mut world.senders[to].views;
            let heard = views.hear(now, 1, &note);
            assert_eq!(heard, Err(rudderspindle_gossip::FleetViewError::Older), "sender {to}");
            assert_eq!(views.hear(now, 5, &note), Err(rudderspindle_gossip::FleetViewError::UnknownSender));
            refused += 1;
        }
    }
    assert!(refused > 5, "{refused}");
}

/// 300 senders that are handed 4 messages a second each: what they read of 6,000, and notes a second from each.
fn three_hundred(lost: f64) -> (Vec<(u64, u64)>, f64) {
    let mut world = World::new(&[0; 300], 13);
    world.lost = lost;
    world.run(12_000, |world| {
        if world.now.is_multiple_of(250) {
            (0..300).for_each(|n| world.hand_in(n, 1));
        }
    });
    (0..300).for_each(|n| check(&world, n, 1, 5).expect("the truth"));
    let (now, sent) = (world.now, &world.sent);
    let of = START / 1_000 + 4..START / 1_000 + 12;
    let sent: u64 = sent.iter().filter(|((_, second), _)| of.contains(second)).map(|(_, n)| n).sum();
    let read = |sender: &mut Sender| sender.views.counts().read(now, 1, 5);
    let reads = world.senders.iter_mut().map(read).map(|read| (read.min, read.max));
    (reads.collect(), sent as f64 / 300.0 / 8.0)
}

#[test]
fn three_hundred_know_exactly_and_with_a_fifth_of_the_notes_lost_half_of_them_within_four_times() {
    let (reads, notes) = three_hundred(0.0);
    let exact = reads.iter().filter(|read| **read == (6_000, 6_000)).count();
    println!("{exact} of 300 exact, {notes} notes a second");
    assert!(exact >= 290 && notes <= 2.1, "{exact} of 300, {notes} notes a second");
    let (mut reads, notes) = three_hundred(0.2);
    reads.sort_by_key(|read| read.1);
    println!("a fifth lost: {:?}, {:?}, {:?}, {notes} notes a second", reads[30], reads[150], reads[270]);
    let near = |times: u64| reads.iter().filter(|read| read.0 >= 3_000 && read.1 <= times * 6_000).count();
    let (near, far) = (near(4), near(10));
    assert!(near >= 150 && far >= 270 && notes <= 4.0, "{near} and {far} of 300, {notes} notes a second");
}
