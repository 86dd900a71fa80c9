//! Model check of the usage registers of three senders. It covers every order of reports, lost and duplicate messages and
//! killed processes within two epochs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    EPOCH_LENGTH, Incarnation, IncarnationOrder, LocalSender, MembershipList, READ_LAG, Register,
    RegisterKey, TenantUsage, WindowSlice,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const SENDER_COUNT: usize = 3;
/// The sender that receives reports and slices, and whose intervals are checked.
const READER: usize = 0;
/// The sender that receives and aggregates reports.
const AGGREGATOR: usize = 1;
/// Number of epochs in which messages are accepted.
const EPOCH_COUNT: u64 = 2;
/// Maximum number of messages that a sender accepts in an epoch.
const MAX_MESSAGES: u32 = 2;
/// Number of messages that are accepted, by epoch and sender. The numbers are low enough to check all orders.
const ACCEPTED: [[u32; SENDER_COUNT]; EPOCH_COUNT as usize] = [[0, 1, 1], [0, 0, 1]];
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
    /// Number of killed processes so far.
    kills: u32,
    usage: Vec<TenantUsage>,
    members: Vec<MembershipList>,
    incarnations: Vec<Incarnation>,
    /// Number of messages that were actually accepted, by epoch and sender.
    accepted: Vec<[u32; SENDER_COUNT]>,
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

/// The model of a fleet of [`SENDER_COUNT`] senders.
struct FleetModel;

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let incarnations: Vec<Incarnation> = vec![Incarnation(1); SENDER_COUNT];
        let usage = |number| {
            TenantUsage::new(local_sender(number, incarnations[number], UnixMillis::EPOCH), SENDER_COUNT)
        };
        vec![State {
            now: UnixMillis(EPOCH_LENGTH),
            kills: 0,
            usage: (0..SENDER_COUNT).map(usage).collect(),
            members: vec![MembershipList::new(SENDER_COUNT); SENDER_COUNT],
            accepted: vec![[0; SENDER_COUNT]; EPOCH_COUNT as usize],
            in_flight: BTreeSet::new(),
            incarnations,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let epoch = (state.now.0 / EPOCH_LENGTH - 1) as usize;
        if epoch < EPOCH_COUNT as usize {
            let has_messages_to_accept =
                |sender: usize| state.accepted[epoch][sender] < ACCEPTED[epoch][sender];
            actions.extend(
                (0..SENDER_COUNT).filter(|sender| has_messages_to_accept(*sender)).map(Action::Accept),
            );
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
            let recipients = match message.content {
                Content::WindowSlice(_) => [Some(READER), None],
                Content::Register { .. } => [Some(READER), Some(AGGREGATOR)],
            };
            let recipients = recipients.into_iter().flatten().filter(|recipient| *recipient != message.from);
            actions.extend(recipients.map(|recipient| Action::Receive(recipient, message.clone())));
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
                state.accepted[epoch as usize][sender] += 1;
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
            Action::Receive(recipient, message) => state.receive(recipient, message),
            Action::Kill { sender, keeps_folder } => state.kill(sender, keeps_folder),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "every interval contains the number of accepted messages",
                |_, state: &State| {
                    state
                        .intervals()
                        .all(|(interval, accepted)| interval.0 <= accepted && accepted <= interval.1)
                },
            ),
            Property::sometimes(
                "the messages of two of three senders are known exactly",
                |_, state: &State| {
                    state.intervals().any(|(interval, accepted)| {
                        accepted == 2 && interval == (2, 2 + u64::from(MAX_MESSAGES))
                    })
                },
            ),
        ]
    }
}

impl State {
    fn send(&mut self, from: usize, epoch: u64, content: Content) {
        let incarnation = self.incarnations[from];
        self.in_flight.insert(Message { from, incarnation, epoch, content });
    }

    fn receive(&mut self, recipient: usize, message: Message) {
        let Message { from, incarnation, epoch, content } = message;
        let order = self.members[recipient].record_message(from, incarnation, self.now);
        if order == Ok(IncarnationOrder::Older) {
            return;
        }
        let usage = &mut self.usage[recipient];
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
        self.usage[sender] = TenantUsage::new(local_sender(sender, incarnation, self.now), SENDER_COUNT);
        self.members[sender] = MembershipList::new(SENDER_COUNT);
    }

    /// The interval that each sender computes for each past epoch, with the number of messages that were accepted.
    fn intervals(&self) -> impl Iterator<Item = ((u64, u64), u64)> + '_ {
        let past_epochs = 1..self.now.0 / EPOCH_LENGTH;
        past_epochs.flat_map(|epoch| {
            let accepted = u64::from(self.accepted[epoch as usize - 1].iter().sum::<u32>());
            self.usage.iter().map(move |usage| {
                let interval = usage.read(UnixMillis((epoch + READ_LAG) * EPOCH_LENGTH), TENANT, 1);
                ((interval.min, interval.max), accepted)
            })
        })
    }
}

#[test]
fn every_interval_contains_the_number_of_accepted_messages() {
    let started_at = Instant::now();
    let checker = FleetModel.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    checker.assert_properties();
    println!("{} states, {:?}", checker.unique_state_count(), started_at.elapsed());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    assert!(started_at.elapsed() < Duration::from_secs(120), "{:?}", started_at.elapsed());
}
