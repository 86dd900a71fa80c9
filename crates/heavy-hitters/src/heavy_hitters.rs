//! Heavy-hitter detection of one sender.
//!
//! Invariant: decisions are based on summaries only, including its own, and on the better of two, so that all senders that
//! receive the same summaries make the same decisions.

use rudderspindle_clock::UnixMillis;

use crate::aggregator::Aggregator;
use crate::aggregator_selection::aggregators;
use crate::datagram::OutgoingDatagram;
use crate::digest_publisher::DigestPublisher;
use crate::error::DatagramError;
use crate::fleet_view::FleetView;
use crate::gossip_message::GossipMessage;
use crate::hot_streams::HotStreamDetector;
use crate::key::Key;
use crate::repeated_key::{RepeatedKey, find_repeated_key};
use crate::round::{Round, round_in_slice};
use crate::sender_id::{Incarnation, SenderId};
use crate::settings::{Settings, SettingsError};
use crate::slice::Slice;
use crate::slice_counter::SliceCounter;
use crate::window_summary::WindowSummary;

/// Heavy-hitter detection of one sender: counts its messages, exchanges digests and summaries, and detects hot streams.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_heavy_hitters::{HeavyHitters, Incarnation, KeyHasher, SenderId, Settings};
/// let (hasher, at) = (KeyHasher::new([7; 16]), UnixMillis);
/// let (own_id, incarnation) = (SenderId(0), Incarnation(1));
/// let mut heavy_hitters =
///     HeavyHitters::new(Settings::default(), own_id, 1, incarnation, at(1_000_000), true).unwrap();
/// for millis in 1_000_000..1_000_500 {
///     heavy_hitters.record(at(millis), hasher.stream_key("narmada", "gate-1"), None);
/// }
/// // The slice of 2 s has closed; this sender aggregates its own digest.
/// assert!(heavy_hitters.poll_datagrams(at(1_002_100)).is_empty());
/// assert!(heavy_hitters.poll_datagrams(at(1_002_600)).is_empty());
/// assert!(heavy_hitters.is_hot(hasher.stream_key("narmada", "gate-1")));
/// ```
#[derive(Clone, Debug)]
pub struct HeavyHitters {
    settings: Settings,
    own_id: SenderId,
    sender_count: usize,
    counter: SliceCounter,
    publisher: DigestPublisher,
    aggregator: Aggregator,
    /// The open slice as of the last call.
    current: Slice,
    view: Option<FleetView>,
    detector: HotStreamDetector,
}

impl HeavyHitters {
    /// Starts sender `own_id` of `sender_count` at `now`.
    ///
    /// `incarnation` must be greater than that of any earlier process of this sender. `idle_before` is whether it is known
    /// that no earlier process accepted a message within the window before; otherwise the slices up to the start are
    /// incomplete.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the invalid setting.
    pub fn new(
        settings: Settings,
        own_id: SenderId,
        sender_count: usize,
        incarnation: Incarnation,
        now: UnixMillis,
        idle_before: bool,
    ) -> Result<Self, SettingsError> {
        let settings = settings.validated()?;
        Ok(Self {
            settings,
            own_id,
            sender_count,
            counter: SliceCounter::new(&settings, now, idle_before),
            publisher: DigestPublisher::new(own_id, sender_count, incarnation),
            aggregator: Aggregator::new(sender_count, settings.max_per_slice()),
            current: Slice::containing(now, settings.slice_ms()),
            view: None,
            detector: HotStreamDetector::new(settings.hot_fraction),
        })
    }

    /// Counts one accepted message of a stream, with its idempotency key if it has one.
    pub fn record(&mut self, now: UnixMillis, stream: Key, idempotency_key: Option<Key>) {
        self.counter.record(now, stream, idempotency_key);
    }

    /// Whether a stream is hot.
    #[must_use]
    pub fn is_hot(&self, stream: Key) -> bool {
        self.detector.is_hot(stream)
    }

    /// The hot streams, at most `1 / hot_fraction`.
    pub fn hot_streams(&self) -> impl Iterator<Item = Key> {
        self.detector.hot_streams()
    }

    /// The best view of the latest window; its age follows from its slices.
    #[must_use]
    pub fn view(&self) -> Option<&FleetView> {
        self.view.as_ref()
    }

    /// The key with bounds on its copies, if several senders accepted this idempotency key within the last window.
    #[must_use]
    pub fn repeated_key(&self, key: Key, now: UnixMillis) -> Option<RepeatedKey> {
        find_repeated_key(self.view.as_ref()?, key, now, self.settings.slice_ms())
    }

    /// When to call [`HeavyHitters::poll_datagrams`] next.
    #[must_use]
    pub fn next_poll_at(&self, now: UnixMillis) -> UnixMillis {
        let next_round = Round::containing(now).next_start();
        self.publisher.next_publish_time(now).map_or(next_round, |publish_at| publish_at.min(next_round))
    }

    /// The datagrams to be sent at `now`.
    pub fn poll_datagrams(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        let slice = self.advance(now);
        let round = round_in_slice(now, self.settings.slice_ms());
        let mut datagrams = Vec::new();
        if let Some(reply) = self.aggregator.poll_replies(now, slice, round) {
            datagrams.extend(reply.datagrams);
            // A summary of this sender's own aggregator is valid.
            let _ = self.apply_summary(&reply.summary);
        }
        if self.publisher.take_due(now) {
            let publication = self.publisher.publish(slice, round, &self.counter);
            self.aggregator.insert_own(self.own_id, publication.own, slice);
            for addressed in publication.remote {
                let body = GossipMessage::Digest(addressed.digest).encode();
                datagrams.push(OutgoingDatagram { to: addressed.to, body });
            }
        }
        datagrams
    }

    /// Handles the body of a datagram received from another sender at `now`.
    ///
    /// # Errors
    ///
    /// [`DatagramError`] is why it is dropped; the state is unchanged.
    pub fn receive(&mut self, now: UnixMillis, from: SenderId, bytes: &[u8]) -> Result<(), DatagramError> {
        if from == self.own_id || from.0 >= self.sender_count {
            return Err(DatagramError::UnknownSender);
        }
        let message = GossipMessage::decode(bytes)?;
        let slice = self.advance(now);
        match message {
            // The publisher's clock may be ahead, in the next term.
            GossipMessage::Digest(_) if !self.is_aggregator(slice) => Err(DatagramError::UnknownSender),
            GossipMessage::Digest(digest) => self.aggregator.receive(now, slice, from, digest),
            GossipMessage::Summary(summary) => self.receive_summary(from, &summary, slice),
        }
    }

    fn receive_summary(
        &mut self,
        from: SenderId,
        summary: &WindowSummary,
        current: Slice,
    ) -> Result<(), DatagramError> {
        if summary.slice.distance(current) > 1 {
            return Err(DatagramError::OutsideWindow);
        }
        if !aggregators(summary.slice, self.sender_count).contains(&from) {
            return Err(DatagramError::UnknownSender);
        }
        self.apply_summary(summary)?;
        self.publisher.receive_summary(from, summary, current, &self.counter);
        Ok(())
    }

    /// Replaces the view if a summary is better.
    fn apply_summary(&mut self, summary: &WindowSummary) -> Result<(), DatagramError> {
        let view = FleetView::new(summary.clone(), self.sender_count, &self.settings)?;
        if let Some(known) = &self.view {
            // After a large forward step of the clock was corrected, the known view may be of the future.
            let known_is_current = known.slices().end <= self.current.plus(1);
            if known.summary().quality() >= summary.quality() && known_is_current {
                return Ok(());
            }
            if known.slices().end != view.slices().end {
                self.detector.expire(known);
            }
        }
        self.detector.detect(&view);
        self.view = Some(view);
        Ok(())
    }

    /// Whether this sender is an aggregator candidate of this slice or the next.
    fn is_aggregator(&self, slice: Slice) -> bool {
        let is_selected = |slice| aggregators(slice, self.sender_count).contains(&self.own_id);
        is_selected(slice) || is_selected(slice.plus(1))
    }

    /// Discards expired state; returns the open slice.
    fn advance(&mut self, now: UnixMillis) -> Slice {
        let slice = Slice::containing(now, self.settings.slice_ms());
        self.counter.discard_expired(now);
        if self.current != slice {
            self.publisher.begin_slice(self.current, slice);
            self.aggregator.begin_slice(slice, self.is_aggregator(slice));
            self.current = slice;
        }
        slice
    }
}
