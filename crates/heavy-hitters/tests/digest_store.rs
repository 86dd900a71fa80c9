//! Tests that the totals do not depend on the order, duplicates and replays of digests, and that intervals contain the
//! true counts if digests are lost.

use std::collections::BTreeMap;

use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{
    DatagramError, Digest, DigestStore, FleetView, Incarnation, Key, SenderId, Settings, Slice, SliceCounter,
    WindowSummary,
};

const SENDERS: usize = 6;
const CURRENT: Slice = Slice(100);
/// Settings by which a sender may accept 20 messages in a slice of 2 s.
const SETTINGS: Settings = Settings { window_ms: 10_000, entries: 16, hot_fraction: 0.1, max_per_second: 10 };

/// The slice `slices` before the current one.
fn before_current(slices: u64) -> Slice {
    Slice(CURRENT.0 - slices)
}

/// The time at which a slice begins.
fn start_of(slice: Slice) -> UnixMillis {
    UnixMillis(slice.0 * SETTINGS.slice_ms())
}

/// The messages that one sender accepts.
#[derive(Clone, Debug)]
struct SenderTraffic {
    /// The key of each message, by slice of the window; at most 20 messages in a slice.
    keys_by_slice: Vec<Vec<u64>>,
    /// The position of the slice in which the sender restarts without its counts, after half of the messages of that
    /// slice; `None` if the sender does not restart.
    restart_in: Option<usize>,
}

fn fleet_traffic() -> impl Strategy<Value = Vec<SenderTraffic>> {
    let slice = prop::collection::vec(0_u64..30, 0..=20);
    let sender = (prop::collection::vec(slice, 5), prop::option::of(0_usize..5));
    prop::collection::vec(
        sender.prop_map(|(keys_by_slice, restart_in)| SenderTraffic { keys_by_slice, restart_in }),
        SENDERS,
    )
}

/// A digest and the sender that published it.
type Published = (SenderId, Digest);

/// The processes of one sender, one after the other, and their published digests.
struct Publisher {
    sender: SenderId,
    counter: SliceCounter,
    incarnation: Incarnation,
    published: Vec<Published>,
}

impl Publisher {
    /// Publishes the digest of a slice, if there is one.
    fn publish(&mut self, slice: Slice) {
        let digest = self.counter.digest(self.incarnation, slice);
        self.published.extend(digest.map(|digest| (self.sender, digest)));
    }

    /// Starts a process that does not know the counts of the earlier one.
    fn restart(&mut self, slice: Slice) {
        self.counter = SliceCounter::new(&SETTINGS, start_of(slice), false);
        self.incarnation = Incarnation(2);
    }
}

/// All digests that senders with this traffic publish, including digests of unfinished slices, and the true
/// count of each key.
fn publish(fleet_traffic: &[SenderTraffic]) -> (Vec<Published>, BTreeMap<Key, u64>) {
    let (mut published, mut true_counts) = (Vec::new(), BTreeMap::new());
    for (index, traffic) in fleet_traffic.iter().enumerate() {
        let counter = SliceCounter::new(&SETTINGS, start_of(before_current(5)), true);
        let (sender, incarnation) = (SenderId(index), Incarnation(1));
        let mut publisher = Publisher { sender, counter, incarnation, published: Vec::new() };
        for (position, keys) in traffic.keys_by_slice.iter().enumerate() {
            let slice = before_current(5 - position as u64);
            for (number, key) in keys.iter().enumerate() {
                if traffic.restart_in == Some(position) && number == keys.len() / 2 {
                    // This process counted only the first half of the slice; the next process starts without counts.
                    publisher.publish(slice);
                    publisher.restart(slice);
                }
                let idempotency_key = (*key > 20).then_some(Key::new(*key));
                publisher.counter.record(start_of(slice), Key::new(*key), idempotency_key);
                *true_counts.entry(Key::new(*key)).or_default() += 1;
                if number % 7 == 3 {
                    publisher.publish(slice);
                }
            }
            publisher.publish(slice);
        }
        published.append(&mut publisher.published);
    }
    (published, true_counts)
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
        fleet_traffic in fleet_traffic(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let (published, _) = publish(&fleet_traffic);
        let once = store_all(&published).totals(CURRENT);
        let mut backwards = published.clone();
        backwards.reverse();
        prop_assert_eq!(&store_all(&backwards).totals(CURRENT), &once);
        // Each digest is stored at least once, in any order, and many are stored more often.
        let mut shuffled: Vec<_> = order.iter().map(|index| index.get(&published).clone()).collect();
        shuffled.extend(backwards);
        shuffled.extend(order.iter().map(|index| index.get(&published).clone()));
        prop_assert_eq!(&store_all(&shuffled).totals(CURRENT), &once);
    }

    #[test]
    fn intervals_contain_the_true_counts_if_digests_are_lost(
        fleet_traffic in fleet_traffic(),
        lost in prop::collection::vec(prop::bool::weighted(0.1), 200),
    ) {
        let (published, true_counts) = publish(&fleet_traffic);
        // A sender publishes a slice only after it is closed, so a digest that is marked as complete counts all
        // messages of the slice. Earlier digests, which this test marks as complete too early, are left out.
        let mut last_digests: BTreeMap<(SenderId, Slice), Digest> = BTreeMap::new();
        for (from, digest) in published {
            last_digests.insert((from, digest.slice), digest);
        }
        let received = last_digests.into_iter().zip(lost).filter(|(_, lost)| !lost);
        let received: Vec<Published> = received.map(|(((from, _), digest), _)| (from, digest)).collect();
        let summary = WindowSummary::new(CURRENT, 3, &store_all(&received).totals(CURRENT));
        prop_assert!(summary.idempotency_keys.totals.iter().all(|total| total.senders > 1));
        let view = FleetView::new(summary, SENDERS, &SETTINGS)
            .expect("the summary counts each sender at most once in a slice");
        let true_total = true_counts.values().sum();
        prop_assert!(
            view.message_bounds().contains(true_total),
            "true total {} is outside {:?}", true_total, view.message_bounds()
        );
        for key in (0..31).map(Key::new) {
            let count = true_counts.get(&key).copied().unwrap_or(0);
            prop_assert!(
                view.stream_bounds(key).contains(count),
                "true count {} of {:?} is outside {:?}", count, key, view.stream_bounds(key)
            );
        }
    }
}

/// The digest of a slice in which a process started and accepted messages.
fn digest_of_start(incarnation: u64, slice: Slice, messages: usize, idle_before: bool) -> Digest {
    let mut counter = SliceCounter::new(&SETTINGS, start_of(slice), idle_before);
    for _ in 0..messages {
        counter.record(start_of(slice), Key::new(1), None);
    }
    counter.digest(Incarnation(incarnation), slice).expect("the process started in this slice")
}

/// Once the later digest is stored, a digest of the earlier incarnation is rejected. Digests of unknown senders, of slices
/// outside the window and with too large totals are rejected, too.
#[test]
fn a_later_incarnation_replaces_the_digest_of_its_slice() {
    let slice = before_current(1);
    let earlier = digest_of_start(1, slice, 9, true);
    let later = digest_of_start(2, slice, 1, false);
    let sender = SenderId(0);
    let mut store = empty_store();
    assert_eq!(store.insert(sender, earlier.clone(), CURRENT), Ok(()));
    assert_eq!(store.totals(CURRENT).messages, 9);
    assert_eq!(store.insert(sender, later, CURRENT), Ok(()));
    assert_eq!(store.totals(CURRENT).messages, 1);
    // The slice is incomplete because the earlier process may have counted a part of it.
    assert_eq!(store.totals(CURRENT).complete_counts, [0, 1, 1, 1, 1]);
    let rejected = store.insert(sender, earlier.clone(), CURRENT);
    assert_eq!(rejected, Err(DatagramError::StaleIncarnation));
    assert_eq!(store.totals(CURRENT).messages, 1);
    let rejected = store.insert(SenderId(SENDERS), earlier.clone(), CURRENT);
    assert_eq!(rejected, Err(DatagramError::UnknownSender));
    for other_current in [Slice(CURRENT.0 + 10), before_current(10)] {
        let rejected = store.insert(sender, earlier.clone(), other_current);
        assert_eq!(rejected, Err(DatagramError::OutsideWindow));
    }
    // A sender may accept at most 20 messages in a slice.
    let rejected = store.insert(SenderId(1), Digest { total: 21, ..earlier }, CURRENT);
    assert_eq!(rejected, Err(DatagramError::OverLimit));
    store.discard_expired(Slice(CURRENT.0 + 10));
    assert_eq!(store.register_count(), 0);
}

/// A slice of which a digest was received, whether before or after the digest of the start, keeps the content of that
/// digest.
#[test]
fn slices_before_a_first_start_are_complete_and_empty() {
    let counts_and_messages = |store: &DigestStore| {
        let totals = store.totals(CURRENT);
        (totals.complete_counts, totals.messages)
    };
    let mut store = empty_store();
    assert_eq!(store.insert(SenderId(0), digest_of_start(1, before_current(2), 1, true), CURRENT), Ok(()));
    assert_eq!(counts_and_messages(&store), ([0, 1, 1, 1, 1], 1));
    // A process that does not know whether an earlier one accepted messages completes no earlier slices.
    assert_eq!(store.insert(SenderId(1), digest_of_start(1, before_current(2), 1, false), CURRENT), Ok(()));
    assert_eq!(counts_and_messages(&store), ([0, 1, 1, 1, 1], 2));
    // A later process that wrongly claims to have been idle before changes no stored slice, in either order.
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
