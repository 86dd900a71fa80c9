//! Applies round summaries: commits by a majority, acknowledgements, downloads, recovery and renewal of the lease.

use rudderspindle_clock::UnixMillis;

use crate::event::PlacementEvent;
use crate::placement::Placement;
use crate::round_summary::RoundSummary;
use crate::rule_set_id::RuleSetId;

impl Placement {
    /// Applies the summary of a current round.
    ///
    /// Commits the rule sets that a majority acknowledges. The summary renews the lease only if this sender holds every rule
    /// set that some sender acknowledges; missing rule sets are downloaded first.
    pub(crate) fn apply_summary(&mut self, now: UnixMillis, summary: &RoundSummary) {
        for (slot, id) in summary.rule_sets_with_slots() {
            self.commit_by_majority(now, summary, slot, id);
            self.acknowledge_early(now, summary, slot, id);
        }
        if self.downloads.fetch_missing(summary, &self.held, &self.settings) {
            return;
        }
        if self.lease.apply_summary(summary, &self.settings) {
            self.record_event(PlacementEvent::Recovered);
            self.mark_changed(now);
        }
        if !self.lease_acquired_reported && self.lease.is_valid(now) {
            self.lease_acquired_reported = true;
            self.record_event(PlacementEvent::LeaseAcquired { expires_at: self.lease.expires_at });
        }
    }

    /// Commits a rule set that a majority acknowledged in the summary's round.
    ///
    /// This sender's own acknowledgement counts only if the summary includes it: if it was made after that round, senders that
    /// acknowledged in the round may have lost their state since, so that their acknowledgements and its own may never have
    /// formed a majority.
    fn commit_by_majority(&mut self, now: UnixMillis, summary: &RoundSummary, slot: usize, id: RuleSetId) {
        let acknowledgement_count = summary.senders_acknowledging(slot).count();
        if self.settings.is_majority(acknowledgement_count) && self.held.commit(id) {
            self.record_event(PlacementEvent::RuleSetCommitted { id });
            self.mark_changed(now);
        }
    }

    /// Acknowledges an announced rule set early if another sender acknowledges it or all voting senders store it.
    fn acknowledge_early(&mut self, now: UnixMillis, summary: &RoundSummary, slot: usize, id: RuleSetId) {
        let own_id = self.settings.own_id;
        let acknowledged_elsewhere = summary.senders_acknowledging(slot).any(|sender| sender != own_id);
        let is_propagated = acknowledged_elsewhere || summary.is_stored_by_all_others(slot, own_id);
        if is_propagated && self.held.acknowledge(id) {
            self.mark_changed(now);
        }
    }
}
