//! Applies round summaries: commits by majority, acknowledgements, downloads, recovery and the lease.

use rudderspindle_clock::UnixMillis;

use crate::event::PlacementEvent;
use crate::placement::Placement;
use crate::round_summary::RoundSummary;
use crate::rule_set_id::RuleSetId;

impl Placement {
    /// Applies the summary of a current round.
    ///
    /// A rule set that a majority acknowledges is committed. A rule set that some sender acknowledges must be fetched first if
    /// it is not held; otherwise the summary renews the lease.
    pub(crate) fn apply_summary(&mut self, now: UnixMillis, summary: &RoundSummary) {
        for (slot, id) in summary.named() {
            self.commit_by_majority(now, summary, slot, id);
            self.acknowledge_when_spread(now, summary, slot, id);
        }
        if self.downloads.fetch_missing(summary, &self.held, &self.settings) {
            return;
        }
        if self.lease.apply_summary(summary, &self.settings) {
            self.record_event(PlacementEvent::Recovered);
            self.mark_changed(now);
        }
        if !self.lease_announced && self.lease.is_valid(now) {
            self.lease_announced = true;
            self.record_event(PlacementEvent::LeaseAcquired { expires_at: self.lease.expires_at });
        }
    }

    /// Commits a rule set that a majority acknowledged in the summary's round.
    ///
    /// This sender's own acknowledgement counts only if it was made in that round: other senders may have lost their state
    /// since.
    fn commit_by_majority(&mut self, now: UnixMillis, summary: &RoundSummary, slot: usize, id: RuleSetId) {
        let acknowledging = summary.acknowledging(slot).count();
        if self.settings.is_majority(acknowledging) && self.held.commit(id) {
            self.record_event(PlacementEvent::RuleSetCommitted { id });
            self.mark_changed(now);
        }
    }

    /// Acknowledges an announced rule set as soon as another sender acknowledges it, or all senders hold it.
    fn acknowledge_when_spread(
        &mut self,
        now: UnixMillis,
        summary: &RoundSummary,
        slot: usize,
        id: RuleSetId,
    ) {
        let own_id = self.settings.own_id;
        let acknowledged_elsewhere = summary.acknowledging(slot).any(|sender| sender != own_id);
        let is_spread = acknowledged_elsewhere || summary.is_stored_by_all_others(slot, own_id);
        if is_spread && self.held.acknowledge(id) {
            self.mark_changed(now);
        }
    }
}
