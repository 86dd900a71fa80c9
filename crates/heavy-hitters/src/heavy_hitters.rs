//! Heavy-hitter detection of one sender.
//!
//! Invariant: a sender decides which streams are hot only by summaries, including the summaries that it makes itself as
//! an aggregator, and of two summaries it uses the better one. Therefore all senders that receive the same summaries
//! make the same decisions.

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

/// Heavy-hitter detection of one sender: counts its accepted messages, exchanges digests and summaries with the other
/// senders, and detects hot streams.
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
/// // The slice of 2 s is closed, and the only sender of the fleet aggregates its own digest.
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
    /// The slice that was open at the last call.
    open_slice: Slice,
    view: Option<FleetView>,
    detector: HotStreamDetector,
}

impl HeavyHitters {
    /// Starts the detection at `now` in sender `own_id` of a fleet of `sender_count` senders.
    ///
    /// `incarnation` must be greater than that of any earlier process of this sender. Set `idle_before` only if
    /// it is known that no earlier process accepted a message within the window before `now`; otherwise the
    /// slices up to the start are treated as incomplete.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if a setting is invalid.
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
            open_slice: Slice::containing(now, settings.slice_ms()),
            view: None,
            detector: HotStreamDetector::new(settings.hot_fraction),
        })
    }

    /// Counts one accepted message of a stream, with its idempotency key if it has one.
    pub fn record(&mut self, now: UnixMillis, stream: Key, idempotency_key: Option<Key>) {
        self.counter.record(now, stream, idempotency_key);
    }

    /// Whether a stream is hot: it exceeded the hot fraction of all messages of the fleet and has not cooled
    /// down since.
    #[must_use]
    pub fn is_hot(&self, stream: Key) -> bool {
        self.detector.is_hot(stream)
    }

    /// The hot streams, at most `1 / hot_fraction`.
    pub fn hot_streams(&self) -> impl Iterator<Item = Key> {
        self.detector.hot_streams()
    }

    /// The best view of the latest window; `None` before the first summary. The age of the view follows
    /// from [`FleetView::slices`].
    #[must_use]
    pub fn view(&self) -> Option<&FleetView> {
        self.view.as_ref()
    }

    /// Bounds on the copies of an idempotency key; `None` unless several senders are known to have accepted the
    /// key within the last window.
    #[must_use]
    pub fn repeated_key(&self, key: Key, now: UnixMillis) -> Option<RepeatedKey> {
        find_repeated_key(self.view.as_ref()?, key, now, self.settings.slice_ms())
    }

    /// The time at which [`HeavyHitters::poll_datagrams`] must be called next.
    #[must_use]
    pub fn next_poll_at(&self, now: UnixMillis) -> UnixMillis {
        let next_round_start = Round::containing(now).next_start();
        self.publisher
            .next_publish_time(now)
            .map_or(next_round_start, |publish_at| publish_at.min(next_round_start))
    }

    /// Returns the datagrams to be sent at `now`.
    pub fn poll_datagrams(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        let slice = self.begin_open_slice(now);
        let round_index = round_in_slice(now, self.settings.slice_ms());
        let mut datagrams = Vec::new();
        if let Some(reply) = self.aggregator.poll_replies(now, slice, round_index) {
            datagrams.extend(reply.datagrams);
            // This cannot fail because a summary of this sender's own aggregator is valid.
            let _ = self.apply_summary(&reply.summary);
        }
        if self.publisher.take_due_round(now) {
            let publication = self.publisher.publish(slice, round_index, &self.counter);
            self.aggregator.insert_own(self.own_id, publication.own_digests, slice);
            for addressed in publication.remote_digests {
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
    /// [`DatagramError`] if the datagram is rejected; the state is unchanged.
    pub fn receive(&mut self, now: UnixMillis, from: SenderId, bytes: &[u8]) -> Result<(), DatagramError> {
        if from == self.own_id || from.0 >= self.sender_count {
            return Err(DatagramError::UnknownSender);
        }
        let message = GossipMessage::decode(bytes)?;
        let slice = self.begin_open_slice(now);
        match message {
            // The clock of the publisher may be ahead: see `is_aggregator`.
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

    /// Replaces the view if the summary is better than the one on which the view is based.
    fn apply_summary(&mut self, summary: &WindowSummary) -> Result<(), DatagramError> {
        let view = FleetView::new(summary.clone(), self.sender_count, &self.settings)?;
        if let Some(previous) = &self.view {
            // If the clock was stepped forward far and then corrected, the previous view may be of a future window.
            let previous_is_current = previous.slices().end <= self.open_slice.plus(1);
            if previous.summary().quality() >= summary.quality() && previous_is_current {
                return Ok(());
            }
            if previous.slices().end != view.slices().end {
                self.detector.remove_cooled(previous);
            }
        }
        self.detector.detect(&view);
        self.view = Some(view);
        Ok(())
    }

    /// Whether this sender is an aggregator candidate of this slice or the next, which is the open slice of a
    /// publisher whose clock is ahead.
    fn is_aggregator(&self, slice: Slice) -> bool {
        let is_selected = |slice| aggregators(slice, self.sender_count).contains(&self.own_id);
        is_selected(slice) || is_selected(slice.plus(1))
    }

    /// Returns the slice that is open at `now`. Discards expired state, and begins the slice if another one was open at the
    /// last call.
    fn begin_open_slice(&mut self, now: UnixMillis) -> Slice {
        let slice = Slice::containing(now, self.settings.slice_ms());
        self.counter.discard_expired(now);
        if self.open_slice != slice {
            self.publisher.begin_slice(self.open_slice, slice);
            self.aggregator.begin_slice(slice, self.is_aggregator(slice));
            self.open_slice = slice;
        }
        slice
    }
}
