//! Judgements among many senders, by the notes that they send one another.

use super::world::{START, World};
use rudderspindle_gossip::{CallResult, Receiver};

/// Halls in turn.
fn halls(senders: usize, of: usize) -> Vec<u16> {
    (0..senders).map(|n| (n % of) as u16).collect()
}

fn receivers() -> Vec<Receiver> {
    (0..4).map(|n| Receiver::of(3, &format!("r{n}"))).collect()
}

fn saw(world: &mut World, n: usize, receiver: Receiver, seen: CallResult) {
    let clock = world.clock(n);
    world.senders[n].views.judgements().record_call(clock, receiver, seen);
}

fn avoids(world: &mut World, n: usize) -> Vec<Receiver> {
    let clock = world.clock(n);
    world.senders[n].views.avoided(clock, &receivers())
}

/// Half a second after it begins to fail, three of a hall and one of another have seen enough; who avoids it, by second.
fn spread(world: &mut World, judges: &[usize], seconds: u64) -> Vec<usize> {
    let first = receivers()[0];
    let mut avoiding = Vec::new();
    world.run(seconds * 1_000, |world| {
        // They look again every 0.9 s.
        if (world.now - START).is_multiple_of(900) {
            judges.iter().for_each(|judge| saw(world, *judge, first, CallResult::Failed));
        }
        if (world.now - START) % 1_000 == 950 {
            avoiding.push((0..world.senders.len()).filter(|n| !avoids(world, *n).is_empty()).count());
        }
    });
    avoiding
}

#[test]
fn what_four_of_a_hundred_saw_fail_the_hundred_avoid_within_five_seconds_and_no_other_hall() {
    let mut world = World::new(&halls(300, 3), 5);
    let judges = [0, 3, 6, 9];
    let avoiding = spread(&mut world, &judges, 7);
    assert!(avoiding.iter().max() > Some(&80), "of 100: {avoiding:?}");
    for n in 0..300 {
        let avoided = avoids(&mut world, n);
        assert!(avoided.is_empty() || n % 3 == 0, "sender {n} of another hall avoids {avoided:?}");
    }
    let most = world.sent.iter().filter(|((_, s), _)| *s > START / 1_000).map(|((n, _), sent)| (*n, *sent));
    let sent: u64 = most.map(|(_, sent)| sent).sum();
    let a_second = sent as f64 / 300.0 / 6.0;
    println!("avoided by {avoiding:?} of 100, by second; {a_second} notes a second from each");
    assert!(a_second <= 4.0, "{a_second} notes a second from each");
}

#[test]
fn half_of_the_notes_lost_delays_a_judgement_and_changes_nobodys_hall() {
    let mut world = World::new(&halls(24, 2), 6);
    (world.lost, world.doubled) = (0.5, 0.5);
    let judges = [0, 2, 4, 6, 8, 10];
    let avoiding = spread(&mut world, &judges, 12);
    assert!(avoiding.iter().max() > Some(&2), "{avoiding:?}");
    assert!((0..24).filter(|n| n % 2 == 1).all(|n| avoids(&mut world, n).is_empty()));
}

#[test]
fn a_judge_that_says_all_receivers_are_down_takes_none_away_also_when_it_adds_up() {
    let mut world = World::new(&halls(30, 1), 8);
    world.run(20_000, |world| {
        if world.now.is_multiple_of(100) {
            receivers().into_iter().for_each(|name| saw(world, 4, name, CallResult::Failed));
        }
        for n in (0..30).filter(|n| *n != 4) {
            let avoided = avoids(world, n);
            assert!(avoided.is_empty(), "sender {n} avoids {avoided:?}");
        }
    });
}

#[test]
fn a_part_of_a_hall_cut_off_from_a_receiver_does_not_take_it_from_those_that_reach_it() {
    let mut world = World::new(&halls(12, 1), 9);
    let first = receivers()[0];
    let (mut calls, mut avoided) = (0, 0);
    world.run(60_000, |world| {
        if world.now.is_multiple_of(500) {
            (0..6).for_each(|n| saw(world, n, first, CallResult::Failed));
            // The others reach it, whenever they do not avoid it.
            for n in 6..12 {
                if avoids(world, n).is_empty() {
                    saw(world, n, first, CallResult::Answered);
                    calls += 1;
                } else {
                    avoided += 1;
                }
            }
        }
    });
    assert!(avoided * 20 < calls, "{avoided} times avoided, {calls} called");
}

#[test]
fn a_judgement_is_kept_up_by_those_who_look_and_ends_with_the_receivers_return_clocks_apart() {
    let mut world = World::new(&halls(40, 1), 12);
    for n in 0..40 {
        world.senders[n].ahead = n as i64 % 3 * 100 - 100;
    }
    let first = receivers()[0];
    let mut failed = [0; 2];
    let mut avoided = 0;
    world.run(40_000, |world| {
        let down = (5_000..25_000).contains(&(world.now - START));
        for n in 0..40 {
            // Each has a call in two seconds for it.
            if !world.chance(1.0 / 40.0) {
                continue;
            }
            let goes_round = !avoids(world, n).is_empty();
            if down {
                failed[0] += 1;
                failed[1] += usize::from(!goes_round);
            }
            avoided += usize::from(goes_round && world.now > START + 25_000 + 9_000);
            if !goes_round {
                saw(world, n, first, if down { CallResult::Failed } else { CallResult::Answered });
            }
        }
    });
    let [without, with] = failed;
    println!("{with} of {without} calls failed");
    assert!(with * 2 < without, "{with} of {without} calls failed");
    assert_eq!(avoided, 0, "avoided nine seconds after its return");
}

#[test]
fn two_halls_cut_from_one_another_judge_each_for_itself() {
    let mut world = World::new(&halls(20, 2), 10);
    let pairs = (0..20).flat_map(|a| (0..20).map(move |b| (a, b)));
    world.cut = pairs.filter(|(a, b)| a % 2 != b % 2).collect();
    let avoiding = spread(&mut world, &[0, 2, 4, 6, 8], 12);
    assert!(avoiding.iter().max() > Some(&5), "{avoiding:?}");
    assert!((0..20).filter(|n| n % 2 == 1).all(|n| avoids(&mut world, n).is_empty()));
}
