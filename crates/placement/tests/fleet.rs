//! Five to seven senders, several revisions that are read here and there, and faults of all kinds by chance.
mod world;

use std::collections::BTreeSet;

use proptest::prelude::*;
use rudderspindle_placement::{HallMask, Letter, Rules};
use world::{World, drawn, rules};

/// What may happen between two steps.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    /// The senders whose bits are set hear the others no more; nor they them, unless it is one way.
    Cut {
        part: u8,
        one_way: bool,
    },
    Heal,
    Kill {
        sender: usize,
        folder_too: bool,
    },
    Stop(usize),
    /// All that were killed or stopped go on.
    GoOn,
    Reload {
        sender: usize,
        revision: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Nothing),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(part, one_way)| Event::Cut { part, one_way }),
        1 => Just(Event::Heal),
        1 => (0..7usize, any::<bool>()).prop_map(|(sender, folder_too)| Event::Kill { sender, folder_too }),
        1 => (0..7usize).prop_map(Event::Stop),
        2 => Just(Event::GoOn),
        2 => (0..7usize, 2..5u64).prop_map(|(sender, revision)| Event::Reload { sender, revision }),
    ]
}

fn of(revision: u64) -> Rules {
    let open: [&[&str]; 4] = [&["hall-a"], &["hall-a", "hall-b"], &["hall-b"], &["hall-a", "hall-b"]];
    rules(revision, open[revision as usize - 1])
}

/// A seeded draw (splitmix64) from 0 to 99.
fn draw(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*seed ^ *seed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) % 100
}

struct Links {
    cut: Option<(u8, bool)>,
    lost: u64,
    seed: u64,
    late: Vec<(usize, Letter)>,
}

impl Links {
    fn passes(&self, from: usize, to: usize) -> bool {
        let Some((part, one_way)) = self.cut else { return true };
        let inside = |i: usize| part >> i & 1 == 1;
        inside(from) == inside(to) || (one_way && inside(from))
    }

    /// Delivers what is neither cut, lost nor late; a tenth twice, a tenth a step later, half of all in turned order.
    fn carry(&mut self, world: &mut World, mut letters: Vec<(usize, Letter)>) {
        letters.append(&mut self.late);
        if draw(&mut self.seed) < 50 {
            letters.reverse();
        }
        for (from, letter) in letters {
            if !self.passes(from, usize::from(letter.to)) || draw(&mut self.seed) < self.lost {
                continue;
            }
            match draw(&mut self.seed) {
                0..10 => self.late.push((from, letter)),
                10..20 => (0..2).for_each(|_| world.deliver(from, &letter)),
                _ => world.deliver(from, &letter),
            }
        }
    }
}

fn happen(world: &mut World, links: &mut Links, event: Event, without: &mut BTreeSet<usize>) {
    let n = world.nodes.len();
    match event {
        Event::Nothing => {}
        Event::Cut { part, one_way } => links.cut = Some((part, one_way)),
        Event::Heal => links.cut = None,
        Event::Kill { sender, folder_too } if sender < n => {
            // The argument needs a folder at half of the senders at least.
            without.retain(|&i| world.nodes[i].counts.is_empty());
            let folder_too = folder_too && (without.contains(&sender) || without.len() < n / 2);
            if folder_too {
                without.insert(sender);
            }
            world.kill(sender, folder_too);
        }
        Event::Stop(sender) if sender < n => world.nodes[sender].stopped = true,
        Event::Reload { sender, revision } if sender < n => world.reload(sender, of(revision)),
        Event::Kill { .. } | Event::Stop(_) | Event::Reload { .. } => {}
        Event::GoOn => {
            for i in 0..n {
                world.nodes[i].stopped = false;
                if world.nodes[i].process.is_none() {
                    world.restart(i, &of(1));
                }
            }
        }
    }
}

fn step(world: &mut World, links: &mut Links) {
    let letters = world.tick();
    links.carry(world, letters);
}

/// Plays a history: nobody acts outside at any time of it, and those that hear again act alike at its end.
fn play(senders: u16, lost: u64, seed: u64, announce_ms: u64, events: &[Event]) -> Result<(), TestCaseError> {
    let mut world = World::in_force(senders, &of(1));
    world.announce_ms = announce_ms;
    world.times = &[0, 100, 400];
    for i in 0..usize::from(senders) {
        world.kill(i, false);
        world.restart(i, &of(1));
    }
    let mut links = Links { cut: None, lost, seed, late: Vec::new() };
    let mut without = BTreeSet::new();
    let allowed = |revision| of(revision).halls_of(world::tenant()).unwrap();
    for &event in events {
        happen(&mut world, &mut links, event, &mut without);
        prop_assert!(world.nobody_acts_outside(allowed), "at {} after {event:?}", world.now);
        step(&mut world, &mut links);
        prop_assert!(world.nobody_acts_outside(allowed), "at {}", world.now);
        world.advance();
        prop_assert!(world.nobody_acts_outside(allowed), "at {}", world.now);
    }
    happen(&mut world, &mut links, Event::GoOn, &mut without);
    for _ in 0..90 {
        for (from, letter) in world.tick() {
            world.deliver(from, &letter);
        }
        world.advance();
    }
    let first = world.acts(0);
    prop_assert_ne!(first, HallMask(0));
    prop_assert!((0..usize::from(senders)).all(|i| world.acts(i) == first), "{:?}", world.nodes);
    Ok(())
}

proptest! {
    #![proptest_config(drawn(3_000))]

    #[test]
    fn nobody_acts_outside_and_a_fleet_that_hears_again_acts_as_one(
        senders in 5..8u16,
        lost in 0..40u64,
        seed: u64,
        announce_ms in 0..2_000u64,
        events in prop::collection::vec(event(), 30..120),
    ) {
        play(senders, lost, seed, announce_ms, &events)?;
    }
}

/// Sender 4 adds up the round of 20,000 and stops before its word; sender 3, whom the word will name, loses its folder;
/// sender 4 goes on, states revision 4 for the first time and then counts the word.
#[rustfmt::skip]
const LATE_WORD: &[Event] = {
    use Event::{Cut, GoOn, Heal, Kill, Nothing, Reload, Stop};
    &[
        Heal, Stop(5), Nothing, Nothing, Nothing, Cut { part: 84, one_way: false }, Nothing, Stop(5),
        Reload { sender: 2, revision: 2 }, Nothing, Nothing, Cut { part: 67, one_way: true }, Stop(4), GoOn,
        Nothing, Cut { part: 44, one_way: true }, Nothing, Heal, Nothing, Kill { sender: 3, folder_too: true },
        GoOn, Nothing, Cut { part: 72, one_way: false }, Nothing, Stop(2), Nothing, Stop(0), Nothing, GoOn,
        Heal, Cut { part: 60, one_way: true }, Reload { sender: 3, revision: 4 }, Nothing, Nothing,
        Kill { sender: 5, folder_too: false }, GoOn, Cut { part: 203, one_way: true }, Stop(1), Nothing,
        Nothing, Kill { sender: 5, folder_too: false }, Reload { sender: 2, revision: 3 }, Stop(4),
        Cut { part: 132, one_way: true }, Kill { sender: 1, folder_too: false }, Nothing,
        Kill { sender: 5, folder_too: false }, GoOn, Cut { part: 164, one_way: false }, Nothing, Stop(0), Heal,
        Nothing, Nothing, Stop(4), Heal, Kill { sender: 2, folder_too: true }, GoOn, Nothing, GoOn, Nothing,
        Stop(4), Nothing, Heal, Kill { sender: 3, folder_too: true }, Nothing, GoOn, Nothing, Nothing,
    ]
};

#[test]
fn a_set_stated_first_after_a_round_is_not_in_force_by_the_word_of_that_round() {
    let played = play(5, 0, 14_517_408_887_838_224_880, 201, LATE_WORD);
    assert!(played.is_ok(), "{played:?}");
}
