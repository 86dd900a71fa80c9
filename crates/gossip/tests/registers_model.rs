//! Registers and panes of three senders, every order of telling, hearing, losing, doubling and killing within a few epochs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rudderspindle_gossip::{
    EPOCH, Incarnation, IncarnationOrder, LAG, MembershipList, Register, TenantUsage, WindowSlice,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const SENDERS: usize = 3;
/// Hears what others told and added up, and reads.
const READER: usize = 0;
/// Hears what others told, and adds up.
const ADDER: usize = 1;
const EPOCHS: u64 = 2;
/// Messages that a sender takes on in an epoch at most.
const MOST: u32 = 2;
/// How many are handed in to each, by epoch: so few that all orders can be tried.
const HANDED_IN: [[u32; SENDERS]; EPOCHS as usize] = [[0, 1, 1], [0, 0, 1]];
const TENANT: u16 = 7;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Register(Vec<(u16, u32)>, u32, bool),
    WindowSlice(WindowSlice),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Note {
    from: usize,
    incarnation: Incarnation,
    epoch: u64,
    word: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    kills: u32,
    counts: Vec<TenantUsage>,
    members: Vec<MembershipList>,
    incarnations: Vec<Incarnation>,
    /// By epoch and sender.
    truth: Vec<[u32; SENDERS]>,
    /// Whatever was told: each may be heard never, once or again, in any order.
    wire: BTreeSet<Note>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    HandIn(usize),
    Tell(usize),
    AddUp,
    Hear(usize, Note),
    /// With the state folder, or without.
    Kill(usize, bool),
    EpochEnds,
}

struct Fleet;

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let incarnations: Vec<Incarnation> = vec![Incarnation(1); SENDERS];
        let counts = |me| TenantUsage::new(me, SENDERS, incarnations[me], 0, MOST);
        vec![State {
            now: EPOCH,
            kills: 0,
            counts: (0..SENDERS).map(counts).collect(),
            members: vec![MembershipList::new(SENDERS); SENDERS],
            truth: vec![[0; SENDERS]; EPOCHS as usize],
            wire: BTreeSet::new(),
            incarnations,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let epoch = (state.now / EPOCH - 1) as usize;
        if epoch < EPOCHS as usize {
            let room = |n: usize| state.truth[epoch][n] < HANDED_IN[epoch][n];
            actions.extend((0..SENDERS).filter(|n| room(*n)).map(Action::HandIn));
            actions.push(Action::EpochEnds);
        }
        if state.kills == 0 {
            actions.extend([(ADDER, true), (2, true), (2, false)].map(|(n, kept)| Action::Kill(n, kept)));
        }
        if epoch > 0 {
            actions.push(Action::Tell(2));
            actions.push(Action::AddUp);
        }
        for note in &state.wire {
            let hears = match note.word {
                Word::WindowSlice(_) => [Some(READER), None],
                Word::Register(..) => [Some(READER), Some(ADDER)],
            };
            let hears = hears.into_iter().flatten().filter(|n| *n != note.from);
            actions.extend(hears.map(|n| Action::Hear(n, note.clone())));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        let epoch = now / EPOCH - 1;
        match action {
            Action::EpochEnds => state.now = (now / EPOCH + 1) * EPOCH,
            Action::HandIn(n) => {
                state.counts[n].handed_in(now, TENANT);
                state.truth[epoch as usize][n] += 1;
            }
            Action::Tell(from) => {
                let Register { totals, rest, partial } = state.counts[from].own(now, epoch)?;
                let word = Word::Register(totals.into_iter().collect(), rest, partial);
                state.wire.insert(Note { from, incarnation: state.incarnations[from], epoch, word });
            }
            Action::AddUp => {
                let (from, word) = (ADDER, Word::WindowSlice(state.counts[ADDER].pane(now, epoch)?));
                state.wire.insert(Note { from, incarnation: state.incarnations[from], epoch, word });
            }
            Action::Hear(n, note) => {
                if state.members[n].record_message(note.from, note.incarnation, now)
                    != Ok(IncarnationOrder::Older)
                {
                    match note.word {
                        Word::WindowSlice(pane) => {
                            state.counts[n].hear_pane(now, note.from, note.epoch, &pane)
                        }
                        Word::Register(totals, rest, partial) => {
                            let register = Register { totals: totals.into_iter().collect(), rest, partial };
                            state.counts[n].hear(now, note.from, note.incarnation, note.epoch, &register)
                        }
                    };
                }
            }
            Action::Kill(n, kept) => {
                state.kills += 1;
                state.now += 600;
                let kept = kept.then_some(state.incarnations[n]);
                state.incarnations[n] = Incarnation::next(kept, state.now);
                state.counts[n] = TenantUsage::new(n, SENDERS, state.incarnations[n], state.now, MOST);
                state.members[n] = MembershipList::new(SENDERS);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("every interval holds the truth", |_, state: &State| {
                state.readings().all(|(read, truth)| read.0 <= truth && truth <= read.1)
            }),
            Property::sometimes("two of three are known exactly", |_, state: &State| {
                state.readings().any(|(read, truth)| truth == 2 && read == (2, 2 + u64::from(MOST)))
            }),
        ]
    }
}

impl State {
    /// What each sender reads of each epoch that is over, and the truth.
    fn readings(&self) -> impl Iterator<Item = ((u64, u64), u64)> + '_ {
        let over = 1..self.now / EPOCH;
        over.flat_map(|epoch| {
            let truth = u64::from(self.truth[epoch as usize - 1].iter().sum::<u32>());
            self.counts.iter().map(move |counts| {
                let read = counts.read((epoch + LAG) * EPOCH, TENANT, 1);
                ((read.least, read.most), truth)
            })
        })
    }
}

#[test]
fn every_interval_holds_the_truth_in_every_order_of_three_senders() {
    let began = Instant::now();
    let checker = Fleet.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    checker.assert_properties();
    println!("{} states, {:?}", checker.unique_state_count(), began.elapsed());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    assert!(began.elapsed() < Duration::from_secs(120), "{:?}", began.elapsed());
}
