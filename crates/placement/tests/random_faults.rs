//! Safety and convergence of five to seven senders under random faults, while some of them reload files of several revisions.
mod simulation;

use std::collections::BTreeSet;

use proptest::prelude::{
    Just, Strategy, TestCaseError, any, prop, prop_assert, prop_assert_ne, prop_oneof, proptest,
};
use rudderspindle_placement::{OutgoingDatagram, RuleSet, ZoneSet};

use simulation::{Simulation, fixed_seed_config, rules};

/// An event between two steps.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    /// Senders whose bits are set in `members` no longer receive datagrams from the other senders. The others no longer receive
    /// datagrams from them either, unless the partition is one-way.
    Partition {
        members: u8,
        one_way: bool,
    },
    Heal,
    Kill {
        sender: usize,
        lose_record: bool,
    },
    Pause(usize),
    /// All killed senders are restarted, and all paused senders are resumed.
    ResumeAll,
    Reload {
        sender: usize,
        revision: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Nothing),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(members, one_way)| Event::Partition { members, one_way }),
        1 => Just(Event::Heal),
        1 => (0..7usize, any::<bool>()).prop_map(|(sender, lose_record)| Event::Kill { sender, lose_record }),
        1 => (0..7usize).prop_map(Event::Pause),
        2 => Just(Event::ResumeAll),
        2 => (0..7usize, 2..5u64).prop_map(|(sender, revision)| Event::Reload { sender, revision }),
    ]
}

fn rules_of(revision: u64) -> RuleSet {
    let zones: [&[&str]; 4] = [&["hall-a"], &["hall-a", "hall-b"], &["hall-b"], &["hall-a", "hall-b"]];
    rules(revision, zones[revision as usize - 1])
}

/// A pseudo-random number (splitmix64) from 0 to 99; advances `seed`.
fn draw(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*seed ^ *seed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) % 100
}

/// Two groups of senders between which datagrams are lost; see [`Event::Partition`].
#[derive(Clone, Copy)]
struct Partition {
    members: u8,
    one_way: bool,
}

struct Network {
    partition: Option<Partition>,
    lost_percent: u64,
    seed: u64,
    delayed: Vec<(usize, OutgoingDatagram)>,
}

impl Network {
    fn is_connected(&self, from: usize, to: usize) -> bool {
        let Some(Partition { members, one_way }) = self.partition else { return true };
        let is_member = |index: usize| members >> index & 1 == 1;
        is_member(from) == is_member(to) || (one_way && is_member(from))
    }

    /// Delivers the datagrams that no partition stops and that are not lost: a tenth of them twice, and a tenth one step later.
    /// In half of the steps, the order is reversed.
    fn deliver(&mut self, simulation: &mut Simulation, mut datagrams: Vec<(usize, OutgoingDatagram)>) {
        datagrams.append(&mut self.delayed);
        if draw(&mut self.seed) < 50 {
            datagrams.reverse();
        }
        for (from, datagram) in datagrams {
            if !self.is_connected(from, usize::from(datagram.to.0))
                || draw(&mut self.seed) < self.lost_percent
            {
                continue;
            }
            match draw(&mut self.seed) {
                0..10 => self.delayed.push((from, datagram)),
                10..20 => (0..2).for_each(|_| simulation.deliver(from, &datagram)),
                _ => simulation.deliver(from, &datagram),
            }
        }
    }
}

fn apply_event(
    simulation: &mut Simulation,
    network: &mut Network,
    event: Event,
    without_record: &mut BTreeSet<usize>,
) {
    let count = simulation.nodes.len();
    match event {
        Event::Nothing => {}
        Event::Partition { members, one_way } => network.partition = Some(Partition { members, one_way }),
        Event::Heal => network.partition = None,
        Event::Kill { sender, lose_record } if sender < count => {
            // The safety proof requires that at least half of the senders have a record.
            without_record.retain(|&index| simulation.nodes[index].acknowledged.is_empty());
            let lose_record =
                lose_record && (without_record.contains(&sender) || without_record.len() < count / 2);
            if lose_record {
                without_record.insert(sender);
            }
            simulation.kill(sender, lose_record);
        }
        Event::Pause(sender) if sender < count => simulation.nodes[sender].paused = true,
        Event::Reload { sender, revision } if sender < count => simulation.reload(sender, rules_of(revision)),
        Event::Kill { .. } | Event::Pause(_) | Event::Reload { .. } => {}
        Event::ResumeAll => {
            for index in 0..count {
                simulation.nodes[index].paused = false;
                if simulation.nodes[index].process.is_none() {
                    simulation.restart(index, &rules_of(1));
                }
            }
        }
    }
}

fn step(simulation: &mut Simulation, network: &mut Network) {
    let datagrams = simulation.tick();
    network.deliver(simulation, datagrams);
}

/// Runs a history of events. Fails if a sender acts outside the allowed zones at any time, or if the senders, once reconnected,
/// do not act for the same zones at the end.
fn run_history(
    sender_count: u16,
    lost_percent: u64,
    seed: u64,
    announce_ms: u64,
    events: &[Event],
) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::committed(sender_count, &rules_of(1));
    simulation.announce_ms = announce_ms;
    simulation.ticks_ms = &[0, 100, 400];
    for index in 0..usize::from(sender_count) {
        simulation.kill(index, false);
        simulation.restart(index, &rules_of(1));
    }
    let mut network = Network { partition: None, lost_percent, seed, delayed: Vec::new() };
    let mut without_record = BTreeSet::new();
    let allowed = |revision| rules_of(revision).zones_of(simulation::tenant()).unwrap();
    for &event in events {
        apply_event(&mut simulation, &mut network, event, &mut without_record);
        prop_assert!(simulation.nobody_acts_outside(allowed), "at {} after {event:?}", simulation.now_ms);
        step(&mut simulation, &mut network);
        prop_assert!(simulation.nobody_acts_outside(allowed), "at {}", simulation.now_ms);
        simulation.advance();
        prop_assert!(simulation.nobody_acts_outside(allowed), "at {}", simulation.now_ms);
    }
    apply_event(&mut simulation, &mut network, Event::ResumeAll, &mut without_record);
    for _ in 0..90 {
        simulation.tick_and_deliver();
        simulation.advance();
    }
    let first = simulation.acting_zones(0);
    prop_assert_ne!(first, ZoneSet::EMPTY);
    prop_assert!(
        (0..usize::from(sender_count)).all(|index| simulation.acting_zones(index) == first),
        "{:?}",
        simulation.nodes
    );
    Ok(())
}

proptest! {
    #![proptest_config(fixed_seed_config(3_000))]

    // Random partitions, losses, kills, pauses and reloads; at the end all senders are connected and run.
    #[test]
    fn no_sender_acts_outside_its_zones_and_reconnected_senders_agree(
        sender_count in 5..8u16,
        lost_percent in 0..40u64,
        seed: u64,
        announce_ms in 0..2_000u64,
        events in prop::collection::vec(event(), 30..120),
    ) {
        run_history(sender_count, lost_percent, seed, announce_ms, &events)?;
    }
}

/// Guards against a commit without a majority. Sender 4 aggregates the round at 20,000 ms and is paused before it creates the
/// summary. Sender 3, which that summary will report, loses its record. Sender 4 is resumed, acknowledges revision 4 for the
/// first time and then applies the summary of the earlier round.
#[rustfmt::skip]
const LATE_SUMMARY: &[Event] = {
    use Event::{Heal, Kill, Nothing, Partition, Pause, Reload, ResumeAll};
    &[
        Heal, Pause(5), Nothing, Nothing, Nothing, Partition { members: 84, one_way: false }, Nothing, Pause(5),
        Reload { sender: 2, revision: 2 }, Nothing, Nothing, Partition { members: 67, one_way: true }, Pause(4), ResumeAll,
        Nothing, Partition { members: 44, one_way: true }, Nothing, Heal, Nothing, Kill { sender: 3, lose_record: true },
        ResumeAll, Nothing, Partition { members: 72, one_way: false }, Nothing, Pause(2), Nothing, Pause(0), Nothing, ResumeAll,
        Heal, Partition { members: 60, one_way: true }, Reload { sender: 3, revision: 4 }, Nothing, Nothing,
        Kill { sender: 5, lose_record: false }, ResumeAll, Partition { members: 203, one_way: true }, Pause(1), Nothing,
        Nothing, Kill { sender: 5, lose_record: false }, Reload { sender: 2, revision: 3 }, Pause(4),
        Partition { members: 132, one_way: true }, Kill { sender: 1, lose_record: false }, Nothing,
        Kill { sender: 5, lose_record: false }, ResumeAll, Partition { members: 164, one_way: false }, Nothing, Pause(0), Heal,
        Nothing, Nothing, Pause(4), Heal, Kill { sender: 2, lose_record: true }, ResumeAll, Nothing, ResumeAll, Nothing,
        Pause(4), Nothing, Heal, Kill { sender: 3, lose_record: true }, Nothing, ResumeAll, Nothing, Nothing,
    ]
};

/// A sender acknowledges a rule set for the first time after a round, and then applies the summary of that round.
#[test]
fn a_late_summary_does_not_commit_a_later_acknowledgement() {
    let result = run_history(5, 0, 14_517_408_887_838_224_880, 201, LATE_SUMMARY);
    assert!(result.is_ok(), "{result:?}");
}
