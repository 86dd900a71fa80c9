//! Exhaustive model of the usage registers: three senders, every order of reports, losses, duplicates and kills within two
//! epochs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    EPOCH_LENGTH, Incarnation, IncarnationOrder, LocalSender, MembershipList, READ_LAG, Register,
    RegisterKey, TenantUsage, WindowSlice,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const SENDERS: usize = 3;
/// The sender that receives reports and slices, and is read.
const READER: usize = 0;
/// The sender that receives and aggregates reports.
const AGGREGATOR: usize = 1;
const EPOCHS: u64 = 2;
/// Maximum number of messages that a sender accepts in an epoch.
const MAX_MESSAGES: u32 = 2;
/// Number of messages that each sender accepts, by epoch: few enough to check all orders.
const ACCEPTED: [[u32; SENDERS]; EPOCHS as usize] = [[0, 1, 1], [0, 0, 1]];
const TENANT: u16 = 7;

fn local_sender(number: usize, incarnation: Incarnation, complete_from: UnixMillis) -> LocalSender {
    LocalSender { number, incarnation, complete_from, max_messages_per_second: MAX_MESSAGES }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Content {
    Register { totals: Vec<(u16, u32)>, max_unlisted: u32, partial: bool },
    WindowSlice(WindowSlice),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: usize,
    incarnation: Incarnation,
    epoch: u64,
    content: Content,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: UnixMillis,
    kills: u32,
    usage: Vec<TenantUsage>,
    members: Vec<MembershipList>,
    incarnations: Vec<Incarnation>,
    /// By epoch and sender.
    truth: Vec<[u32; SENDERS]>,
    /// All sent messages; each may be received any number of times, in any order.
    in_flight: BTreeSet<Message>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Accept(usize),
    Report(usize),
    Aggregate,
    Receive(usize, Message),
    /// The sender is killed and restarts, with its state folder or with an empty one.
    Kill {
        sender: usize,
        keeps_folder: bool,
    },
    EpochEnds,
}

struct FleetModel;

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let incarnations: Vec<Incarnation> = vec![Incarnation(1); SENDERS];
        let usage =
            |number| TenantUsage::new(local_sender(number, incarnations[number], UnixMillis::EPOCH), SENDERS);
        vec![State {
            now: UnixMillis(EPOCH_LENGTH),
            kills: 0,
            usage: (0..SENDERS).map(usage).collect(),
            members: vec![MembershipList::new(SENDERS); SENDERS],
            truth: vec![[0; SENDERS]; EPOCHS as usize],
            in_flight: BTreeSet::new(),
            incarnations,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let epoch = (state.now.0 / EPOCH_LENGTH - 1) as usize;
        if epoch < EPOCHS as usize {
            let has_more = |sender: usize| state.truth[epoch][sender] < ACCEPTED[epoch][sender];
            actions.extend((0..SENDERS).filter(|sender| has_more(*sender)).map(Action::Accept));
            actions.push(Action::EpochEnds);
        }
        if state.kills == 0 {
            let kills = [(AGGREGATOR, true), (2, true), (2, false)];
            actions.extend(kills.map(|(sender, keeps_folder)| Action::Kill { sender, keeps_folder }));
        }
        if epoch > 0 {
            actions.push(Action::Report(2));
            actions.push(Action::Aggregate);
        }
        for message in &state.in_flight {
            let readers = match message.content {
                Content::WindowSlice(_) => [Some(READER), None],
                Content::Register { .. } => [Some(READER), Some(AGGREGATOR)],
            };
            let readers = readers.into_iter().flatten().filter(|reader| *reader != message.from);
            actions.extend(readers.map(|reader| Action::Receive(reader, message.clone())));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        let epoch = now.0 / EPOCH_LENGTH - 1;
        match action {
            Action::EpochEnds => state.now = UnixMillis((now.0 / EPOCH_LENGTH + 1) * EPOCH_LENGTH),
            Action::Accept(sender) => {
                state.usage[sender].record_message(now, TENANT);
                state.truth[epoch as usize][sender] += 1;
            }
            Action::Report(from) => {
                let Register { totals, max_unlisted, partial } =
                    state.usage[from].own_register(now, epoch)?;
                let totals = totals.into_iter().collect();
                state.send(from, epoch, Content::Register { totals, max_unlisted, partial });
            }
            Action::Aggregate => {
                let slice = state.usage[AGGREGATOR].aggregate(now, epoch)?;
                state.send(AGGREGATOR, epoch, Content::WindowSlice(slice));
            }
            Action::Receive(reader, message) => state.receive(reader, message),
            Action::Kill { sender, keeps_folder } => state.kill(sender, keeps_folder),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("every interval holds the truth", |_, state: &State| {
                state.readings().all(|(read, truth)| read.0 <= truth && truth <= read.1)
            }),
            Property::sometimes("two of three are known exactly", |_, state: &State| {
                state.readings().any(|(read, truth)| truth == 2 && read == (2, 2 + u64::from(MAX_MESSAGES)))
            }),
        ]
    }
}

impl State {
    fn send(&mut self, from: usize, epoch: u64, content: Content) {
        let incarnation = self.incarnations[from];
        self.in_flight.insert(Message { from, incarnation, epoch, content });
    }

    fn receive(&mut self, reader: usize, message: Message) {
        let Message { from, incarnation, epoch, content } = message;
        let order = self.members[reader].record_message(from, incarnation, self.now);
        if order == Ok(IncarnationOrder::Older) {
            return;
        }
        let usage = &mut self.usage[reader];
        match content {
            Content::WindowSlice(slice) => usage.merge_slice(self.now, from, epoch, &slice),
            Content::Register { totals, max_unlisted, partial } => {
                let register = Register { totals: totals.into_iter().collect(), max_unlisted, partial };
                let key = RegisterKey { sender: from, incarnation };
                usage.merge_register(self.now, key, epoch, &register)
            }
        };
    }

    fn kill(&mut self, sender: usize, keeps_folder: bool) {
        self.kills += 1;
        self.now += 600;
        let stored = keeps_folder.then_some(self.incarnations[sender]);
        let incarnation = Incarnation::next(stored, self.now);
        self.incarnations[sender] = incarnation;
        self.usage[sender] = TenantUsage::new(local_sender(sender, incarnation, self.now), SENDERS);
        self.members[sender] = MembershipList::new(SENDERS);
    }

    /// Each sender's reading of each past epoch, with the true number.
    fn readings(&self) -> impl Iterator<Item = ((u64, u64), u64)> + '_ {
        let over = 1..self.now.0 / EPOCH_LENGTH;
        over.flat_map(|epoch| {
            let truth = u64::from(self.truth[epoch as usize - 1].iter().sum::<u32>());
            self.usage.iter().map(move |usage| {
                let read = usage.read(UnixMillis((epoch + READ_LAG) * EPOCH_LENGTH), TENANT, 1);
                ((read.min, read.max), truth)
            })
        })
    }
}

#[test]
fn every_interval_holds_the_truth_in_every_order_of_three_senders() {
    let began = Instant::now();
    let checker = FleetModel.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    checker.assert_properties();
    println!("{} states, {:?}", checker.unique_state_count(), began.elapsed());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    assert!(began.elapsed() < Duration::from_secs(120), "{:?}", began.elapsed());
}
