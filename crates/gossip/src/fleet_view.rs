//! One sender's view of its fleet. In each round the senders exchange their tenant usage and their votes on receivers;
//! from the received messages each sender derives the membership of the fleet, its usage and the ejected receivers.
//!
//! Invariant: a datagram does not change the view if its round is not accepted, if its sender is unknown, or if its sender
//! has been replaced by a newer incarnation.
//!
//! Each round has one aggregator, or two while a summary is missing or a receiver is voted down. Every sender computes the
//! same order of aggregators. All senders report to the aggregator, which answers each reporter with a summary: the sum of
//! the reported registers with the numbers of their senders, and the votes on receivers by observer. A round is as long as
//! an epoch.

mod error;
mod message;
mod receiving;
mod sending;

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use crate::membership::MembershipList;
use crate::outlier_detection::{CallResult, OutlierDetector, ReceiverId};
use crate::tenant_usage::{LocalSender, TenantUsage, quota_share};
pub use error::FleetViewError;

/// Maximum number of senders in a fleet. A bit set with one bit for each of them takes a fourth of a datagram.
pub const MAX_SENDERS: usize = 512;
/// Number of epochs over which quota shares are computed, because a single sender accepts few messages in one epoch.
const QUOTA_EPOCHS: u64 = 5;
/// Time for which the received usage of an epoch is current after the end of the epoch, in milliseconds. Without current
/// usage of other senders no quota share is computed.
pub const USAGE_TIMEOUT: u64 = 5_000;

/// One sender's view of its fleet, which it exchanges with the other senders by datagrams.
///
/// Besides membership, usage and votes, the view holds the reporters of at most three rounds.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{DatagramBudget, DatagramClass, FleetView, Incarnation, Kind, LocalSender};
/// use rudderspindle_gossip::OutgoingDatagram;
/// let local = |number| LocalSender {
///     number,
///     incarnation: Incarnation(1),
///     complete_from: UnixMillis::EPOCH,
///     max_messages_per_second: 100,
/// };
/// let view = |number| FleetView::new(local(number), vec![0, 0]).expect("a sender of the fleet");
/// let (mut first, mut second) = (view(0), view(1));
/// let budget = || DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }]);
/// let (mut first_budget, mut second_budget) = (budget(), budget());
/// first.record_message(UnixMillis(10_000), 7);
/// for now in (10_000..14_000).step_by(100).map(UnixMillis) {
///     for OutgoingDatagram { bytes, .. } in first.due_datagrams(now, &mut first_budget) {
///         second.receive(now, 0, &bytes).expect("a valid datagram");
///     }
///     for OutgoingDatagram { bytes, .. } in second.due_datagrams(now, &mut second_budget) {
///         first.receive(now, 1, &bytes).expect("a valid datagram");
///     }
/// }
/// let read = second.usage().read(UnixMillis(14_000), 7, 1);
/// assert_eq!((read.min, read.max, read.senders), (1, 1, 2));
/// ```
#[derive(Clone, Debug)]
pub struct FleetView {
    local: LocalSender,
    /// The zone of each sender, indexed by sender number.
    zones: Vec<u16>,
    members: MembershipList,
    usage: TenantUsage,
    outliers: OutlierDetector,
    /// The last round for which this sender selected aggregators; `None` before its first report.
    reported_round: Option<u64>,
    /// The aggregators of `reported_round` to which no report has been sent yet.
    pending_aggregators: Vec<usize>,
    /// The senders that reported to this one as an aggregator, by round. A round is removed when its summaries are sent.
    reporters: BTreeMap<u64, BTreeSet<usize>>,
    /// The oldest round for which reports are accepted; the summaries of earlier rounds have been sent.
    oldest_open_round: u64,
    /// The latest round for which a summary was received or sent.
    newest_summary_round: u64,
    /// Number of live senders in this sender's zone as of the last round with a summary; before the first summary, the
    /// number of all senders in the zone.
    zone_senders: usize,
}

impl FleetView {
    /// Creates the view of the sender `local` in a fleet; `zones` holds the zone of each sender, indexed by sender number.
    ///
    /// # Errors
    ///
    /// [`FleetViewError::TooManySenders`] if there are more than [`MAX_SENDERS`] zones, and
    /// [`FleetViewError::UnknownSender`] if the number of `local` has no zone.
    pub fn new(local: LocalSender, zones: Vec<u16>) -> Result<Self, FleetViewError> {
        let senders = zones.len();
        if senders > MAX_SENDERS {
            return Err(FleetViewError::TooManySenders(senders));
        }
        if local.number >= senders {
            return Err(FleetViewError::UnknownSender);
        }
        let zone_senders = zones.iter().filter(|zone| **zone == zones[local.number]).count();
        Ok(Self {
            local,
            members: MembershipList::new(senders),
            usage: TenantUsage::new(local, senders),
            outliers: OutlierDetector::new(local.number, zones.clone()),
            zones,
            reported_round: None,
            pending_aggregators: Vec::new(),
            reporters: BTreeMap::new(),
            oldest_open_round: 0,
            newest_summary_round: 0,
            zone_senders,
        })
    }

    /// The newest process known under each sender number.
    pub fn members(&self) -> &MembershipList {
        &self.members
    }

    /// The messages that the fleet accepted, by tenant and epoch.
    pub fn usage(&self) -> &TenantUsage {
        &self.usage
    }

    /// Counts one message that this sender accepted; `tenant` is the tenant's index in the settings.
    pub fn record_message(&mut self, now: UnixMillis, tenant: u16) {
        self.usage.record_message(now, tenant);
    }

    /// Records the result of one call from this sender to `receiver`.
    pub fn record_call(&mut self, now: UnixMillis, receiver: ReceiverId, result: CallResult) {
        self.outliers.record_call(now, receiver, result);
    }

    /// This sender's share of a tenant's fleet-wide quota, both in messages per second. The share changes a few times per
    /// second.
    ///
    /// `None` if no usage of other senders is known for an epoch that ended within the last [`USAGE_TIMEOUT`].
    pub fn own_quota(&self, now: UnixMillis, tenant: u16, fleet_quota: f64) -> Option<f64> {
        let fleet_usage = self.usage.read(now, tenant, QUOTA_EPOCHS);
        fleet_usage.newest_epoch_end.filter(|end| end.saturating_add(USAGE_TIMEOUT) > now)?;
        let own_messages = self.usage.read_own(now, tenant, QUOTA_EPOCHS);
        Some(fleet_quota * quota_share(own_messages, &fleet_usage, self.zones.len()))
    }

    /// Returns those of a destination's `receivers` that are ejected; see [`OutlierDetector::ejected`].
    pub fn ejected(&mut self, now: UnixMillis, receivers: &[ReceiverId]) -> Vec<ReceiverId> {
        self.outliers.ejected(now, self.zone_senders, receivers)
    }
}

#[cfg(test)]
mod tests;
