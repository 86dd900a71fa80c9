//! When a sender may act, and when not.
mod world;

use std::sync::Arc;

use rudderspindle_placement::{
    Change, Closed, HallMask, Letter, NoteError, Open, Placement, Record, Refused, ReloadError, StartError,
};
use world::{LEASE_MS, START, World, key, rules, settings, tenant};

const A: HallMask = HallMask(1);

/// Lets `ms` pass; notes reach those for whom `passes` (from, to) says so.
fn run(world: &mut World, ms: u64, passes: impl Fn(usize, usize) -> bool) {
    let until = world.now + ms;
    while world.now < until {
        for (from, letter) in world.tick() {
            if passes(from, usize::from(letter.to)) {
                world.deliver(from, &letter);
            }
        }
        world.advance();
    }
}

fn acting(world: &World) -> Vec<usize> {
    (0..world.nodes.len()).filter(|&i| world.acts(i) != HallMask(0)).collect()
}

fn new(me: u16, senders: u16, revision: u64, open: &[&str]) -> Placement {
    Placement::new(settings(me, senders), Some(rules(revision, open)), None, 1, START).unwrap()
}

#[test]
fn a_cut_into_equal_halves_closes_both_for_ruled_tenants_only_and_one_in_four_leaves_the_three_open() {
    let mut world = World::in_force(4, &rules(1, &["hall-a"]));
    assert_eq!(acting(&world), [0, 1, 2, 3]);
    run(&mut world, LEASE_MS + 500, |from, to| from % 2 == to % 2);
    assert_eq!(acting(&world), []);
    let process = world.nodes[0].process.as_ref().unwrap();
    assert_eq!(process.open_halls(world.now, tenant()), Open::Closed(Closed::NoLease));
    assert_eq!(process.open_halls(world.now, key().tenant("tapi-news")), Open::Unruled);
    let refused = Err(Refused { why: Closed::NoLease, again_in_ms: 500 });
    assert_eq!(process.may_take_on(world.now, tenant()), refused);

    run(&mut world, LEASE_MS, |_, _| true);
    run(&mut world, LEASE_MS + 500, |from, to| (from == 3) == (to == 3));
    assert_eq!(acting(&world), [0, 1, 2]);
    let outside = world.nodes[1].process.as_ref().unwrap().may_take_on(world.now, tenant());
    assert_eq!(outside, Err(Refused { why: Closed::Outside, again_in_ms: LEASE_MS }));
}

#[test]
fn a_new_fleet_acts_once_all_have_been_up_and_nobody_acts_at_a_start() {
    let file = rules(1, &["hall-a"]);
    let mut world = World::in_force(5, &file);
    (0..5).for_each(|i| world.kill(i, true));
    (0..4).for_each(|i| world.restart(i, &file));
    run(&mut world, 3 * LEASE_MS, |_, _| true);
    assert_eq!(acting(&world), [], "four of five could be old ones whose folders are lost");
    world.restart(4, &file);
    run(&mut world, 2 * LEASE_MS, |_, _| true);
    assert_eq!(acting(&world), [0, 1, 2, 3, 4]);
    world.kill(0, false);
    world.restart(0, &file);
    assert_eq!(acting(&world), [1, 2, 3, 4]);
}

#[test]
fn a_sender_without_its_folder_counts_again_only_by_rounds_that_began_after_its_start() {
    let mut world = World::in_force(3, &rules(1, &["hall-a"]));
    let counts = |world: &World| {
        let snapshot = world.nodes[0].process.as_ref().unwrap().snapshot();
        Record::restore(&snapshot.bytes, &key()).unwrap().counts()
    };
    world.now += 100;
    for (from, letter) in world.tick() {
        world.deliver(from, &letter);
    }
    world.now += 1;
    world.kill(0, true);
    world.restart(0, &rules(1, &["hall-a"]));
    world.advance();
    let words = world.tick();
    assert!(words.iter().any(|(_, word)| word.to == 0));
    words.iter().for_each(|(from, word)| world.deliver(*from, word));
    assert!(!counts(&world));
    world.advance();
    run(&mut world, 500, |_, _| true);
    assert!(counts(&world));
}

#[test]
fn of_two_incarnations_of_one_sender_the_younger_counts_whichever_comes_last() {
    let mut world = World::in_force(4, &rules(1, &["hall-a"]));
    let adder_of = |letters: &[(usize, Letter)]| letters.iter().find(|(_, l)| l.body[0] == 0).unwrap().1.to;
    let old = world.tick();
    let adder = usize::from(adder_of(&old));
    // Of the others one is heard, first as it was and then without its folder, one acts by the word and one is down.
    let [heard, acts, down] = [1, 2, 3].map(|i| (adder + i) % 4);
    world.kill(down, false);
    world.kill(heard, true);
    world.restart(heard, &rules(1, &["hall-a"]));
    let young = world.tick();
    let before = world.nodes[acts].process.as_ref().unwrap().lease_until();
    for (from, letter) in young.iter().chain(&old).filter(|(from, _)| *from == heard) {
        world.deliver(*from, letter);
    }
    world.advance();
    let words = world.tick();
    assert!(words.iter().any(|(from, word)| *from == adder && usize::from(word.to) == acts));
    words.iter().for_each(|(from, word)| world.deliver(*from, word));
    assert_eq!(world.nodes[acts].process.as_ref().unwrap().lease_until(), before);
}

#[test]
fn word_of_a_revision_that_is_not_held_renews_nothing_until_the_rules_have_come() {
    let mut world = World::in_force(3, &rules(1, &["hall-a", "hall-b"]));
    world.reload(0, rules(2, &["hall-a"]));
    // Words (kind 1 in the first byte) reach sender 2, parts of rules (kind 3) do not.
    while world.now < START + 2 * LEASE_MS {
        for (from, letter) in world.tick() {
            if letter.to != 2 || letter.body[0] != 3 {
                world.deliver(from, &letter);
            }
        }
        world.advance();
    }
    assert_eq!(acting(&world), [0, 1]);
    run(&mut world, LEASE_MS, |_, _| true);
    assert_eq!([0, 1, 2].map(|i| world.acts(i)), [A; 3]);
}

#[test]
fn a_word_that_is_doubled_replayed_or_of_a_round_to_come_lengthens_no_lease() {
    let mut world = World::in_force(3, &rules(1, &["hall-a"]));
    let mut words = Vec::new();
    for _ in 0..4 {
        let letters = world.tick();
        words.extend(letters.iter().filter(|(_, letter)| letter.body[0] == 1).cloned());
        letters.iter().for_each(|(from, letter)| world.deliver(*from, letter));
        world.advance();
    }
    let until = |world: &World| [0, 1, 2].map(|i| world.nodes[i].process.as_ref().unwrap().lease_until());
    let before = until(&world);
    assert!(words.len() >= 4 && before.iter().all(|&until| until <= world.now + LEASE_MS));
    words.iter().for_each(|(from, word)| world.deliver(*from, word));
    assert_eq!(until(&world), before);
    let (from, word) = words.last().unwrap();
    let [to, other] = [1, 2].map(|i| (from + i) % 3);
    let process = Arc::make_mut(world.nodes[to].process.as_mut().unwrap());
    assert_eq!(process.hear(world.now, other as u16, &word.body), Err(NoteError::Sender(other as u16)));

    let mut early = World::in_force(3, &rules(1, &["hall-a"]));
    early.now -= 2_000;
    let before = until(&early);
    words.iter().for_each(|(from, word)| early.deliver(*from, word));
    assert_eq!(until(&early), before);
}

#[test]
fn of_two_sets_with_one_revision_what_both_allow_is_open_and_it_is_said_once() {
    let mut world = World::in_force(1, &rules(1, &["hall-a", "hall-b"]));
    world.reload(0, rules(2, &["hall-a"]));
    run(&mut world, LEASE_MS, |_, _| true);
    let process = Arc::make_mut(world.nodes[0].process.as_mut().unwrap());
    let tag = |change: &Change| matches!(change, Change::Conflict { .. });
    for _ in 0..2 {
        process.reload(world.now, rules(2, &["hall-a", "hall-b"])).unwrap();
    }
    assert_eq!(process.changes().iter().filter(|change| tag(change)).count(), 1);
    assert_eq!(process.open_halls(world.now, tenant()), Open::Halls(A));
    process.reload(world.now, rules(2, &["hall-b"])).unwrap();
    assert_eq!(process.open_halls(world.now, tenant()), Open::Closed(Closed::NoHallLeft));
}

#[test]
fn a_tenant_that_a_newer_set_leaves_out_stays_ruled_until_that_set_is_in_force() {
    let mut world = World::in_force(3, &rules(1, &["hall-a"]));
    let halls = rudderspindle_placement::Halls::new(&["hall-a", "hall-b"]).unwrap();
    let empty = rudderspindle_placement::Rules::check(2, &[], &halls, &Default::default(), &key()).unwrap();
    world.reload(0, empty);
    assert_eq!(world.acts(0), A);
    run(&mut world, 3 * LEASE_MS, |_, _| true);
    let open = |i: usize| world.nodes[i].process.as_ref().unwrap().open_halls(world.now, tenant());
    assert_eq!([0, 1, 2].map(open), [Open::Unruled; 3]);
}

#[test]
fn a_revision_that_goes_back_is_refused_whole_and_an_old_file_at_a_start_is_told() {
    let mut process = new(0, 3, 5, &["hall-a"]);
    let back = process.reload(START, rules(4, &["hall-a", "hall-b"]));
    assert_eq!(back, Err(ReloadError::GoesBack { given: 4, held: 5, next: 6 }));
    assert_eq!(process.held().map(|tag| tag.revision).collect::<Vec<_>>(), [5]);
    let record = Record::restore(&process.snapshot().bytes, &key()).unwrap();
    let mut next =
        Placement::new(settings(0, 3), Some(rules(4, &["hall-b"])), Some(record), 2, START).unwrap();
    assert!(next.changes().contains(&Change::FileIsOld { file: 4, held: 5 }));
}

#[test]
fn nothing_is_stated_before_it_is_kept() {
    let mut process = new(0, 3, 1, &["hall-a"]);
    assert_eq!(process.notes_due(START), []);
    let snapshot = process.to_keep(START).unwrap();
    process.kept(snapshot.generation);
    assert_eq!(process.to_keep(START), None);
    let said: usize = (0..4).map(|round| process.notes_due(START + round * 500).len()).sum();
    assert!(said > 0);
}

#[test]
fn a_sender_without_any_rules_or_state_opens_nothing_and_wrong_settings_start_nothing() {
    let process = Placement::new(settings(0, 3), None, None, 1, START).unwrap();
    assert_eq!(process.open_halls(START, tenant()), Open::Closed(Closed::NoRules));
    for wrong in [settings(3, 3), settings(0, 0), settings(0, 361)] {
        assert!(matches!(Placement::new(wrong, None, None, 1, START), Err(StartError::Settings(_))));
    }
}
