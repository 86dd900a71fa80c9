//! Totals are independent of order, duplicates and replays, and intervals contain the truth if datagrams are lost.

use std::collections::BTreeMap;

use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{
    DatagramError, Digest, DigestStore, FleetView, Incarnation, Key, SenderId, Settings, Slice, SliceCounter,
    WindowSummary,
};

const SENDERS: usize = 6;
const CURRENT: Slice = Slice(100);
/// A sender may accept 20 messages in a slice of 2 s.
const SETTINGS: Settings = Settings { window_ms: 10_000, entries: 16, hot_fraction: 0.1, max_per_second: 10 };

/// The slice `slices` before the current one.
fn before_current(slices: u64) -> Slice {
    Slice(CURRENT.0 - slices)
}

/// When a slice begins.
fn start_of(slice: Slice) -> UnixMillis {
    UnixMillis(slice.0 * SETTINGS.slice_ms())
}

/// The messages that one sender accepted.
#[derive(Clone, Debug)]
struct Flow {
    /// The keys of each slice of the window, at most 20 in each.
    slices: Vec<Vec<u64>>,
    /// The slice in the middle of whose messages the sender restarted without its counts.
    restart_in: Option<usize>,
}

fn flows() -> impl Strategy<Value = Vec<Flow>> {
    let slice = prop::collection::vec(0_u64..30, 0..=20);
    let sender = (prop::collection::vec(slice, 5), prop::option::of(0_usize..5));
    prop::collection::vec(sender.prop_map(|(slices, restart_in)| Flow { slices, restart_in }), SENDERS)
}

/// A digest and the sender that published it.
type Published = (SenderId, Digest);

/// One sender's processes, and their published digests.
struct Publisher {
    sender: SenderId,
    counter: SliceCounter,
    incarnation: Incarnation,
    published: Vec<Published>,
}

impl Publisher {
    fn publish(&mut self, slice: Slice) {
        let digest = self.counter.digest(self.incarnation, slice);
        self.published.extend(digest.map(|digest| (self.sender, digest)));
    }

    fn restart(&mut self, slice: Slice) {
        self.counter = SliceCounter::new(&SETTINGS, start_of(slice), false);
        self.incarnation = Incarnation(2);
    }
}

/// All digests that these senders publish, also of incomplete slices, and the truth.
fn publish(flows: &[Flow]) -> (Vec<Published>, BTreeMap<Key, u64>) {
    let (mut published, mut truth) = (Vec::new(), BTreeMap::new());
    for (index, flow) in flows.iter().enumerate() {
        let counter = SliceCounter::new(&SETTINGS, start_of(before_current(5)), true);
        let (sender, incarnation) = (SenderId(index), Incarnation(1));
        let mut publisher = Publisher { sender, counter, incarnation, published: Vec::new() };
        for (position, keys) in flow.slices.iter().enumerate() {
            let slice = before_current(5 - position as u64);
            for (number, key) in keys.iter().enumerate() {
                if flow.restart_in == Some(position) && number == keys.len() / 2 {
                    // This process published fewer messages of the slice than it accepted; the next one starts empty.
                    publisher.publish(slice);
                    publisher.restart(slice);
                }
                let idempotency_key = (*key > 20).then_some(Key::new(*key));
                publisher.counter.record(start_of(slice), Key::new(*key), idempotency_key);
                *truth.entry(Key::new(*key)).or_default() += 1;
                if number % 7 == 3 {
                    publisher.publish(slice);
                }
            }
            publisher.publish(slice);
        }
        published.append(&mut publisher.published);
    }
    (published, truth)
}

fn empty_store() -> DigestStore {
    DigestStore::new(SENDERS, SETTINGS.max_per_slice())
}

fn store_all(published: &[Published]) -> DigestStore {
    let mut store = empty_store();
    for (from, digest) in published {
        match store.insert(*from, digest.clone(), CURRENT) {
            Ok(()) | Err(DatagramError::StaleIncarnation) => {}
            Err(error) => panic!("{error}"),
        }
    }
    store
}

proptest! {
    #[test]
    fn order_duplicates_and_replays_change_no_total(
        flows in flows(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let (published, _) = publish(&flows);
        let once = store_all(&published).totals(CURRENT);
        let mut backwards = published.clone();
        backwards.reverse();
        prop_assert_eq!(&store_all(&backwards).totals(CURRENT), &once);
        // Each at least once, in any order, many more often.
        let mut shuffled: Vec<_> = order.iter().map(|index| index.get(&published).clone()).collect();
        shuffled.extend(backwards);
        shuffled.extend(order.iter().map(|index| index.get(&published).clone()));
        prop_assert_eq!(&store_all(&shuffled).totals(CURRENT), &once);
    }

    #[test]
    fn whatever_is_lost_the_truth_is_in_every_interval(
        flows in flows(),
        lost in prop::collection::vec(prop::bool::weighted(0.1), 200),
    ) {
        let (published, truth) = publish(&flows);
        // Complete slices are published only after they are closed, so an earlier digest is never complete.
        let mut last: BTreeMap<(SenderId, Slice), Digest> = BTreeMap::new();
        for (from, digest) in published {
            last.insert((from, digest.slice), digest);
        }
        let received = last.into_iter().zip(lost).filter(|(_, lost)| !lost);
        let received: Vec<Published> = received.map(|(((from, _), digest), _)| (from, digest)).collect();
        let summary = WindowSummary::new(CURRENT, 3, &store_all(&received).totals(CURRENT));
        prop_assert!(summary.keys.totals.iter().all(|total| total.senders > 1));
        let view = FleetView::new(summary, SENDERS, &SETTINGS).expect("nobody is counted twice");
        let all = truth.values().sum();
        prop_assert!(view.messages().contains(all), "{} accepted, {:?}", all, view.messages());
        for key in (0..31).map(Key::new) {
            let count = truth.get(&key).copied().unwrap_or(0);
            prop_assert!(view.stream(key).contains(count), "{} of {:?}: {:?}", count, key, view.stream(key));
        }
    }
}

/// The digest of a slice in which a process started and accepted messages.
fn digest_of_start(incarnation: u64, slice: Slice, messages: usize, idle_before: bool) -> Digest {
    let mut counter = SliceCounter::new(&SETTINGS, start_of(slice), idle_before);
    for _ in 0..messages {
        counter.record(start_of(slice), Key::new(1), None);
    }
    counter.digest(Incarnation(incarnation), slice).expect("it accepted something")
}

#[test]
fn a_later_incarnation_replaces_its_slice_and_what_the_earlier_one_says_of_it_later_is_refused() {
    let slice = before_current(1);
    let earlier = digest_of_start(1, slice, 9, true);
    let later = digest_of_start(2, slice, 1, false);
    let sender = SenderId(0);
    let mut store = empty_store();
    assert_eq!(store.insert(sender, earlier.clone(), CURRENT), Ok(()));
    assert_eq!(store.totals(CURRENT).messages, 9);
    assert_eq!(store.insert(sender, later, CURRENT), Ok(()));
    assert_eq!(store.totals(CURRENT).messages, 1);
    // The slice is incomplete: its first half was counted by the earlier process.
    assert_eq!(store.totals(CURRENT).complete_counts, [0, 1, 1, 1, 1]);
    let refused = store.insert(sender, earlier.clone(), CURRENT);
    assert_eq!(refused, Err(DatagramError::StaleIncarnation));
    assert_eq!(store.totals(CURRENT).messages, 1);
    let refused = store.insert(SenderId(SENDERS), earlier.clone(), CURRENT);
    assert_eq!(refused, Err(DatagramError::UnknownSender));
    for other in [Slice(CURRENT.0 + 10), before_current(10)] {
        let refused = store.insert(sender, earlier.clone(), other);
        assert_eq!(refused, Err(DatagramError::OutsideWindow));
    }
    // A sender may accept 20.
    let refused = store.insert(SenderId(1), Digest { total: 21, ..earlier }, CURRENT);
    assert_eq!(refused, Err(DatagramError::OverLimit));
    store.discard_expired(Slice(CURRENT.0 + 10));
    assert_eq!(store.register_count(), 0);
}

#[test]
fn slices_before_a_first_start_count_as_complete_and_empty_but_never_against_what_was_published_of_them() {
    let counts_and_messages = |store: &DigestStore| {
        let totals = store.totals(CURRENT);
        (totals.complete_counts, totals.messages)
    };
    let mut store = empty_store();
    assert_eq!(store.insert(SenderId(0), digest_of_start(1, before_current(2), 1, true), CURRENT), Ok(()));
    assert_eq!(counts_and_messages(&store), ([0, 1, 1, 1, 1], 1));
    // A process that does not know the messages of an earlier one completes no earlier slices.
    assert_eq!(store.insert(SenderId(1), digest_of_start(1, before_current(2), 1, false), CURRENT), Ok(()));
    assert_eq!(counts_and_messages(&store), ([0, 1, 1, 1, 1], 2));
    // A later process with a wrong claim makes no difference, in either order.
    let earlier = digest_of_start(1, before_current(4), 1, true);
    let later = digest_of_start(2, before_current(2), 1, true);
    for digests in [[&earlier, &later], [&later, &earlier]] {
        let mut store = empty_store();
        for digest in digests {
            assert_eq!(store.insert(SenderId(0), digest.clone(), CURRENT), Ok(()));
        }
        assert_eq!(counts_and_messages(&store), ([0, 1, 1, 1, 1], 2));
    }
}
